//! Bursts at engines whose memory is bounded: who is on time, and what is read in vain.

use peargap_load::experiment::waiting;

const SEEDS: core::ops::Range<u64> = 0..2;

fn scenario(burst: f64, first_team: f64) -> waiting::Scenario {
    waiting::Scenario {
        burst,
        first_team,
        load: 1.2,
    }
}

fn check_in_vain(burst: f64) {
    for seed in SEEDS {
        let before = waiting::play(scenario(burst, 1.0), waiting::Rule::Poll, seed);
        let queues = waiting::play(scenario(burst, 1.0), waiting::Rule::Queues, seed);
        assert!(
            queues.tokens_in_vain * 5 <= before.tokens_in_vain,
            "seed {seed}: {queues}; before: {before}"
        );
    }
}

#[test]
fn a_fifth_is_read_in_vain_in_a_burst_beyond_what_engines_can_serve() {
    check_in_vain(3.0);
}

#[test]
fn a_fifth_is_read_in_vain_in_a_burst_that_engines_can_serve() {
    check_in_vain(2.0);
}

#[test]
fn both_kinds_are_on_time_where_the_oracle_shows_that_they_can() {
    for seed in SEEDS {
        let queues = waiting::play(scenario(2.5, 1.0), waiting::Rule::Queues, seed);
        let is_on_time = queues.check.first_p99_ms < 1500 && queues.digest.first_p99_ms < 4000;
        assert!(is_on_time, "seed {seed}: {queues}");
    }
}

#[test]
fn one_large_team_leaves_the_others_their_shares() {
    for seed in SEEDS {
        for burst in [1.0, 3.0] {
            let queues = waiting::play(scenario(burst, 7.5), waiting::Rule::Queues, seed);
            assert!(queues.jain >= 0.9, "seed {seed}, burst {burst}: {queues}");
        }
    }
}

#[test]
fn the_less_urgent_kind_is_served_better_by_five_in_a_hundred_at_most() {
    for seed in SEEDS {
        for first_team in [1.0, 7.5] {
            let queues = waiting::play(scenario(3.0, first_team), waiting::Rule::Queues, seed);
            assert!(
                queues.digest.on_time <= queues.check.on_time + 0.05,
                "seed {seed}, first team {first_team}: {queues}"
            );
        }
    }
}

#[test]
fn without_a_burst_all_are_on_time_as_before() {
    for seed in SEEDS {
        let queues = waiting::play(scenario(1.0, 1.0), waiting::Rule::Queues, seed);
        let worst = queues.check.on_time.min(queues.digest.on_time);
        assert!(worst >= 0.999, "seed {seed}: {queues}");
        assert_eq!(queues.preempted, 0, "seed {seed}: {queues}");
    }
}
