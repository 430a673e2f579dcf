//! Streams load reports to entries.

use core::time::Duration;
use std::sync;

use peargap_core::prefix_cache;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio_util::sync as cancel;

use crate::agent;

/// Maximum number of prefixes in one report.
const MAX_PREFIXES: usize = 128;
/// Minimum interval between reports on one stream.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval between reports on one stream.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Sends load reports until the entry disconnects or `closing` is cancelled.
pub(crate) async fn send_reports(
    agent: sync::Arc<agent::Agent>,
    mut seen: tonic::Streaming<wire::Seen>,
    loads: mpsc::Sender<Result<wire::Load, tonic::Status>>,
    closing: cancel::CancellationToken,
) {
    let mut snapshots = agent.admission.watch();
    let mut seen_open = true;
    let mut sequence = 0;
    let mut reported = prefix_cache::ReportedPrefixes::default();
    loop {
        sequence += 1;
        let load = build_load(&agent, sequence, &mut reported);
        tokio::select! {
            sent = loads.send(Ok(load)) => if sent.is_err() {
                return;
            },
            () = closing.cancelled() => return,
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        let timer = tokio::time::sleep(MAX_REPORT_INTERVAL - MIN_REPORT_INTERVAL);
        tokio::pin!(timer);
        loop {
            tokio::select! {
                () = closing.cancelled() => return,
                () = loads.closed() => return,
                () = &mut timer => break,
                changed = snapshots.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                message = seen.message(), if seen_open => match message {
                    Ok(Some(_)) => {}
                    Ok(None) => seen_open = false,
                    Err(_) => return,
                },
            }
        }
    }
}

fn build_load(
    agent: &agent::Agent,
    sequence: u64,
    reported: &mut prefix_cache::ReportedPrefixes,
) -> wire::Load {
    let snapshots = agent.admission.watch();
    let snapshot = snapshots.borrow().clone();
    let load = snapshot.load;
    let held = agent::lock(&agent.prefix_cache).list_prefixes(MAX_PREFIXES);
    let (prefixes, prefixes_kept) = match reported.next_report(agent.clock.now(), held) {
        prefix_cache::PrefixReport::Kept => (Vec::new(), true),
        prefix_cache::PrefixReport::List(prefixes) => (prefixes, false),
    };
    wire::Load {
        upstream: agent.settings.upstream.name.clone(),
        incarnation: agent.incarnation.clone(),
        sequence,
        config_version: agent.view.version(),
        memory_tokens: agent.settings.upstream.memory_tokens,
        used_tokens: load.used_tokens,
        running: load.running,
        queued: load.waiting,
        limit: load.limit,
        wait_ms: u32::try_from(load.wait_ms).unwrap_or(u32::MAX),
        draining: agent.enforcement.is_shutting_down() || agent.enforcement.is_out_of_service(),
        healthy: snapshot.healthy && agent.view.is_fresh(),
        models: agent.list_offers(),
        prefixes,
        prefixes_kept,
    }
}
