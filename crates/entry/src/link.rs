//! Link to an agent for one generation, with heartbeats in both directions.

use core::error;
use core::time;
use std::io;

use peargap_wire::agent as wire;
use peargap_wire::agent::down;
use peargap_wire::agent::up;
use tokio::sync::mpsc;
use tokio::time as clock;
use tokio_stream::wrappers;
use tokio_stream::StreamExt as _;

use crate::agent;

/// Interval of the periodic work on a link: heartbeats, acknowledgements, timeout checks.
pub(crate) const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Ticks between two heartbeats on a link.
const TICKS_PER_PING: u64 = 2;
/// Time without any message after which a link counts as silent.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// How long a cancelled generation's link is kept open for the agent to close it.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Capacity of the buffer of outgoing messages on a link.
const UP_BUFFER: usize = 16;

/// Why a link could not be opened.
#[derive(Debug)]
pub(crate) enum OpenError {
    /// The agent has certainly received nothing.
    NotSent(tonic::Status),
    /// The agent may have received the request.
    Sent(tonic::Status),
    /// No answer came within the silence timeout.
    Silent,
}

impl OpenError {
    /// Returns whether the agent's address refused the connection, since its process has ended.
    pub(crate) fn is_connection_refused(&self) -> bool {
        let status = match self {
            OpenError::NotSent(status) | OpenError::Sent(status) => status,
            OpenError::Silent => return false,
        };
        let mut cause = error::Error::source(status);
        while let Some(error) = cause {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return error.kind() == io::ErrorKind::ConnectionRefused;
            }
            cause = error.source();
        }
        false
    }
}

/// An event on a link.
#[derive(Debug)]
pub(crate) enum Event {
    Accepted(wire::Accepted),
    Chunk(wire::Chunk),
    Failed(wire::Failed),
    Finished(wire::Finished),
    /// The connection ended.
    Lost,
}

/// An open link.
#[derive(Debug)]
pub(crate) struct Link {
    down: tonic::Streaming<wire::Down>,
    last_message_at: clock::Instant,
    pub(crate) connection_number: u64,
    ticks: u64,
    up: mpsc::Sender<wire::Up>,
}

/// Opens a link over the agent's current connection; `first` is the Start or Resume message.
pub(crate) async fn open_link(agent: &agent::Agent, first: up::Kind) -> Result<Link, OpenError> {
    let (sender, receiver) = mpsc::channel(UP_BUFFER);
    let connection = agent.connections.current();
    let (mut client, sent_flag) = connection.client();
    // An empty channel has room.
    let _ = sender.try_send(wire::Up { kind: Some(first) });
    let opening = client.generate(wrappers::ReceiverStream::new(receiver));
    let answer = clock::timeout(SILENCE_TIMEOUT, opening).await;
    match answer {
        Ok(Ok(answer)) => Ok(Link {
            down: answer.into_inner(),
            last_message_at: clock::Instant::now(),
            connection_number: connection.number,
            ticks: 0,
            up: sender,
        }),
        Ok(Err(status)) if sent_flag.is_sent() => Err(OpenError::Sent(status)),
        Ok(Err(status)) => Err(OpenError::NotSent(status)),
        Err(_) => {
            agent.connections.replace(connection.number);
            if sent_flag.is_sent() {
                Err(OpenError::Silent)
            } else {
                Err(OpenError::NotSent(tonic::Status::deadline_exceeded(
                    "no connection within the timeout",
                )))
            }
        }
    }
}

impl Link {
    /// Returns the next message other than a heartbeat.
    ///
    /// Cancel-safe: no message is lost if the future is dropped before it is ready.
    pub(crate) async fn next(&mut self) -> Event {
        loop {
            let message = self.down.next().await;
            self.last_message_at = clock::Instant::now();
            match message {
                None | Some(Err(_)) => return Event::Lost,
                Some(Ok(message)) => {
                    if let Some(event) = map_message(message) {
                        return event;
                    }
                }
            }
        }
    }

    /// Returns when the link counts as silent unless something arrives.
    pub(crate) fn silence_deadline(&self) -> clock::Instant {
        self.last_message_at + SILENCE_TIMEOUT
    }

    /// Restarts the silence timeout, after a period in which the link was not read.
    pub(crate) fn reset_silence(&mut self) {
        self.last_message_at = clock::Instant::now();
    }

    /// Sends a heartbeat if one is due; called every [`TICK_INTERVAL`].
    pub(crate) fn tick(&mut self) {
        if self.ticks.is_multiple_of(TICKS_PER_PING) {
            let number = self.ticks / TICKS_PER_PING + 1;
            self.send(up::Kind::Ping(wire::Ping { number }));
        }
        self.ticks += 1;
    }

    /// Acknowledges to the agent that the tokens below `offset` were written to the caller.
    pub(crate) fn ack(&self, offset: u64) {
        self.send(up::Kind::Ack(wire::Ack { offset }));
    }

    /// Cancels the generation; a background task waits for the agent to close the link.
    pub(crate) fn cancel(self) {
        // Dropping the link at once would reset the stream before the Cancel message is sent.
        tokio::spawn(clock::timeout(CANCEL_TIMEOUT, finish_cancel(self)));
    }

    fn send(&self, kind: up::Kind) {
        // The buffer is full only on a stalled link, which the silence timeout ends.
        let _ = self.up.try_send(wire::Up { kind: Some(kind) });
    }
}

async fn finish_cancel(mut link: Link) {
    let kind = Some(up::Kind::Cancel(wire::Cancel {}));
    if link.up.send(wire::Up { kind }).await.is_err() {
        return;
    }
    loop {
        match link.next().await {
            Event::Failed(_) | Event::Finished(_) | Event::Lost => return,
            Event::Accepted(_) | Event::Chunk(_) => {}
        }
    }
}

fn map_message(message: wire::Down) -> Option<Event> {
    match message.kind? {
        down::Kind::Accepted(accepted) => Some(Event::Accepted(accepted)),
        down::Kind::Chunk(chunk) => Some(Event::Chunk(chunk)),
        down::Kind::Failed(failed) => Some(Event::Failed(failed)),
        down::Kind::Finished(finished) => Some(Event::Finished(finished)),
        down::Kind::Pong(_) => None,
    }
}
