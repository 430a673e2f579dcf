//! Waits until a configuration version is in force everywhere: each node has applied it or its lease
//! has expired.

use core::time as duration;
use std::collections;

use peargap_wire::operator;
use tokio::time;

use crate::client;

/// Interval between two polls of the control hosts.
const POLL_INTERVAL: duration::Duration = duration::Duration::from_millis(100);
/// Lease assumed while no control host has reported its own.
const DEFAULT_LEASE: duration::Duration = duration::Duration::from_secs(5);

/// Nodes by whether a version is in force on them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Rollout {
    /// Nodes that have applied it.
    pub(crate) applied: Vec<String>,
    /// Nodes whose lease has expired: they accept no new work until they have applied it.
    pub(crate) expired: Vec<String>,
    /// Nodes that may still accept work under an older version.
    pub(crate) pending: Vec<String>,
}

/// Status of the nodes, merged from all control hosts.
#[derive(Debug, Default)]
struct MergedStatus {
    lease: Option<duration::Duration>,
    members: Vec<operator::MemberRow>,
    nodes: collections::HashMap<String, Vec<operator::NodeRow>>,
}

/// Waits until `version` is in force everywhere, at most `limit` after `accepted`.
///
/// Returns the last known state when the time is over, or `None` if no control host that has the
/// version responded.
pub(crate) async fn wait(
    client: &client::Client,
    version: u64,
    accepted: time::Instant,
    limit: duration::Duration,
) -> Option<Rollout> {
    let deadline = accepted + limit;
    let mut last = None;
    loop {
        if let Some(merged) = poll(client, version).await {
            let rollout = classify(&merged, version, accepted.elapsed());
            if rollout.pending.is_empty() {
                return Some(rollout);
            }
            last = Some(rollout);
        }
        if time::Instant::now() + POLL_INTERVAL >= deadline {
            return last;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls the control hosts once; returns `None` unless one responds that has the version.
async fn poll(client: &client::Client, version: u64) -> Option<MergedStatus> {
    let show = client.show().await.ok()?;
    if show.version < version {
        return None;
    }
    let mut merged = MergedStatus {
        members: show.members,
        ..MergedStatus::default()
    };
    let calls = client.controls().iter().map(|host| client.status_of(*host));
    for status in futures::future::join_all(calls).await.into_iter().flatten() {
        let lease = duration::Duration::from_millis(u64::from(status.lease_ms));
        merged.lease = Some(merged.lease.map_or(lease, |known| known.max(lease)));
        for node in status.nodes {
            merged
                .nodes
                .entry(node.name.clone())
                .or_default()
                .push(node);
        }
    }
    Some(merged)
}

fn classify(merged: &MergedStatus, version: u64, elapsed: duration::Duration) -> Rollout {
    let lease = merged.lease.unwrap_or(DEFAULT_LEASE);
    let mut rollout = Rollout::default();
    for member in &merged.members {
        let nodes = merged.nodes.get(&member.name).into_iter().flatten();
        let nodes = nodes.filter(|node| node.incarnation == member.incarnation);
        let nodes: Vec<&operator::NodeRow> = nodes.collect();
        let applied = nodes.iter().any(|node| node.applied_version >= version);
        let is_silent = |node: &&operator::NodeRow| {
            duration::Duration::from_millis(u64::from(node.silent_ms)) > lease
        };
        let list = if applied {
            &mut rollout.applied
        } else if elapsed > lease && nodes.iter().all(is_silent) {
            &mut rollout.expired
        } else {
            &mut rollout.pending
        };
        list.push(member.name.clone());
    }
    rollout
}
