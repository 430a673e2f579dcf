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
use model::World;
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
const STRETCH_STEPS: usize = 100;

/// Result of a search.
#[derive(Debug)]
struct Outcome {
    broken: Option<&'static str>,
}

fn search(name: &str, start: World) -> Outcome {
    let begun = time::Instant::now();
    let mut states = 0;
    let reached = bfs::bfs_reach(start, |world| {
        let actions = world.list_actions();
        let next: Vec<World> = actions.iter().map(|action| world.after(*action)).collect();
        next
    });
    let mut broken = None;
    for world in reached.take(MAX_STATES) {
        states += 1;
        broken = world.broken;
        if broken.is_some() {
            break;
        }
    }
    let millis = begun.elapsed().as_millis();
    println!("{name}: {states} states in {millis} ms, broken: {broken:?}");
    Outcome { broken }
}

/// Budget of a random run, refilled every [`STRETCH_STEPS`] steps.
const STRETCH: Budget = Budget {
    beats: 12,
    campaigns: 4,
    compactions: 1,
    crashes: 2,
    losses: 1,
    proposals: 4,
    repeats: 4,
    restores: 1,
    reviews: 4,
};

/// Performs random actions, far beyond the depth of the searches, and returns the final state.
fn run_at_random(seed: u64, bug: Bug) -> World {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut world = World::new(4, bug).slow().bound(RANDOM_MESSAGES, STRETCH);
    for step in 0..RANDOM_STEPS {
        let mut actions = world.list_actions();
        if step % STRETCH_STEPS == 0 || actions.is_empty() {
            world.refill(STRETCH);
            world.copy_disk(rng.random_range(0..4));
            actions = world.list_actions();
        }
        // Unless most messages arrive, nothing is ever committed.
        if rng.random_bool(DELIVERED_SHARE) {
            actions.retain(|action| matches!(action, Action::Deliver(_) | Action::Restart(_)));
        }
        if let Some(action) = actions.choose(&mut rng) {
            world = world.after(*action);
        }
    }
    world
}

/// Checks that once all faults have ended, a leader commits again and every host is a member.
fn assert_heals(world: &mut World, seed: u64) {
    world.heal();
    let committed = world.ghost.committed.len();
    let leader = world.find_leader();
    let leader = leader.unwrap_or_else(|| panic!("no leader, seed {seed}: {:#?}", world.hosts));
    world.take(Action::Propose(leader));
    world.settle();
    assert!(
        world.ghost.committed.len() > committed,
        "no commit, seed {seed}"
    );
    assert!(world.is_repaired(), "not repaired, seed {seed}");
    assert_eq!(world.broken, None, "seed {seed}");
}

#[test]
fn random_runs_keep_every_property() {
    let mut committed = 0;
    let mut terms = 0;
    for seed in 0..RANDOM_RUNS {
        let mut world = run_at_random(seed, Bug::None);
        assert_eq!(world.broken, None, "seed {seed}");
        assert_heals(&mut world, seed);
        committed += world.ghost.committed.len();
        terms += world.ghost.count_leaders();
    }
    println!("random: {terms} terms with a leader");
    println!("random: {RANDOM_RUNS} runs of {RANDOM_STEPS} steps, {committed} entries committed");
}

fn assert_holds(name: &str, start: World) {
    let outcome = search(name, start);
    assert_eq!(outcome.broken, None, "{name}");
}

fn assert_found(name: &str, start: World, property: &'static str) {
    let outcome = search(name, start.watch(property));
    assert_eq!(outcome.broken, Some(property), "{name}");
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
fn an_unseen_old_copy_keeps_every_property() {
    assert_holds("unseen copy", scenario::prepare_unseen_copy(Bug::None));
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
fn list_voters(world: &World, index: usize) -> Vec<String> {
    let log = world.hosts[index].log.as_ref().expect("a running host");
    let voters = log.store().roster().voters.iter();
    voters
        .map(|voter| String::from_utf8_lossy(&voter.name).into_owned())
        .collect()
}

#[test]
fn a_new_host_takes_the_place_of_one_that_is_gone() {
    let mut world = World::new_open(4, Bug::None);
    world.crash(2);
    world.take(Action::Campaign(3));
    world.settle();
    scenario::notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "d"]);
    assert_eq!(list_voters(&world, 3), ["a", "b", "d"]);
}

#[test]
fn a_silent_voter_stays_while_too_few_others_would() {
    let mut world = World::new_open(3, Bug::None);
    world.crash(2);
    scenario::notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c"]);
}

#[test]
fn a_removed_voter_that_runs_on_is_let_in_again() {
    let mut world = World::new_open(4, Bug::None);
    world.take(Action::Campaign(3));
    world.settle();
    scenario::notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c", "d"]);
    world.crash(2);
    scenario::notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "d"]);
    world.take(Action::Restart(2));
    world.net.clear();
    world.take(Action::Campaign(2));
    world.settle();
    scenario::notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c", "d"]);
}

#[test]
fn snapshots_keep_every_property() {
    assert_holds("snapshot", scenario::prepare_snapshot(Bug::None));
}

#[test]
fn an_unsynced_vote_is_found() {
    let start = scenario::prepare_vote(Bug::ForgetHard);
    assert_found("unsynced vote", start, "a member votes once a term");
}

#[test]
fn a_vote_counted_twice_is_found() {
    let start = scenario::prepare_ballots(Bug::CountTwice);
    assert_found("vote counted twice", start, "a term has one leader");
}

#[test]
fn unsynced_entries_are_found() {
    let start = scenario::prepare_commit(Bug::ForgetEntries);
    assert_found(
        "unsynced entries",
        start,
        "a leader holds everything committed",
    );
}

#[test]
fn a_lost_disk_under_its_former_id_is_found() {
    let start = scenario::prepare_loss(Bug::KeepIdentity);
    assert_found("former id", start, "a leader holds everything committed");
}

#[test]
fn a_replacing_host_that_forgets_is_found() {
    let start = scenario::prepare_replaced(Bug::ForgetEntries);
    assert_found("forgetful", start, "a leader holds everything committed");
}

#[test]
fn a_trusted_old_copy_is_found() {
    let start = scenario::prepare_copy(Bug::TrustCopy);
    assert_found("trusted copy", start, "a leader holds everything committed");
}

#[test]
fn entries_that_follow_others_are_found() {
    let start = scenario::prepare_conflict(Bug::MixTerms);
    assert_found("mixed terms", start, "logs match");
}

#[test]
fn a_changed_entry_is_found() {
    let start = scenario::prepare_crash(Bug::ForgetEntries);
    assert_found("changed entry", start, "a committed entry never changes");
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
fn fresh_hosts_found_no_second_log_beside_one_that_has_one() {
    let mut world = World::new(4, Bug::None);
    world.heal();
    assert!(world.is_repaired());
    for index in 0..3 {
        world.take(Action::LoseDisk(index));
    }
    for _round in 0..3 {
        world.settle();
        world.take(Action::Campaign(0));
    }
    world.settle();
    let logs = world.hosts.iter().take(3).flat_map(|host| &host.log);
    let lasts: Vec<u64> = logs.map(|log| log.store().last().index).collect();
    assert_eq!(lasts, [0, 0, 0]);
}
