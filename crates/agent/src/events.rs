//! Events of the agent's log; `docs/EVENTS.md` is their catalogue.

use peargap_adapters::logs::Event;

pub(crate) const STARTED: Event = Event::info(4001, "agent started");
pub(crate) const STOPPING: Event = Event::info(4002, "agent leaving");
pub(crate) const STOPPED: Event = Event::info(4003, "agent stopped");
pub(crate) const FAILED: Event = Event::error(4004, "agent cannot run");
pub(crate) const ADMITTED: Event = Event::info(4010, "request admitted");
pub(crate) const QUEUED: Event = Event::info(4011, "request queued");
pub(crate) const REFUSED: Event = Event::info(4012, "request refused");
pub(crate) const FINISHED: Event = Event::info(4020, "generation finished");
pub(crate) const BROKEN: Event = Event::warn(4021, "generation failed");
pub(crate) const CANCELLED: Event = Event::info(4022, "generation cancelled");
pub(crate) const ABANDONED: Event = Event::warn(4023, "generation abandoned");
pub(crate) const ENGINE_LINK_LOST: Event = Event::warn(4024, "engine link replaced");
pub(crate) const ENTRY_LINK_LOST: Event = Event::warn(4025, "entry link lost");
pub(crate) const RESUMED: Event = Event::info(4026, "generation resumed");
pub(crate) const CALLED: Event = Event::info(4030, "call answered");
pub(crate) const CALL_FAILED: Event = Event::warn(4031, "call failed");
pub(crate) const UPSTREAM_LOST: Event = Event::warn(4040, "upstream does not answer");
pub(crate) const UPSTREAM_BACK: Event = Event::info(4041, "upstream answers");
pub(crate) const COLD_SIGN: Event = Event::warn(4042, "cold sign");
pub(crate) const PREEMPTED: Event = Event::warn(4043, "engine preempted streams");
pub(crate) const ORDERED: Event = Event::info(4050, "order carried out");
pub(crate) const ORDER_FAILED: Event = Event::warn(4051, "order failed");
pub(crate) const ORDER_FENCED: Event = Event::warn(4052, "order refused by fence");
pub(crate) const OUT: Event = Event::info(4060, "taken out");
pub(crate) const BACK: Event = Event::info(4061, "brought back");
