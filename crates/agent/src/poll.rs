//! Polls the upstream's load, health and cache events.
//!
//! Between two polls an upstream can exit and restart with a cold cache. To detect this, an idle
//! connection is kept open: it closes with the process, and then nothing is admitted until the next
//! successful poll.

use core::time::Duration;
use std::sync;

use peargap_core::cached;
use tokio_util::sync as cancel;

use crate::agent;
use crate::engine;
use crate::gate;
use crate::http;
use crate::settings;

/// Interval between polls.
const PERIOD: Duration = Duration::from_millis(200);
/// Number of load polls per poll of the cache events.
const READS_PER_CACHE: u32 = 5;
/// Number of consecutive failed polls, other than refused connections, after which the upstream
/// counts as lost; with fewer it may only be slow.
const MAX_SILENT: u32 = 3;

/// Polls until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut silent = 0;
    let mut seen = 0;
    let mut reads = 0_u32;
    let mut closed = Box::pin(wait_closed(&agent, Duration::ZERO));
    loop {
        match agent.engine.read_load().await {
            Ok(report) => {
                silent = 0;
                agent.announce(&report.models);
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
        reads = reads.wrapping_add(1);
        let engine = agent.settings.upstream.kind == settings::Kind::Engine;
        if engine && reads.is_multiple_of(READS_PER_CACHE) {
            seen = follow_cache(&agent, seen).await;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(PERIOD) => {}
            () = &mut closed => {
                agent.gate.tell(gate::Message::Doubted);
                closed = Box::pin(wait_closed(&agent, PERIOD));
            }
        }
    }
}

/// Opens an idle connection after `pause` and waits until it is closed.
async fn wait_closed(agent: &agent::Agent, pause: Duration) {
    tokio::time::sleep(pause).await;
    agent.engine.wait_closed().await;
}

/// Applies the cache events after sequence number `seen`; returns the newest sequence number.
async fn follow_cache(agent: &agent::Agent, seen: u64) -> u64 {
    let Ok(events) = agent.engine.read_events(seen).await else {
        return seen;
    };
    let mut known = agent::lock(&agent.cached);
    if events.last < seen {
        // The sequence numbers restarted, so the known contents are stale.
        known.clear();
        return 0;
    }
    let mut newest = seen;
    for event in events.events {
        newest = newest.max(event.sequence);
        if let Some(change) = parse_event(&event) {
            known.apply(change);
        }
    }
    newest
}

fn parse_event(event: &engine::Event) -> Option<cached::Change> {
    let hash = u64::from_str_radix(&event.hash, 16).ok()?;
    match event.kind.as_str() {
        "evicted" => Some(cached::Change::Evicted(hash)),
        "stored" => Some(cached::Change::Stored(hash)),
        _ => None,
    }
}
