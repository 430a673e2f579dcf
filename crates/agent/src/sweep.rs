//! Periodically cancels abandoned generations and drops expired ones.

use core::time::Duration;
use std::sync;

use peargap_adapters::logs;
use tokio_util::sync as cancel;

use crate::agent;
use crate::events;
use crate::registry;

/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Sweeps until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let bounds = registry::Bounds {
        grace: agent.settings.stream.grace,
        retained_bytes: agent.settings.stream.retained_bytes,
        retention: agent.settings.stream.retention,
    };
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        let sweep = agent::lock(&agent.generations).sweep(agent.clock.now(), bounds);
        for stream in sweep.abandoned {
            if stream.cancelled.is_cancelled() {
                continue;
            }
            stream.cancelled.cancel();
            logs::emit(
                events::ABANDONED,
                format_args!(
                    "request={} generation={} tokens={}",
                    stream.request_id,
                    stream.id,
                    stream.next()
                ),
            );
        }
    }
}
