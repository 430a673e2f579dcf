//! Log events of an entry; the catalogue is `docs/EVENTS.md`.

use peargap_adapters::logs;

pub(crate) const STARTED: logs::Event = logs::Event::info(3000, "entry started");
pub(crate) const PLACED: logs::Event = logs::Event::info(3001, "request placed");
pub(crate) const REFUSED: logs::Event = logs::Event::info(3002, "request refused");
pub(crate) const FINISHED: logs::Event = logs::Event::info(3003, "request finished");
pub(crate) const AGENT_SEEN: logs::Event = logs::Event::info(3004, "agent reports load");
pub(crate) const AGENT_SILENT: logs::Event = logs::Event::warn(3005, "agent silent");
pub(crate) const LINK_REPLACED: logs::Event = logs::Event::warn(3006, "agent link replaced");
pub(crate) const RETRIED: logs::Event = logs::Event::warn(3007, "request retried");
pub(crate) const CALLER_DISCONNECTED: logs::Event = logs::Event::info(3008, "caller disconnected");
pub(crate) const CALLER_STALLED: logs::Event = logs::Event::warn(3009, "stalled caller dropped");
pub(crate) const DRAINING: logs::Event = logs::Event::info(3010, "entry draining");
pub(crate) const STOPPED: logs::Event = logs::Event::info(3011, "entry stopped");
pub(crate) const CLAIMED: logs::Event = logs::Event::info(3013, "claim answered");
pub(crate) const SETTLED: logs::Event = logs::Event::info(3014, "claim settled");
pub(crate) const SETTLE_FAILED: logs::Event = logs::Event::error(3015, "claim not settled");
pub(crate) const RESUMED: logs::Event = logs::Event::info(3016, "stream resumed for caller");
pub(crate) const NOT_PLACED: logs::Event = logs::Event::info(3017, "request not placed");
pub(crate) const HEDGED: logs::Event = logs::Event::info(3018, "call hedged");
