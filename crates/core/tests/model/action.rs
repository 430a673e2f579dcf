//! Actions of the model, and limits on how often each may occur.

use peargap_core::log;
use peargap_core::log::entry;
use peargap_core::log::member;

use super::Model;

/// Remaining number of times that each kind of action may occur.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Budget {
    pub(crate) heartbeats: u8,
    pub(crate) campaigns: u8,
    pub(crate) compactions: u8,
    pub(crate) crashes: u8,
    pub(crate) disk_losses: u8,
    pub(crate) proposals: u8,
    pub(crate) duplicates: u8,
    pub(crate) copy_restores: u8,
    pub(crate) quorum_checks: u8,
}

/// A transition to another state of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    Heartbeat(usize),
    Campaign(usize),
    Compact(usize),
    Crash(usize),
    Deliver(usize),
    /// Delivers a message; the receiver crashes after carrying out this many of its effects.
    DeliverAndCrash(usize, usize),
    LoseDisk(usize),
    Propose(usize),
    Duplicate(usize),
    Restart(usize),
    RestoreCopy(usize),
    CheckQuorum(usize),
}

impl Model {
    /// Returns all actions that are possible in this state.
    pub(crate) fn list_actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.violated.is_some() {
            return actions;
        }
        for index in 0..self.network.len() {
            actions.push(Action::Deliver(index));
            if self.budget.duplicates > 0 {
                actions.push(Action::Duplicate(index));
            }
            if self.budget.crashes > 0 {
                actions.push(Action::DeliverAndCrash(index, 1));
                actions.push(Action::DeliverAndCrash(index, 2));
            }
        }
        for index in 0..self.hosts.len() {
            self.list_host_actions(index, &mut actions);
        }
        actions
    }

    fn list_host_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let host = &self.hosts[index];
        let budget = self.budget;
        let Some(log) = &host.log else {
            actions.push(Action::Restart(index));
            return;
        };
        let leads = log.role() == log::Role::Leader;
        let mut add = |allowed: bool, action| {
            if allowed {
                actions.push(action);
            }
        };
        add(leads && budget.heartbeats > 0, Action::Heartbeat(index));
        add(!leads && budget.campaigns > 0, Action::Campaign(index));
        add(leads && budget.proposals > 0, Action::Propose(index));
        add(
            leads && budget.quorum_checks > 0,
            Action::CheckQuorum(index),
        );
        add(budget.crashes > 0, Action::Crash(index));
        let repaired = self.is_repaired();
        add(budget.disk_losses > 0 && repaired, Action::LoseDisk(index));
        let has_copy = host.copy.is_some() && repaired;
        add(
            budget.copy_restores > 0 && has_copy,
            Action::RestoreCopy(index),
        );
        let compactable = log.commit() > log.store().snapshot().position.index;
        add(
            budget.compactions > 0 && compactable,
            Action::Compact(index),
        );
    }

    /// Returns whether enough hosts are voters, and every member of the committed roster and of the
    /// rosters stored on the hosts still has its disk, not an old copy of it.
    pub(crate) fn is_repaired(&self) -> bool {
        let mut rosters = self.history.committed.iter().rev();
        let roster = rosters.find_map(|entry| match &entry.payload {
            entry::Payload::Roster(roster) => Some(roster),
            entry::Payload::Command(_) | entry::Payload::Noop => None,
        });
        let is_present = |voter: &member::Member| {
            let mut hosts = self.hosts.iter();
            hosts.any(|host| host.disk.me == *voter && !host.outdated)
        };
        roster.is_some_and(|roster| {
            let names = self.hosts.iter().map(|host| &host.disk.me.name);
            let known = names.filter(|name| roster.find_voter(name).is_some());
            let mut members = roster.voters.iter().chain(&roster.learners);
            known.count() >= super::INITIAL_VOTERS && members.all(is_present)
        }) && self.hosts.iter().all(|host| {
            let roster = host.disk.store.roster();
            let mut members = roster.voters.iter().chain(&roster.learners);
            members.all(is_present)
        })
    }

    /// Deducts an action from the budget.
    pub(crate) fn spend(&mut self, action: Action) {
        let budget = &mut self.budget;
        match action {
            Action::Heartbeat(_) => budget.heartbeats -= 1,
            Action::Campaign(_) => budget.campaigns -= 1,
            Action::Compact(_) => budget.compactions -= 1,
            Action::Crash(_) | Action::DeliverAndCrash(_, _) => budget.crashes -= 1,
            Action::LoseDisk(_) => budget.disk_losses -= 1,
            Action::Propose(_) => budget.proposals -= 1,
            Action::Duplicate(_) => budget.duplicates -= 1,
            Action::RestoreCopy(_) => budget.copy_restores -= 1,
            Action::CheckQuorum(_) => budget.quorum_checks -= 1,
            Action::Deliver(_) | Action::Restart(_) => {}
        }
    }
}
