//! Gateways that all press on one cold upstream stay within its rate together.

use peargap_core::cold_rate;
use peargap_core::fleet_share;
use peargap_core::time::Instant;
use rand::RngExt as _;
use rand::SeedableRng as _;

const RUN_MS: u64 = 5_000;

/// Requests in the busiest second that the gateways send together.
fn press(gateways: u32, per_s: f64, seed: u64) -> usize {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut counters = vec![cold_rate::Counter::default(); usize::try_from(gateways).expect("few")];
    let mut sent = Vec::new();
    for now in (0..RUN_MS).step_by(10) {
        for (counter, position) in counters.iter_mut().zip(1..) {
            let rate = cold_rate::Rate {
                per_s,
                position: fleet_share::Position { gateways, position },
                upstream_index: 3,
            };
            let presses = random.random_bool(0.7);
            if presses && counter.may_send(Instant(now), &rate) {
                counter.record(Instant(now));
                sent.push(now);
            }
        }
    }
    let seconds = sent.iter().map(|start| {
        let in_second = sent
            .iter()
            .filter(|at| (*start..*start + 1000).contains(*at));
        in_second.count()
    });
    seconds.max().unwrap_or(0)
}

#[test]
fn all_gateways_together_keep_the_rate_in_every_second() {
    for gateways in [1, 6, 8, 25, 105, 400] {
        for per_s in [26.0, 34.0, 36.0] {
            let most = press(gateways, per_s, 7);
            assert!(most as f64 <= per_s, "{gateways} gateways, {per_s}: {most}");
            assert!(
                most as f64 >= per_s / 3.0,
                "{gateways} gateways, {per_s}: {most}"
            );
        }
    }
}

#[test]
fn each_gateway_may_send_to_some_cold_upstream() {
    for position in 1..=105 {
        let shares = (0..144).map(|upstream_index| {
            let rate = cold_rate::Rate {
                per_s: 34.0,
                position: fleet_share::Position {
                    gateways: 105,
                    position,
                },
                upstream_index,
            };
            rate.share()
        });
        assert!(shares.sum::<u32>() >= 30);
    }
}

#[test]
fn a_gateway_that_does_not_know_the_others_is_cautious() {
    let rate = cold_rate::Rate {
        per_s: 34.0,
        position: fleet_share::Position::default(),
        upstream_index: 0,
    };
    assert_eq!(rate.share(), 1);
}
