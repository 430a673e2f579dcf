//! One generation: its replay buffer, its end and the notification of readers and writer.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use peargap_adapters::body_budget;
use peargap_core::replay_buffer;
use peargap_core::time;
use peargap_wire::agent as wire;
use tokio::sync::watch;
use tokio_util::sync as cancel;

/// Maximum number of tokens in one chunk.
const MAX_CHUNK_TOKENS: usize = 256;

/// A generation that this agent holds.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Cancelled when the caller cancels, the generation is abandoned or it has to end as too much is
    /// unacknowledged.
    pub(crate) cancelled: cancel::CancellationToken,
    /// ID of the generation.
    pub(crate) id: String,
    /// Number of output tokens so far.
    pub(crate) produced: sync::Arc<atomic::AtomicU32>,
    pub(crate) request_id: String,
    pub(crate) team: String,
    changes: watch::Sender<()>,
    space: tokio::sync::Notify,
    state: sync::Mutex<State>,
    /// Counts the tokens that are not acknowledged.
    unread: body_budget::Hold,
}

#[derive(Debug)]
struct State {
    /// Number of requests ahead in the queue, 0 when admitted; `None` until queued or admitted.
    accepted: Option<u32>,
    buffer: replay_buffer::Buffer,
    /// Bytes of tokens that are counted as not acknowledged.
    counted_bytes: usize,
    /// When the generation ended; valid only if `end` is set.
    ended_at: time::Instant,
    end: Option<End>,
    /// Since when no reader has been attached; `None` while one is.
    idle_since: Option<time::Instant>,
    /// Whether a reader has taken the end.
    end_taken: bool,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    Failed(wire::Failed),
    Finished(wire::Finished),
}

/// Read position of a link in the generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cursor {
    accepted_sent: bool,
    link: replay_buffer::Link,
}

/// What a link sends next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Output {
    Accepted(wire::Accepted),
    Chunk(wire::Chunk),
    End(End),
    Nothing,
    Superseded,
}

/// State of a generation for the sweep.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// When the generation ended, if it has.
    pub(crate) ended_at: Option<time::Instant>,
    pub(crate) idle_since: Option<time::Instant>,
    pub(crate) kept_bytes: usize,
    /// Whether a reader has taken the end.
    pub(crate) end_taken: bool,
}

impl Stream {
    /// Returns a generation without tokens or readers.
    pub(crate) fn new(
        id: String,
        request_id: String,
        team: String,
        replay_bytes: usize,
        unread: &body_budget::Budget,
        now: time::Instant,
    ) -> Stream {
        let ended = cancel::CancellationToken::new();
        let cancelled = ended.child_token();
        let side = body_budget::Side::Caller;
        let unread = unread.open(side, Bytes::from(request_id.clone()), ended);
        Stream {
            cancelled,
            changes: watch::Sender::new(()),
            id,
            produced: sync::Arc::default(),
            request_id,
            space: tokio::sync::Notify::new(),
            state: sync::Mutex::new(State {
                accepted: None,
                buffer: replay_buffer::Buffer::new(replay_bytes),
                counted_bytes: 0,
                end: None,
                ended_at: now,
                idle_since: Some(now),
                end_taken: false,
            }),
            team,
            unread,
        }
    }

    /// Returns a receiver that is notified of new tokens, the end and newer links.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Records that the request is queued behind `ahead` others; 0 when it is admitted.
    pub(crate) fn accept(&self, ahead: u32) {
        self.lock().accepted = Some(ahead);
        self.changes.send_replace(());
    }

    /// Returns the offset of the next token.
    pub(crate) fn next(&self) -> u64 {
        self.lock().buffer.next()
    }

    /// Adds a token without notifying readers; an offset of `None` stands for the next one.
    pub(crate) fn push(&self, offset: Option<u64>, text: Bytes) -> replay_buffer::Push {
        let mut state = self.lock();
        let offset = offset.unwrap_or_else(|| state.buffer.next());
        let pushed = state.buffer.push(offset, text);
        if pushed == replay_buffer::Push::Stored {
            self.produced.fetch_add(1, atomic::Ordering::Relaxed);
        }
        self.count_unread(&mut state);
        pushed
    }

    /// Notifies readers of the tokens added so far.
    pub(crate) fn publish(&self) {
        self.changes.send_replace(());
    }

    /// Waits until the buffer may have space again.
    pub(crate) async fn wait_for_space(&self) {
        self.space.notified().await;
    }

    /// Ends the generation; only the first end counts.
    pub(crate) fn end(&self, end: End, now: time::Instant) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended_at = now;
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Attaches a link at `offset`, or returns why that is not possible.
    pub(crate) fn attach(&self, offset: u64) -> Result<Cursor, replay_buffer::Attach> {
        let mut state = self.lock();
        let attached = state.buffer.attach(offset);
        self.count_unread(&mut state);
        let replay_buffer::Attach::Ready(link) = attached else {
            return Err(attached);
        };
        state.idle_since = None;
        state.end_taken = false;
        drop(state);
        self.space.notify_one();
        // Notifies the superseded link.
        self.changes.send_replace(());
        Ok(Cursor {
            accepted_sent: false,
            link,
        })
    }

    /// Detaches a link; if it was the current reader, the generation is idle from `now` on.
    pub(crate) fn detach(&self, cursor: Cursor, now: time::Instant) {
        let mut state = self.lock();
        if state.buffer.detach(cursor.link) {
            state.idle_since = Some(now);
        }
    }

    /// Takes the next output for the link and advances the cursor.
    pub(crate) fn take_output(&self, cursor: &mut Cursor) -> Output {
        let mut state = self.lock();
        if !cursor.accepted_sent {
            if let Some(queued) = state.accepted {
                cursor.accepted_sent = true;
                return Output::Accepted(wire::Accepted {
                    generation: self.id.clone(),
                    queued,
                });
            }
        }
        match state.buffer.take(cursor.link, MAX_CHUNK_TOKENS) {
            replay_buffer::Take::Batch { offset, tokens } => {
                Output::Chunk(wire::Chunk { offset, tokens })
            }
            replay_buffer::Take::Superseded => Output::Superseded,
            replay_buffer::Take::Empty => match state.end.clone() {
                None => Output::Nothing,
                Some(end) => {
                    state.end_taken = true;
                    Output::End(end)
                }
            },
        }
    }

    /// Records the acknowledgement of the tokens before `offset`.
    pub(crate) fn acknowledge(&self, cursor: Cursor, offset: u64) {
        let mut state = self.lock();
        if state.buffer.acknowledge(cursor.link, offset) {
            self.count_unread(&mut state);
            self.space.notify_one();
        }
    }

    /// Cancels the generation on behalf of a link, unless a newer link has superseded it.
    pub(crate) fn cancel(&self, cursor: Cursor) {
        if self.lock().buffer.is_reader(cursor.link) {
            self.cancelled.cancel();
        }
    }

    /// Returns the state for the sweep.
    pub(crate) fn summarize(&self) -> Summary {
        let state = self.lock();
        Summary {
            ended_at: state.end.is_some().then_some(state.ended_at),
            idle_since: state.idle_since,
            kept_bytes: state.buffer.kept_bytes(),
            end_taken: state.end_taken,
        }
    }

    /// Counts what is not acknowledged now.
    fn count_unread(&self, state: &mut State) {
        let bytes = state.buffer.unacknowledged_bytes();
        match bytes.checked_sub(state.counted_bytes) {
            Some(added) => self.unread.add(added),
            None => self.unread.record_read(state.counted_bytes - bytes),
        }
        state.counted_bytes = bytes;
    }

    /// Returns whether it has to end as too much is unacknowledged.
    pub(crate) fn is_overdue(&self) -> bool {
        self.unread.is_ended()
    }

    /// Drops the tokens of a generation that has to end as too much is unacknowledged. If it was
    /// complete, its reader is told that it is not any more.
    pub(crate) fn release_overdue(&self) {
        if !self.is_overdue() {
            return;
        }
        let mut state = self.lock();
        state.buffer.discard();
        if state.end.is_some() {
            state.end = Some(End::Failed(build_overdue()));
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Builds the failure of a generation that has to end as too much is unacknowledged.
pub(crate) fn build_overdue() -> wire::Failed {
    let reason = wire::Reason::Cancelled;
    build_failed(wire::Ran::Yes, reason, 0, "too many tokens unread")
}

/// Builds a failure message.
pub(crate) fn build_failed(
    ran: wire::Ran,
    reason: wire::Reason,
    retry_after_ms: u32,
    detail: impl Into<String>,
) -> wire::Failed {
    wire::Failed {
        ran: ran.into(),
        reason: reason.into(),
        retry_after_ms,
        detail: detail.into(),
    }
}
