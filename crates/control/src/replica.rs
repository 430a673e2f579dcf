//! The replicated log as the services of this process see it.

use std::sync;

use bytes::Bytes;
use peargap_core::config;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::machine;

/// Proposals that may wait for the replica's thread.
const QUEUE_PROPOSALS: usize = 1024;

/// Why a command was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The leader's disk is full; the command will never be committed.
    DiskFull,
    /// There is no leader with a quorum; the command will never be committed.
    NoQuorum,
    /// The command may or may not be committed; propose it again under the same id.
    Unknown,
}

/// What a control host does in the log's protocol.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows a leader, or waits for one.
    Follower,
    /// Orders the commands.
    Leader,
    /// Knows of no membership yet.
    #[default]
    Outsider,
}

/// State of this host's replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index known to be committed.
    pub committed: u64,
    /// Until when this host may grant freshness leases.
    pub fresh_until: Option<time::Instant>,
    /// Last index stored here.
    pub last: u64,
    /// Name of the leader, when known.
    pub leader: Option<String>,
    /// Hosts that are catching up, as `name/disk id`.
    pub learners: Vec<String>,
    /// What this host does.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Hosts that vote, as `name/disk id`.
    pub voters: Vec<String>,
}

impl Status {
    /// Returns whether this host may grant freshness leases now.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until
            .is_some_and(|until| time::Instant::now() < until)
    }
}

struct Proposal {
    command: Bytes,
    reply: oneshot::Sender<Result<Bytes, Refusal>>,
}

/// Access to the replica's thread; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    config: watch::Receiver<sync::Arc<config::Config>>,
    proposals: mpsc::Sender<Proposal>,
    status: watch::Receiver<Status>,
}

impl Handle {
    /// Commits a command and returns the state machine's reply.
    pub async fn propose(&self, command: Bytes) -> Result<Bytes, Refusal> {
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal { command, reply };
        if self.proposals.send(proposal).await.is_err() {
            return Err(Refusal::NoQuorum);
        }
        answer.await.unwrap_or(Err(Refusal::Unknown))
    }

    /// Returns the applied configuration, updated when it changes.
    pub fn config(&self) -> watch::Receiver<sync::Arc<config::Config>> {
        self.config.clone()
    }

    /// Returns the replica's state, updated when it changes.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }
}

/// Starts a replica that is alone and keeps nothing; for tests of the services.
pub fn spawn_volatile(mut machine: machine::Machine) -> Handle {
    let (config, config_seen) = watch::channel(machine.config());
    let (status, status_seen) = watch::channel(Status::default());
    let (proposals, mut queue) = mpsc::channel::<Proposal>(QUEUE_PROPOSALS);
    tokio::spawn(async move {
        let mut index = 0;
        while let Some(proposal) = queue.recv().await {
            index += 1;
            let reply = machine.apply(index, &proposal.command);
            config.send_if_modified(|seen| replace_config(seen, machine.config()));
            status.send_modify(|status| describe_alone(status, index));
            let _ = proposal.reply.send(Ok(reply));
        }
    });
    Handle {
        config: config_seen,
        proposals,
        status: status_seen,
    }
}

fn replace_config(seen: &mut sync::Arc<config::Config>, config: sync::Arc<config::Config>) -> bool {
    let changed = !sync::Arc::ptr_eq(seen, &config);
    *seen = config;
    changed
}

fn describe_alone(status: &mut Status, index: u64) {
    status.applied = index;
    status.committed = index;
    status.last = index;
    status.role = Role::Leader;
    status.term = 1;
    status.fresh_until = Some(time::Instant::now() + time::Duration::from_secs(3600));
}
