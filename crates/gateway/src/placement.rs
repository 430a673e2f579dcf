//! Placement of a request on an upstream, with the load that it adds there.

use std::sync;

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::rate_limit;

use crate::fleet;
use crate::notice;
use crate::pool;
use crate::upstream;

/// What the gateway knew of the upstream's load when it chose it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    /// Load from all gateways.
    pub(crate) load: balance::Load,
    /// Figures of the limit that the upstream names.
    pub(crate) limit: Option<rate_limit::Usage>,
    /// Time since the load from the other gateways was received, in milliseconds.
    pub(crate) load_age_ms: u64,
}

impl core::fmt::Display for View {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "running={} held={} copied={} waiting={} age_ms={}",
            self.load.running,
            self.load.tokens,
            self.load.copied,
            self.load.waiting,
            self.load_age_ms
        )?;
        LimitText(self.limit).fmt(formatter)
    }
}

/// Text on the figures of a limit for a log line; empty without a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitText(pub(crate) Option<rate_limit::Usage>);

impl core::fmt::Display for LimitText {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self.0 {
            None => Ok(()),
            Some(usage) => write!(formatter, " limit: {usage}"),
        }
    }
}

/// An upstream that a request was placed on. Its load there is released on drop.
#[derive(Debug)]
pub(crate) struct Placement {
    /// IP address and port.
    pub(crate) address: String,
    fleet: fleet::Fleet,
    pub(crate) key: fleet::UpstreamKey,
    load: balance::Load,
    /// Name of the upstream.
    pub(crate) name: String,
    /// Records what the upstream says of itself.
    pub(crate) notices: notice::Recorder,
    pub(crate) pool: sync::Arc<pool::Pool>,
    pub(crate) view: View,
}

impl Placement {
    /// Adds `load` to the upstream's local load until the placement is dropped.
    pub(crate) fn reserve(
        fleet: &fleet::Fleet,
        key: fleet::UpstreamKey,
        upstream: &mut upstream::Upstream,
        load: balance::Load,
        view: View,
    ) -> Placement {
        upstream.local_load = upstream.local_load.plus(load);
        Placement {
            address: upstream.status.address.clone(),
            fleet: fleet.clone(),
            key,
            load,
            name: upstream.status.name.clone(),
            notices: notice::Recorder::new(fleet, key, upstream.status.edition.born_ms),
            pool: upstream.pool.clone(),
            view,
        }
    }

    /// Counts the memory of a copy as that of a running generation.
    pub(crate) fn promote_copy(&mut self) {
        self.replace(balance::Load {
            running: 1,
            tokens: self.load.copied,
            ..balance::Load::default()
        });
    }

    /// Removes the prompt from the waiting load, as the engine has processed it.
    pub(crate) fn finish_prompt(&mut self) {
        self.replace(balance::Load {
            waiting: 0,
            ..self.load
        });
    }

    /// Updates the tokens that the generation or its copy holds in the upstream's memory, and those
    /// that the generation is expected to hold later.
    pub(crate) fn set_tokens(&mut self, tokens: u64, later: engine_room::Later) {
        let mut load = self.load;
        match load.running {
            0 => load.copied = tokens,
            _ => {
                load.later = later;
                load.tokens = tokens;
            }
        }
        self.replace(load);
    }

    fn replace(&mut self, load: balance::Load) {
        if self.fleet.replace_load(self.key, self.load, load) {
            self.load = load;
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.replace(balance::Load::default());
    }
}
