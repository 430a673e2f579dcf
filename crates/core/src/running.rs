//! Running streams of one upstream, as tracked by admission control.

use crate::admit;
use crate::curve;
use crate::forecast;
use crate::time;

/// One running stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningStream {
    /// Time of its start.
    pub(crate) started_at: time::Instant,
    /// Tokens charged to its team at the start.
    pub(crate) charged: f64,
    /// Whether it counts against the ramp's limit: it was begun since the last sign of a cold
    /// upstream, or had no first token in the usual time before that sign.
    ramp_counted: bool,
    last_token: time::Instant,
    /// Output tokens so far.
    pub(crate) produced: u32,
    /// Prompt tokens to process before its first token: its own and those of earlier streams
    /// without a token.
    pub(crate) prefill_tokens: u32,
    /// The request.
    pub(crate) request: admit::Request,
    /// Whether its first token came in the usual time.
    timely: bool,
}

impl RunningStream {
    /// Returns its input to the memory forecast.
    pub(crate) fn load(&self, block_tokens: u32) -> forecast::Load {
        load(&self.request, self.produced, block_tokens)
    }
}

/// Returns the input to the memory forecast for a request with `produced` output tokens.
pub(crate) fn load(request: &admit::Request, produced: u32, block_tokens: u32) -> forecast::Load {
    let held = request.prompt_tokens + produced;
    forecast::Load {
        class: request.class,
        max_tokens: request.max_tokens,
        produced,
        used_tokens: held.next_multiple_of(block_tokens.max(1)),
    }
}

/// Whether an update contains the first token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// It contains the first token.
    First {
        /// Prompt tokens processed before it, including those of earlier streams.
        prefill_tokens: u32,
    },
    /// It contains only later tokens.
    Next {
        /// Whether no prompt was processed since the token before, so that the gap is the time of
        /// decoding alone.
        decode_only: bool,
    },
}

/// New output tokens of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenUpdate {
    /// Output tokens with this update.
    pub(crate) after: u32,
    /// Output tokens before this update.
    pub(crate) before: u32,
    /// Class of the stream.
    pub(crate) class: curve::Class,
    /// Whether it contains the first token.
    pub(crate) kind: Kind,
    /// Time since the previous token or, for the first one, since the start, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// All running streams.
#[derive(Clone, Debug)]
pub(crate) struct RunningStreams {
    ramp_counted: u32,
    /// Time of the last first token of any stream, when its prompt was certainly processed.
    last_prefill_at: time::Instant,
    streams: slotmap::SlotMap<admit::Stream, RunningStream>,
    unanswered: u32,
}

impl RunningStreams {
    /// Returns an empty table.
    pub(crate) fn new(now: time::Instant) -> RunningStreams {
        RunningStreams {
            ramp_counted: 0,
            last_prefill_at: now,
            streams: slotmap::SlotMap::with_key(),
            unanswered: 0,
        }
    }

    /// Returns the number of running streams.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.streams.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of streams that count against the ramp's limit.
    pub(crate) fn ramp_counted(&self) -> u32 {
        self.ramp_counted
    }

    /// Returns the number of streams without a token.
    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Returns the streams.
    pub(crate) fn values(&self) -> impl Iterator<Item = &RunningStream> {
        self.streams.values()
    }

    /// Adds a stream.
    pub(crate) fn start(
        &mut self,
        now: time::Instant,
        request: admit::Request,
        charged: f64,
    ) -> admit::Stream {
        let unanswered = self
            .streams
            .values()
            .filter(|running| running.produced == 0);
        let ahead: u32 = unanswered
            .map(|running| running.request.prompt_tokens)
            .sum();
        self.unanswered += 1;
        self.ramp_counted += 1;
        self.streams.insert(RunningStream {
            started_at: now,
            charged,
            ramp_counted: true,
            last_token: now,
            produced: 0,
            prefill_tokens: ahead + request.prompt_tokens,
            request,
            timely: false,
        })
    }

    /// Records `count` new tokens of a stream; returns none if it is not running.
    pub(crate) fn add_tokens(
        &mut self,
        now: time::Instant,
        stream: admit::Stream,
        count: u32,
    ) -> Option<TokenUpdate> {
        let running = self.streams.get_mut(stream)?;
        let before = running.produced;
        let since = running.last_token;
        running.produced += count;
        running.last_token = now;
        let kind = if before > 0 {
            let decode_only = self.unanswered == 0 && since > self.last_prefill_at;
            Kind::Next { decode_only }
        } else {
            self.unanswered -= 1;
            self.last_prefill_at = now;
            let prefill_tokens = running.prefill_tokens;
            Kind::First { prefill_tokens }
        };
        Some(TokenUpdate {
            after: running.produced,
            before,
            class: running.request.class,
            kind,
            waited_ms: now.millis_since(since),
        })
    }

    /// Sets whether a stream's first token came in the usual time.
    pub(crate) fn set_timely(&mut self, stream: admit::Stream, timely: bool) {
        if let Some(running) = self.streams.get_mut(stream) {
            running.timely = timely;
        }
    }

    /// Counts only the streams without a first token in the usual time against the ramp's limit, as
    /// after a sign of a cold upstream.
    pub(crate) fn reset_ramp_counted(&mut self) {
        self.ramp_counted = 0;
        for running in self.streams.values_mut() {
            running.ramp_counted = !running.timely;
            self.ramp_counted += u32::from(running.ramp_counted);
        }
    }

    /// Removes a stream.
    pub(crate) fn remove(&mut self, stream: admit::Stream) -> Option<RunningStream> {
        let running = self.streams.remove(stream)?;
        self.unanswered -= u32::from(running.produced == 0);
        self.ramp_counted -= u32::from(running.ramp_counted);
        Some(running)
    }
}
