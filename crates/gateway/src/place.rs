//! Placement of a request on an upstream, with the load that it adds there.

use std::sync;

use peargap_core::balance;

use crate::fleet;
use crate::pool;
use crate::upstream;

/// An upstream that a request was placed on. Its load there is released on drop.
#[derive(Debug)]
pub(crate) struct Place {
    /// IP address and port.
    pub(crate) address: String,
    fleet: fleet::Fleet,
    pub(crate) key: fleet::UpstreamKey,
    load: balance::Load,
    /// Name of the upstream.
    pub(crate) name: String,
    pub(crate) pool: sync::Arc<pool::Pool>,
}

impl Place {
    /// Adds `load` to the upstream's local load until the placement is dropped.
    pub(crate) fn take(
        fleet: &fleet::Fleet,
        key: fleet::UpstreamKey,
        upstream: &mut upstream::Upstream,
        load: balance::Load,
    ) -> Place {
        upstream.local_load = upstream.local_load.plus(load);
        Place {
            address: upstream.status.address.clone(),
            fleet: fleet.clone(),
            key,
            load,
            name: upstream.status.name.clone(),
            pool: upstream.pool.clone(),
        }
    }

    /// Counts the memory of a copy as that of a running generation.
    pub(crate) fn become_run(&mut self) {
        self.replace(balance::Load {
            running: 1,
            tokens: self.load.copied,
            ..balance::Load::default()
        });
    }

    /// Removes the prompt from the waiting load, as the engine has processed it.
    pub(crate) fn begin(&mut self) {
        self.replace(balance::Load {
            waiting: 0,
            ..self.load
        });
    }

    /// Updates the tokens that the generation or its copy holds in the upstream's memory.
    pub(crate) fn grow(&mut self, tokens: u64) {
        let mut load = self.load;
        match load.running {
            0 => load.copied = tokens,
            _ => load.tokens = tokens,
        }
        self.replace(load);
    }

    fn replace(&mut self, load: balance::Load) {
        if self.fleet.replace_load(self.key, self.load, load) {
            self.load = load;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.replace(balance::Load::default());
    }
}
