//! Paces follow the answers of upstreams, and hardly any single answer.

use peargap_core::balance;
use peargap_core::pace;
use peargap_core::pace_counts;
use peargap_core::pace_table;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// Returns the samples of an upstream whose answers take `factor` times the reference.
fn samples(factor: f64, count: usize) -> pace::Samples {
    let mut samples = pace::Samples::default();
    for _answer in 0..count {
        samples.first.record(factor);
        samples.gap.record(factor);
        samples.longest.record(3.0 * factor);
    }
    samples
}

fn middle() -> pace::Middle {
    let paces = [1.0, 1.0, 1.0].map(|factor| samples(factor, 20).pace());
    pace::Middle::of(&paces)
}

/// Returns whether two factors differ by at most a class of the counts.
fn is_near(one: f64, other: f64) -> bool {
    (one / other).log2().abs() <= 0.25
}

#[test]
fn sums_do_not_depend_on_the_order_and_number_of_reports() {
    fn holds(ratios: Vec<(u8, u16)>) -> bool {
        let mut parts = vec![pace_counts::Counts::default(); 5];
        let mut whole = pace_counts::Counts::default();
        for (part, ratio) in &ratios {
            let ratio = f64::from(*ratio) / 1000.0;
            parts[usize::from(*part) % 5].record(ratio);
            whole.record(ratio);
        }
        let none = pace_counts::Counts::default();
        let sum = |parts: &[pace_counts::Counts]| {
            let parts = parts.iter();
            parts.fold(none, |sum, part| sum.plus(part))
        };
        let forward = sum(&parts);
        parts.reverse();
        forward == whole && sum(&parts) == whole
    }
    quickcheck::quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn the_factor_follows_the_answers() {
    for factor in [0.4, 0.7, 1.5, 2.5, 5.0] {
        let found = middle().factor(&samples(factor, 20).pace());
        assert!(is_near(found, factor), "{found} for {factor}");
    }
    let alike = middle().factor(&samples(1.0, 20).pace());
    assert!((alike - 1.0).abs() < f64::EPSILON);
    let unknown = middle().factor(&pace::Pace::default());
    assert!((unknown - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_single_broken_answer_marks_no_upstream() {
    for ratio in [0.0, 0.01, 50.0, f64::INFINITY, f64::NAN] {
        let mut alone = pace::Samples::default();
        alone.first.record(ratio);
        let factor = middle().factor(&alone.pace());
        assert!((factor - 1.0).abs() < f64::EPSILON, "{ratio}: {factor}");
        let mut beside = samples(1.0, 4);
        beside.first.record(ratio);
        beside.gap.record(ratio);
        let factor = middle().factor(&beside.pace());
        assert!(is_near(factor, 1.0), "{ratio}: {factor}");
    }
}

/// An upstream that is 2.5 times slower for 600 ms, 15 times in 100, is not a slow one.
#[test]
fn short_spells_mark_no_upstream() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut samples = pace::Samples::default();
        for _spell in 0..16 {
            let factor = match random.random_bool(0.15) {
                true => 2.5,
                false => 1.0,
            };
            for _answer in 0..2 {
                samples.first.record(factor * random.random_range(0.9..1.1));
                samples.gap.record(factor * random.random_range(0.9..1.1));
            }
        }
        let factor = middle().factor(&samples.pace());
        assert!(is_near(factor, 1.0), "seed {seed}: {factor}");
    }
}

fn observed(born_ms: u64, factor: f64, count: usize) -> pace_table::Observed {
    pace_table::Observed {
        born_ms,
        samples: samples(factor, count),
        upstream: "a".to_owned(),
    }
}

fn told(table: &pace_table::Table) -> pace_table::News {
    table.list_after(0).next().expect("an upstream")
}

#[test]
fn a_pace_belongs_to_one_start_of_its_upstream() {
    let mut table = pace_table::Table::default();
    assert!(table.record(Instant(0), observed(10, 3.0, 5)));
    assert!(table.record(Instant(100), observed(20, 1.0, 2)));
    assert!(!table.record(Instant(200), observed(10, 3.0, 5)));
    let news = told(&table);
    assert_eq!((news.born_ms, news.pace.first.count), (20, 2));
    assert!(is_near(news.pace.first.value, 1.0));
}

#[test]
fn an_upstream_that_recovers_is_known_as_such_within_ten_seconds() {
    let mut table = pace_table::Table::default();
    let mut now = Instant(0);
    for second in 0..20 {
        let factor = if second < 10 { 3.0 } else { 1.0 };
        table.record(now, observed(1, factor, 1));
        now = Instant(now.0 + 1000);
    }
    let value = told(&table).pace.first.value;
    assert!(is_near(value, 1.0), "{value}");
}

#[test]
fn a_pace_that_stays_the_same_is_told_seldom() {
    let mut table = pace_table::Table::default();
    let reports = (0..400).filter(|turn| table.record(Instant(turn * 250), observed(1, 1.0, 1)));
    assert!(reports.count() <= 8);
}

#[test]
fn a_table_keeps_a_bounded_number_of_upstreams() {
    let mut table = pace_table::Table::default();
    for number in 0..5000 {
        let observed = pace_table::Observed {
            upstream: number.to_string(),
            ..observed(1, 1.0, 2)
        };
        table.record(Instant(number), observed);
    }
    assert!(table.list_after(0).count() <= 2048);
}

fn candidate(key: usize, factor: f64, load: balance::Load) -> balance::Candidate<usize> {
    let middle = middle();
    let pace = samples(factor, 20).pace();
    balance::Candidate {
        expected: middle.expect(factor, &load, 4, 3000, pace::Span::Long),
        fit: middle.fit(&pace, &load, 4, Some(180)),
        is_near: true,
        is_own: false,
        key,
        load,
        memory: 27_000,
        pace: factor,
        slots: 24,
    }
}

#[test]
fn long_generations_go_where_no_pause_is_expected_to_be_too_long() {
    let mut random = SmallRng::seed_from_u64(1);
    let none = balance::Load::default();
    let mut candidates: Vec<_> = (0..4).map(|key| candidate(key, 3.0, none)).collect();
    candidates.push(candidate(4, 1.0, none));
    let need = pace::Need {
        gap_ms: Some(180),
        objective_ms: 1800,
        span: pace::Span::Long,
    };
    for _draw in 0..50 {
        let choice = balance::choose_engine_by_pace(&candidates, 3000, &need, &mut random);
        assert_eq!(choice, balance::Choice::Take(4));
        let two = &candidates[3..];
        let copy = balance::choose_copy(two, 3000, balance::Purpose::Move, &mut random);
        assert_eq!(copy, balance::Choice::Take(4));
    }
    candidates[4].load.running = 24;
    let choice = balance::choose_engine_by_pace(&candidates, 3000, &need, &mut random);
    assert!(matches!(choice, balance::Choice::Take(0..4)), "{choice:?}");
}

/// Where all paces are alike, the choice is the same as without them.
#[test]
fn equal_paces_change_no_choice() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let candidates: Vec<_> = (0..12)
            .map(|key| {
                let load = balance::Load {
                    running: random.random_range(0..8),
                    tokens: random.random_range(0..20_000),
                    waiting: random.random_range(0..4_000),
                    ..balance::Load::default()
                };
                candidate(key, 1.0, load)
            })
            .map(|candidate| balance::Candidate {
                fit: pace::Fit::Long,
                ..candidate
            })
            .collect();
        let need = pace::Need {
            gap_ms: Some(180),
            objective_ms: 4000,
            span: pace::Span::Long,
        };
        let mut one = SmallRng::seed_from_u64(seed);
        let mut other = one.clone();
        let by_pace = balance::choose_engine_by_pace(&candidates, 2500, &need, &mut one);
        let by_load = balance::choose_engine(&candidates, 2500, &mut other);
        assert_eq!(by_pace, by_load);
    }
}

#[test]
fn plain_calls_go_where_they_are_expected_to_end_first() {
    let mut random = SmallRng::seed_from_u64(1);
    let running = |running| balance::Load {
        running,
        ..balance::Load::default()
    };
    let slots = 6;
    let fast = balance::Candidate {
        slots,
        ..candidate(0, 1.0, running(3))
    };
    let slow = balance::Candidate {
        slots,
        ..candidate(1, 3.0, running(1))
    };
    let choice = balance::choose_plain(&[fast, slow], &mut random);
    assert_eq!(choice, balance::Choice::Take(0));
}
