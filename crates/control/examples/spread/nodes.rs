//! Nodes with the follower that entries and agents use.

use std::net;
use std::time;

use peargap_adapters::follow;
use peargap_wire::control;
use tokio::sync::watch;
use tokio_util::sync as cancel;

use crate::relay;

/// Entries among the nodes; the rest are agents.
const ENTRIES: usize = 8;
const DOMAINS: usize = 4;
const POLL_PERIOD: time::Duration = time::Duration::from_millis(50);

pub(crate) struct Node {
    is_entry: bool,
    _announcement: watch::Sender<Option<control::Announcement>>,
    _token: cancel::DropGuard,
    view: follow::View,
}

/// Attaches `count` nodes, spread over the relays.
pub(crate) fn attach(count: usize, relays: &[relay::Relay]) -> Vec<Node> {
    (0..count).map(|index| attach_one(index, relays)).collect()
}

fn attach_one(index: usize, relays: &[relay::Relay]) -> Node {
    let is_entry = index < ENTRIES;
    let announcement = (!is_entry).then(|| control::Announcement {
        checks_fences: true,
        kind: control::Kind::Engine.into(),
        memory_tokens: 100_000,
        offers: vec!["transcript-summary".to_owned()],
        upstream: format!("upstream-{index}"),
    });
    let (sender, announcement) = watch::channel(announcement);
    let role = match is_entry {
        true => control::Role::Entry,
        false => control::Role::Agent,
    };
    let rotated = relays.iter().cycle().skip(index % relays.len());
    let controls: Vec<net::SocketAddr> = rotated
        .take(relays.len())
        .map(|relay| relay.address)
        .collect();
    let options = follow::Options {
        announcement,
        controls,
        node: control::Node {
            address: format!("127.0.0.1:{}", 10_000 + index),
            domain: format!("zone-{}", index % DOMAINS),
            incarnation: format!("{index:016x}"),
            name: format!("node-{index}"),
            role: role.into(),
        },
    };
    let token = cancel::CancellationToken::new();
    Node {
        _announcement: sender,
        _token: token.clone().drop_guard(),
        is_entry,
        view: follow::spawn(options, token),
    }
}

/// Waits until every entry has received `count` members.
pub(crate) async fn wait_for_members(nodes: &[Node], count: usize) {
    for node in nodes.iter().filter(|node| node.is_entry) {
        while node.view.config().borrow().members.len() < count {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

/// Waits until every node has applied `version`.
pub(crate) async fn wait_for_version(nodes: &[Node], version: u64) {
    for node in nodes {
        let mut config = node.view.config();
        // Fails only after the follower has ended, which it does with this process.
        let _ = config.wait_for(|config| config.version >= version).await;
    }
}
