//! Plain calls that crash upstreams: how many upstreams crash, and what becomes of sound requests.

use peargap_load::experiment::deadly_requests;
use peargap_load::experiment::deadly_requests::Figures;
use peargap_load::experiment::deadly_requests::Setup;

/// Runs of small fleets, and of larger ones.
const SEEDS: u64 = 8;
const LARGE_SEEDS: u64 = 3;
/// Seeds of a thousand on which a popular request was refused at few upstreams that keep ending.
const REFUSING_SEEDS: [u64; 5] = [130, 372, 554, 701, 889];
/// Gateways of a large fleet; larger ones are played by hand.
const LARGE: usize = 105;
/// Sends of one deadly request once all gateways know of it.
const MAX_LATE: usize = 3;
/// Deadly requests a second up to which the evidence of one is known before the next one comes.
const MAX_PER_S: f64 = 3.0;

fn list_setups() -> impl Iterator<Item = Setup> {
    let setups = deadly_requests::list_setups().into_iter();
    setups.filter(|setup| setup.gateways <= LARGE)
}

fn list_sound_setups() -> impl Iterator<Item = Setup> {
    let setups = deadly_requests::list_sound_setups().into_iter();
    setups.filter(|setup| setup.gateways <= LARGE)
}

fn play(setup: Setup) -> Vec<Figures> {
    let seeds = if setup.gateways < LARGE {
        SEEDS
    } else {
        LARGE_SEEDS
    };
    let runs = (0..seeds).map(|seed| deadly_requests::play(setup, seed));
    runs.collect()
}

fn count_per_s(setup: Setup) -> f64 {
    let deadly = u32::try_from(setup.deadly).expect("few");
    f64::from(deadly) * setup.deadly_per_s
}

#[test]
fn once_known_a_deadly_request_reaches_no_upstream() {
    for setup in list_setups() {
        for (seed, run) in play(setup).into_iter().enumerate() {
            assert!(run.late <= MAX_LATE, "{setup:?}, seed {seed}: {run}");
        }
    }
}

#[test]
fn four_crashes_are_enough_by_the_median_where_deadly_requests_come_one_by_one() {
    for setup in list_setups() {
        if count_per_s(setup) > MAX_PER_S {
            continue;
        }
        let mut crashes: Vec<_> = play(setup).iter().map(|run| run.crashes).collect();
        crashes.sort_unstable();
        assert!(crashes[crashes.len() / 2] <= 4, "{setup:?}: {crashes:?}");
    }
}

fn check_none_refused(setups: impl Iterator<Item = Setup>) {
    for setup in setups {
        for (seed, run) in play(setup).into_iter().enumerate() {
            let refused = run.sound_refused + run.popular_refused;
            assert_eq!(refused, 0, "{setup:?}, seed {seed}: {run}");
        }
    }
}

/// Returns whether a request that is half of all traffic meets a few upstreams that keep ending.
fn is_popular_at_few(setup: &Setup) -> bool {
    setup.popular >= 0.5 && setup.upstreams < 12
}

#[test]
fn upstreams_that_end_by_other_causes_put_no_request_in_quarantine() {
    let setups = list_sound_setups();
    check_none_refused(setups.filter(|setup| !is_popular_at_few(setup)));
}

#[test]
fn few_upstreams_that_keep_ending_put_no_popular_request_in_quarantine() {
    let setups = list_sound_setups();
    check_none_refused(setups.filter(is_popular_at_few));
}

#[test]
fn few_upstreams_that_keep_ending_refuse_no_popular_request_on_seeds_that_did() {
    for setup in list_sound_setups().filter(is_popular_at_few) {
        for seed in REFUSING_SEEDS {
            let run = deadly_requests::play(setup, seed);
            assert_eq!(run.popular_refused, 0, "{setup:?}, seed {seed}: {run}");
        }
    }
}
