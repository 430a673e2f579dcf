//! Log events of the agent, catalogued in `docs/EVENTS.md`.

use peargap_adapters::logs;

pub(crate) const STARTED: logs::Event = logs::Event::info(4001, "agent started");
pub(crate) const DRAINING: logs::Event = logs::Event::info(4002, "agent draining");
pub(crate) const STOPPED: logs::Event = logs::Event::info(4003, "agent stopped");
pub(crate) const FAILED: logs::Event = logs::Event::error(4004, "agent cannot run");
pub(crate) const ADMITTED: logs::Event = logs::Event::info(4010, "request admitted");
pub(crate) const QUEUED: logs::Event = logs::Event::info(4011, "request queued");
pub(crate) const REFUSED: logs::Event = logs::Event::info(4012, "request refused");
pub(crate) const FINISHED: logs::Event = logs::Event::info(4020, "generation finished");
pub(crate) const GENERATION_FAILED: logs::Event = logs::Event::warn(4021, "generation failed");
pub(crate) const CANCELLED: logs::Event = logs::Event::info(4022, "generation cancelled");
pub(crate) const ABANDONED: logs::Event = logs::Event::warn(4023, "generation abandoned");
pub(crate) const ENGINE_CONNECTION_LOST: logs::Event =
    logs::Event::warn(4024, "engine connection lost");
pub(crate) const ENTRY_LINK_LOST: logs::Event = logs::Event::warn(4025, "entry link lost");
pub(crate) const RESUMED: logs::Event = logs::Event::info(4026, "generation resumed");
pub(crate) const READER_TOO_SLOW: logs::Event =
    logs::Event::warn(4027, "reader too slow, its generation ended");
pub(crate) const CALLED: logs::Event = logs::Event::info(4030, "call answered");
pub(crate) const CALL_FAILED: logs::Event = logs::Event::warn(4031, "call failed");
pub(crate) const UPSTREAM_LOST: logs::Event = logs::Event::warn(4040, "upstream does not respond");
pub(crate) const UPSTREAM_BACK: logs::Event = logs::Event::info(4041, "upstream responds");
pub(crate) const COLD_SIGN: logs::Event = logs::Event::warn(4042, "cold sign");
pub(crate) const PREEMPTED: logs::Event = logs::Event::warn(4043, "engine preempted streams");
pub(crate) const ORDERED: logs::Event = logs::Event::info(4050, "order carried out");
pub(crate) const ORDER_FAILED: logs::Event = logs::Event::warn(4051, "order failed");
pub(crate) const ORDER_FENCED: logs::Event = logs::Event::warn(4052, "order rejected by fence");
pub(crate) const TAKEN_OUT: logs::Event = logs::Event::info(4060, "upstream taken out of service");
pub(crate) const RETURNED: logs::Event = logs::Event::info(4061, "upstream returned to service");
