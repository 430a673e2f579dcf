//! One generation: its replay buffer, its end and whoever waits on either.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use peargap_core::replay;
use peargap_core::time;
use peargap_wire::agent as wire;
use tokio::sync::watch;
use tokio_util::sync as cancel;

/// Most tokens in one chunk.
const CHUNK_TOKENS: usize = 256;

/// A generation that this agent holds.
#[derive(Debug)]
pub(crate) struct Stream {
    /// Cancelled when the caller has gone or nobody came back for the generation.
    pub(crate) cancelled: cancel::CancellationToken,
    /// Name of the generation.
    pub(crate) id: String,
    /// Output tokens so far.
    pub(crate) produced: sync::Arc<atomic::AtomicU32>,
    pub(crate) request: String,
    pub(crate) team: String,
    changes: watch::Sender<()>,
    room: tokio::sync::Notify,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Requests ahead when it was queued; `None` until it is queued or admitted.
    accepted: Option<u32>,
    buffer: replay::Buffer,
    /// Set with the end.
    ended_at: time::Instant,
    end: Option<End>,
    /// Since when nobody reads; `None` while somebody does.
    idle_since: Option<time::Instant>,
    /// Whether the end was handed to a link.
    told: bool,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    Failed(wire::Failed),
    Finished(wire::Finished),
}

/// A link's place in the generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cursor {
    announced: bool,
    link: replay::Link,
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

/// What the sweeper needs to know.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// Since when it is over, if it is.
    pub(crate) ended_at: Option<time::Instant>,
    pub(crate) idle_since: Option<time::Instant>,
    pub(crate) kept_bytes: usize,
    /// Whether a link got the end.
    pub(crate) told: bool,
}

impl Stream {
    /// Returns a generation without tokens or reader.
    pub(crate) fn new(
        id: String,
        request: String,
        team: String,
        replay_bytes: usize,
        now: time::Instant,
    ) -> Stream {
        Stream {
            cancelled: cancel::CancellationToken::new(),
            changes: watch::Sender::new(()),
            id,
            produced: sync::Arc::default(),
            request,
            room: tokio::sync::Notify::new(),
            state: sync::Mutex::new(State {
                accepted: None,
                buffer: replay::Buffer::new(replay_bytes),
                end: None,
                ended_at: now,
                idle_since: Some(now),
                told: false,
            }),
            team,
        }
    }

    /// Returns a receiver that changes with every new token and at the end.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Notes that the request is queued behind `ahead` others, or admitted.
    pub(crate) fn accept(&self, ahead: u32) {
        self.lock().accepted = Some(ahead);
        self.changes.send_replace(());
    }

    /// Returns the offset of the next token.
    pub(crate) fn next(&self) -> u64 {
        self.lock().buffer.next()
    }

    /// Adds a token without telling the reader; `None` stands for the next offset.
    pub(crate) fn push(&self, offset: Option<u64>, text: Bytes) -> replay::Push {
        let mut state = self.lock();
        let offset = offset.unwrap_or_else(|| state.buffer.next());
        let pushed = state.buffer.push(offset, text);
        if pushed == replay::Push::Stored {
            self.produced.fetch_add(1, atomic::Ordering::Relaxed);
        }
        pushed
    }

    /// Tells the reader of tokens added before.
    pub(crate) fn publish(&self) {
        self.changes.send_replace(());
    }

    /// Waits until the reader may have acknowledged something.
    pub(crate) async fn wait_for_room(&self) {
        self.room.notified().await;
    }

    /// Ends the generation; a second end changes nothing.
    pub(crate) fn end(&self, end: End, now: time::Instant) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended_at = now;
        }
        drop(state);
        self.changes.send_replace(());
    }

    /// Starts a link at `offset`, or says why not.
    pub(crate) fn attach(&self, offset: u64) -> Result<Cursor, replay::Attach> {
        let mut state = self.lock();
        let attached = state.buffer.attach(offset);
        let replay::Attach::Ready(link) = attached else {
            return Err(attached);
        };
        state.idle_since = None;
        state.told = false;
        drop(state);
        self.room.notify_one();
        // The older link learns of this one.
        self.changes.send_replace(());
        Ok(Cursor {
            announced: false,
            link,
        })
    }

    /// Ends a link; the generation waits for another from `now` on.
    pub(crate) fn detach(&self, cursor: Cursor, now: time::Instant) {
        let mut state = self.lock();
        if state.buffer.detach(cursor.link) {
            state.idle_since = Some(now);
        }
    }

    /// Returns what the link sends next and counts it as sent.
    pub(crate) fn take(&self, cursor: &mut Cursor) -> Output {
        let mut state = self.lock();
        if !cursor.announced {
            if let Some(queued) = state.accepted {
                cursor.announced = true;
                return Output::Accepted(wire::Accepted {
                    generation: self.id.clone(),
                    queued,
                });
            }
        }
        match state.buffer.take(cursor.link, CHUNK_TOKENS) {
            replay::Take::Batch { offset, tokens } => Output::Chunk(wire::Chunk { offset, tokens }),
            replay::Take::Superseded => Output::Superseded,
            replay::Take::Empty => match state.end.clone() {
                None => Output::Nothing,
                Some(end) => {
                    state.told = true;
                    Output::End(end)
                }
            },
        }
    }

    /// Notes an acknowledgement of the tokens below `offset`.
    pub(crate) fn acknowledge(&self, cursor: Cursor, offset: u64) {
        if self.lock().buffer.acknowledge(cursor.link, offset) {
            self.room.notify_one();
        }
    }

    /// Cancels the generation for the caller of a link, unless a newer link has taken over.
    pub(crate) fn cancel(&self, cursor: Cursor) {
        if self.lock().buffer.is_reader(cursor.link) {
            self.cancelled.cancel();
        }
    }

    /// Returns the state as the sweeper needs it.
    pub(crate) fn summarize(&self) -> Summary {
        let state = self.lock();
        Summary {
            ended_at: state.end.is_some().then_some(state.ended_at),
            idle_since: state.idle_since,
            kept_bytes: state.buffer.kept_bytes(),
            told: state.told,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the end of a generation without a whole answer.
pub(crate) fn fail(
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
