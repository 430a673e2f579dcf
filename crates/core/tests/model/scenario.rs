//! Worlds that a search begins with.

use super::Action;
use super::Budget;
use super::Bug;
use super::World;

/// Messages on their way at most.
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

/// A command that `a` and `b` have stored; `b` has crashed since.
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
    // The rest is lost.
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

/// Two elections beside a leader, a command, and messages that arrive twice.
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

/// Two elections and a crash at any moment.
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

/// A command, a crash at any moment, an election.
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

/// A command committed by `a` and `c` only; then `c` starts on a copy made before it.
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

/// The same with a copy that nothing on the host tells; `b` has seen a later start of `c`.
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

/// A command committed by `a` and `c` only; then one host loses its disk.
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

/// A lost disk is being replaced; a second one is lost as soon as that is done.
pub(crate) fn prepare_second_loss(bug: Bug) -> World {
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

/// Host `c` is gone for good and `d` has taken its place, while `a` and `b` may crash.
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

/// `d` has taken the place of `c` and has stored a command with `a` alone; `d` has crashed since.
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
    // The rest is lost.
    world.net.clear();
    world
}

/// A host that lags gets a snapshot in parts while the leader may change.
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

/// Commits a command while one host is down, and starts that host again.
fn commit_without(world: &mut World, index: usize) {
    world.crash(index);
    world.take(Action::Propose(0));
    world.settle();
    assert_eq!(world.ghost.committed.len(), 3, "roster, no-op and command");
    world.take(Action::Restart(index));
}

/// Lets the leader `a` notice who is silent, and change the members as often as needed.
pub(crate) fn notice_silence(world: &mut World) {
    for _round in 0..4 {
        world.take(Action::Review(0));
        world.settle();
        world.take(Action::Beat(0));
        world.settle();
    }
}
