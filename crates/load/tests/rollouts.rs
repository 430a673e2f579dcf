//! Rollouts of good and bad versions: what a bad one gets, and whether a good one is completed.

use peargap_core::rollout::order;
use peargap_load::experiment::rollouts;
use peargap_load::experiment::rollouts::Figures;
use peargap_load::experiment::rollouts::Kind;
use peargap_load::experiment::rollouts::Policy;
use peargap_load::experiment::rollouts::Setup;

const SEEDS: u64 = 24;
/// Requests in a run up to which it is played here; larger ones are played by hand.
const MAX_REQUESTS: f64 = 30_000.0;
/// Seeds beyond these on which bad versions got more than the bound.
const EXCEEDING_SEEDS: [u64; 5] = [28, 50, 72, 73, 85];
/// Time from the fiftieth bad answer after which a bad version gets nothing, in milliseconds.
const ROLLBACK_MS: u64 = 5_000;

struct Run {
    figures: Figures,
    seed: u64,
    setup: Setup,
}

fn play(kind: Kind) -> impl Iterator<Item = Run> {
    let setups = (0..SEEDS).map(move |seed| (seed, Setup::draw(kind, seed)));
    let small = setups.filter(|(_seed, setup)| {
        let seconds = std::time::Duration::from_millis(setup.duration_ms).as_secs_f64();
        setup.per_s * seconds <= MAX_REQUESTS
    });
    small.map(|(seed, setup)| Run {
        figures: rollouts::play(&setup, Policy::Own, seed),
        seed,
        setup,
    })
}

/// Returns all runs of bad versions.
fn play_bad() -> impl Iterator<Item = Run> {
    let kinds = rollouts::KINDS.into_iter();
    kinds.filter(|kind| *kind != Kind::Good).flat_map(play)
}

fn check(run: &Run, holds: bool) {
    assert!(holds, "seed {}: {}, {:?}", run.seed, run.figures, run.setup);
}

#[test]
fn a_good_version_is_completed_in_time() {
    for run in play(Kind::Good) {
        check(&run, run.figures.state == order::State::Completed);
    }
}

#[test]
fn a_bad_version_gets_nothing_once_its_answers_have_shown_it() {
    for run in play_bad() {
        check(&run, run.figures.late_ms <= ROLLBACK_MS);
    }
}

#[test]
fn a_bad_version_gets_no_more_than_the_bound() {
    for run in play_bad() {
        check(&run, run.figures.excess() <= 0.0);
    }
}

#[test]
fn bad_versions_keep_the_bound_on_seeds_on_which_they_did_not() {
    for kind in rollouts::KINDS {
        for seed in EXCEEDING_SEEDS {
            let setup = Setup::draw(kind, seed);
            let figures = rollouts::play(&setup, Policy::Own, seed);
            let run = Run {
                figures,
                seed,
                setup,
            };
            check(&run, kind == Kind::Good || run.figures.excess() <= 0.0);
        }
    }
}
