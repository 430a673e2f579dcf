//! The replicated log of the control hosts.
//!
//! [`Log`] takes one [`Event`](effect::Event) after the other and returns the
//! [`Effect`](effect::Effect)s to carry out, in order. It knows no clock: timers are events.
//! Leaders are elected with a pre-vote and step down without a quorum. Members change one at a
//! time, and a member is a host with one particular disk.

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
    /// Hosts that form the first roster when none of them has ever taken part.
    pub bootstrap: collections::BTreeSet<Bytes>,
    /// Entries in one message at most.
    pub batch_entries: usize,
    /// Bytes of a snapshot, or of several commands, in one message at most.
    pub chunk_bytes: usize,
    /// Bytes of commands in the compacted entries that are kept, at most.
    pub keep_bytes: usize,
    /// Compacted entries kept for members that lag a little.
    pub keep_entries: u64,
    /// A learner that lags at most this many entries may vote.
    pub learner_lag: u64,
    /// Set where any host that greets may take part, also one that `peers` does not name.
    pub open: Option<Open>,
    /// Names of the other hosts that are known at the start.
    pub peers: collections::BTreeSet<Bytes>,
}

/// How the roster follows the hosts where any host may take part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Open {
    /// Voters that stay when a silent one is removed: as many as let the log outlive the disks
    /// that may be lost at once.
    pub least_voters: usize,
    /// Reviews after which a voter that answered in none of them is removed. It is let in again
    /// when it comes back.
    pub silent_reviews: u32,
}

/// What a process found on its disk, and who it is.
#[derive(Clone, Debug)]
pub struct Start {
    /// The files were copied, so they may be older than what this host once had.
    pub copied: bool,
    /// Hard state on the disk.
    pub hard: effect::Hard,
    /// This host with its disk.
    pub me: member::Member,
    /// Random number of this process.
    pub run: u64,
    /// Settings.
    pub settings: sync::Arc<Settings>,
    /// Entries and snapshot on the disk.
    pub store: store::Store,
}

/// What a replica does now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes, or whether they would be given.
    Candidate,
    /// Follows a leader, or waits for one.
    Follower,
    /// Orders the commands.
    Leader,
}

/// One replica of the log.
#[derive(Clone)]
pub struct Log {
    machine: blocking::StateMachine<replica::Replica>,
}

impl Log {
    /// Returns a replica and the effects of its start.
    #[must_use]
    pub fn start(start: Start) -> (Log, Vec<effect::Effect>) {
        let mut effects = effect::Effects::default();
        let mut replica = replica::Replica::new(start);
        replica.settle_doubt(&mut effects);
        replica.announce(&mut effects);
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
        if effects.dirty {
            let hard = self.machine.inner().hard.clone();
            effects.list.insert(0, effect::Effect::SaveHard(hard));
        }
        effects.list
    }

    fn receive(&mut self, message: message::Message, effects: &mut effect::Effects) {
        let term = message.term;
        let screen = effect::Event::Screen(message);
        self.machine.handle_with_context(&screen, effects);
        match effects.screened {
            effect::Screened::Drop => return,
            effect::Screened::Raise => {
                let raise = effect::Event::Raise(term);
                self.machine.handle_with_context(&raise, effects);
            }
            effect::Screened::Take => {}
        }
        if let effect::Event::Screen(message) = screen {
            let event = effect::Event::Message(message);
            self.machine.handle_with_context(&event, effects);
        }
    }

    /// Returns what this replica does now.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.machine.state() {
            replica::State::Candidate { .. } | replica::State::Poller { .. } => Role::Candidate,
            replica::State::Follower { .. } => Role::Follower,
            replica::State::Leader { .. } => Role::Leader,
        }
    }

    /// Returns the leader of the current term, when known.
    #[must_use]
    pub fn leader(&self) -> Option<&member::Member> {
        match self.machine.state() {
            replica::State::Candidate { .. } | replica::State::Poller { .. } => None,
            replica::State::Follower { leader } => leader.as_ref(),
            replica::State::Leader { .. } => Some(self.me()),
        }
    }

    /// Returns this replica's member.
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

    /// Returns the heartbeat round begun last, when leading.
    #[must_use]
    pub fn round(&self) -> Option<u64> {
        match self.machine.state() {
            replica::State::Leader { leading } => Some(leading.round),
            replica::State::Candidate { .. }
            | replica::State::Follower { .. }
            | replica::State::Poller { .. } => None,
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
