//! Gateways that learn the paces of engines serve nearly as many callers in time as if they knew.

use peargap_load::experiment::pace;
use peargap_load::experiment::pace::Rule;
use peargap_load::experiment::pace::Situation;

/// Returns the mean part of requests in time.
fn in_time(situation: Situation, rule: Rule, gateways: usize, engines: usize) -> f64 {
    let seeds: &[u64] = if gateways > 100 { &[0] } else { &[0, 1, 2] };
    let runs = seeds
        .iter()
        .map(|seed| pace::play(situation, rule, gateways, engines, *seed).in_time);
    let sum: f64 = runs.sum();
    sum / if gateways > 100 { 1.0 } else { 3.0 }
}

fn check(situation: Situation) {
    for (gateways, engines) in [(25, 42), (370, 370)] {
        let learned = in_time(situation, Rule::Pace, gateways, engines);
        let oracle = in_time(situation, Rule::Oracle, gateways, engines);
        let load = in_time(situation, Rule::Load, gateways, engines);
        let of = format!("{situation:?}, {gateways} gateways: {learned:.3}, oracle {oracle:.3}, by load {load:.3}");
        println!("{of}");
        assert!(learned >= 0.9 * oracle, "{of}");
        match situation {
            Situation::Alike => assert!(learned >= load - 0.01, "{of}"),
            _ => assert!(learned > load, "{of}"),
        }
    }
}

#[test]
fn engines_that_remain_are_known_within_a_tenth_of_the_oracle() {
    check(Situation::Steady);
}

#[test]
fn a_sixth_new_every_3_seconds_costs_at_most_a_tenth() {
    check(Situation::Churn);
}

#[test]
fn short_spells_cost_at_most_a_tenth() {
    check(Situation::Spells);
}

#[test]
fn absurd_answers_cost_at_most_a_tenth() {
    check(Situation::Lies);
}

#[test]
fn engines_that_are_alike_are_chosen_as_by_load() {
    check(Situation::Alike);
}
