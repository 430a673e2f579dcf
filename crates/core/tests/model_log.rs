//! Model checking of the replicated log by breadth-first search over the real implementation.
//!
//! Each scenario bounds its search and prints how many states it visited. For each property, an
//! injected bug that violates it must be found within the same bounds.

mod model;

use std::time;

use model::scenario;
use model::Action;
use model::Budget;
use model::Bug;
use model::Model;
use pathfinding::directed::bfs;
use rand::seq::IndexedRandom as _;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// Maximum number of states visited in one scenario.
const MAX_STATES: usize = 30_000;

/// Probability that a step of a random run only delivers a message or restarts a host.
const DELIVERED_SHARE: f64 = 0.8;
/// Maximum number of messages in transit in a random run.
const RANDOM_MESSAGES: usize = 12;
/// Number of random runs; their seeds start at 0.
const RANDOM_RUNS: u64 = 500;
/// Number of steps of a random run.
const RANDOM_STEPS: usize = 1_000;
/// Number of steps after which the budget of a random run is refilled.
const REFILL_STEPS: usize = 100;

/// Result of a search.
#[derive(Debug)]
struct Outcome {
    violated: Option<&'static str>,
}

fn search(name: &str, start: Model) -> Outcome {
    let begun = time::Instant::now();
    let mut states = 0;
    let reached = bfs::bfs_reach(start, |model| {
        let actions = model.list_actions();
        let next: Vec<Model> = actions.iter().map(|action| model.after(*action)).collect();
        next
    });
    let mut violated = None;
    for model in reached.take(MAX_STATES) {
        states += 1;
        violated = model.violated;
        if violated.is_some() {
            break;
        }
    }
    let millis = begun.elapsed().as_millis();
    println!("{name}: {states} states in {millis} ms, violated: {violated:?}");
    Outcome { violated }
}

/// Budget of a random run, refilled every [`REFILL_STEPS`] steps.
const RANDOM_BUDGET: Budget = Budget {
    heartbeats: 12,
    campaigns: 4,
    compactions: 1,
    crashes: 2,
    disk_losses: 1,
    proposals: 4,
    duplicates: 4,
    copy_restores: 1,
    quorum_checks: 4,
};

/// Performs random actions, far beyond the depth of the searches, and returns the final state.
fn run_at_random(seed: u64, bug: Bug) -> Model {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut model = Model::new(4, bug)
        .delay_discovery()
        .with_limits(RANDOM_MESSAGES, RANDOM_BUDGET);
    for step in 0..RANDOM_STEPS {
        let mut actions = model.list_actions();
        if step % REFILL_STEPS == 0 || actions.is_empty() {
            model.refill(RANDOM_BUDGET);
            model.copy_disk(rng.random_range(0..4));
            actions = model.list_actions();
        }
        // Unless most messages arrive, nothing is ever committed.
        if rng.random_bool(DELIVERED_SHARE) {
            actions.retain(|action| matches!(action, Action::Deliver(_) | Action::Restart(_)));
        }
        if let Some(action) = actions.choose(&mut rng) {
            model = model.after(*action);
        }
    }
    model
}

/// Checks that once all faults have ended, a leader commits again and the membership is
/// repaired.
fn assert_recovers(model: &mut Model, seed: u64) {
    model.recover();
    let committed = model.history.committed.len();
    let leader = model.find_leader();
    let leader = leader.unwrap_or_else(|| panic!("no leader, seed {seed}: {:#?}", model.hosts));
    model.perform(Action::Propose(leader));
    model.deliver_all();
    assert!(
        model.history.committed.len() > committed,
        "nothing committed after the faults, seed {seed}"
    );
    assert!(model.is_repaired(), "membership not repaired, seed {seed}");
    assert_eq!(model.violated, None, "seed {seed}");
}

#[test]
fn random_runs_keep_every_property() {
    let mut committed = 0;
    let mut terms = 0;
    for seed in 0..RANDOM_RUNS {
        let mut model = run_at_random(seed, Bug::None);
        assert_eq!(model.violated, None, "seed {seed}");
        assert_recovers(&mut model, seed);
        committed += model.history.committed.len();
        terms += model.history.count_leaders();
    }
    println!("random: {terms} terms with a leader");
    println!("random: {RANDOM_RUNS} runs of {RANDOM_STEPS} steps, {committed} entries committed");
}

fn assert_holds(name: &str, start: Model) {
    let outcome = search(name, start);
    assert_eq!(outcome.violated, None, "{name}");
}

fn assert_detects(name: &str, start: Model, property: &'static str) {
    let outcome = search(name, start.check_only(property));
    assert_eq!(outcome.violated, Some(property), "{name}");
}

#[test]
fn elections_keep_every_property() {
    assert_holds("election", scenario::prepare_election(Bug::None));
}

#[test]
fn crashes_in_elections_keep_every_property() {
    assert_holds("vote", scenario::prepare_vote(Bug::None));
}

#[test]
fn crashes_in_commits_keep_every_property() {
    assert_holds("commit", scenario::prepare_commit(Bug::None));
}

#[test]
fn an_old_copy_keeps_every_property() {
    assert_holds("old copy", scenario::prepare_copy(Bug::None));
}

#[test]
fn a_hidden_old_copy_keeps_every_property() {
    assert_holds("hidden copy", scenario::prepare_hidden_copy(Bug::None));
}

#[test]
fn a_lost_disk_keeps_every_property() {
    assert_holds("lost disk", scenario::prepare_loss(Bug::None));
}

#[test]
fn a_second_loss_after_a_repair_keeps_every_property() {
    assert_holds("second loss", scenario::prepare_second_loss(Bug::None));
}

#[test]
fn a_fourth_host_keeps_every_property() {
    assert_holds("join", scenario::prepare_join(Bug::None));
}

#[test]
fn a_replaced_host_keeps_every_property() {
    assert_holds("replacement", scenario::prepare_replacement(Bug::None));
    assert_holds("replaced", scenario::prepare_replaced(Bug::None));
}

/// Returns the names of the voters in a host's roster.
fn list_voters(model: &Model, index: usize) -> Vec<String> {
    let log = model.hosts[index].log.as_ref().expect("a running host");
    let voters = log.store().roster().voters.iter();
    voters
        .map(|voter| String::from_utf8_lossy(&voter.name).into_owned())
        .collect()
}

#[test]
fn a_new_host_replaces_a_silent_voter() {
    let mut model = Model::new_open(4, Bug::None);
    model.crash(2);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "d"]);
    assert_eq!(list_voters(&model, 3), ["a", "b", "d"]);
}

#[test]
fn a_silent_voter_stays_if_too_few_would_remain() {
    let mut model = Model::new_open(3, Bug::None);
    model.crash(2);
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "c"]);
}

#[test]
fn a_removed_voter_that_returns_is_admitted_again() {
    let mut model = Model::new_open(4, Bug::None);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "c", "d"]);
    model.crash(2);
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "d"]);
    model.perform(Action::Restart(2));
    model.network.clear();
    model.perform(Action::Campaign(2));
    model.deliver_all();
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "c", "d"]);
}

#[test]
fn a_host_that_lost_its_disk_joins_through_a_member_that_it_did_not_know() {
    let mut model = Model::new_open(4, Bug::None);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    scenario::detect_silent_voters(&mut model);
    assert_eq!(list_voters(&model, 0), ["a", "b", "c", "d"]);
    model.forget_peers();
    model.perform(Action::LoseDisk(3));
    scenario::detect_silent_voters(&mut model);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    scenario::detect_silent_voters(&mut model);
    let log = model.hosts[3].log.as_ref().expect("a running host");
    assert!(log.store().roster().voters.contains(log.me()));
}

#[test]
fn snapshots_keep_every_property() {
    assert_holds("snapshot", scenario::prepare_snapshot(Bug::None));
}

#[test]
fn an_unsaved_vote_is_detected() {
    let start = scenario::prepare_vote(Bug::SkipHardWrites);
    assert_detects("unsaved vote", start, "a member votes once a term");
}

#[test]
fn a_forged_vote_is_detected() {
    let start = scenario::prepare_ballots(Bug::ForgeVote);
    assert_detects("forged vote", start, "a term has one leader");
}

#[test]
fn unsaved_entries_are_detected() {
    let start = scenario::prepare_commit(Bug::SkipEntryWrites);
    assert_detects(
        "unsaved entries",
        start,
        "a leader holds everything committed",
    );
}

#[test]
fn a_reused_disk_id_is_detected() {
    let start = scenario::prepare_loss(Bug::ReuseDiskId);
    assert_detects(
        "reused disk id",
        start,
        "a leader holds everything committed",
    );
}

#[test]
fn unsaved_entries_on_a_new_voter_are_detected() {
    let start = scenario::prepare_replaced(Bug::SkipEntryWrites);
    assert_detects(
        "unsaved entries on a new voter",
        start,
        "a leader holds everything committed",
    );
}

#[test]
fn a_trusted_old_copy_is_detected() {
    let start = scenario::prepare_copy(Bug::TrustCopy);
    assert_detects("trusted copy", start, "a leader holds everything committed");
}

#[test]
fn a_forged_previous_term_is_detected() {
    let start = scenario::prepare_conflict(Bug::ForgePreviousTerm);
    assert_detects("forged previous term", start, "logs match");
}

#[test]
fn a_changed_committed_entry_is_detected() {
    let start = scenario::prepare_crash(Bug::SkipEntryWrites);
    assert_detects(
        "changed committed entry",
        start,
        "a committed entry never changes",
    );
}

#[test]
fn two_candidates_keep_every_property() {
    assert_holds("ballots", scenario::prepare_ballots(Bug::None));
}

#[test]
fn a_crash_after_a_commit_keeps_every_property() {
    assert_holds("crash", scenario::prepare_crash(Bug::None));
}

#[test]
fn conflicting_commands_keep_every_property() {
    assert_holds("conflict", scenario::prepare_conflict(Bug::None));
}

#[test]
fn fresh_hosts_do_not_bootstrap_a_second_log() {
    let mut model = Model::new(4, Bug::None);
    model.recover();
    assert!(model.is_repaired());
    for index in 0..3 {
        model.perform(Action::LoseDisk(index));
    }
    for _round in 0..3 {
        model.deliver_all();
        model.perform(Action::Campaign(0));
    }
    model.deliver_all();
    let logs = model.hosts.iter().take(3).flat_map(|host| &host.log);
    let lasts: Vec<u64> = logs.map(|log| log.store().last().index).collect();
    assert_eq!(lasts, [0, 0, 0]);
}
