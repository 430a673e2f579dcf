//! Follows whether operators have taken the upstream or its failure domain out.

use std::sync;

use peargap_adapters::logs;
use peargap_core::ramp;
use tokio_util::sync as cancel;

use crate::agent;
use crate::events;
use crate::gate;

/// Follows the configuration until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut config = agent.view.config();
    let mut out = false;
    loop {
        out = follow_state(&agent, out);
        tokio::select! {
            () = token.cancelled() => return,
            changed = config.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Returns whether the upstream is out now.
///
/// The limit falls back on the way out, so that it is low already when the upstream comes back.
fn follow_state(agent: &agent::Agent, before: bool) -> bool {
    let out = agent.enforcement.is_out();
    let version = agent.view.version();
    match (before, out) {
        (false, true) => {
            logs::emit(events::OUT, format_args!("version={version}"));
            let sign = gate::Message::Sign(ramp::Sign::DomainReturned);
            agent.gate.tell(sign);
        }
        (true, false) => logs::emit(events::BACK, format_args!("version={version}")),
        (false, false) | (true, true) => {}
    }
    out
}
