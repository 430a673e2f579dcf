//! The streams that run at one upstream, as far as admission needs them.

use crate::admit;
use crate::curve;
use crate::forecast;
use crate::time;

/// One running stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// When it was started.
    pub(crate) begun: time::Instant,
    /// Tokens that its team was charged.
    pub(crate) charged: f64,
    /// Begun since the last sign of a cold upstream, or with no timely first token before it.
    fresh: bool,
    last_token: time::Instant,
    /// Output tokens so far.
    pub(crate) produced: u32,
    /// Prompt tokens to compute before its first token, its own and those ahead of it.
    pub(crate) prompted: u32,
    /// What was asked.
    pub(crate) request: admit::Request,
    /// Its first token came in the usual time.
    timely: bool,
}

impl Run {
    /// Returns what a forecast needs to know of it.
    pub(crate) fn load(&self, block_tokens: u32) -> forecast::Load {
        load(&self.request, self.produced, block_tokens)
    }
}

/// Returns what a forecast needs to know of a request with so many output tokens.
pub(crate) fn load(request: &admit::Request, produced: u32, block_tokens: u32) -> forecast::Load {
    let held = request.prompt_tokens + produced;
    forecast::Load {
        class: request.class,
        max_tokens: request.max_tokens,
        produced,
        used_tokens: held.next_multiple_of(block_tokens.max(1)),
    }
}

/// What kind of token came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// The first, after so many prompt tokens.
    First {
        /// Prompt tokens, those of streams ahead included.
        prompted: u32,
    },
    /// A later one; `clean` if no prompt was computed since the one before it.
    Next {
        /// Whether the gap shows decoding alone.
        clean: bool,
    },
}

/// Tokens that came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    /// Tokens after.
    pub(crate) after: u32,
    /// Tokens before.
    pub(crate) before: u32,
    /// Class of the stream.
    pub(crate) class: curve::Class,
    /// Kind.
    pub(crate) kind: Kind,
    /// Time since the token before or the start, in milliseconds.
    pub(crate) waited_ms: u64,
}

/// All running streams.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    fresh: u32,
    /// When a prompt was last seen to be computed.
    prompted_at: time::Instant,
    runs: slotmap::SlotMap<admit::Stream, Run>,
    unproven: u32,
}

impl Table {
    /// Returns a table with no stream.
    pub(crate) fn new(now: time::Instant) -> Table {
        Table {
            fresh: 0,
            prompted_at: now,
            runs: slotmap::SlotMap::with_key(),
            unproven: 0,
        }
    }

    /// Returns how many run.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many were begun since the last sign of a cold upstream.
    pub(crate) fn fresh(&self) -> u32 {
        self.fresh
    }

    /// Returns how many have no token yet.
    pub(crate) fn unproven(&self) -> u32 {
        self.unproven
    }

    /// Returns the streams.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Adds a stream.
    pub(crate) fn start(
        &mut self,
        now: time::Instant,
        request: admit::Request,
        charged: f64,
    ) -> admit::Stream {
        let unproven = self.runs.values().filter(|run| run.produced == 0);
        let ahead: u32 = unproven.map(|run| run.request.prompt_tokens).sum();
        self.unproven += 1;
        self.fresh += 1;
        self.runs.insert(Run {
            begun: now,
            charged,
            fresh: true,
            last_token: now,
            produced: 0,
            prompted: ahead + request.prompt_tokens,
            request,
            timely: false,
        })
    }

    /// Notes `count` tokens of a stream; none when it does not run.
    pub(crate) fn token(
        &mut self,
        now: time::Instant,
        stream: admit::Stream,
        count: u32,
    ) -> Option<Step> {
        let run = self.runs.get_mut(stream)?;
        let before = run.produced;
        let since = run.last_token;
        run.produced += count;
        run.last_token = now;
        let kind = if before > 0 {
            let clean = self.unproven == 0 && since > self.prompted_at;
            Kind::Next { clean }
        } else {
            self.unproven -= 1;
            self.prompted_at = now;
            let prompted = run.prompted;
            Kind::First { prompted }
        };
        Some(Step {
            after: run.produced,
            before,
            class: run.request.class,
            kind,
            waited_ms: now.millis_since(since),
        })
    }

    /// Notes whether a stream's first token was timely.
    pub(crate) fn judge(&mut self, stream: admit::Stream, timely: bool) {
        if let Some(run) = self.runs.get_mut(stream) {
            run.timely = timely;
        }
    }

    /// Counts only streams without a timely first token as fresh from now on.
    pub(crate) fn doubt(&mut self) {
        self.fresh = 0;
        for run in self.runs.values_mut() {
            run.fresh = !run.timely;
            self.fresh += u32::from(run.fresh);
        }
    }

    /// Takes a stream out.
    pub(crate) fn remove(&mut self, stream: admit::Stream) -> Option<Run> {
        let run = self.runs.remove(stream)?;
        self.unproven -= u32::from(run.produced == 0);
        self.fresh -= u32::from(run.fresh);
        Some(run)
    }
}
