//! State machine for the roles of a replica.

use std::collections;
use std::sync;

use bytes::Bytes;
use statig::Outcome;

use crate::log;
use crate::log::effect;
use crate::log::mark;
use crate::log::member;
use crate::log::message;
use crate::log::progress;
use crate::log::store;

/// State of a replica that is independent of its role.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Replica {
    /// Highest index acknowledged in the current term.
    pub(crate) acked: u64,
    /// Last index known to be committed.
    pub(crate) commit: u64,
    /// Whether this process started on a copied disk and has committed nothing since.
    pub(crate) copied: bool,
    /// While the copied disk is untrusted, the other voters known to run on copies too.
    pub(crate) untrusted_copies: Option<collections::BTreeSet<member::Member>>,
    /// State of the disk at process start.
    pub(crate) found: mark::Mark,
    /// Whether another host has reported that a log exists already.
    pub(crate) log_exists: bool,
    /// Bootstrap hosts that have reported that they were never part of a log.
    pub(crate) fresh_hosts: collections::BTreeSet<member::Member>,
    pub(crate) hard: effect::Hard,
    /// Snapshot being received; its chunk holds the data received so far.
    pub(crate) incoming_snapshot: Option<message::Install>,
    pub(crate) me: member::Member,
    /// Names of the other hosts to send hellos to.
    pub(crate) peers: collections::BTreeSet<Bytes>,
    pub(crate) run: u64,
    pub(crate) settings: sync::Arc<log::Settings>,
    pub(crate) store: store::Store,
}

type Response = Outcome<State>;

impl Replica {
    /// Creates a replica from the state loaded from disk.
    pub(crate) fn new(start: log::Start) -> Replica {
        let log::Start {
            copied,
            mut hard,
            me,
            run,
            settings,
            store,
        } = start;
        let found = mark::Mark {
            generation: hard.generation,
            index: store.last().index,
            term: hard.term,
            voted: hard.vote.is_some(),
        };
        hard.generation += 1;
        Replica {
            acked: 0,
            commit: store.snapshot().position.index,
            copied,
            untrusted_copies: copied.then(collections::BTreeSet::new),
            found,
            log_exists: false,
            fresh_hosts: collections::BTreeSet::new(),
            hard,
            incoming_snapshot: None,
            me,
            peers: settings.peers.clone(),
            run,
            settings,
            store,
        }
    }

    /// Decides whether to accept a message.
    pub(crate) fn classify_message(
        &mut self,
        message: &message::Message,
        effects: &mut effect::Effects,
    ) -> effect::Disposition {
        if message.from == self.me {
            return effect::Disposition::Drop;
        }
        if !message.to.matches(&self.me) {
            self.ask_to_join(message, effects);
            return effect::Disposition::Drop;
        }
        // Accept refusals without checking the sender's stamp, and never answer one with another.
        if matches!(message.kind, message::Kind::Refused(_)) {
            return effect::Disposition::Accept;
        }
        if !self.accept_stamp(message, effects) {
            return effect::Disposition::Drop;
        }
        if self.untrusted_copies.is_some() && !is_discovery(&message.kind) {
            return effect::Disposition::Drop;
        }
        if message.term > self.hard.term && raises_term(&message.kind) {
            return effect::Disposition::EnterTerm;
        }
        effect::Disposition::Accept
    }

    fn accept_stamp(&mut self, message: &message::Message, effects: &mut effect::Effects) -> bool {
        let seen = self.hard.seen.get(&message.from);
        match mark::check_stamp(seen, message.stamp) {
            mark::StampCheck::NewRun(seen) => {
                self.hard.seen.insert(message.from.clone(), seen);
                effects.hard_changed = true;
                true
            }
            mark::StampCheck::OldCopy => {
                let refused = message::Kind::Refused(message.stamp.run);
                self.send(message.from.clone(), refused, effects);
                false
            }
            mark::StampCheck::SameRun(seen) => {
                self.hard.seen.insert(message.from.clone(), seen);
                true
            }
        }
    }

    /// Returns whether this host has never been part of a log.
    pub(crate) fn is_fresh(&self) -> bool {
        self.hard.term == 0 && self.store.last().index == 0
    }

    /// Returns whether this member is a voter.
    pub(crate) fn is_voter(&self) -> bool {
        self.store.roster().voters.contains(&self.me)
    }

    /// Sends a message with the current term.
    pub(crate) fn send(
        &self,
        to: member::Member,
        kind: message::Kind,
        effects: &mut effect::Effects,
    ) {
        self.send_with_term(self.hard.term, to, kind, effects);
    }

    /// Sends a message with the given term.
    pub(crate) fn send_with_term(
        &self,
        term: u64,
        to: member::Member,
        kind: message::Kind,
        effects: &mut effect::Effects,
    ) {
        let now = mark::Mark {
            generation: self.hard.generation,
            index: self.acked,
            term: self.hard.term,
            voted: self.hard.vote.is_some(),
        };
        let stamp = mark::Stamp {
            found: self.found,
            now,
            run: self.run,
        };
        effects.push(effect::Effect::Send(message::Message {
            from: self.me.clone(),
            kind,
            stamp,
            term,
            to,
        }));
    }

    /// Enters a later term with no vote cast, and becomes a follower.
    fn enter_term(&mut self, term: u64, effects: &mut effect::Effects) -> Response {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.acked = 0;
            effects.hard_changed = true;
        }
        Outcome::Transition(State::follower(None))
    }

    fn campaign(&mut self, effects: &mut effect::Effects) -> Response {
        effects.push(effect::Effect::RestartElectionTimer);
        if self.untrusted_copies.is_some() || !self.is_voter() {
            // An election timeout has passed since the last hello, enough time for any host to
            // report an existing log.
            if self.bootstrap(effects) {
                return self.start_pre_vote(effects);
            }
            self.send_hellos(effects);
            return Outcome::Transition(State::follower(None));
        }
        self.start_pre_vote(effects)
    }

    fn start_pre_vote(&mut self, effects: &mut effect::Effects) -> Response {
        let grants = collections::BTreeSet::from([self.me.clone()]);
        if grants.len() >= self.store.roster().quorum() {
            return self.start_election(effects);
        }
        self.request_votes(true, effects);
        Outcome::Transition(State::pre_candidate(grants))
    }

    fn start_election(&mut self, effects: &mut effect::Effects) -> Response {
        self.hard.term += 1;
        self.hard.vote = Some(self.me.clone());
        self.acked = 0;
        effects.hard_changed = true;
        effects.push(effect::Effect::RestartElectionTimer);
        let grants = collections::BTreeSet::from([self.me.clone()]);
        if grants.len() >= self.store.roster().quorum() {
            return self.become_leader(effects);
        }
        self.request_votes(false, effects);
        Outcome::Transition(State::candidate(grants))
    }

    fn become_leader(&mut self, effects: &mut effect::Effects) -> Response {
        let mut leader_state = progress::LeaderState::default();
        self.init_leader(&mut leader_state, effects);
        Outcome::Transition(State::leader(leader_state))
    }

    fn follow_leader(
        &mut self,
        message: &message::Message,
        effects: &mut effect::Effects,
    ) -> Response {
        match &message.kind {
            message::Kind::Append(append) => self.handle_append(&message.from, append, effects),
            message::Kind::Install(install) => self.handle_install(&message.from, install, effects),
            message::Kind::Appended(_)
            | message::Kind::Ballot(_)
            | message::Kind::Copied(_)
            | message::Kind::Founded
            | message::Kind::Fresh
            | message::Kind::Hello(_)
            | message::Kind::Installed(_)
            | message::Kind::Poll(_)
            | message::Kind::Refused(_)
            | message::Kind::TakeOver => return Outcome::Handled,
        }
        Outcome::Transition(State::follower(Some(message.from.clone())))
    }
}

/// Returns whether a message is part of discovery and disk checks rather than of the Raft protocol.
fn is_discovery(kind: &message::Kind) -> bool {
    match kind {
        message::Kind::Copied(_)
        | message::Kind::Founded
        | message::Kind::Fresh
        | message::Kind::Hello(_)
        | message::Kind::Refused(_) => true,
        message::Kind::Append(_)
        | message::Kind::Appended(_)
        | message::Kind::Ballot(_)
        | message::Kind::Install(_)
        | message::Kind::Installed(_)
        | message::Kind::Poll(_)
        | message::Kind::TakeOver => false,
    }
}

/// Returns whether the receiver must enter the message's term if it is later than its own.
///
/// Discovery messages never raise the term. Pre-vote requests and grants carry a term that their
/// sender has not entered.
fn raises_term(kind: &message::Kind) -> bool {
    match kind {
        message::Kind::Poll(poll) => !poll.pre,
        message::Kind::Ballot(ballot) => !(ballot.pre && ballot.granted),
        kind => !is_discovery(kind),
    }
}

#[statig::state_machine(
    initial = "State::follower(None)",
    state(derive(Clone, Debug, Eq, Hash, PartialEq)),
    visibility = "pub(crate)"
)]
impl Replica {
    /// Replicates from a leader, or waits for one.
    #[state(superstate = "any_role")]
    fn follower(
        &mut self,
        leader: &mut Option<member::Member>,
        event: &effect::Event,
        context: &mut effect::Effects,
    ) -> Response {
        match event {
            effect::Event::LeaderTimeout => {
                *leader = None;
                Outcome::Handled
            }
            effect::Event::Message(message) if matches!(message.kind, message::Kind::Poll(_)) => {
                self.handle_poll(leader.is_some(), message, context);
                Outcome::Handled
            }
            effect::Event::Message(message) if message.kind == message::Kind::TakeOver => {
                if message.term == self.hard.term && self.is_voter() {
                    return self.start_election(context);
                }
                Outcome::Handled
            }
            _ => Outcome::Super,
        }
    }

    /// Waits for a quorum of pre-votes.
    #[state(superstate = "any_role")]
    fn pre_candidate(
        &mut self,
        grants: &mut collections::BTreeSet<member::Member>,
        event: &effect::Event,
        context: &mut effect::Effects,
    ) -> Response {
        match event {
            effect::Event::Message(message) if self.is_grant(true, message) => {
                grants.insert(message.from.clone());
                if grants.len() >= self.store.roster().quorum() {
                    return self.start_election(context);
                }
                Outcome::Handled
            }
            _ => Outcome::Super,
        }
    }

    /// Waits for a quorum of votes in its term.
    #[state(superstate = "any_role")]
    fn candidate(
        &mut self,
        grants: &mut collections::BTreeSet<member::Member>,
        event: &effect::Event,
        context: &mut effect::Effects,
    ) -> Response {
        match event {
            effect::Event::Message(message) if self.is_grant(false, message) => {
                grants.insert(message.from.clone());
                if grants.len() >= self.store.roster().quorum() {
                    return self.become_leader(context);
                }
                Outcome::Handled
            }
            _ => Outcome::Super,
        }
    }

    /// Replicates entries and heartbeats to the other members.
    #[state(superstate = "any_role")]
    fn leader(
        &mut self,
        leader_state: &mut progress::LeaderState,
        event: &effect::Event,
        context: &mut effect::Effects,
    ) -> Response {
        match event {
            effect::Event::HeartbeatTimeout => self.start_heartbeat_round(leader_state, context),
            effect::Event::ElectionTimeout | effect::Event::LeaderTimeout => {}
            effect::Event::TransferLeadership => self.transfer_leadership(leader_state, context),
            effect::Event::Message(message) => match &message.kind {
                message::Kind::Appended(appended) => {
                    self.handle_appended(leader_state, message, *appended, context);
                }
                message::Kind::Hello(hello) => {
                    self.answer_hello(*hello, &message.from, context);
                    self.admit(leader_state, &message.from, context);
                }
                message::Kind::Installed(installed) => {
                    self.handle_installed(leader_state, message, *installed, context);
                }
                message::Kind::Poll(_) => {
                    self.handle_poll(true, message, context);
                    self.readmit(leader_state, &message.from, context);
                }
                _ => return Outcome::Super,
            },
            effect::Event::Propose(proposals) => self.propose(leader_state, proposals, context),
            effect::Event::CheckQuorum => {
                if !self.check_quorum(leader_state) {
                    return Outcome::Transition(State::follower(None));
                }
            }
            _ => return Outcome::Super,
        }
        Outcome::Handled
    }

    /// Handles the events that all roles treat alike.
    #[superstate]
    fn any_role(&mut self, event: &effect::Event, context: &mut effect::Effects) -> Response {
        match event {
            effect::Event::ElectionTimeout => return self.campaign(context),
            effect::Event::Compact { data, index } => self.compact(*index, data, context),
            effect::Event::AddPeers(names) => self.add_peers(names),
            effect::Event::Message(message) => match &message.kind {
                message::Kind::Append(_) | message::Kind::Install(_) => {
                    if message.term < self.hard.term {
                        self.reject_leader(message, context);
                        return Outcome::Handled;
                    }
                    return self.follow_leader(message, context);
                }
                message::Kind::Founded => self.record_existing_log(),
                message::Kind::Fresh => self.record_fresh_host(&message.from),
                message::Kind::Copied(copied) => {
                    self.handle_copied(*copied, &message.from, context)
                }
                message::Kind::Hello(hello) => self.answer_hello(*hello, &message.from, context),
                message::Kind::Poll(_) => self.handle_poll(false, message, context),
                message::Kind::Refused(run) if *run == self.run => {
                    context.push(effect::Effect::ReplaceDisk);
                }
                message::Kind::Appended(_)
                | message::Kind::Ballot(_)
                | message::Kind::Installed(_)
                | message::Kind::Refused(_)
                | message::Kind::TakeOver => {}
            },
            effect::Event::Propose(proposals) => {
                for proposal in proposals {
                    context.push(effect::Effect::Rejected(proposal.token));
                }
            }
            effect::Event::EnterTerm(term) => return self.enter_term(*term, context),
            effect::Event::ClassifyMessage(message) => {
                context.disposition = self.classify_message(message, context)
            }
            effect::Event::HeartbeatTimeout
            | effect::Event::TransferLeadership
            | effect::Event::LeaderTimeout
            | effect::Event::CheckQuorum => {}
        }
        Outcome::Handled
    }
}
