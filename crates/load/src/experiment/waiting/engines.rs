//! Engines with bounded memory: prompts are read one after the other, outputs grow side by side.

/// Memory of an engine in tokens.
pub const MEMORY_TOKENS: u64 = 26_991;
/// Requests that an engine runs at once.
pub const SLOTS: u32 = 32;
/// Time between two states of the engines, in milliseconds.
pub const TICK_MS: u64 = 5;
/// Prompt tokens that an engine reads in a millisecond, beside its other work.
const PROMPT_TOKENS_PER_MS: f64 = 8.0;
/// Time of a step without and for each running generation, in milliseconds.
const STEP_MS: f64 = 7.0;
const STEP_MS_EACH: f64 = 0.3;

/// A generation at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Index of the call.
    pub call: usize,
    /// Output tokens made so far.
    pub made: f64,
    /// Output tokens that it will make.
    pub output: f64,
    /// Prompt, in tokens.
    pub prompt: f64,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Tokens that are still to be read before it makes the next one.
    pub unread: f64,
}

/// What happened at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The first token of a call was made.
    First(usize),
    /// A call has ended.
    Ended(usize),
    /// A generation was preempted after this many tokens were read.
    Preempted(u64),
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// In the order of their admission.
    running: Vec<Stream>,
    /// Not admitted yet.
    waiting: Vec<Stream>,
}

impl Engine {
    /// Accepts a generation.
    pub fn submit(&mut self, stream: Stream) {
        self.waiting.push(stream);
    }

    /// Returns the output made so far by a call that runs here.
    #[must_use]
    pub fn made(&self, call: usize) -> Option<f64> {
        let streams = self.running.iter().chain(&self.waiting);
        let mut found = streams.filter(|stream| stream.call == call);
        found.next().map(|stream| stream.made)
    }

    /// Works for one tick.
    pub fn advance(&mut self, events: &mut Vec<Event>) {
        self.admit();
        self.read_prompts();
        self.make_tokens(events);
        self.preempt(events);
    }

    fn held(&self) -> f64 {
        let held = self
            .running
            .iter()
            .map(|stream| stream.prompt + stream.made);
        held.sum()
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|stream| stream.rank);
        while let Some(next) = self.waiting.first() {
            let needed = self.held() + next.prompt + next.made;
            let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
            if needed > number(MEMORY_TOKENS) || self.running.len() >= slots {
                return;
            }
            self.running.push(self.waiting.remove(0));
        }
    }

    fn read_prompts(&mut self) {
        let mut budget = PROMPT_TOKENS_PER_MS * number(TICK_MS);
        for stream in &mut self.running {
            let read = stream.unread.min(budget);
            stream.unread -= read;
            budget -= read;
        }
    }

    fn make_tokens(&mut self, events: &mut Vec<Event>) {
        let streams = f64::from(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        let step_ms = STEP_MS + STEP_MS_EACH * streams;
        for stream in self.running.iter_mut().filter(|one| one.unread <= 0.0) {
            if stream.made <= 0.0 {
                events.push(Event::First(stream.call));
            }
            stream.made += number(TICK_MS) / step_ms;
            if stream.made >= stream.output {
                events.push(Event::Ended(stream.call));
            }
        }
        self.running.retain(|stream| stream.made < stream.output);
    }

    /// Preempts the newest of the least urgent while the memory is exceeded.
    fn preempt(&mut self, events: &mut Vec<Event>) {
        while self.held() > number(MEMORY_TOKENS) {
            let least = self.running.iter().map(|stream| stream.rank).max();
            let newest = self.running.iter().rposition(|one| Some(one.rank) == least);
            let Some(newest) = newest else {
                return;
            };
            let mut stream = self.running.remove(newest);
            let total = stream.prompt + stream.made;
            events.push(Event::Preempted(whole(total - stream.unread)));
            stream.unread = total;
            self.waiting.push(stream);
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "small numbers")]
pub(super) fn number(count: u64) -> f64 {
    count as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small numbers"
)]
pub(super) fn whole(count: f64) -> u64 {
    count.max(0.0) as u64
}
