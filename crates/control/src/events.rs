//! Log events of a control host; `docs/EVENTS.md` is their catalogue.

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
