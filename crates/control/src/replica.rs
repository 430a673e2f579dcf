//! Access to the replicated log for the services of this process.

use std::sync;

use bytes::Bytes;
use peargap_core::config;
use peargap_core::routing;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::addresses;
use crate::answer;
use crate::input;
use crate::peers;
use crate::state_machine;
use crate::status;

/// Capacity of the proposal queue of a volatile replica.
const QUEUE_CAPACITY: usize = 1024;
/// Timeout for committing a command, including forwarding it to the leader.
const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Delay between attempts to find a leader.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Handle of the replica thread; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) config: watch::Receiver<sync::Arc<config::Config>>,
    pub(crate) forwarder: peers::Forwarder,
    pub(crate) inputs: mpsc::Sender<input::Input>,
    pub(crate) routing: watch::Receiver<sync::Arc<routing::Routing>>,
    pub(crate) status: watch::Receiver<status::Status>,
}

impl Handle {
    /// Commits a command on this or another host and returns the state machine's reply.
    pub async fn propose(&self, command: Bytes) -> Result<Bytes, answer::Failure> {
        let deadline = time::Instant::now() + PROPOSE_TIMEOUT;
        while time::Instant::now() < deadline {
            let tried = time::timeout_at(deadline, self.propose_once(command.clone())).await;
            match tried {
                Ok(answer::Answer::NotLeader(_)) => time::sleep(RETRY_DELAY).await,
                Ok(answer::Answer::Failed(failure)) => return Err(failure),
                Ok(answer::Answer::Reply(reply)) => return Ok(reply),
                Err(_elapsed) => return Err(answer::Failure::Unknown),
            }
        }
        Err(answer::Failure::NoQuorum)
    }

    /// Proposes a command to this host, then to the leader if that is another one.
    async fn propose_once(&self, command: Bytes) -> answer::Answer {
        let leader = match self.propose_locally(command.clone()).await {
            answer::Answer::NotLeader(Some(leader)) => leader,
            answer => return answer,
        };
        self.forwarder.propose(&leader, command).await
    }

    /// Proposes a command to this host only.
    pub(crate) async fn propose_locally(&self, command: Bytes) -> answer::Answer {
        let (reply, answer) = oneshot::channel();
        let input = input::Input::Propose { command, reply };
        if self.inputs.send(input).await.is_err() {
            return answer::Answer::NotLeader(None);
        }
        let unknown = answer::Answer::Failed(answer::Failure::Unknown);
        answer.await.unwrap_or(unknown)
    }

    /// Returns a receiver of the applied configuration.
    pub fn config(&self) -> watch::Receiver<sync::Arc<config::Config>> {
        self.config.clone()
    }

    /// Returns a receiver of the applied routing.
    pub fn routing(&self) -> watch::Receiver<sync::Arc<routing::Routing>> {
        self.routing.clone()
    }

    /// Returns a receiver of the replica's status.
    pub fn status(&self) -> watch::Receiver<status::Status> {
        self.status.clone()
    }
}

/// Starts a single replica without storage, for tests of the services.
pub fn spawn_volatile(mut machine: state_machine::StateMachine) -> Handle {
    let (config, config_receiver) = watch::channel(machine.config());
    let (routing, routing_receiver) = watch::channel(machine.routing());
    let (status, status_receiver) = watch::channel(status::Status::default());
    let (inputs, mut queue) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(async move {
        let mut index = 0;
        while let Some(input) = queue.recv().await {
            let input::Input::Propose { command, reply } = input else {
                continue;
            };
            index += 1;
            let answer = machine.apply(index, &command);
            config.send_if_modified(|current| replace_shared(current, machine.config()));
            routing.send_if_modified(|current| replace_shared(current, machine.routing()));
            status.send_modify(|status| set_single_status(status, index));
            let _ = reply.send(answer::Answer::Reply(answer));
        }
    });
    Handle {
        config: config_receiver,
        forwarder: peers::Forwarder::new(addresses::Addresses::Listed(sync::Arc::default())),
        inputs,
        routing: routing_receiver,
        status: status_receiver,
    }
}

/// Replaces a shared value; returns whether the new one is a different allocation.
pub(crate) fn replace_shared<T>(current: &mut sync::Arc<T>, value: sync::Arc<T>) -> bool {
    let changed = !sync::Arc::ptr_eq(current, &value);
    *current = value;
    changed
}

fn set_single_status(status: &mut status::Status, index: u64) {
    status.applied = index;
    status.committed = index;
    status.last = index;
    status.role = status::Role::Leader;
    status.term = 1;
    status.fresh_until = Some(time::Instant::now() + time::Duration::from_secs(3600));
}
