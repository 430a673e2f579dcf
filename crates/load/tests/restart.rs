//! What callers get in the first seconds of an upstream that starts again.

use peargap_load::experiment::restart;
use peargap_load::experiment::restart::Rule;

const SEEDS: u64 = 5;

fn mean(rule: Rule, gateways: usize, per_s: f64) -> restart::Figures {
    let runs = (0..SEEDS).map(|seed| restart::play(rule, gateways, per_s, seed));
    let sum = runs.fold(restart::Figures::default(), |sum, run| restart::Figures {
        in_time: sum.in_time + run.in_time / 5.0,
        lost: sum.lost + run.lost,
        served: sum.served + run.served,
    });
    println!("{rule:?}, {gateways} gateways, {per_s} a second: {sum}");
    sum
}

/// Where the others can serve all, a start costs callers next to nothing.
#[test]
fn at_light_load_a_start_costs_callers_nothing() {
    for gateways in [25, 370] {
        let ours = mean(Rule::Answers, gateways, 140.0);
        let idle = mean(Rule::Idle, gateways, 140.0);
        let flood = mean(Rule::Flood, gateways, 140.0);
        assert!(ours.in_time >= idle.in_time - 0.02);
        assert!(ours.in_time >= flood.in_time);
        assert_eq!(ours.lost, 0);
        assert!(ours.served > 0);
    }
}

/// Where the others are nearly full, the upstream that starts takes what it can.
#[test]
fn at_heavy_load_callers_get_more_than_by_a_flood_or_without_it() {
    for gateways in [25, 370] {
        let ours = mean(Rule::Answers, gateways, 580.0);
        let idle = mean(Rule::Idle, gateways, 580.0);
        let flood = mean(Rule::Flood, gateways, 580.0);
        assert!(ours.in_time >= idle.in_time);
        assert!(ours.in_time >= flood.in_time);
        assert!(ours.lost <= flood.lost);
    }
}
