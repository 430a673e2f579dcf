//! Initial states of the searches.

use super::Action;
use super::Budget;
use super::Bug;
use super::World;

/// Maximum number of messages in transit.
const MAX_MESSAGES: usize = 5;

/// Two candidates in one term.
pub(crate) fn prepare_ballots(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    world.crash(0);
    world.take(Action::Restart(0));
    world.net.clear();
    world = world.bound(MAX_MESSAGES, Budget::default());
    world.take(Action::Campaign(1));
    world.take(Action::Campaign(2));
    world
}

/// `a` and `b` have stored a command, then `b` crashed.
pub(crate) fn prepare_crash(bug: Bug) -> World {
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
    // All other messages are lost.
    world.net.clear();
    world
}

/// An election between two commands.
pub(crate) fn prepare_conflict(bug: Bug) -> World {
    World::new(3, bug).bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 1,
            proposals: 2,
            ..Budget::default()
        },
    )
}

/// Two elections against an existing leader, a command, and a duplicated message.
pub(crate) fn prepare_election(bug: Bug) -> World {
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

/// Two elections and a crash at any point.
pub(crate) fn prepare_vote(bug: Bug) -> World {
    World::new(3, bug).bound(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            crashes: 1,
            ..Budget::default()
        },
    )
}

/// A command, a crash at any point, and an election.
pub(crate) fn prepare_commit(bug: Bug) -> World {
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

/// `a` and `c` have committed a command while `b` was down; then `c` may restart from a disk copy
/// made before the command.
pub(crate) fn prepare_copy(bug: Bug) -> World {
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

/// Like [`prepare_copy`], but `c` cannot tell that its disk is a copy. `b` has seen a process of
/// `c` that started after the copy was made.
pub(crate) fn prepare_unseen_copy(bug: Bug) -> World {
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

/// `a` and `c` have committed a command while `b` was down; then one host may lose its disk.
pub(crate) fn prepare_loss(bug: Bug) -> World {
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

/// A lost disk is being replaced; a second one may be lost as soon as the replacement is complete.
pub(crate) fn prepare_second_loss(bug: Bug) -> World {
    let mut world = World::new(3, bug);
    commit_without(&mut world, 1);
    world.take(Action::LoseDisk(2));
    world.settle();
    // The leader finds that the former disk no longer answers, then admits the new one.
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
pub(crate) fn prepare_join(bug: Bug) -> World {
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

/// Host `c` is permanently down and `d` asks to join; a running host may crash.
pub(crate) fn prepare_replacement(bug: Bug) -> World {
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

/// `d` has replaced `c`. Only `a` and `d` have stored a command, then `d` crashed.
pub(crate) fn prepare_replaced(bug: Bug) -> World {
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
    // All other messages are lost.
    world.net.clear();
    world
}

/// A host that is behind receives a snapshot in chunks while the leader may change.
pub(crate) fn prepare_snapshot(bug: Bug) -> World {
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

/// Commits a command while one host is down, then restarts that host.
fn commit_without(world: &mut World, index: usize) {
    world.crash(index);
    world.take(Action::Propose(0));
    world.settle();
    assert_eq!(world.ghost.committed.len(), 3, "roster, no-op and command");
    world.take(Action::Restart(index));
}

/// Runs enough quorum checks and heartbeats on the leader `a` to detect silent voters and complete
/// the membership changes.
pub(crate) fn notice_silence(world: &mut World) {
    for _round in 0..4 {
        world.take(Action::Review(0));
        world.settle();
        world.take(Action::Beat(0));
        world.settle();
    }
}
