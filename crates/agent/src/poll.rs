//! Reads the upstream's load and health.

use core::time::Duration;
use std::sync;

use tokio_util::sync as cancel;

use crate::agent;
use crate::gate;
use crate::http;

/// Time between two reads.
const PERIOD: Duration = Duration::from_millis(200);
/// Failed reads after which an upstream that may only be slow counts as lost.
const MAX_SILENT: u32 = 3;

/// Reads reports until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut silent = 0;
    loop {
        match agent.engine.read_load().await {
            Ok(report) => {
                silent = 0;
                agent.gate.tell(gate::Message::Reported(Some(report)));
            }
            Err(http::Fault::Refused) => agent.gate.tell(gate::Message::Reported(None)),
            Err(_) => {
                silent += 1;
                if silent >= MAX_SILENT {
                    agent.gate.tell(gate::Message::Reported(None));
                }
            }
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(PERIOD) => {}
        }
    }
}
