//! Versions of upstreams during a rollout, at one gateway.

mod support;

use std::time;

use peargap_wire::fleet as wire;
use peargap_wire::operator;
use support::caller::request;
use support::Fixture;

const WHOLE_PPM: u32 = 1_000_000;
const LEASE: time::Duration = time::Duration::from_millis(400);

fn rollout(revision: u64, state: operator::RolloutState, share_ppm: u32) -> wire::Update {
    let rollout = wire::Rollout {
        barred: match state {
            operator::RolloutState::RolledBack => vec!["v2".to_owned()],
            _ => Vec::new(),
        },
        lease_ms: u32::try_from(LEASE.as_millis()).expect("short"),
        order: 5,
        service: "desk".to_owned(),
        share_ppm,
        state: state.into(),
        target: "v2".to_owned(),
        ..wire::Rollout::default()
    };
    wire::Update {
        rollouts: Some(wire::Rollouts {
            revision,
            rollouts: vec![rollout],
            wants_counts: false,
        }),
        ..wire::Update::default()
    }
}

/// Starts a gateway with an upstream of each version.
async fn start() -> Fixture {
    let mut fixture = Fixture::start(&["d1"]).await;
    let runner = fixture.rack.start("d2").await.expect("a runner");
    let upstream = wire::Upstream {
        address: runner.address.to_string(),
        name: "d2".to_owned(),
        version: "v2".to_owned(),
        ..support::new_upstream()
    };
    fixture.control.announce_upstream(upstream).await;
    fixture.runners.insert("d2".to_owned(), runner);
    fixture
}

/// Applies an update, then sends requests; returns how many of them each upstream has run.
async fn send(fixture: &Fixture, update: wire::Update) -> [usize; 2] {
    fixture.control.send(update).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let count = |name: &str| fixture.runner(name).runs().len();
    let former = [count("d1"), count("d2")];
    for _request in 0..20 {
        assert_eq!(fixture.call(request("/once/", "")).await.status, 200);
    }
    [count("d1") - former[0], count("d2") - former[1]]
}

#[tokio::test]
async fn each_version_gets_its_share() {
    let fixture = start().await;
    let trial = rollout(1, operator::RolloutState::InProgress, 0);
    assert_eq!(send(&fixture, trial).await, [20, 0]);
    let [_v1, v2] = send(
        &fixture,
        rollout(2, operator::RolloutState::InProgress, 250_000),
    )
    .await;
    assert!((4..=6).contains(&v2), "{v2} of 20");
    let whole = rollout(3, operator::RolloutState::InProgress, WHOLE_PPM);
    assert_eq!(send(&fixture, whole.clone()).await, [0, 20]);
    // Without a newer state, the share lapses.
    tokio::time::sleep(LEASE).await;
    assert_eq!(send(&fixture, whole).await, [20, 0]);
    let back = rollout(4, operator::RolloutState::RolledBack, 0);
    assert_eq!(send(&fixture, back).await, [20, 0]);
    // An older state of another control host changes nothing.
    let old = rollout(3, operator::RolloutState::InProgress, WHOLE_PPM);
    assert_eq!(send(&fixture, old).await, [20, 0]);
}

#[tokio::test]
async fn a_version_that_was_rolled_back_gets_nothing_even_alone() {
    let fixture = start().await;
    let back = rollout(4, operator::RolloutState::RolledBack, 0);
    assert_eq!(send(&fixture, back).await, [20, 0]);
    fixture.drain("d1").await;
    assert_eq!(fixture.call(request("/once/", "")).await.status, 503);
    assert!(fixture.runner("d2").runs().is_empty());
}
