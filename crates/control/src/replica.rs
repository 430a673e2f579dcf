//! The replicated log as the services of this process see it.

use std::sync;

use bytes::Bytes;
use peargap_core::config;
use peargap_core::routing;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::addresses;
use crate::machine;
use crate::peers;
use crate::worker;

/// Proposals that may wait for a volatile replica.
const QUEUE_PROPOSALS: usize = 1024;
/// Time for a command to be committed, its way to the leader included.
const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time between two looks for a leader.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

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

/// What one host says to a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// It is not the leader; the leader's name when known.
    NotLeader(Option<String>),
    /// It refuses.
    Refused(Refusal),
    /// The state machine's reply.
    Reply(Bytes),
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
    /// Names of the hosts that vote or are catching up.
    pub members: Vec<String>,
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

/// Access to the replica's thread; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) config: watch::Receiver<sync::Arc<config::Config>>,
    pub(crate) forwarder: peers::Forwarder,
    pub(crate) inputs: mpsc::Sender<worker::Input>,
    pub(crate) routing: watch::Receiver<sync::Arc<routing::Routing>>,
    pub(crate) status: watch::Receiver<Status>,
}

impl Handle {
    /// Commits a command, through the leader wherever it is, and returns the machine's reply.
    pub async fn propose(&self, command: Bytes) -> Result<Bytes, Refusal> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        while time::Instant::now() < deadline {
            let tried = time::timeout_at(deadline, self.propose_once(command.clone())).await;
            match tried {
                Ok(Answer::NotLeader(_)) => time::sleep(RETRY_DELAY).await,
                Ok(Answer::Refused(refusal)) => return Err(refusal),
                Ok(Answer::Reply(reply)) => return Ok(reply),
                Err(_elapsed) => return Err(Refusal::Unknown),
            }
        }
        Err(Refusal::NoQuorum)
    }

    /// Tries this host, then the leader that it knows.
    async fn propose_once(&self, command: Bytes) -> Answer {
        let leader = match self.propose_here(command.clone()).await {
            Answer::NotLeader(Some(leader)) => leader,
            answer => return answer,
        };
        self.forwarder.propose(&leader, command).await
    }

    /// Proposes a command to this host only.
    pub(crate) async fn propose_here(&self, command: Bytes) -> Answer {
        let (reply, answer) = oneshot::channel();
        let input = worker::Input::Propose { command, reply };
        if self.inputs.send(input).await.is_err() {
            return Answer::NotLeader(None);
        }
        let unknown = Answer::Refused(Refusal::Unknown);
        answer.await.unwrap_or(unknown)
    }

    /// Returns the applied configuration, updated when it changes.
    pub fn config(&self) -> watch::Receiver<sync::Arc<config::Config>> {
        self.config.clone()
    }

    /// Returns the applied routing, updated when it changes.
    pub fn routing(&self) -> watch::Receiver<sync::Arc<routing::Routing>> {
        self.routing.clone()
    }

    /// Returns the replica's state, updated when it changes.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }
}

/// Starts a replica that is alone and keeps nothing; for tests of the services.
pub fn spawn_volatile(mut machine: machine::Machine) -> Handle {
    let (config, config_seen) = watch::channel(machine.config());
    let (routing, routing_seen) = watch::channel(machine.routing());
    let (status, status_seen) = watch::channel(Status::default());
    let (inputs, mut queue) = mpsc::channel(QUEUE_PROPOSALS);
    tokio::spawn(async move {
        let mut index = 0;
        while let Some(input) = queue.recv().await {
            let worker::Input::Propose { command, reply } = input else {
                continue;
            };
            index += 1;
            let answer = machine.apply(index, &command);
            config.send_if_modified(|seen| replace_shared(seen, machine.config()));
            routing.send_if_modified(|seen| replace_shared(seen, machine.routing()));
            status.send_modify(|status| describe_alone(status, index));
            let _ = reply.send(Answer::Reply(answer));
        }
    });
    Handle {
        config: config_seen,
        forwarder: peers::Forwarder::new(addresses::Addresses::Listed(sync::Arc::default())),
        inputs,
        routing: routing_seen,
        status: status_seen,
    }
}

/// Replaces a shared value when it is another one; returns whether it is.
pub(crate) fn replace_shared<T>(seen: &mut sync::Arc<T>, value: sync::Arc<T>) -> bool {
    let changed = !sync::Arc::ptr_eq(seen, &value);
    *seen = value;
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
