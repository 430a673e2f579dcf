//! Loads of upstreams in the messages between gateways and control hosts.

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::rate_limit;
use peargap_core::slow_start;
use peargap_wire::fleet as wire;

/// Returns the load in a message.
#[must_use]
pub fn decode(load: &wire::Load) -> balance::Load {
    balance::Load {
        copied: u64::from(load.copied),
        failing: load.failing,
        later: engine_room::Later {
            far: u64::from(load.later_far),
            near: u64::from(load.later_near),
        },
        limited: rate_limit::Counts {
            known_by: load.limit_known_by,
            sent_units: load.limit_sent,
            wanted: load.limit_wanted,
        },
        refusing: load.refusing,
        running: load.running,
        starting: slow_start::Counts {
            in_time: load.starting_in_time,
            setbacks: load.starting_setbacks,
            wanted: load.starting_wanted,
        },
        tokens: u64::from(load.tokens),
        waiting: u64::from(load.waiting),
    }
}

/// Returns the message for the load of an upstream. Numbers of tokens that do not fit become the
/// largest that do.
#[must_use]
pub fn encode(upstream: &str, load: balance::Load) -> wire::Load {
    let narrow = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
    wire::Load {
        copied: narrow(load.copied),
        failing: load.failing,
        later_far: narrow(load.later.far),
        later_near: narrow(load.later.near),
        limit_known_by: load.limited.known_by,
        limit_sent: load.limited.sent_units,
        limit_wanted: load.limited.wanted,
        refusing: load.refusing,
        running: load.running,
        starting_in_time: load.starting.in_time,
        starting_setbacks: load.starting.setbacks,
        starting_wanted: load.starting.wanted,
        tokens: narrow(load.tokens),
        upstream: upstream.to_owned(),
        waiting: narrow(load.waiting),
    }
}
