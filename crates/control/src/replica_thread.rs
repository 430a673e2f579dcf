//! The replica thread, which owns the log, its storage and the state machine.

use std::sync;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::config;
use peargap_core::log;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use peargap_core::log::message;
use peargap_core::routing;
use rand::RngExt as _;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::answer;
use crate::events;
use crate::files;
use crate::input;
use crate::lease;
use crate::log_codec;
use crate::peers;
use crate::pending;
use crate::persist;
use crate::replica;
use crate::replica_status;
use crate::settings;
use crate::state_machine;
use crate::status;
use crate::storage;
use crate::timers;

/// Largest number of inputs that are handled as one batch, with one sync of the disk.
const MAX_BATCH_INPUTS: usize = 256;
/// Capacity of the thread's queue of inputs.
pub(crate) const QUEUE_CAPACITY: usize = 4096;
/// The clock of a start begins below this, far from the end of its range.
const MAX_ORIGIN_MS: u64 = 1 << 48;
/// Largest command accepted; the reserve of the disk can hold one.
const MAX_COMMAND_BYTES: usize = 2 << 20;

/// Outputs of the thread.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub(crate) config: watch::Sender<sync::Arc<config::Config>>,
    pub(crate) outboxes: peers::Outboxes,
    pub(crate) routing: watch::Sender<sync::Arc<routing::Routing>>,
    pub(crate) status: watch::Sender<status::Status>,
}

/// What the thread does after a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flow {
    Continue,
    ReplaceDisk,
    Stop,
}

/// State of the replica thread.
#[derive(Debug)]
pub(crate) struct ReplicaThread {
    pub(crate) applied: u64,
    pub(crate) storage: storage::Storage,
    lease: lease::Lease,
    pub(crate) log: log::Log,
    pub(crate) machine: state_machine::StateMachine,
    outputs: Outputs,
    pub(crate) settings: sync::Arc<settings::Settings>,
    /// Cancelled when the process is told to stop.
    pub(crate) stopping: CancellationToken,
    timers: timers::Timers,
    pending: pending::Proposals,
}

impl ReplicaThread {
    /// Opens the disk and starts the log from its content; waits while the disk is full.
    pub(crate) async fn open(
        settings: sync::Arc<settings::Settings>,
        outputs: Outputs,
        stopping: CancellationToken,
    ) -> Result<ReplicaThread, files::Error> {
        let name = Bytes::from(settings.name.clone());
        let disk_id = rand::rng().random_range(1..member::VOLATILE);
        let opened = persist::open_with_retry(&settings, &name, disk_id, &stopping).await;
        let (mut storage, recovered) = opened?;
        if recovered.copied && settings.trust_copy {
            storage.accept_copy()?;
        }
        if recovered.torn_bytes > 0 {
            logs::emit(
                events::TAIL_TRUNCATED,
                format_args!("bytes={}", recovered.torn_bytes),
            );
        }
        let snapshot = recovered.store.snapshot().clone();
        let machine = persist::restore_machine(&settings.folder, &snapshot)?;
        logs::emit(
            events::STARTED,
            format_args!(
                "host={} disk={:016x} term={} last={} snapshot={}",
                settings.name,
                recovered.me.disk,
                recovered.hard.term,
                recovered.store.last().index,
                snapshot.position.index
            ),
        );
        if recovered.copied {
            logs::emit(
                events::DISK_COPIED,
                format_args!("disk={:016x}", recovered.me.disk),
            );
        }
        let start = log::Start {
            copied: recovered.copied && !settings.trust_copy,
            hard: recovered.hard,
            me: recovered.me,
            run: rand::rng().random(),
            settings: sync::Arc::new(settings.log_settings()),
            store: recovered.store,
        };
        let (log, effects) = log::Log::start(start);
        let mut thread = ReplicaThread {
            applied: snapshot.position.index,
            storage,
            lease: lease::Lease::new(
                settings.timing.lease,
                rand::rng().random_range(..MAX_ORIGIN_MS),
            ),
            log,
            machine,
            outputs,
            timers: timers::Timers::new(settings.timing),
            settings,
            stopping,
            pending: pending::Proposals::default(),
        };
        if thread.save_with_retry(&effects).await? == persist::Saved::Stopped {
            return Err(files::Error::Full);
        }
        if thread.run_effects(effects, time::Instant::now()) {
            return Box::pin(thread.replace_disk()).await;
        }
        thread.publish_status();
        thread.publish_state();
        Ok(thread)
    }

    /// Runs until the process stops; fails if the disk is damaged or cannot be read or written.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<input::Input>,
    ) -> Result<(), files::Error> {
        let mut batch = Vec::new();
        loop {
            let event = tokio::select! {
                biased;
                count = inputs.recv_many(&mut batch, MAX_BATCH_INPUTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                    None
                }
                event = self.timers.wait() => Some(event),
            };
            match self.handle_batch(event, &mut batch).await? {
                Flow::Continue => {}
                Flow::ReplaceDisk => self = self.replace_disk().await?,
                Flow::Stop => return Ok(()),
            }
        }
    }

    /// Handles a timer event or a batch of inputs: one sync of the disk, then the other effects.
    async fn handle_batch(
        &mut self,
        event: Option<effect::Event>,
        batch: &mut Vec<input::Input>,
    ) -> Result<Flow, files::Error> {
        let now = time::Instant::now();
        let was_leader = self.log.role() == log::Role::Leader;
        let mut flow = Flow::Continue;
        let mut effects = Vec::new();
        let mut grants = Vec::new();
        let mut pending = 0;
        let mut proposals = Vec::new();
        if let Some(event) = event {
            effects.extend(self.log.handle(event));
        }
        for input in batch.drain(..) {
            match input {
                input::Input::Message { clocks, message } => {
                    grants.extend(self.record_clocks(clocks, &message));
                    effects.extend(self.log.handle(effect::Event::Message(*message)));
                }
                input::Input::AddPeers(names) => {
                    effects.extend(self.log.handle(effect::Event::AddPeers(names)));
                }
                input::Input::Propose { command, reply } => {
                    let accepted = self.accept_proposal(command, reply, &mut pending);
                    proposals.extend(accepted);
                }
                input::Input::Stop => {
                    effects.extend(self.log.handle(effect::Event::TransferLeadership));
                    flow = Flow::Stop;
                }
            }
        }
        if !proposals.is_empty() {
            effects.extend(self.log.handle(effect::Event::Propose(proposals)));
        }
        if let Some(round) = self.log.round() {
            self.lease.begin_round(round, now);
        }
        if self.save_with_retry(&effects).await? == persist::Saved::Stopped {
            return Ok(Flow::Stop);
        }
        if self.run_effects(effects, now) {
            return Ok(Flow::ReplaceDisk);
        }
        self.apply_grants(grants);
        if was_leader && self.log.role() != log::Role::Leader {
            self.end_leadership();
        }
        if self.compact().await? == persist::Saved::Stopped {
            flow = Flow::Stop;
        }
        self.publish_status();
        Ok(flow)
    }

    /// Records a sender's clock; returns the lease grant of an append message.
    fn record_clocks(
        &mut self,
        clocks: input::Clocks,
        message: &message::Message,
    ) -> Option<Grant> {
        if clocks.clock_ms > 0 {
            let name = &message.from.name;
            self.lease
                .record_peer_clock(name, clocks.clock_ms, clocks.received);
        }
        match &message.kind {
            message::Kind::Append(append) => Some(Grant {
                clocks,
                commit: append.commit,
                leader: message.from.name.clone(),
                term: message.term,
            }),
            _ => None,
        }
    }

    /// Applies grants of the current leader if all that it had committed is applied here too.
    fn apply_grants(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            let leader = self.log.leader().map(|leader| &leader.name);
            let is_leader = leader == Some(&grant.leader) && grant.term == self.log.hard().term;
            if is_leader && self.applied >= grant.commit {
                let clocks = grant.clocks;
                let now = time::Instant::now();
                if !self.lease.apply_grant(now, clocks.echo_ms, clocks.lease_ms) {
                    logs::emit(
                        events::GRANT_IGNORED,
                        format_args!(
                            "leader={:?} echo_ms={} lease_ms={}",
                            grant.leader, clocks.echo_ms, clocks.lease_ms
                        ),
                    );
                }
            }
        }
    }

    /// Accepts a proposal if the disk has room for it besides `pending` bytes of earlier ones.
    fn accept_proposal(
        &mut self,
        command: Bytes,
        reply: pending::ReplySender,
        pending: &mut u64,
    ) -> Option<effect::Proposal> {
        let bytes = *pending + count_bytes(&command);
        if command.len() > MAX_COMMAND_BYTES || !self.ensure_room(bytes) {
            let failed = answer::Answer::Failed(answer::Failure::DiskFull);
            let _ = reply.send(failed);
            return None;
        }
        *pending = bytes;
        let token = self.pending.add(reply);
        Some(effect::Proposal { command, token })
    }

    fn ensure_room(&mut self, bytes: u64) -> bool {
        if self.storage.is_full() && !self.storage.allocate_reserve() {
            return false;
        }
        self.storage.has_room(bytes)
    }

    /// Carries out effects whose data is on disk; returns whether the disk must be replaced.
    fn run_effects(&mut self, effects: Vec<effect::Effect>, now: time::Instant) -> bool {
        let mut must_replace_disk = false;
        for effect in effects {
            match effect {
                effect::Effect::Commit(index) => self.apply(index),
                effect::Effect::ConfirmRound(round) => self.lease.confirm_round(round),
                effect::Effect::RestartElectionTimer => self.timers.restart_election(now),
                effect::Effect::Proposed { token, position } => {
                    self.pending.set_position(token, position)
                }
                effect::Effect::Rejected(token) => self.reject(token),
                effect::Effect::ReplaceDisk => must_replace_disk = true,
                effect::Effect::AcceptCopiedDisk
                | effect::Effect::SaveHard(_)
                | effect::Effect::SaveSnapshot { .. }
                | effect::Effect::SaveEntries(_) => {}
                effect::Effect::Send(message) => self.send(message, now),
            }
        }
        must_replace_disk
    }

    fn send(&mut self, message: message::Message, now: time::Instant) {
        let is_leader = self.log.role() == log::Role::Leader && self.has_committed_in_term();
        let grant = is_leader.then(|| self.lease.grant(&message.to.name));
        let (echo_ms, lease_ms) = grant.flatten().unwrap_or_default();
        let outgoing = peers::Outgoing {
            clock_ms: self.lease.read_clock(now),
            echo_ms,
            lease_ms,
            message,
        };
        self.outputs.outboxes.send(outgoing);
    }

    /// Returns whether this leader has committed an entry of its own term.
    fn has_committed_in_term(&self) -> bool {
        self.log.store().term(self.log.commit()) == Some(self.log.hard().term)
    }

    fn reject(&mut self, token: u64) {
        let leader = self
            .log
            .leader()
            .map(|leader| log_codec::format_name(&leader.name));
        self.pending.reject(token, leader);
    }

    fn apply(&mut self, commit: u64) {
        while self.applied < commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.store().entry(index) else {
                return;
            };
            let position = entry.position;
            let reply = match &entry.payload {
                entry::Payload::Command(command) => Some(self.machine.apply(index, command)),
                entry::Payload::Noop | entry::Payload::Roster(_) => None,
            };
            self.applied = index;
            self.pending.complete(position, reply);
        }
        self.publish_state();
    }

    /// Publishes the applied state to the services.
    fn publish_state(&self) {
        let config = self.machine.config();
        self.outputs
            .config
            .send_if_modified(|current| replica::replace_shared(current, config));
        let routing = self.machine.routing();
        self.outputs
            .routing
            .send_if_modified(|current| replica::replace_shared(current, routing));
    }

    /// Ends a former leader's heartbeat rounds and the waits of its proposals.
    fn end_leadership(&mut self) {
        self.lease.end_term();
        self.pending.abandon_all();
    }

    /// Moves the old disk away and restarts as a new member.
    async fn replace_disk(mut self) -> Result<ReplicaThread, files::Error> {
        let me = self.log.me();
        logs::emit(
            events::DISK_SET_ASIDE,
            format_args!("disk={:016x} why=an old copy", me.disk),
        );
        self.end_leadership();
        self.storage.set_aside()?;
        ReplicaThread::open(self.settings, self.outputs, self.stopping).await
    }

    fn publish_status(&self) {
        let fresh = self.log.role() != log::Role::Leader || self.has_committed_in_term();
        let fresh_until = self.lease.fresh_until().filter(|_until| fresh);
        let status = replica_status::build(&self.log, self.applied, fresh_until);
        self.outputs.status.send_if_modified(|current| {
            replica_status::log_changes(current, &status);
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}

/// A lease granted by a leader; valid if this host has applied all up to `commit`.
#[derive(Clone, Debug)]
struct Grant {
    clocks: input::Clocks,
    commit: u64,
    leader: Bytes,
    term: u64,
}

/// Returns the length of a command or a snapshot.
pub(crate) fn count_bytes(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
