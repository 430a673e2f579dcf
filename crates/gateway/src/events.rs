//! Log events of a gateway; `docs/EVENTS.md` is their catalogue.

use peargap_adapters::logs;

pub(crate) const STARTED: logs::Event = logs::Event::info(6001, "gateway started");
pub(crate) const STOPPING: logs::Event = logs::Event::info(6002, "gateway stopping");
pub(crate) const STOPPED: logs::Event = logs::Event::info(6003, "gateway stopped");
pub(crate) const CONTROL_CONNECTED: logs::Event = logs::Event::info(6004, "control host connected");
pub(crate) const CONTROL_DISCONNECTED: logs::Event =
    logs::Event::warn(6005, "control host disconnected");
pub(crate) const DOCUMENT_APPLIED: logs::Event =
    logs::Event::info(6006, "routing document applied");
pub(crate) const DOCUMENT_REJECTED: logs::Event =
    logs::Event::error(6007, "routing document rejected");
pub(crate) const OUTAGE_APPLIED: logs::Event =
    logs::Event::info(6008, "domains out of service changed");
pub(crate) const UPSTREAM_CHANGED: logs::Event = logs::Event::info(6009, "upstream changed");
pub(crate) const UPSTREAM_CONFLICT: logs::Event =
    logs::Event::warn(6055, "status that contradicts the upstream's start ignored");
pub(crate) const REQUEST_PLACED: logs::Event = logs::Event::info(6010, "request placed");
pub(crate) const REQUEST_REFUSED: logs::Event = logs::Event::info(6011, "request refused");
pub(crate) const REQUEST_ENDED: logs::Event = logs::Event::info(6012, "request ended");
pub(crate) const GENERATION_BEGUN: logs::Event = logs::Event::info(6019, "generation begun");
pub(crate) const ATTEMPT_FAILED: logs::Event = logs::Event::warn(6013, "attempt failed");
pub(crate) const MOVE_STARTED: logs::Event = logs::Event::info(6014, "move started");
pub(crate) const MOVE_FAILED: logs::Event = logs::Event::warn(6015, "move failed");
pub(crate) const MOVE_COMPLETED: logs::Event = logs::Event::info(6016, "generation moved");
pub(crate) const CALLER_CONNECTION_FAILED: logs::Event =
    logs::Event::debug(6017, "caller connection failed");
pub(crate) const COPY_COMPLETED: logs::Event = logs::Event::info(6020, "generation memory copied");
pub(crate) const CONTROL_SILENT: logs::Event = logs::Event::warn(6024, "control host silent");
pub(crate) const RETRY_DENIED: logs::Event = logs::Event::warn(6023, "retry not allowed");
pub(crate) const DOCUMENT_REQUESTED: logs::Event =
    logs::Event::info(6025, "routing document requested");
pub(crate) const SENT_AGAIN: logs::Event =
    logs::Event::info(6026, "request sent again on another connection");
pub(crate) const PAUSE_STARTED: logs::Event = logs::Event::info(6027, "upstream pause started");
pub(crate) const UPSTREAM_LEAVING: logs::Event =
    logs::Event::info(6028, "upstream leaving, by its own response");
pub(crate) const RELOADED: logs::Event = logs::Event::info(6021, "settings reloaded");
pub(crate) const RELOAD_FAILED: logs::Event = logs::Event::error(6022, "settings not reloaded");
pub(crate) const LIMIT_CHANGED: logs::Event = logs::Event::info(6029, "upstream limit changed");
pub(crate) const RESPONSE_TOO_LONG: logs::Event =
    logs::Event::warn(6030, "upstream response cut off, too long");
pub(crate) const QUARANTINE_CHANGED: logs::Event = logs::Event::warn(6032, "quarantine changed");
pub(crate) const QUARANTINE_TRIAL: logs::Event =
    logs::Event::info(6033, "trial of a request in quarantine");
pub(crate) const PEER_TOO_SLOW: logs::Event =
    logs::Event::warn(6053, "peer too slow, its request or response ended");
pub(crate) const RUN_DROPPED: logs::Event =
    logs::Event::debug(6056, "run given up, its engine has dropped it");
pub(crate) const RUN_STOPPED: logs::Event = logs::Event::warn(
    6057,
    "run given up, its engine worked on and was ordered to stop",
);
pub(crate) const RUN_NOT_STOPPED: logs::Event =
    logs::Event::warn(6058, "run given up, its engine may work on");
pub(crate) const STOP_REPEATED: logs::Event =
    logs::Event::info(6059, "order to stop a run is repeated");
pub(crate) const MEMORY_NOT_FREED: logs::Event =
    logs::Event::warn(6060, "memory of a stopped run not freed");
pub(crate) const MOVE_DELAYED: logs::Event =
    logs::Event::info(6061, "move delayed, its engine is in a pause");
pub(crate) const STOP_DELAYED: logs::Event = logs::Event::info(
    6062,
    "order to stop a run delayed, its engine is in a pause",
);
pub(crate) const ORDER_SENT_AGAIN: logs::Event =
    logs::Event::info(6063, "order sent again on a new connection");
pub(crate) const UNSENT_UNBOUNDED: logs::Event =
    logs::Event::warn(6054, "unsent bytes of peers not bounded");
pub(crate) const WAIT_ENDED: logs::Event =
    logs::Event::info(6048, "generation begins after a wait for room");
pub(crate) const WAIT_REFUSED: logs::Event =
    logs::Event::info(6049, "generation refused, no room in time");
pub(crate) const REQUEST_BROKEN_OFF: logs::Event =
    logs::Event::warn(6031, "request broken off by its upstream");
pub(crate) const TRANSFER_RECEIVED: logs::Event =
    logs::Event::info(6034, "transfer of a routing document received");
pub(crate) const TRANSFER_STALLED: logs::Event =
    logs::Event::warn(6035, "transfer of a routing document stalled");
pub(crate) const TRANSFER_DAMAGED: logs::Event =
    logs::Event::error(6036, "transfer of a routing document damaged");
pub(crate) const START_OVER: logs::Event = logs::Event::info(6045, "start of an upstream over");
pub(crate) const PACE_CHANGED: logs::Event = logs::Event::debug(6044, "upstream pace changed");
pub(crate) const ROLLOUT_APPLIED: logs::Event = logs::Event::info(6038, "rollout changed");
pub(crate) const ROLLOUT_LAPSED: logs::Event =
    logs::Event::warn(6039, "share of a rollout lapsed, no news of it");
pub(crate) const ROLLOUT_IGNORED: logs::Event =
    logs::Event::warn(6040, "rollout ignored, malformed");
