//! The replicated log of the control hosts.
//!
//! This is a Raft implementation without I/O: [`Log`] handles one [`Event`](effect::Event) at a
//! time and returns the [`Effect`](effect::Effect)s that the caller must carry out, in order. It
//! reads no clock; expired timers are events. Elections use a pre-vote, and a leader that loses
//! contact with its quorum steps down. The membership changes by one member at a time, and a member
//! is a host together with one particular disk.

mod bounds;
pub mod effect;
pub mod entry;
mod follow;
mod join;
mod lead;
pub mod mark;
pub mod member;
pub mod message;
mod progress;
mod replica;
mod roster;
pub mod store;
mod vote;

use core::hash;
use std::collections;
use std::sync;

use bytes::Bytes;
use statig::blocking;
use statig::blocking::IntoStateMachineExt as _;

/// Settings of a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Hosts that form the initial roster if none of them has ever been part of a log.
    pub bootstrap: collections::BTreeSet<Bytes>,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Maximum size of a snapshot chunk, or of several commands, in one message. A single larger
    /// command is sent in a message of its own.
    pub chunk_bytes: usize,
    /// Maximum total size of the commands in the compacted entries that are kept.
    pub keep_bytes: usize,
    /// Maximum number of compacted entries kept so that members slightly behind need no snapshot.
    pub keep_entries: u64,
    /// Maximum number of entries a learner may be behind the commit index to become a voter.
    pub learner_lag: u64,
    /// Set if any host that sends a hello may join, including hosts not listed in `peers`.
    pub open_membership: Option<OpenMembership>,
    /// Names of the other hosts known at startup.
    pub peers: collections::BTreeSet<Bytes>,
}

/// Membership policy for deployments where any host may join.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OpenMembership {
    /// Minimum number of voters left after a silent one is removed, chosen so that the log survives
    /// the number of disks that may be lost at the same time.
    pub min_voters: usize,
    /// Number of consecutive quorum checks without an answer after which a voter is removed. It is
    /// admitted again when it comes back.
    pub missed_check_limit: u32,
}

/// State that a process loads from disk, and its identity.
#[derive(Clone, Debug)]
pub struct Start {
    /// The data files are a copy and may be older than the state this host once had.
    pub copied: bool,
    /// Hard state loaded from disk.
    pub hard: effect::Hard,
    /// Identity of this host and its disk.
    pub me: member::Member,
    /// Random number that identifies this process.
    pub run: u64,
    /// Settings.
    pub settings: sync::Arc<Settings>,
    /// Entries and snapshot loaded from disk.
    pub store: store::Store,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Runs an election or a pre-vote.
    Candidate,
    /// Replicates from a leader, or waits for one.
    Follower,
    /// Appends proposed commands and replicates them.
    Leader,
}

/// One replica of the log.
#[derive(Clone)]
pub struct Log {
    machine: blocking::StateMachine<replica::Replica>,
}

impl Log {
    /// Creates a replica and returns it with the effects of its startup.
    #[must_use]
    pub fn start(start: Start) -> (Log, Vec<effect::Effect>) {
        let mut effects = effect::Effects::default();
        let mut replica = replica::Replica::new(start);
        replica.resolve_copied_disk(&mut effects);
        replica.send_hellos(&mut effects);
        let hard = replica.hard.clone();
        let mut list = effects.list;
        list.insert(0, effect::Effect::SaveHard(hard));
        let machine = replica.state_machine();
        (Log { machine }, list)
    }

    /// Handles one event and returns its effects.
    pub fn handle(&mut self, event: effect::Event) -> Vec<effect::Effect> {
        let mut effects = effect::Effects::default();
        match event {
            effect::Event::Message(message) => self.receive(message, &mut effects),
            event => self.machine.handle_with_context(&event, &mut effects),
        }
        if effects.hard_changed {
            let hard = self.machine.inner().hard.clone();
            effects.list.insert(0, effect::Effect::SaveHard(hard));
        }
        effects.list
    }

    fn receive(&mut self, message: message::Message, effects: &mut effect::Effects) {
        let term = message.term;
        let classify = effect::Event::ClassifyMessage(message);
        self.machine.handle_with_context(&classify, effects);
        match effects.disposition {
            effect::Disposition::Drop => return,
            effect::Disposition::EnterTerm => {
                let enter_term = effect::Event::EnterTerm(term);
                self.machine.handle_with_context(&enter_term, effects);
            }
            effect::Disposition::Accept => {}
        }
        if let effect::Event::ClassifyMessage(message) = classify {
            let event = effect::Event::Message(message);
            self.machine.handle_with_context(&event, effects);
        }
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.machine.state() {
            replica::State::Candidate { .. } | replica::State::PreCandidate { .. } => {
                Role::Candidate
            }
            replica::State::Follower { .. } => Role::Follower,
            replica::State::Leader { .. } => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<&member::Member> {
        match self.machine.state() {
            replica::State::Candidate { .. } | replica::State::PreCandidate { .. } => None,
            replica::State::Follower { leader } => leader.as_ref(),
            replica::State::Leader { .. } => Some(self.me()),
        }
    }

    /// Returns this replica's identity in the roster.
    #[must_use]
    pub fn me(&self) -> &member::Member {
        &self.machine.inner().me
    }

    /// Returns the hard state.
    #[must_use]
    pub fn hard(&self) -> &effect::Hard {
        &self.machine.inner().hard
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.machine.inner().commit
    }

    /// Returns the entries and the snapshot.
    #[must_use]
    pub fn store(&self) -> &store::Store {
        &self.machine.inner().store
    }

    /// Returns the latest heartbeat round if this replica is the leader.
    #[must_use]
    pub fn round(&self) -> Option<u64> {
        match self.machine.state() {
            replica::State::Leader { leader_state } => Some(leader_state.round),
            replica::State::Candidate { .. }
            | replica::State::Follower { .. }
            | replica::State::PreCandidate { .. } => None,
        }
    }
}

impl core::fmt::Debug for Log {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        let state = self.machine.state();
        write!(formatter, "{state:?} {:?}", self.machine.inner())
    }
}

impl Eq for Log {}

impl PartialEq for Log {
    fn eq(&self, other: &Log) -> bool {
        self.machine == other.machine
    }
}

impl hash::Hash for Log {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.machine.inner().hash(state);
        self.machine.state().hash(state);
    }
}
