//! Waits until a configuration version is in force everywhere: each node has applied it or its lease
//! has expired.

use core::time as duration;
use std::collections;

use peargap_wire::operator;
use tokio::time;

use crate::client;

/// Interval between two polls of the control hosts.
const POLL_PERIOD: duration::Duration = duration::Duration::from_millis(100);
/// Lease assumed while no control host has reported its own.
const LEASE: duration::Duration = duration::Duration::from_secs(5);

/// Nodes by whether a version is in force on them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Spread {
    /// Nodes that have applied it.
    pub(crate) applied: Vec<String>,
    /// Nodes whose lease has expired: they accept no new work until they have applied it.
    pub(crate) lapsed: Vec<String>,
    /// Nodes that may still accept work under an older version.
    pub(crate) missing: Vec<String>,
}

/// Status of the nodes, merged from all control hosts.
#[derive(Debug, Default)]
struct Seen {
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
) -> Option<Spread> {
    let end = accepted + limit;
    let mut last = None;
    loop {
        if let Some(seen) = look(client, version).await {
            let spread = judge(&seen, version, accepted.elapsed());
            if spread.missing.is_empty() {
                return Some(spread);
            }
            last = Some(spread);
        }
        if time::Instant::now() + POLL_PERIOD >= end {
            return last;
        }
        time::sleep(POLL_PERIOD).await;
    }
}

/// Polls the control hosts once; returns `None` unless one responds that has the version.
async fn look(client: &client::Client, version: u64) -> Option<Seen> {
    let show = client.show().await.ok()?;
    if show.version < version {
        return None;
    }
    let mut seen = Seen {
        members: show.members,
        ..Seen::default()
    };
    let asked = client.controls().iter().map(|host| client.status_of(*host));
    for status in futures::future::join_all(asked).await.into_iter().flatten() {
        let lease = duration::Duration::from_millis(u64::from(status.lease_ms));
        seen.lease = Some(seen.lease.map_or(lease, |known| known.max(lease)));
        for node in status.nodes {
            seen.nodes.entry(node.name.clone()).or_default().push(node);
        }
    }
    Some(seen)
}

fn judge(seen: &Seen, version: u64, elapsed: duration::Duration) -> Spread {
    let lease = seen.lease.unwrap_or(LEASE);
    let mut spread = Spread::default();
    for member in &seen.members {
        let nodes = seen.nodes.get(&member.name).into_iter().flatten();
        let nodes = nodes.filter(|node| node.incarnation == member.incarnation);
        let nodes: Vec<&operator::NodeRow> = nodes.collect();
        let applied = nodes.iter().any(|node| node.applied_version >= version);
        let silent = |node: &&operator::NodeRow| {
            duration::Duration::from_millis(u64::from(node.silent_ms)) > lease
        };
        let list = if applied {
            &mut spread.applied
        } else if elapsed > lease && nodes.iter().all(silent) {
            &mut spread.lapsed
        } else {
            &mut spread.missing
        };
        list.push(member.name.clone());
    }
    spread
}
