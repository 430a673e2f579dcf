//! Initial states of the searches.

use super::Action;
use super::Budget;
use super::Bug;
use super::Model;

/// Maximum number of messages in transit.
const MAX_MESSAGES: usize = 5;

/// Two candidates in one term.
pub(crate) fn prepare_ballots(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    model.crash(0);
    model.perform(Action::Restart(0));
    model.network.clear();
    model = model.with_limits(MAX_MESSAGES, Budget::default());
    model.perform(Action::Campaign(1));
    model.perform(Action::Campaign(2));
    model
}

/// `a` and `b` have stored a command, then `b` crashed.
pub(crate) fn prepare_crash(bug: Bug) -> Model {
    let budget = Budget {
        heartbeats: 1,
        campaigns: 1,
        ..Budget::default()
    };
    let mut model = Model::new(3, bug)
        .delay_discovery()
        .with_limits(MAX_MESSAGES, budget);
    model.perform(Action::Propose(0));
    model.deliver_first(0, 1);
    model.deliver_first(1, 0);
    model.crash(1);
    // All other messages are lost.
    model.network.clear();
    model
}

/// An election between two commands.
pub(crate) fn prepare_conflict(bug: Bug) -> Model {
    Model::new(3, bug).with_limits(
        MAX_MESSAGES,
        Budget {
            campaigns: 1,
            proposals: 2,
            ..Budget::default()
        },
    )
}

/// Two elections against an existing leader, a command, and a duplicated message.
pub(crate) fn prepare_election(bug: Bug) -> Model {
    Model::new(3, bug).with_limits(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            proposals: 1,
            duplicates: 1,
            ..Budget::default()
        },
    )
}

/// Two elections and a crash at any point.
pub(crate) fn prepare_vote(bug: Bug) -> Model {
    Model::new(3, bug).with_limits(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            crashes: 1,
            ..Budget::default()
        },
    )
}

/// A command, a crash at any point, and an election.
pub(crate) fn prepare_commit(bug: Bug) -> Model {
    Model::new(3, bug).delay_discovery().with_limits(
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
pub(crate) fn prepare_copy(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    model.copy_disk(2);
    commit_without(&mut model, 1);
    model.delay_discovery().with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 1,
            campaigns: 2,
            copy_restores: 1,
            ..Budget::default()
        },
    )
}

/// Like [`prepare_copy`], but `c` cannot tell that its disk is a copy. `b` has seen a process of
/// `c` that started after the copy was made.
pub(crate) fn prepare_hidden_copy(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    model.copy_disk(2);
    model.crash(2);
    model.perform(Action::Restart(2));
    model.deliver_all();
    commit_without(&mut model, 1);
    model.hide_copies().delay_discovery().with_limits(
        MAX_MESSAGES,
        Budget {
            campaigns: 2,
            copy_restores: 1,
            ..Budget::default()
        },
    )
}

/// `a` and `c` have committed a command while `b` was down; then one host may lose its disk.
pub(crate) fn prepare_loss(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    commit_without(&mut model, 1);
    model.delay_discovery().with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 1,
            campaigns: 2,
            disk_losses: 1,
            quorum_checks: 1,
            ..Budget::default()
        },
    )
}

/// A lost disk is being replaced; a second one may be lost as soon as the replacement is complete.
pub(crate) fn prepare_second_loss(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    commit_without(&mut model, 1);
    model.perform(Action::LoseDisk(2));
    model.deliver_all();
    // The leader finds that the former disk no longer answers, then admits the new one.
    model.perform(Action::CheckQuorum(0));
    model.perform(Action::Heartbeat(0));
    model.deliver_all();
    model.perform(Action::Campaign(2));
    model.deliver_all();
    model.with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 2,
            campaigns: 1,
            disk_losses: 1,
            ..Budget::default()
        },
    )
}

/// A fourth host joins while the leader may change.
pub(crate) fn prepare_join(bug: Bug) -> Model {
    let mut model = Model::new(4, bug);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    model.with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 2,
            campaigns: 2,
            proposals: 1,
            ..Budget::default()
        },
    )
}

/// Host `c` is down and `d` has joined to replace it; a running host may crash.
pub(crate) fn prepare_replacement(bug: Bug) -> Model {
    let mut model = Model::new_open(4, bug);
    model.crash(2);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    model.delay_discovery().with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 3,
            campaigns: 1,
            crashes: 1,
            proposals: 1,
            quorum_checks: 2,
            ..Budget::default()
        },
    )
}

/// `d` has replaced `c`. Only `a` and `d` have stored a command, then `d` crashed.
pub(crate) fn prepare_replaced(bug: Bug) -> Model {
    let mut model = Model::new_open(4, bug);
    model.crash(2);
    model.perform(Action::Campaign(3));
    model.deliver_all();
    detect_silent_voters(&mut model);
    let budget = Budget {
        heartbeats: 1,
        campaigns: 1,
        ..Budget::default()
    };
    model = model.delay_discovery().with_limits(MAX_MESSAGES, budget);
    model.perform(Action::Propose(0));
    model.deliver_first(0, 3);
    model.deliver_first(3, 0);
    model.crash(3);
    // All other messages are lost.
    model.network.clear();
    model
}

/// A host that is behind receives a snapshot in chunks while the leader may change.
pub(crate) fn prepare_snapshot(bug: Bug) -> Model {
    let mut model = Model::new(3, bug);
    commit_without(&mut model, 1);
    model.perform(Action::Compact(0));
    model.with_limits(
        MAX_MESSAGES,
        Budget {
            heartbeats: 2,
            campaigns: 1,
            compactions: 1,
            crashes: 1,
            duplicates: 1,
            ..Budget::default()
        },
    )
}

/// Commits a command while one host is down, then restarts that host.
fn commit_without(model: &mut Model, index: usize) {
    model.crash(index);
    model.perform(Action::Propose(0));
    model.deliver_all();
    assert_eq!(
        model.history.committed.len(),
        3,
        "roster, no-op and command"
    );
    model.perform(Action::Restart(index));
}

/// Runs enough quorum checks and heartbeats on the leader `a` to detect silent voters and complete
/// the membership changes.
pub(crate) fn detect_silent_voters(model: &mut Model) {
    for _round in 0..4 {
        model.perform(Action::CheckQuorum(0));
        model.deliver_all();
        model.perform(Action::Heartbeat(0));
        model.deliver_all();
    }
}
