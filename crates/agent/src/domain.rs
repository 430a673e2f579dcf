//! Watches whether operators have taken the upstream or its failure domain out of service.

use std::sync;

use peargap_adapters::logs;
use peargap_core::ramp;
use tokio_util::sync as cancel;

use crate::admission_api;
use crate::agent;
use crate::events;

/// Watches the configuration until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut config = agent.view.config();
    let mut out = false;
    loop {
        out = update_state(&agent, out);
        tokio::select! {
            () = token.cancelled() => return,
            changed = config.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Handles a change of state; returns whether the upstream is out of service now.
///
/// The concurrency limit is lowered when the upstream goes out of service, so that it is already low
/// when the upstream returns.
fn update_state(agent: &agent::Agent, was_out: bool) -> bool {
    let out = agent.enforcement.is_out_of_service();
    let version = agent.view.version();
    match (was_out, out) {
        (false, true) => {
            logs::emit(events::TAKEN_OUT, format_args!("version={version}"));
            let sign = admission_api::Message::Sign(ramp::Sign::DomainReturned);
            agent.admission.send(sign);
        }
        (true, false) => logs::emit(events::RETURNED, format_args!("version={version}")),
        (false, false) | (true, true) => {}
    }
    out
}
