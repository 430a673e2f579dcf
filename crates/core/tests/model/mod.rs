//! Model of a few control hosts that run the real log implementation.
//!
//! A state holds the hosts with their disks, the messages in transit, and the history of elections
//! and commits. Messages may be reordered, lost or duplicated. Hosts may crash between any two
//! effects, lose their disks, or restart from an old copy of one.

mod action;
mod bug;
mod check;
mod recovery;
pub(crate) mod scenario;
mod shared;

use std::collections;
use std::sync;

use bytes::Bytes;
use peargap_core::log;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use peargap_core::log::message;
use peargap_core::log::store;

pub(crate) use action::Action;
pub(crate) use action::Budget;
pub(crate) use bug::Bug;
use shared::Shared;

/// Number of voters at the start of every scenario.
pub(crate) const INITIAL_VOTERS: usize = 3;
/// Generation higher than any real one, which makes a disk appear newer than any state seen of it.
const FORGED_GENERATION: u64 = 1_000;

/// Contents of a disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Disk {
    pub(crate) hard: effect::Hard,
    pub(crate) me: member::Member,
    pub(crate) store: store::Store,
}

/// One host of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Host {
    /// Whether the host can tell that its files are a copy.
    pub(crate) copied: bool,
    /// Earlier copy of the disk, if one was made.
    pub(crate) copy: Option<Disk>,
    pub(crate) disk: Disk,
    /// The running process, if any.
    pub(crate) log: Option<log::Log>,
    /// Whether the disk is an old copy, which counts as lost.
    pub(crate) outdated: bool,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Model {
    /// Property violated in this state, if any.
    pub(crate) violated: Option<&'static str>,
    pub(crate) budget: Budget,
    pub(crate) bug: Bug,
    pub(crate) history: Shared<History>,
    pub(crate) hosts: Vec<Shared<Host>>,
    /// Whether discovery messages are delivered immediately, as pre-votes always are, so that the
    /// search gets deeper.
    immediate_discovery: bool,
    /// Maximum number of messages in transit; further ones are lost. `usize::MAX` while the
    /// scenario is being set up.
    message_limit: usize,
    pub(crate) network: Vec<Shared<message::Message>>,
    next_disk: u64,
    next_run: u64,
    /// The only property to check; `None` checks all.
    checked_property: Option<&'static str>,
    settings: sync::Arc<log::Settings>,
    /// Whether old copies of disks can be detected only through the stamps that other hosts have
    /// seen.
    hidden_copies: bool,
}

/// History of the whole run, used only to check properties; no host can read it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct History {
    /// Every committed entry, starting at index 1.
    pub(crate) committed: Vec<entry::Entry>,
    /// Term in which each committed entry was first seen committed.
    commit_terms: Vec<u64>,
    /// Leader of each term.
    leaders: collections::BTreeMap<u64, member::Member>,
    /// Votes cast, by term and voter.
    votes: collections::BTreeMap<(u64, member::Member), member::Member>,
}

impl Host {
    /// Replaces the disk.
    fn replace(&mut self, disk: Disk) {
        self.copied = false;
        self.disk = disk;
        self.outdated = false;
    }
}

impl History {
    /// Returns the number of terms that had a leader.
    pub(crate) fn count_leaders(&self) -> usize {
        self.leaders.len()
    }
}

impl Model {
    /// Creates `count` hosts, the first three of which have bootstrapped a log.
    pub(crate) fn new(count: usize, bug: Bug) -> Model {
        Model::form(count, bug, None)
    }

    /// Like [`Model::new`], but any host may join and silent voters are removed.
    pub(crate) fn new_open(count: usize, bug: Bug) -> Model {
        let open = log::OpenMembership {
            min_voters: INITIAL_VOTERS,
            missed_check_limit: 1,
        };
        Model::form(count, bug, Some(open))
    }

    fn form(count: usize, bug: Bug, open: Option<log::OpenMembership>) -> Model {
        let names: Vec<Bytes> = ["a", "b", "c", "d"][..count]
            .iter()
            .map(|name| Bytes::from_static(name.as_bytes()))
            .collect();
        let settings = log::Settings {
            batch_entries: 8,
            bootstrap: names[..INITIAL_VOTERS].iter().cloned().collect(),
            chunk_bytes: 1,
            keep_bytes: 0,
            keep_entries: 0,
            learner_lag: 0,
            open_membership: open,
            peers: names.iter().cloned().collect(),
        };
        let mut model = Model {
            violated: None,
            budget: Budget::default(),
            bug,
            history: Shared::new(History::default()),
            hosts: Vec::new(),
            immediate_discovery: true,
            message_limit: usize::MAX,
            network: Vec::new(),
            next_disk: 1,
            next_run: 1,
            checked_property: None,
            settings: sync::Arc::new(settings),
            hidden_copies: false,
        };
        for name in names {
            let disk = model.create_disk(name);
            let host = Host {
                copied: false,
                copy: None,
                disk,
                log: None,
                outdated: false,
            };
            model.hosts.push(Shared::new(host));
        }
        for index in 0..count {
            model.perform(Action::Restart(index));
        }
        model.deliver_all();
        model.perform(Action::Campaign(0));
        model.deliver_all();
        model
    }

    /// Limits the messages in transit and sets the budget, which ends the setup of a scenario.
    pub(crate) fn with_limits(mut self, limit: usize, budget: Budget) -> Model {
        self.message_limit = limit;
        self.budget = budget;
        self
    }

    /// Leaves no known hosts in the settings of the processes that start from now on.
    pub(crate) fn forget_peers(&mut self) {
        let mut settings = log::Settings::clone(&self.settings);
        settings.peers.clear();
        self.settings = sync::Arc::new(settings);
    }

    /// Checks only one property.
    pub(crate) fn check_only(mut self, property: &'static str) -> Model {
        self.checked_property = Some(property);
        self
    }

    /// Delivers discovery messages in any order, like other messages.
    pub(crate) fn delay_discovery(mut self) -> Model {
        self.immediate_discovery = false;
        self
    }

    /// Hides from restarted hosts that their disk is a copy.
    pub(crate) fn hide_copies(mut self) -> Model {
        self.hidden_copies = true;
        self
    }

    /// Delivers all messages in order, including those sent meanwhile, until none is left.
    pub(crate) fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.perform(Action::Deliver(0));
        }
    }

    /// Returns the state after an action, deducting it from the budget.
    pub(crate) fn after(&self, action: Action) -> Model {
        let mut model = self.clone();
        model.spend(action);
        model.perform(action);
        model
    }

    /// Performs an action.
    pub(crate) fn perform(&mut self, action: Action) {
        match action {
            Action::Heartbeat(index) => {
                self.handle(index, effect::Event::HeartbeatTimeout, usize::MAX)
            }
            Action::Campaign(index) => {
                // The other hosts may have missed the leader's heartbeats too.
                for other in 0..self.hosts.len() {
                    self.handle(other, effect::Event::LeaderTimeout, usize::MAX);
                }
                self.handle(index, effect::Event::ElectionTimeout, usize::MAX);
            }
            Action::Compact(index) => self.compact(index),
            Action::Crash(index) => self.crash(index),
            Action::Deliver(place) => {
                let message = self.network.remove(place);
                self.deliver(&message, usize::MAX);
            }
            Action::DeliverAndCrash(place, effects) => {
                let message = self.network.remove(place);
                if let Some(index) = self.deliver(&message, effects) {
                    self.crash(index);
                }
            }
            Action::LoseDisk(index) => self.lose_disk(index),
            Action::Propose(index) => {
                let proposal = effect::Proposal {
                    command: Bytes::from(vec![b'0' + self.budget.proposals]),
                    token: 0,
                };
                let event = effect::Event::Propose(vec![proposal]);
                self.handle(index, event, usize::MAX);
            }
            Action::Duplicate(place) => {
                let message = self.network[place].clone();
                self.deliver(&message, usize::MAX);
            }
            Action::Restart(index) => self.restart(index),
            Action::RestoreCopy(index) => self.restore_copy(index),
            Action::CheckQuorum(index) => {
                self.handle(index, effect::Event::CheckQuorum, usize::MAX)
            }
        }
    }

    /// Delivers the first message in transit from one host to another.
    pub(crate) fn deliver_first(&mut self, from: usize, to: usize) {
        let from = &self.hosts[from].disk.me.name;
        let to = &self.hosts[to].disk.me.name;
        let mut network = self.network.iter();
        let place =
            network.position(|message| message.from.name == *from && message.to.name == *to);
        self.perform(Action::Deliver(place.expect("a message in transit")));
    }

    /// Replaces the budget.
    pub(crate) fn refill(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Makes a copy of a host's current disk.
    pub(crate) fn copy_disk(&mut self, index: usize) {
        self.hosts[index].change(|host| host.copy = Some(host.disk.clone()));
    }

    /// Stops a host's process.
    pub(crate) fn crash(&mut self, index: usize) {
        self.hosts[index].change(|host| host.log = None);
    }

    fn create_disk(&mut self, name: Bytes) -> Disk {
        let disk = self.next_disk;
        self.next_disk += 1;
        Disk {
            hard: effect::Hard::default(),
            me: member::Member { name, disk },
            store: store::Store::default(),
        }
    }

    fn lose_disk(&mut self, index: usize) {
        let me = self.hosts[index].disk.me.clone();
        let mut disk = self.create_disk(me.name.clone());
        if self.bug == Bug::ReuseDiskId {
            disk.me = me;
            disk.hard.generation = FORGED_GENERATION;
        }
        self.hosts[index].change(|host| host.replace(disk));
        self.restart(index);
    }

    fn restore_copy(&mut self, index: usize) {
        let trust = self.bug == Bug::TrustCopy;
        let copied = !trust && !self.hidden_copies;
        self.hosts[index].change(|host| {
            if let Some(copy) = host.copy.take() {
                host.disk = copy;
            }
            host.copied = copied;
            host.outdated = true;
            if trust {
                host.disk.hard.generation = FORGED_GENERATION;
            }
        });
        self.restart(index);
    }

    fn restart(&mut self, index: usize) {
        let copied = self.hosts[index].copied;
        let disk = self.hosts[index].disk.clone();
        let mut settings = self.settings.as_ref().clone();
        settings.peers.remove(&disk.me.name);
        let (log, effects) = log::Log::start(log::Start {
            copied,
            hard: disk.hard,
            me: disk.me,
            run: self.next_run,
            settings: sync::Arc::new(settings),
            store: disk.store,
        });
        self.next_run += 1;
        self.hosts[index].change(|host| host.log = Some(log));
        self.carry_out(index, effects, usize::MAX);
    }

    fn compact(&mut self, index: usize) {
        let Some(log) = &self.hosts[index].log else {
            return;
        };
        let event = effect::Event::Compact {
            data: Bytes::from_static(b"xy"),
            index: log.commit(),
        };
        self.handle(index, event, usize::MAX);
    }

    /// Delivers a message to the host with the receiver's name; returns the host's index.
    fn deliver(&mut self, message: &message::Message, limit: usize) -> Option<usize> {
        let name = &message.to.name;
        let index = self
            .hosts
            .iter()
            .position(|host| host.disk.me.name == *name)?;
        let mut delivered = message.clone();
        if self.bug == Bug::ForgePreviousTerm {
            self.forge_previous_term(index, &mut delivered);
        }
        self.handle(index, effect::Event::Message(delivered), limit);
        if self.bug == Bug::ForgeVote {
            self.forge_vote(index, message);
        }
        Some(index)
    }

    /// Passes an event to a running host and carries out at most `limit` of its effects.
    fn handle(&mut self, index: usize, event: effect::Event, limit: usize) {
        if self.hosts[index].log.is_none() {
            return;
        }
        let effects = self.hosts[index].change(|host| match &mut host.log {
            Some(log) => log.handle(event),
            None => Vec::new(),
        });
        self.carry_out(index, effects, limit);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<effect::Effect>, limit: usize) {
        let mut replaced = false;
        for effect in effects.into_iter().take(limit) {
            match effect {
                effect::Effect::Commit(commit) => self.check_commit(index, commit),
                effect::Effect::ReplaceDisk => replaced = true,
                effect::Effect::SaveHard(hard) => self.save_hard(index, hard),
                effect::Effect::SaveSnapshot { .. } | effect::Effect::SaveEntries(_) => {
                    self.save_store(index);
                }
                effect::Effect::Send(message) => self.send(message),
                effect::Effect::AcceptCopiedDisk => {
                    self.hosts[index].change(|host| host.copied = false);
                }
                effect::Effect::ConfirmRound(_)
                | effect::Effect::RestartElectionTimer
                | effect::Effect::Proposed { .. }
                | effect::Effect::Rejected(_) => {}
            }
        }
        self.check_vote(index);
        self.check_leader(index);
        self.check_match(index);
        if replaced {
            let name = self.hosts[index].disk.me.name.clone();
            let disk = self.create_disk(name);
            self.hosts[index].change(|host| host.replace(disk));
            self.restart(index);
        }
    }

    fn save_hard(&mut self, index: usize, hard: effect::Hard) {
        let is_set_up = self.message_limit != usize::MAX;
        let skip = self.bug == Bug::SkipHardWrites && is_set_up;
        self.hosts[index].change(|host| {
            if skip {
                host.disk.hard.generation = hard.generation;
            } else {
                host.disk.hard = hard;
            }
        });
    }

    fn save_store(&mut self, index: usize) {
        let is_set_up = self.message_limit != usize::MAX;
        if self.bug == Bug::SkipEntryWrites && is_set_up {
            return;
        }
        self.hosts[index].change(|host| {
            if let Some(log) = &host.log {
                host.disk.store = log.store().clone();
            }
        });
    }

    fn send(&mut self, message: message::Message) {
        let is_set_up = self.message_limit != usize::MAX;
        assert!(message.is_sound(), "{message:?}");
        if is_set_up && self.is_immediate(&message.kind) {
            self.deliver(&message, usize::MAX);
            return;
        }
        let message = Shared::new(message);
        if self.network.len() >= self.message_limit || self.network.contains(&message) {
            return;
        }
        let place = if is_set_up {
            self.network
                .partition_point(|other| other.hash < message.hash)
        } else {
            self.network.len()
        };
        self.network.insert(place, message);
    }

    fn is_immediate(&self, kind: &message::Kind) -> bool {
        match kind {
            message::Kind::Ballot(ballot) => ballot.pre,
            message::Kind::Poll(poll) => poll.pre,
            message::Kind::Copied(_)
            | message::Kind::Founded
            | message::Kind::Fresh
            | message::Kind::Hello(_)
            | message::Kind::Refused(_) => self.immediate_discovery,
            message::Kind::Append(_)
            | message::Kind::Appended(_)
            | message::Kind::Install(_)
            | message::Kind::Installed(_)
            | message::Kind::TakeOver => false,
        }
    }
}
