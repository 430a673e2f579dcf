//! Model checking of the replicated log: breadth first over the real machines.
//!
//! Each scenario states its bounds and prints how many states it saw. A planted bug for each
//! property must be found within the same bounds.

mod model;

use std::time;

use model::Action;
use model::Budget;
use model::Bug;
use model::World;
use pathfinding::directed::bfs;
use rand::seq::IndexedRandom as _;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// States of one scenario at most.
const MAX_STATES: usize = 30_000;
/// Messages on their way at most.
const MAX_MESSAGES: usize = 5;

/// Part of a random run's steps that deliver a message.
const DELIVERED_SHARE: f64 = 0.8;
/// Messages on their way at most in a random run.
const RANDOM_MESSAGES: usize = 12;
/// Random runs, one for each seed from 0 on.
const RANDOM_RUNS: u64 = 500;
/// Steps of a random run.
const RANDOM_STEPS: usize = 1_000;
/// Steps after which everything may happen again.
const STRETCH_STEPS: usize = 100;

/// What a search found.
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

/// Two candidates in one term.
fn prepare_ballots(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    world.crash(0);
    world.take(Action::Restart(0));
    world.net.clear();
    world = world.bound(MAX_MESSAGES, Budget::default());
    world.take(Action::Campaign(1));
    world.take(Action::Campaign(2));
    world
}

/// A command that `a` and `b` have stored; `b` has crashed since.
fn prepare_crash(bug: Bug) -> World {
    let budget = Budget {
        beats: 1,
        campaigns: 1,
        ..Budget::default()
    };
    let mut world = World::new(3, bug).slow().bound(MAX_MESSAGES, budget);
    world.take(Action::Propose(0));
    world.pass(0, 1);
    world.pass(1, 0);
    world.crash(1);
    // The rest is lost.
    world.net.clear();
    world
}

/// An election between two commands.
fn prepare_conflict(bug: Bug) -> World {
    World::new(3, bug).bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 1,
            proposals: 2,
            ..Budget::default()
        },
    )
}

/// Two elections beside a leader, a command, and messages that arrive twice.
fn prepare_election(bug: Bug) -> World {
    World::new(3, bug).bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            proposals: 1,
            repeats: 1,
            ..Budget::default()
        },
    )
}

/// Two elections and a crash at any moment.
fn prepare_vote(bug: Bug) -> World {
    World::new(3, bug).bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            crashes: 1,
            ..Budget::default()
        },
    )
}

/// A command, a crash at any moment, an election.
fn prepare_commit(bug: Bug) -> World {
    World::new(3, bug).slow().bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 1,
            crashes: 1,
            proposals: 1,
            ..Budget::default()
        },
    )
}

/// A command committed by `a` and `c` only; then `c` starts on a copy made before it.
fn prepare_copy(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    world.copy_disk(2);
    commit_without(&mut world, 1);
    world.slow().bound(
        MAX_MESSAGES,
        Budget {
            beats: 1,
            campaigns: 2,
            restores: 1,
            ..Budget::default()
        },
    )
}

/// The same with a copy that nothing on the host tells; `b` has seen a later start of `c`.
fn prepare_unseen_copy(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    world.copy_disk(2);
    world.crash(2);
    world.take(Action::Restart(2));
    world.settle();
    commit_without(&mut world, 1);
    world.unseen().slow().bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            restores: 1,
            ..Budget::default()
        },
    )
}

/// A command committed by `a` and `c` only; then one host loses its disk.
fn prepare_loss(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    commit_without(&mut world, 1);
    world.slow().bound(
        MAX_MESSAGES,
        Budget {
            beats: 1,
            campaigns: 2,
            losses: 1,
            reviews: 1,
            ..Budget::default()
        },
    )
}

/// A lost disk is being replaced; a second one is lost as soon as that is done.
fn prepare_second_loss(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    commit_without(&mut world, 1);
    world.take(Action::LoseDisk(2));
    world.settle();
    // The leader notices that the former disk is silent, then lets the new one in.
    world.take(Action::Review(0));
    world.take(Action::Beat(0));
    world.settle();
    world.take(Action::Campaign(2));
    world.settle();
    world.bound(
        MAX_MESSAGES,
        Budget {
            beats: 2,
            campaigns: 1,
            losses: 1,
            ..Budget::default()
        },
    )
}

/// A fourth host joins while the leader may change.
fn prepare_join(bug: Bug) -> World {
    let mut world = World::new(4, bug);
    world.take(Action::Campaign(3));
    world.settle();
    world.bound(
        MAX_MESSAGES,
        Budget {
            beats: 2,
            campaigns: 2,
            proposals: 1,
            ..Budget::default()
        },
    )
}

/// Host `c` is gone for good and `d` has taken its place, while `a` and `b` may crash.
fn prepare_replacement(bug: Bug) -> World {
    let mut world = World::new_open(4, bug);
    world.crash(2);
    world.take(Action::Campaign(3));
    world.settle();
    world.slow().bound(
        MAX_MESSAGES,
        Budget {
            beats: 3,
            campaigns: 1,
            crashes: 1,
            proposals: 1,
            reviews: 2,
            ..Budget::default()
        },
    )
}

/// `d` has taken the place of `c` and has stored a command with `a` alone; `d` has crashed since.
fn prepare_replaced(bug: Bug) -> World {
    let mut world = World::new_open(4, bug);
    world.crash(2);
    world.take(Action::Campaign(3));
    world.settle();
    notice_silence(&mut world);
    let budget = Budget {
        beats: 1,
        campaigns: 1,
        ..Budget::default()
    };
    world = world.slow().bound(MAX_MESSAGES, budget);
    world.take(Action::Propose(0));
    world.pass(0, 3);
    world.pass(3, 0);
    world.crash(3);
    // The rest is lost.
    world.net.clear();
    world
}

/// A host that lags gets a snapshot in parts while the leader may change.
fn prepare_snapshot(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    commit_without(&mut world, 1);
    world.take(Action::Compact(0));
    world.bound(
        MAX_MESSAGES,
        Budget {
            beats: 2,
            campaigns: 1,
            compactions: 1,
            crashes: 1,
            repeats: 1,
            ..Budget::default()
        },
    )
}

/// Commits a command while one host is down, and starts that host again.
fn commit_without(world: &mut World, index: usize) {
    world.crash(index);
    world.take(Action::Propose(0));
    world.settle();
    assert_eq!(world.ghost.committed.len(), 3, "roster, no-op and command");
    world.take(Action::Restart(index));
}

/// What may happen in one stretch of a random run.
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

/// Runs at random, far beyond the depth of the searches; returns what is broken.
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
        // Most messages arrive, or nothing would ever be committed.
        if rng.random_bool(DELIVERED_SHARE) {
            actions.retain(|action| matches!(action, Action::Deliver(_) | Action::Restart(_)));
        }
        if let Some(action) = actions.choose(&mut rng) {
            world = world.after(*action);
        }
    }
    world
}

/// Checks that without faults a leader commits again and every host comes back.
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
    assert_holds("election", prepare_election(Bug::None));
}

#[test]
fn crashes_in_elections_keep_every_property() {
    assert_holds("vote", prepare_vote(Bug::None));
}

#[test]
fn crashes_in_commits_keep_every_property() {
    assert_holds("commit", prepare_commit(Bug::None));
}

#[test]
fn an_old_copy_keeps_every_property() {
    assert_holds("old copy", prepare_copy(Bug::None));
}

#[test]
fn an_unseen_old_copy_keeps_every_property() {
    assert_holds("unseen copy", prepare_unseen_copy(Bug::None));
}

#[test]
fn a_lost_disk_keeps_every_property() {
    assert_holds("lost disk", prepare_loss(Bug::None));
}

#[test]
fn a_second_loss_after_a_repair_keeps_every_property() {
    assert_holds("second loss", prepare_second_loss(Bug::None));
}

#[test]
fn a_fourth_host_keeps_every_property() {
    assert_holds("join", prepare_join(Bug::None));
}

#[test]
fn a_replaced_host_keeps_every_property() {
    assert_holds("replacement", prepare_replacement(Bug::None));
    assert_holds("replaced", prepare_replaced(Bug::None));
}

/// Returns the names of the voters that a host knows.
fn list_voters(world: &World, index: usize) -> Vec<String> {
    let log = world.hosts[index].log.as_ref().expect("a running host");
    let voters = log.store().roster().voters.iter();
    voters
        .map(|voter| String::from_utf8_lossy(&voter.name).into_owned())
        .collect()
}

/// Lets the leader `a` notice who is silent, and change the members as often as needed.
fn notice_silence(world: &mut World) {
    for _round in 0..4 {
        world.take(Action::Review(0));
        world.settle();
        world.take(Action::Beat(0));
        world.settle();
    }
}

#[test]
fn a_new_host_takes_the_place_of_one_that_is_gone() {
    let mut world = World::new_open(4, Bug::None);
    world.crash(2);
    world.take(Action::Campaign(3));
    world.settle();
    notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "d"]);
    assert_eq!(list_voters(&world, 3), ["a", "b", "d"]);
}

#[test]
fn a_silent_voter_stays_while_too_few_others_would() {
    let mut world = World::new_open(3, Bug::None);
    world.crash(2);
    notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c"]);
}

#[test]
fn a_removed_voter_that_runs_on_is_let_in_again() {
    let mut world = World::new_open(4, Bug::None);
    world.take(Action::Campaign(3));
    world.settle();
    notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c", "d"]);
    world.crash(2);
    notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "d"]);
    world.take(Action::Restart(2));
    world.net.clear();
    world.take(Action::Campaign(2));
    world.settle();
    notice_silence(&mut world);
    assert_eq!(list_voters(&world, 0), ["a", "b", "c", "d"]);
}

#[test]
fn snapshots_keep_every_property() {
    assert_holds("snapshot", prepare_snapshot(Bug::None));
}

#[test]
fn an_unsynced_vote_is_found() {
    let start = prepare_vote(Bug::ForgetHard);
    assert_found("unsynced vote", start, "a member votes once a term");
}

#[test]
fn a_vote_counted_twice_is_found() {
    let start = prepare_ballots(Bug::CountTwice);
    assert_found("vote counted twice", start, "a term has one leader");
}

#[test]
fn unsynced_entries_are_found() {
    let start = prepare_commit(Bug::ForgetEntries);
    assert_found(
        "unsynced entries",
        start,
        "a leader holds everything committed",
    );
}

#[test]
fn a_lost_disk_under_its_former_id_is_found() {
    let start = prepare_loss(Bug::KeepIdentity);
    assert_found("former id", start, "a leader holds everything committed");
}

#[test]
fn a_replacing_host_that_forgets_is_found() {
    let start = prepare_replaced(Bug::ForgetEntries);
    assert_found("forgetful", start, "a leader holds everything committed");
}

#[test]
fn a_trusted_old_copy_is_found() {
    let start = prepare_copy(Bug::TrustCopy);
    assert_found("trusted copy", start, "a leader holds everything committed");
}

#[test]
fn entries_that_follow_others_are_found() {
    let start = prepare_conflict(Bug::MixTerms);
    assert_found("mixed terms", start, "logs match");
}

#[test]
fn a_changed_entry_is_found() {
    let start = prepare_crash(Bug::ForgetEntries);
    assert_found("changed entry", start, "a committed entry never changes");
}

#[test]
fn two_candidates_keep_every_property() {
    assert_holds("ballots", prepare_ballots(Bug::None));
}

#[test]
fn a_crash_after_a_commit_keeps_every_property() {
    assert_holds("crash", prepare_crash(Bug::None));
}

#[test]
fn conflicting_commands_keep_every_property() {
    assert_holds("conflict", prepare_conflict(Bug::None));
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
