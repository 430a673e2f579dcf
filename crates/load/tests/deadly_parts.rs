//! Prompts that crash engines: how many engines crash, and what becomes of sound requests.

use peargap_load::experiment::deadly_parts;
use peargap_load::experiment::deadly_parts::Figures;
use peargap_load::experiment::deadly_parts::Setup;

/// Runs of small fleets, and of larger ones.
const SEEDS: u64 = 4;
const LARGE_SEEDS: u64 = 1;
/// Gateways of a large fleet.
const LARGE: usize = 105;
/// Requests with one deadly part that may reach engines once all gateways know of it.
const MAX_LATE: usize = 3;
/// Deadly prompts a second up to which the evidence of one is known before the next one begins.
const MAX_PER_S: f64 = 3.0;
/// Part of the sound requests with the first part of the deadly ones that is to be served.
const MIN_SERVED_ALIKE: f64 = 0.95;

fn play(setup: Setup) -> Vec<Figures> {
    let seeds = if setup.gateways < LARGE {
        SEEDS
    } else {
        LARGE_SEEDS
    };
    let runs = (0..seeds).map(|seed| deadly_parts::play(setup, seed));
    runs.collect()
}

fn as_number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

#[test]
fn once_known_deadly_prompts_reach_no_engine_and_sound_ones_alike_are_served() {
    for setup in deadly_parts::list_setups() {
        let runs = play(setup);
        // While control hosts are away, each gateway is alone.
        if !setup.control_away {
            let late = runs.iter().map(|run| run.late).max();
            assert!(late <= Some(MAX_LATE), "{setup:?}: {late:?} late");
        }
        let alike: usize = runs.iter().map(|run| run.sound_alike).sum();
        let refused: usize = runs.iter().map(|run| run.sound_alike_refused).sum();
        let served = 1.0 - as_number(refused) / as_number(alike);
        assert!(served >= MIN_SERVED_ALIKE, "{setup:?}: {served:.3} served");
    }
}

#[test]
fn four_crashes_are_enough_by_the_median_where_they_come_one_by_one() {
    for setup in deadly_parts::list_setups() {
        if setup.control_away || setup.deadly_per_s() > MAX_PER_S {
            continue;
        }
        let mut crashes: Vec<_> = play(setup).iter().map(|run| run.crashes).collect();
        crashes.sort_unstable();
        assert!(crashes[crashes.len() / 2] <= 4, "{setup:?}: {crashes:?}");
    }
}

#[test]
fn engines_that_crash_by_other_causes_put_no_part_in_quarantine() {
    for setup in deadly_parts::list_sound_setups() {
        for (seed, run) in play(setup).into_iter().enumerate() {
            assert_eq!(run.sound_refused, 0, "{setup:?}, seed {seed}: {run}");
        }
    }
}
