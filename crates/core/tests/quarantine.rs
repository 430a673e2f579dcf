//! Quarantine of prompt parts: what evidence leads to it, and what it does not harm.

use core::time::Duration;

use peargap_core::prompt::Part;
use peargap_core::quarantine;
use peargap_core::quarantine::Name;
use peargap_core::quarantine::Subject;
use peargap_core::quarantine::Table;
use peargap_core::quarantine::Verdict;
use peargap_core::time::Instant;
use quickcheck::quickcheck;

const SECOND: Duration = Duration::from_secs(1);

fn part(id: u64) -> Subject {
    Subject::Part(Part::new(b"m", id))
}

fn parts(ids: &[u64]) -> Vec<Subject> {
    ids.iter().copied().map(part).collect()
}

fn loss(number: u64) -> quarantine::Loss {
    quarantine::Loss::new("engine", number)
}

/// Records one loss a second with each of these prompts, from second 1 on.
fn lose(table: &mut Table, prompts: &[&[u64]]) -> Instant {
    let mut now = Instant::default();
    for (number, ids) in (1..).zip(prompts) {
        now = Instant::default() + SECOND * number;
        table.record_loss(now, &parts(ids), loss(u64::from(number)));
    }
    now
}

fn is_quarantined(table: &Table, ids: &[u64]) -> bool {
    table.find_quarantined(&parts(ids)).is_some()
}

#[test]
fn three_engines_lost_put_a_part_in_quarantine() {
    let mut table = Table::default();
    lose(&mut table, &[&[1, 9], &[2, 9]]);
    assert!(!is_quarantined(&table, &[3, 9]));
    lose(&mut table, &[&[1, 9], &[2, 9], &[3, 9]]);
    assert!(is_quarantined(&table, &[4, 9]));
    assert!(!is_quarantined(&table, &[1, 2, 3]));
}

#[test]
fn one_engine_lost_counts_once_whoever_tells_it() {
    let mut table = Table::default();
    for second in 1..10 {
        let now = Instant::default() + SECOND * second;
        table.record_loss(now, &parts(&[9]), loss(1));
        let told: Vec<_> = table.list_after(0).cloned().collect();
        table.merge(now, &told, &[]);
    }
    assert!(!is_quarantined(&table, &[9]));
}

#[test]
fn engines_that_end_together_count_as_one_loss() {
    let mut table = Table::default();
    let now = Instant::default() + SECOND;
    for number in 0..20 {
        table.record_loss(now, &parts(&[9]), loss(number));
    }
    assert!(!is_quarantined(&table, &[9]));
}

#[test]
fn engines_that_end_in_quick_succession_count_again_after_a_moment() {
    let mut table = Table::default();
    for number in 0..20 {
        let now = Instant(1000 + 10 * number);
        table.record_loss(now, &parts(&[9]), loss(number));
    }
    assert!(is_quarantined(&table, &[9]));
}

#[test]
fn a_sound_part_that_all_deadly_prompts_have_is_not_refused() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[1, 9], &[1, 9]]);
    table.record_success(now, &parts(&[1, 5]));
    table.record_success(now, &parts(&[1, 5]));
    table.record_loss(now + SECOND, &parts(&[1, 9]), loss(3));
    assert!(is_quarantined(&table, &[1, 9]));
    assert!(is_quarantined(&table, &[2, 9]));
    for number in 4..20 {
        let now = now + SECOND * number;
        table.record_loss(now, &parts(&[1, 9]), loss(u64::from(number)));
        assert!(!is_quarantined(&table, &[1, 5]));
    }
}

#[test]
fn parts_that_nothing_tells_apart_are_refused_only_together() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[1, 9], &[1, 9], &[1, 9]]);
    assert!(is_quarantined(&table, &[1, 9]));
    assert!(!is_quarantined(&table, &[1, 5]));
    assert!(!is_quarantined(&table, &[2, 9]));
    // One loss may have another cause.
    table.record_loss(now + SECOND, &parts(&[2, 9]), loss(4));
    assert!(is_quarantined(&table, &[1, 9]));
    assert!(!is_quarantined(&table, &[1, 5]));
    table.record_loss(now + SECOND * 2, &parts(&[3, 9]), loss(5));
    assert!(is_quarantined(&table, &[4, 9]));
    assert!(!is_quarantined(&table, &[1, 5]));
}

#[test]
fn one_generation_written_does_not_put_the_blame_on_another_part() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[1, 2, 8], &[1, 2, 8], &[1, 2, 8]]);
    table.record_success(now, &parts(&[4, 2]));
    assert!(is_quarantined(&table, &[1, 2, 8]));
    assert!(!is_quarantined(&table, &[1, 5]));
    assert!(!is_quarantined(&table, &[1, 2, 5]));
}

#[test]
fn a_sound_part_that_was_lost_once_before_is_refused_only_together() {
    let mut table = Table::default();
    lose(&mut table, &[&[1, 5], &[1, 9], &[1, 9], &[1, 9]]);
    assert!(is_quarantined(&table, &[1, 9]));
    assert!(!is_quarantined(&table, &[1, 5]));
}

#[test]
fn a_sound_part_that_is_lost_once_more_is_refused_only_together() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[1, 9], &[1, 9], &[1, 9]]);
    table.record_loss(now + SECOND, &parts(&[1, 5]), loss(4));
    assert!(is_quarantined(&table, &[1, 9]));
    assert!(!is_quarantined(&table, &[1, 6]));
}

#[test]
fn two_deadly_parts_are_both_found() {
    let mut table = Table::default();
    let prompts: [&[u64]; 6] = [&[1, 8], &[1, 9], &[2, 8], &[2, 9], &[3, 8], &[3, 9]];
    lose(&mut table, &prompts);
    assert!(is_quarantined(&table, &[7, 8]));
    assert!(is_quarantined(&table, &[7, 9]));
    assert!(!is_quarantined(&table, &[1, 2, 3]));
}

#[test]
fn a_part_that_is_written_again_and_again_is_cleared() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9]]);
    for _generation in 0..4 {
        table.record_success(now, &parts(&[9]));
    }
    // What was lost before no longer counts.
    table.record_loss(now + SECOND, &parts(&[9]), loss(3));
    table.record_loss(now + SECOND * 2, &parts(&[9]), loss(4));
    assert!(!is_quarantined(&table, &[9]));
    table.record_loss(now + SECOND * 3, &parts(&[9]), loss(5));
    assert!(is_quarantined(&table, &[9]));
}

#[test]
fn a_part_that_crashes_every_second_engine_is_found() {
    let mut table = Table::default();
    for number in 1..=5 {
        let now = Instant::default() + SECOND * number;
        table.record_loss(now, &parts(&[9]), loss(u64::from(number)));
        table.record_success(now, &parts(&[9]));
    }
    assert!(is_quarantined(&table, &[9]));
}

#[test]
fn a_part_for_another_model_is_another_part() {
    let mut table = Table::default();
    lose(&mut table, &[&[9], &[9], &[9]]);
    assert_eq!(
        table.find_quarantined(&[Subject::Part(Part::new(b"n", 9))]),
        None
    );
}

#[test]
fn trials_come_later_with_each_loss_and_a_part_that_passes_them_is_released() {
    let mut table = Table::default();
    let prompt = parts(&[9]);
    let now = lose(&mut table, &[&[9], &[9], &[9]]);
    let Verdict::Refuse { retry_after_ms, .. } = table.admit(now, &prompt, |_| true) else {
        panic!("no trial is due");
    };
    let due = now + Duration::from_millis(retry_after_ms);
    let before = Instant(due.0 - 1);
    assert!(matches!(
        table.admit(before, &prompt, |_| true),
        Verdict::Refuse {
            retry_after_ms: 1,
            ..
        }
    ));
    assert!(matches!(
        table.admit(due, &prompt, |_| false),
        Verdict::Refuse { .. }
    ));
    assert_eq!(table.admit(due, &prompt, |_| true), Verdict::Trial(part(9)));
    assert!(matches!(
        table.admit(due, &prompt, |_| true),
        Verdict::Refuse { .. }
    ));
    table.record_loss(due, &prompt, loss(4));
    let Verdict::Refuse {
        retry_after_ms: later,
        ..
    } = table.admit(due, &prompt, |_| true)
    else {
        panic!("no trial is due");
    };
    assert!(
        later > 3 * retry_after_ms,
        "{later} ms after {retry_after_ms} ms"
    );
    let mut now = due + Duration::from_millis(later);
    for _trial in 0..4 {
        assert_eq!(table.admit(now, &prompt, |_| true), Verdict::Trial(part(9)));
        table.record_success(now, &prompt);
        now = now + SECOND * 5;
    }
    assert_eq!(table.admit(now, &prompt, |_| false), Verdict::Allow);
}

#[test]
fn while_trials_are_due_elsewhere_callers_are_not_told_to_come_back_at_once() {
    let mut table = Table::default();
    lose(&mut table, &[&[9], &[9], &[9]]);
    let later = Instant::default() + SECOND * 300;
    let Verdict::Refuse { retry_after_ms, .. } = table.admit(later, &parts(&[9]), |_| false) else {
        panic!("another process runs the trials");
    };
    assert!(retry_after_ms >= 1000, "{retry_after_ms} ms");
}

#[test]
fn a_release_clears_all_that_was_lost_together_and_holds_everywhere() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[1, 9], &[1, 9], &[1, 9], &[7]]);
    let mut other = table.clone();
    let (cleared, changes) = table.release(now, Name::Part(9));
    assert_eq!(cleared, parts(&[1, 9]));
    assert_eq!(changes.len(), 1);
    assert!(!is_quarantined(&table, &[1, 9]));
    assert_eq!(table.list_suspects().count(), 1);
    let told: Vec<_> = table.list_after(0).cloned().collect();
    let former: Vec<_> = other.list_after(0).cloned().collect();
    other.merge(now, &told, &[]);
    table.merge(now, &former, &[]);
    assert!(!is_quarantined(&other, &[1, 9]));
    assert!(!is_quarantined(&table, &[1, 9]));
    assert!(table.release(now, Name::Part(5)).0.is_empty());
}

#[test]
fn many_suspects_do_not_push_out_what_is_in_quarantine() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9], &[9]]);
    for flood in 0..40 {
        let ids: Vec<u64> = (0..256).map(|id| 1000 + 256 * flood + id).collect();
        table.record_loss(now + SECOND, &parts(&ids), loss(100 + flood));
    }
    assert!(is_quarantined(&table, &[9]));
    assert!(table.list_after(0).count() <= 4352);
}

#[test]
fn what_has_no_news_for_long_is_forgotten() {
    let mut table = Table::default();
    lose(&mut table, &[&[9], &[9], &[9], &[8]]);
    let later = Instant::default() + SECOND * 4000;
    table.record_loss(later, &parts(&[7]), loss(9));
    let known: Vec<_> = table.list_after(0).map(|one| one.subject).collect();
    assert_eq!(known, parts(&[7, 9]));
    let next_day = Instant::default() + SECOND * 100_000;
    table.record_loss(next_day, &parts(&[7]), loss(10));
    assert!(!is_quarantined(&table, &[9]));
}

#[test]
fn a_forgotten_part_is_no_longer_in_quarantine() {
    let mut table = Table::default();
    lose(&mut table, &[&[9], &[9], &[9]]);
    let next_day = Instant::default() + SECOND * 100_000;
    table.merge(next_day, &[], &[]);
    assert_eq!(
        table.admit(next_day, &parts(&[9]), |_| false),
        Verdict::Allow
    );
    assert!(!is_quarantined(&table, &[9]));
}

#[test]
fn extreme_evidence_of_another_process_does_no_harm() {
    let mut table = Table::default();
    let now = Instant::default();
    let extreme = quarantine::Evidence {
        cleared_by_answers: u32::MAX,
        epoch: u64::MAX,
        moments: u32::MAX,
        successes: u32::MAX,
        successes_since_loss: u32::MAX,
        trials: u32::MAX,
        ..quarantine::Evidence::new(part(9))
    };
    let others = [1, 2].map(|id| quarantine::Evidence {
        losses: [loss(1), loss(2)].into(),
        subject: part(id),
        ..extreme.clone()
    });
    table.merge(now, &[extreme], &[]);
    table.merge(now, &others, &[]);
    table.record_success(now, &parts(&[9]));
    for number in 0..100 {
        table.record_loss(now, &parts(&[9]), loss(number));
        table.admit(now, &parts(&[9]), |_| true);
    }
}

/// A change to one of three tables, by an arbitrary number.
fn apply(tables: &mut [Table; 3], now: Instant, step: u16) {
    let step = usize::from(step);
    let (actor, other) = (step % 3, step / 3 % 3);
    let ids = [u64::try_from(step / 9 % 2).expect("few"), 9];
    match step / 18 % 3 {
        0 => {
            let number = u64::try_from(step / 54 % 6).expect("few");
            tables[actor].record_loss(now, &parts(&ids), loss(number));
        }
        1 => {
            tables[actor].record_success(now, &parts(&ids));
        }
        _ => {
            let told: Vec<_> = tables[other].list_after(0).cloned().collect();
            tables[actor].merge(now, &told, &[]);
        }
    }
}

quickcheck! {
    fn processes_that_tell_each_other_all_agree(steps: Vec<u16>) -> bool {
        let mut tables: [Table; 3] = Default::default();
        let mut now = Instant::default();
        for step in steps {
            now = now + SECOND;
            apply(&mut tables, now, step);
        }
        for round in 0..9 {
            let told: Vec<_> = tables[round % 3].list_after(0).cloned().collect();
            for table in &mut tables {
                table.merge(now, &told, &[]);
            }
        }
        let verdicts: Vec<_> = tables
            .iter()
            .map(|table| [[0, 9], [1, 9], [0, 1]].map(|ids| is_quarantined(table, &ids)))
            .collect();
        verdicts.iter().all(|verdict| *verdict == verdicts[0])
    }

    fn a_part_without_losses_is_never_refused(steps: Vec<u16>, id: u64) -> bool {
        let mut tables: [Table; 3] = Default::default();
        let mut now = Instant::default();
        for step in steps {
            now = now + SECOND;
            apply(&mut tables, now, step);
        }
        let id = id.saturating_add(10);
        tables.iter().all(|table| !is_quarantined(table, &[id]))
    }
}
