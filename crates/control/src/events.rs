//! Log events of a control host, as catalogued in `docs/EVENTS.md`.

use peargap_adapters::logs;

pub(crate) const NODE_ATTACHED: logs::Event = logs::Event::info(2101, "node attached");
pub(crate) const NODE_DETACHED: logs::Event = logs::Event::info(2102, "node detached");
pub(crate) const NODE_ANNOUNCED: logs::Event = logs::Event::info(2103, "node announced");
pub(crate) const NODE_REPLACED: logs::Event = logs::Event::warn(2104, "node replaced");
pub(crate) const NODE_LEFT: logs::Event = logs::Event::info(2105, "node left");
pub(crate) const CHANGE_ANSWERED: logs::Event = logs::Event::info(2106, "change answered");
pub(crate) const OPERATOR_REFUSED: logs::Event = logs::Event::warn(2107, "operator refused");
pub(crate) const CLAIM_ANSWERED: logs::Event = logs::Event::debug(2108, "claim answered");
pub(crate) const CLAIM_SETTLED: logs::Event = logs::Event::debug(2109, "claim settled");
pub(crate) const DISK_COPIED: logs::Event = logs::Event::warn(2013, "copied disk detected");
pub(crate) const DISK_FULL: logs::Event = logs::Event::error(2006, "disk full");
pub(crate) const DISK_SET_ASIDE: logs::Event = logs::Event::error(2005, "old disk set aside");
pub(crate) const LOG_FAILED: logs::Event = logs::Event::error(2009, "replicated log failed");
pub(crate) const MEMBERS_CHANGED: logs::Event = logs::Event::info(2004, "members changed");
pub(crate) const PEER_LOST: logs::Event = logs::Event::warn(2007, "peer does not answer");
pub(crate) const PEER_REACHED: logs::Event = logs::Event::info(2008, "peer answers");
pub(crate) const ROLE_CHANGED: logs::Event = logs::Event::info(2003, "role changed");
pub(crate) const STARTED: logs::Event = logs::Event::info(2001, "control host started");
pub(crate) const STOPPED: logs::Event = logs::Event::info(2002, "control host stopped");
pub(crate) const SNAPSHOT_INSTALLED: logs::Event = logs::Event::info(2011, "snapshot installed");
pub(crate) const SNAPSHOT_NOT_TAKEN: logs::Event = logs::Event::warn(2152, "snapshot not taken");
pub(crate) const SNAPSHOT_TAKEN: logs::Event = logs::Event::info(2010, "snapshot taken");
pub(crate) const TAIL_TRUNCATED: logs::Event = logs::Event::warn(2012, "torn log tail truncated");
pub(crate) const MODEL_PLACED: logs::Event = logs::Event::info(2110, "model placed");
pub(crate) const UPSTREAM_CHANGED: logs::Event = logs::Event::info(2120, "upstream status changed");
pub(crate) const HEARTBEAT_STALE: logs::Event = logs::Event::info(2121, "stale heartbeat ignored");
pub(crate) const HEARTBEAT_CONFLICT: logs::Event = logs::Event::warn(
    2151,
    "heartbeat that contradicts the upstream's start refused",
);
pub(crate) const STATUS_UNCONFIRMED: logs::Event = logs::Event::warn(
    2122,
    "gateways did not confirm an upstream's status in time",
);
pub(crate) const LEAVE_RECORDED: logs::Event =
    logs::Event::info(2149, "leave of an upstream recorded");
pub(crate) const WAITING_DROPPED: logs::Event =
    logs::Event::info(2148, "waiting requests of silent gateways dropped");
pub(crate) const GATEWAY_ATTACHED: logs::Event = logs::Event::info(2123, "gateway attached");
pub(crate) const GATEWAY_DETACHED: logs::Event = logs::Event::info(2124, "gateway detached");
pub(crate) const DOCUMENT_PUBLISHED: logs::Event = logs::Event::info(2125, "document published");
pub(crate) const DOMAIN_STATE_SET: logs::Event = logs::Event::info(2126, "domain state set");
pub(crate) const ORDER_OVERTAKEN: logs::Event =
    logs::Event::warn(2150, "order on a domain overtaken by another one");
pub(crate) const COMMAND_FAILED: logs::Event =
    logs::Event::warn(2127, "platform command not committed");
pub(crate) const CALL_REJECTED: logs::Event = logs::Event::warn(2128, "platform call rejected");
pub(crate) const RELOADED: logs::Event = logs::Event::info(2129, "settings reloaded");
pub(crate) const RELOAD_FAILED: logs::Event = logs::Event::error(2130, "settings not reloaded");
pub(crate) const LOAD_FAILED: logs::Event = logs::Event::warn(2111, "model not loaded in time");
pub(crate) const LIMIT_CHANGED: logs::Event = logs::Event::info(2131, "upstream limit changed");
pub(crate) const QUARANTINE_CHANGED: logs::Event = logs::Event::warn(2132, "quarantine changed");
pub(crate) const GRANT_IGNORED: logs::Event = logs::Event::info(2133, "freshness grant ignored");
pub(crate) const PEER_MESSAGE_REJECTED: logs::Event =
    logs::Event::error(2134, "message of another control host rejected");
pub(crate) const QUARANTINE_RELEASED: logs::Event =
    logs::Event::info(2135, "quarantine ended by an operator");
pub(crate) const EVIDENCE_NOT_READ: logs::Event =
    logs::Event::warn(2136, "stored evidence not read");
pub(crate) const EVIDENCE_NOT_WRITTEN: logs::Event = logs::Event::warn(2137, "evidence not stored");
pub(crate) const TRANSFER_MADE: logs::Event =
    logs::Event::info(2138, "transfer of a routing document made");
pub(crate) const TRANSFER_NOT_MADE: logs::Event =
    logs::Event::error(2139, "transfer of a routing document not made");
pub(crate) const PACES_CHANGED: logs::Event = logs::Event::debug(2147, "upstream paces changed");
pub(crate) const ROLLOUT_ORDERED: logs::Event = logs::Event::info(2140, "rollout ordered");
pub(crate) const ROLLOUT_ABORTED: logs::Event =
    logs::Event::info(2141, "rollout aborted by an operator");
pub(crate) const ROLLOUT_SHARE: logs::Event = logs::Event::info(2142, "share of a rollout changed");
pub(crate) const ROLLOUT_ENDED: logs::Event = logs::Event::warn(2143, "rollout decided");
pub(crate) const ROLLOUT_NOT_COMMITTED: logs::Event =
    logs::Event::warn(2144, "decision on a rollout not committed");
