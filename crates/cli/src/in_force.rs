//! Whether a version is in force everywhere: each node has applied it or has no lease.

use core::time as duration;
use std::collections;

use peargap_wire::operator;
use tokio::time;

use crate::client;

/// Pause between two rounds of questions.
const POLL_PERIOD: duration::Duration = duration::Duration::from_millis(100);
/// Longest lease assumed until a control host names its own.
const LEASE: duration::Duration = duration::Duration::from_secs(5);

/// Where a version stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Spread {
    /// Nodes that have it in force.
    pub(crate) applied: Vec<String>,
    /// Nodes whose lease has run out: they take no new work until they have it.
    pub(crate) lapsed: Vec<String>,
    /// Nodes that may still work under an older version.
    pub(crate) missing: Vec<String>,
}

/// What the control hosts know of the nodes.
#[derive(Debug, Default)]
struct Seen {
    lease: Option<duration::Duration>,
    members: Vec<operator::MemberRow>,
    nodes: collections::HashMap<String, Vec<operator::NodeRow>>,
}

/// Waits until `version` is in force everywhere, at most `limit` after `accepted`.
///
/// Returns nothing when no control host told where it stands.
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

/// Asks every control host; nothing when none that has the version answers.
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
