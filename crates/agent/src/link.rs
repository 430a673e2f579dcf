//! The bidirectional stream between an entry and one generation.

use core::time::Duration;
use std::sync;

use peargap_adapters::logs;
use peargap_core::replay_buffer;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::agent;
use crate::events;
use crate::start;
use crate::stream;

/// Timeout of the first message.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Once the entry has sent a ping, a link that receives no message for this long is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Sender of messages to the entry.
pub(crate) type Sender = mpsc::Sender<Result<wire::Down, tonic::Status>>;

/// Reason why a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseReason {
    /// The end of the generation was sent.
    Complete,
    /// The connection broke or the entry disconnected.
    Lost,
    /// The entry stopped sending messages.
    Silent,
    /// A newer link resumed the generation.
    Superseded,
}

/// Serves a link until it ends.
pub(crate) async fn serve(
    agent: sync::Arc<agent::Agent>,
    mut up: tonic::Streaming<wire::Up>,
    down: Sender,
) {
    let opened = match open(&agent, &mut up).await {
        OpenResult::Link(opened) => opened,
        OpenResult::Refused(failed) => {
            let _ = down.send(Ok(wrap_failed(failed))).await;
            return;
        }
        OpenResult::Nothing => return,
    };
    let mut link = Link {
        down,
        last_message_at: tokio::time::Instant::now(),
        ping_seen: false,
        stream: opened.stream,
        up: Some(up),
    };
    let closed = link.run(opened.cursor).await;
    match closed {
        CloseReason::Complete | CloseReason::Superseded => {}
        CloseReason::Lost | CloseReason::Silent => logs::emit(
            events::ENTRY_LINK_LOST,
            format_args!("generation={} cause={closed:?}", link.stream.id),
        ),
    }
    link.stream.detach(opened.cursor, agent.clock.now());
}

/// Generation of a link and the read position in it.
struct Attached {
    cursor: stream::Cursor,
    stream: sync::Arc<stream::Stream>,
}

enum OpenResult {
    Link(Attached),
    Nothing,
    Refused(wire::Failed),
}

async fn open(agent: &sync::Arc<agent::Agent>, up: &mut tonic::Streaming<wire::Up>) -> OpenResult {
    let first = match tokio::time::timeout(OPEN_TIMEOUT, up.message()).await {
        Ok(Ok(Some(first))) => first,
        Ok(Ok(None) | Err(_)) | Err(_) => return OpenResult::Nothing,
    };
    let begun = match first.kind {
        Some(wire::up::Kind::Start(start)) => start_generation(agent, start),
        Some(wire::up::Kind::Resume(resume)) => resume_generation(agent, &resume),
        Some(wire::up::Kind::Ack(_) | wire::up::Kind::Cancel(_) | wire::up::Kind::Ping(_))
        | None => {
            let detail = "the first message is neither Start nor Resume";
            Err(agent::refuse(wire::Reason::Invalid, 0, detail))
        }
    };
    match begun {
        Ok(attached) => OpenResult::Link(attached),
        Err(failed) => OpenResult::Refused(failed),
    }
}

fn start_generation(
    agent: &sync::Arc<agent::Agent>,
    start: wire::Start,
) -> Result<Attached, wire::Failed> {
    let (request, model) = (start.request.clone(), start.model.clone());
    let stream = start::start_generation(agent, start).inspect_err(|failed| {
        agent.meters.count_refusal(failed.reason());
        logs::emit(
            events::REFUSED,
            format_args!(
                "request={request} model={model} reason={} retry_after_ms={} detail={:?}",
                failed.reason().as_str_name(),
                failed.retry_after_ms,
                failed.detail
            ),
        );
    })?;
    attach(stream, 0)
}

fn resume_generation(
    agent: &agent::Agent,
    resume: &wire::Resume,
) -> Result<Attached, wire::Failed> {
    let found = agent::lock(&agent.generations).find(&resume.generation);
    let stream = found.filter(|stream| stream.team == resume.team);
    let Some(stream) = stream else {
        let detail = "the generation is not held here";
        let (ran, reason) = (wire::Ran::Unknown, wire::Reason::Gone);
        return Err(stream::build_failed(ran, reason, 0, detail));
    };
    logs::emit(
        events::RESUMED,
        format_args!("generation={} offset={}", stream.id, resume.offset),
    );
    agent.meters.count_entry_resume();
    attach(stream, resume.offset)
}

fn attach(stream: sync::Arc<stream::Stream>, offset: u64) -> Result<Attached, wire::Failed> {
    match stream.attach(offset) {
        Ok(cursor) => Ok(Attached { cursor, stream }),
        Err(replay_buffer::Attach::Dropped { first }) => {
            let detail = format!("tokens before offset {first} are no longer held");
            Err(stream::build_failed(
                wire::Ran::Yes,
                wire::Reason::Gone,
                0,
                detail,
            ))
        }
        Err(replay_buffer::Attach::Ahead | replay_buffer::Attach::Ready(_)) => {
            let detail = "the offset is beyond the end of the generated tokens";
            let (ran, reason) = (wire::Ran::Yes, wire::Reason::Invalid);
            Err(stream::build_failed(ran, reason, 0, detail))
        }
    }
}

struct Link {
    down: Sender,
    /// When the last message from the entry arrived.
    last_message_at: tokio::time::Instant,
    /// Whether the entry sends pings.
    ping_seen: bool,
    stream: sync::Arc<stream::Stream>,
    /// `None` once the entry has closed its side.
    up: Option<tonic::Streaming<wire::Up>>,
}

impl Link {
    async fn run(&mut self, mut cursor: stream::Cursor) -> CloseReason {
        let mut changes = self.stream.subscribe();
        loop {
            let ping_deadline = self.last_message_at + PING_TIMEOUT;
            tokio::select! {
                received = receive(&mut self.up) => match received {
                    Ok(Some(message)) => self.handle_message(cursor, message),
                    Ok(None) => self.up = None,
                    Err(_) => return CloseReason::Lost,
                },
                () = tokio::time::sleep_until(ping_deadline), if self.ping_seen => {
                    return CloseReason::Silent;
                }
                sent = send_next(&self.stream, &mut cursor, &mut changes, &self.down) => {
                    match sent {
                        SendOutcome::Complete => return CloseReason::Complete,
                        SendOutcome::Lost => return CloseReason::Lost,
                        SendOutcome::More => {}
                        SendOutcome::Superseded => return CloseReason::Superseded,
                    }
                }
            }
        }
    }

    fn handle_message(&mut self, cursor: stream::Cursor, message: wire::Up) {
        self.last_message_at = tokio::time::Instant::now();
        match message.kind {
            Some(wire::up::Kind::Ack(ack)) => self.stream.acknowledge(cursor, ack.offset),
            Some(wire::up::Kind::Cancel(_)) => self.stream.cancel(cursor),
            Some(wire::up::Kind::Ping(ping)) => {
                self.ping_seen = true;
                let kind = Some(wire::down::Kind::Pong(ping));
                // A pong that does not fit in the buffer is dropped: the entry is not reading.
                let _ = self.down.try_send(Ok(wire::Down { kind }));
            }
            Some(wire::up::Kind::Start(_) | wire::up::Kind::Resume(_)) | None => {}
        }
    }
}

/// Waits for the entry's next message; never returns once the entry has closed its side.
async fn receive(
    up: &mut Option<tonic::Streaming<wire::Up>>,
) -> Result<Option<wire::Up>, tonic::Status> {
    match up {
        Some(up) => up.message().await,
        None => core::future::pending().await,
    }
}

enum SendOutcome {
    Complete,
    Lost,
    More,
    Superseded,
}

/// Sends the next message. Cancel safe: a message is taken from the generation only once there is
/// room to send it.
async fn send_next(
    stream: &stream::Stream,
    cursor: &mut stream::Cursor,
    changes: &mut watch::Receiver<()>,
    down: &Sender,
) -> SendOutcome {
    let Ok(permit) = down.reserve().await else {
        return SendOutcome::Lost;
    };
    loop {
        changes.borrow_and_update();
        match stream.take_output(cursor) {
            stream::Output::Accepted(accepted) => {
                permit.send(Ok(wrap(wire::down::Kind::Accepted(accepted))));
                return SendOutcome::More;
            }
            stream::Output::Chunk(chunk) => {
                permit.send(Ok(wrap(wire::down::Kind::Chunk(chunk))));
                return SendOutcome::More;
            }
            stream::Output::End(end) => {
                permit.send(Ok(wrap_end(end)));
                return SendOutcome::Complete;
            }
            stream::Output::Superseded => {
                let detail = "another link resumed the generation";
                let (ran, reason) = (wire::Ran::Yes, wire::Reason::Superseded);
                permit.send(Ok(wrap_failed(stream::build_failed(
                    ran, reason, 0, detail,
                ))));
                return SendOutcome::Superseded;
            }
            stream::Output::Nothing => {}
        }
        tokio::select! {
            () = down.closed() => return SendOutcome::Lost,
            changed = changes.changed() => if changed.is_err() {
                return SendOutcome::Lost;
            },
        }
    }
}

fn wrap(kind: wire::down::Kind) -> wire::Down {
    wire::Down { kind: Some(kind) }
}

fn wrap_end(end: stream::End) -> wire::Down {
    match end {
        stream::End::Failed(failed) => wrap_failed(failed),
        stream::End::Finished(finished) => wrap(wire::down::Kind::Finished(finished)),
    }
}

fn wrap_failed(failed: wire::Failed) -> wire::Down {
    wrap(wire::down::Kind::Failed(failed))
}
