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

#[test]
fn a_good_version_is_completed_in_time() {
    for run in play(Kind::Good) {
        let Run {
            figures,
            seed,
            setup,
        } = run;
        assert_eq!(
            figures.state,
            order::State::Completed,
            "{seed}: {figures}, {setup:?}"
        );
    }
}

#[test]
fn a_bad_version_gets_nothing_once_its_answers_have_shown_it() {
    for kind in rollouts::KINDS
        .into_iter()
        .filter(|kind| *kind != Kind::Good)
    {
        for run in play(kind) {
            let Run {
                figures,
                seed,
                setup,
            } = run;
            assert!(
                figures.late_ms <= ROLLBACK_MS,
                "{seed}: {figures}, {setup:?}"
            );
        }
    }
}

#[test]
fn a_bad_version_gets_no_more_than_the_bound() {
    for kind in rollouts::KINDS
        .into_iter()
        .filter(|kind| *kind != Kind::Good)
    {
        for run in play(kind) {
            let Run {
                figures,
                seed,
                setup,
            } = run;
            assert!(figures.excess() <= 0.0, "{seed}: {figures}, {setup:?}");
        }
    }
}
