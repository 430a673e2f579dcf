//! Ways to share the limit that an upstream names: what it gets, and how much of it is used.

use peargap_load::experiment::named_limits;
use peargap_load::experiment::named_limits::Situation;

const SEEDS: core::ops::Range<u64> = 0..5;
const LIMITS: [f64; 4] = [0.5, 2.0, 10.0, 50.0];

fn play(situation: Situation, gateways: usize, limit_per_s: f64) -> Vec<named_limits::Figures> {
    let rule = named_limits::Rule::ByDemand;
    let runs = SEEDS.map(|seed| named_limits::play(situation, rule, gateways, limit_per_s, seed));
    runs.collect()
}

#[test]
fn the_limit_and_five_requests_hold_in_every_window_of_gateways_that_run_on() {
    for situation in named_limits::SITUATIONS {
        match situation {
            Situation::RestartAll | Situation::RestartInTurn => continue,
            _ => {}
        }
        for gateways in [1, 5, 25, 105, 370] {
            for limit_per_s in LIMITS {
                for run in play(situation, gateways, limit_per_s) {
                    let of = format!("{situation:?}, {gateways} gateways, {limit_per_s} a second");
                    assert!(run.is_kept(), "{of}: {run}");
                }
            }
        }
    }
}

#[test]
fn gateways_that_restart_keep_one_and_a_half_times_the_limit() {
    for situation in [Situation::RestartAll, Situation::RestartInTurn] {
        for gateways in [1, 5, 25, 105, 370] {
            for limit_per_s in LIMITS {
                for run in play(situation, gateways, limit_per_s) {
                    let bound = run.bound + 0.5 * limit_per_s * 4.0;
                    let of = format!("{situation:?}, {gateways} gateways, {limit_per_s} a second");
                    assert!(f64::from(run.busiest) <= bound, "{of}: {run}");
                }
            }
        }
    }
}

#[test]
fn nine_tenths_of_the_limit_are_used_however_requests_are_divided() {
    for situation in [
        Situation::Even,
        Situation::One,
        Situation::Shift,
        Situation::Zipf,
    ] {
        for (gateways, wanted) in [(25, 0.9), (370, 0.8)] {
            for limit_per_s in LIMITS {
                let runs = play(situation, gateways, limit_per_s);
                let used = runs.iter().map(|run| run.used).sum::<f64>() / 5.0;
                let of = format!("{situation:?}, {gateways} gateways, {limit_per_s} a second");
                assert!(used >= wanted, "{of}: {used:.2}");
            }
        }
    }
}
