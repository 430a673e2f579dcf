//! Polls the upstream's load, health and cache events.
//!
//! Between two polls an upstream can exit and restart with a cold cache. To detect this, an idle
//! connection is kept open: it closes with the process, and then nothing is admitted until the next
//! successful poll.

use core::time::Duration;
use std::sync;

use peargap_core::prefix_cache;
use tokio_util::sync as cancel;

use crate::admission_api;
use crate::agent;
use crate::engine;
use crate::http;
use crate::settings;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of load polls per poll of the cache events.
const LOAD_POLLS_PER_CACHE_POLL: u32 = 5;
/// Number of consecutive failed polls, other than refused connections, after which the upstream
/// counts as lost; with fewer it may only be slow.
const MAX_FAILED_POLLS: u32 = 3;

/// Polls until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut failed_polls = 0;
    let mut last_sequence = 0;
    let mut polls = 0_u32;
    let mut closed = Box::pin(wait_closed(&agent, Duration::ZERO));
    loop {
        match agent.engine.fetch_load().await {
            Ok(report) => {
                failed_polls = 0;
                agent.announce(&report.models);
                agent
                    .admission
                    .send(admission_api::Message::Report(Some(report)));
            }
            Err(http::Fault::Refused) => agent.admission.send(admission_api::Message::Report(None)),
            Err(_) => {
                failed_polls += 1;
                if failed_polls >= MAX_FAILED_POLLS {
                    agent.admission.send(admission_api::Message::Report(None));
                }
            }
        }
        polls = polls.wrapping_add(1);
        let is_engine = agent.settings.upstream.kind == settings::Kind::Engine;
        if is_engine && polls.is_multiple_of(LOAD_POLLS_PER_CACHE_POLL) {
            last_sequence = apply_cache_events(&agent, last_sequence).await;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = &mut closed => {
                agent.admission.send(admission_api::Message::ConnectionClosed);
                closed = Box::pin(wait_closed(&agent, POLL_INTERVAL));
            }
        }
    }
}

/// Opens an idle connection after `delay` and waits until it is closed.
async fn wait_closed(agent: &agent::Agent, delay: Duration) {
    tokio::time::sleep(delay).await;
    agent.engine.wait_closed().await;
}

/// Applies the cache events after `last_sequence`; returns the newest sequence number.
async fn apply_cache_events(agent: &agent::Agent, last_sequence: u64) -> u64 {
    let Ok(events) = agent.engine.fetch_cache_events(last_sequence).await else {
        return last_sequence;
    };
    let mut cache = agent::lock(&agent.prefix_cache);
    if events.last < last_sequence {
        // The sequence numbers restarted, so the known contents are stale.
        cache.clear();
        return 0;
    }
    let mut newest = last_sequence;
    for event in events.events {
        newest = newest.max(event.sequence);
        if let Some(change) = parse_event(&event) {
            cache.apply(change);
        }
    }
    newest
}

fn parse_event(event: &engine::CacheEvent) -> Option<prefix_cache::Change> {
    let hash = u64::from_str_radix(&event.hash, 16).ok()?;
    match event.kind.as_str() {
        "evicted" => Some(prefix_cache::Change::Evicted(hash)),
        "stored" => Some(prefix_cache::Change::Stored(hash)),
        _ => None,
    }
}
