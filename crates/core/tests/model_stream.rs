//! Model check of a generation's stream from the engine through agent and entry to the caller, with
//! links that are cut, go silent and are replaced. The agent uses the real replay buffer.
//!
//! Properties: the caller receives each token of one generation once and in order; the loss of a
//! link alone never ends the generation; there is no deadlock. The check must find each injected
//! bug.

use bytes::Bytes;
use pathfinding::directed::bfs;
use peargap_core::replay_buffer;

/// Tokens of a whole generation.
const GENERATION_TOKENS: u64 = 3;
/// Buffer limit of two unacknowledged tokens.
const LIMIT_BYTES: usize = 2 * 66;
/// Most tokens in one chunk.
const MAX_CHUNK_TOKENS: usize = 2;

/// A bug injected into the model, which the check must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bug {
    /// The agent counts a token as acknowledged once it is sent.
    AcknowledgeWhenSent,
    /// The agent stores the engine's tokens in order of arrival and ignores their offsets.
    IgnoreEngineOffset,
    /// The agent accepts a cancellation from a link that was replaced.
    CancelFromOldLink,
    /// The entry forwards tokens that arrive on a link that it has replaced.
    ReadOldLink,
    /// The entry restarts a failed generation after it has forwarded tokens to the caller.
    RerunAfterDelivery,
    /// The entry resumes one token too early and does not skip the repeated token.
    ResumeTooEarly,
    /// The agent drops a token of the engine when its buffer is full.
    DropWhenFull,
}

/// Parameters of one search.
#[derive(Clone, Copy, Debug)]
struct Spec {
    bug: Option<Bug>,
    faults: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Token {
    generation: u8,
    number: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Message {
    Chunk { offset: u64, tokens: Vec<Bytes> },
    Failed,
    Finished,
}

/// One link between entry and agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Channel {
    /// Acknowledgement in flight to the agent.
    acknowledged: Option<u64>,
    /// Whether the agent has sent the end of the stream.
    ended: bool,
    link: replay_buffer::Link,
    /// Messages in flight to the entry.
    messages: Vec<Message>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Event {
    Failed,
    Finished,
    Token(Token),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Outcome {
    Failed,
    Finished,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    engine_alive: bool,
    /// Whether the entry of the old link still has to cancel for the caller that left.
    cancelling: bool,
    buffer: replay_buffer::Buffer,
    current: Option<Channel>,
    /// Whether the engine died or the caller was lost, so that a failure is allowed.
    excused: bool,
    /// False once a replaced link has cancelled the generation that another link reads.
    no_stale_cancel: bool,
    /// Offset that the entry expects next.
    expected: u64,
    faults: u8,
    /// Whether the entry may start another generation, as the caller did not resume one.
    may_restart: bool,
    generation: u8,
    delivered: Vec<Token>,
    /// A link that the entry has abandoned, possibly without the agent's knowledge.
    old: Option<Channel>,
    outcome: Option<Outcome>,
    /// Offset of the engine's next token on the link to the agent.
    engine_offset: Option<u64>,
    /// Events in flight from the entry to the caller.
    caller_events: Vec<Event>,
}

fn token_text(generation: u8, offset: u64) -> Bytes {
    Bytes::copy_from_slice(&[generation, offset as u8])
}

fn read_token(text: &Bytes) -> Token {
    Token {
        generation: text[0],
        number: text[1],
    }
}

impl State {
    fn new(faults: u8) -> State {
        State {
            engine_alive: true,
            cancelling: false,
            buffer: replay_buffer::Buffer::new(LIMIT_BYTES),
            current: None,
            excused: false,
            no_stale_cancel: true,
            expected: 0,
            faults,
            may_restart: true,
            generation: 1,
            delivered: Vec::new(),
            old: None,
            outcome: None,
            engine_offset: Some(0),
            caller_events: Vec::new(),
        }
    }

    /// Returns whether the state violates a property.
    fn violates_property(&self) -> bool {
        let in_order = self.delivered.iter().enumerate();
        let in_order = in_order
            .clone()
            .all(|(at, token)| usize::from(token.number) == at);
        let one_generation = self
            .delivered
            .windows(2)
            .all(|pair| pair[0].generation == pair[1].generation);
        let complete = self.delivered.len() as u64 == GENERATION_TOKENS;
        let ended_well = match self.outcome {
            Some(Outcome::Finished) => complete,
            Some(Outcome::Failed) => self.excused,
            None => true,
        };
        !(in_order && one_generation && ended_well && self.no_stale_cancel)
    }

    /// Returns every successor state.
    fn list_next(&self, spec: Spec) -> Vec<State> {
        let mut next = Vec::new();
        if self.outcome.is_some() {
            return next;
        }
        next.extend(self.emit_token(spec));
        next.extend(self.resume_engine());
        next.extend(self.send(true, spec));
        next.extend(self.send(false, spec));
        next.extend(self.receive_current(spec));
        next.extend(self.receive_old(spec));
        next.extend(self.receive_acknowledgement(true));
        next.extend(self.receive_acknowledgement(false));
        next.extend(self.cancel_old(spec));
        next.extend(self.open_link(spec));
        next.extend(self.deliver_event());
        if self.faults > 0 {
            let mut rest = self.clone();
            rest.faults -= 1;
            next.extend(rest.inject_faults());
        }
        next
    }

    /// The engine's next token reaches the agent.
    fn emit_token(&self, spec: Spec) -> Option<State> {
        let offset = self
            .engine_offset
            .filter(|offset| *offset < GENERATION_TOKENS)?;
        let mut state = self.clone();
        state.engine_offset = Some(offset + 1);
        let text = token_text(self.generation, offset);
        let stored_at = match spec.bug {
            Some(Bug::IgnoreEngineOffset) => self.buffer.next(),
            Some(_) | None => offset,
        };
        match state.buffer.push(stored_at, text) {
            replay_buffer::Push::Stored | replay_buffer::Push::Repeated => Some(state),
            replay_buffer::Push::Full if spec.bug == Some(Bug::DropWhenFull) => Some(state),
            replay_buffer::Push::Full => None,
            replay_buffer::Push::Gap => {
                state.engine_offset = None;
                Some(state)
            }
        }
    }

    /// The agent reconnects to the engine, at the next offset or one token before it.
    fn resume_engine(&self) -> Vec<State> {
        if self.engine_offset.is_some() || !self.engine_alive {
            return Vec::new();
        }
        let next = self.buffer.next();
        [next, next.saturating_sub(1)]
            .map(|offset| State {
                engine_offset: Some(offset),
                ..self.clone()
            })
            .to_vec()
    }

    /// The agent sends on the current link, or on the old one if it does not know that it was
    /// replaced.
    fn send(&self, on_current: bool, spec: Spec) -> Option<State> {
        let mut state = self.clone();
        let side = if on_current {
            &mut state.current
        } else {
            &mut state.old
        };
        let channel = side.as_mut().filter(|channel| !channel.ended)?;
        match state.buffer.take(channel.link, MAX_CHUNK_TOKENS) {
            replay_buffer::Take::Batch { offset, tokens } => {
                if spec.bug == Some(Bug::AcknowledgeWhenSent) {
                    let sent = offset + tokens.len() as u64;
                    state.buffer.acknowledge(channel.link, sent);
                }
                channel.messages.push(Message::Chunk { offset, tokens });
            }
            replay_buffer::Take::Empty if state.buffer.next() == GENERATION_TOKENS => {
                channel.ended = true;
                channel.messages.push(Message::Finished);
            }
            replay_buffer::Take::Empty if !state.engine_alive => {
                channel.ended = true;
                channel.messages.push(Message::Failed);
            }
            replay_buffer::Take::Empty | replay_buffer::Take::Superseded => return None,
        }
        Some(state)
    }

    fn receive_current(&self, spec: Spec) -> Option<State> {
        let mut state = self.clone();
        let channel = state.current.as_mut()?;
        if channel.messages.is_empty() {
            return None;
        }
        let message = channel.messages.remove(0);
        state.handle_message(message, spec);
        if let Some(channel) = &mut state.current {
            channel.acknowledged = Some(state.expected);
        }
        Some(state)
    }

    /// The entry discards a message that arrives on the old link.
    fn receive_old(&self, spec: Spec) -> Option<State> {
        let mut state = self.clone();
        let channel = state.old.as_mut()?;
        if channel.messages.is_empty() {
            return None;
        }
        let message = channel.messages.remove(0);
        if spec.bug == Some(Bug::ReadOldLink) {
            if let Message::Chunk { tokens, .. } = message {
                state.forward(&tokens);
            }
        }
        Some(state)
    }

    fn handle_message(&mut self, message: Message, spec: Spec) {
        match message {
            Message::Chunk { offset, tokens } => {
                let repeated = match spec.bug {
                    Some(Bug::ResumeTooEarly) => 0,
                    Some(_) | None => self.expected - offset,
                };
                self.forward(&tokens[repeated as usize..]);
                self.expected = offset + tokens.len() as u64;
            }
            Message::Finished => self.caller_events.push(Event::Finished),
            Message::Failed => self.handle_failure(spec),
        }
    }

    fn forward(&mut self, tokens: &[Bytes]) {
        let events = tokens.iter().map(|text| Event::Token(read_token(text)));
        self.caller_events.extend(events);
    }

    /// Handles the engine's failure: the entry starts another generation unless it has forwarded
    /// tokens to the caller.
    fn handle_failure(&mut self, spec: Spec) {
        let nothing_forwarded = self.expected == 0 || spec.bug == Some(Bug::RerunAfterDelivery);
        if !(nothing_forwarded && self.may_restart && self.generation == 1) {
            self.caller_events.push(Event::Failed);
            return;
        }
        self.engine_alive = true;
        self.buffer = replay_buffer::Buffer::new(LIMIT_BYTES);
        self.current = None;
        self.expected = 0;
        self.generation = 2;
        self.old = None;
        self.engine_offset = Some(0);
    }

    fn receive_acknowledgement(&self, on_current: bool) -> Option<State> {
        let mut state = self.clone();
        let side = if on_current {
            &mut state.current
        } else {
            &mut state.old
        };
        let channel = side.as_mut()?;
        let offset = channel.acknowledged.take()?;
        state.buffer.acknowledge(channel.link, offset);
        Some(state)
    }

    /// The entry of the old link cancels for the caller that left.
    fn cancel_old(&self, spec: Spec) -> Option<State> {
        let channel = self.old.as_ref().filter(|_| self.cancelling)?;
        let mut state = self.clone();
        state.cancelling = false;
        let reads = self.buffer.is_reader(channel.link);
        if reads || spec.bug == Some(Bug::CancelFromOldLink) {
            state.engine_alive = false;
            state.engine_offset = None;
            state.no_stale_cancel = reads;
        }
        Some(state)
    }

    /// The entry opens a link at the offset that it expects next.
    fn open_link(&self, spec: Spec) -> Option<State> {
        if self.current.is_some() {
            return None;
        }
        let mut state = self.clone();
        let offset = match spec.bug {
            Some(Bug::ResumeTooEarly) => self.expected.saturating_sub(1),
            Some(_) | None => self.expected,
        };
        match state.buffer.attach(offset) {
            replay_buffer::Attach::Ready(link) => {
                state.current = Some(Channel {
                    acknowledged: None,
                    ended: false,
                    link,
                    messages: Vec::new(),
                });
            }
            replay_buffer::Attach::Dropped { .. } | replay_buffer::Attach::Ahead => {
                if state.caller_events.contains(&Event::Failed) {
                    return None;
                }
                state.caller_events.push(Event::Failed);
            }
        }
        Some(state)
    }

    fn deliver_event(&self) -> Option<State> {
        if self.caller_events.is_empty() {
            return None;
        }
        let mut state = self.clone();
        match state.caller_events.remove(0) {
            Event::Token(token) => state.delivered.push(token),
            Event::Finished => state.outcome = Some(Outcome::Finished),
            Event::Failed => state.outcome = Some(Outcome::Failed),
        }
        Some(state)
    }

    fn inject_faults(&self) -> Vec<State> {
        let mut next = Vec::new();
        next.extend(self.cut_link());
        next.extend(self.silence_link());
        if self.engine_alive {
            next.push(State {
                engine_offset: None,
                ..self.clone()
            });
            next.push(State {
                engine_alive: false,
                excused: true,
                engine_offset: None,
                ..self.clone()
            });
        }
        next.push(self.lose_caller());
        next
    }

    /// The link breaks and both ends notice; messages in flight are lost.
    fn cut_link(&self) -> Option<State> {
        let mut state = self.clone();
        let channel = state.current.take()?;
        state.buffer.detach(channel.link);
        Some(state)
    }

    /// The link goes silent: the entry abandons it and the agent does not notice.
    fn silence_link(&self) -> Option<State> {
        let mut state = self.clone();
        state.old = Some(state.current.take()?);
        state.cancelling = false;
        Some(state)
    }

    /// The caller's connection or entry is lost; the caller resumes through another entry.
    fn lose_caller(&self) -> State {
        let mut state = self.clone();
        state.caller_events.clear();
        if state.current.is_some() {
            state.old = state.current.take();
            state.cancelling = true;
        }
        state.excused = true;
        state.expected = state.delivered.len() as u64;
        state.may_restart = false;
        state
    }
}

/// Searches all reachable states breadth first; returns the path to a violation, if there is one,
/// and the number of states expanded.
fn search(spec: Spec) -> (Option<Vec<State>>, usize) {
    let mut expanded = 0;
    let found = bfs::bfs(
        &State::new(spec.faults),
        |state| {
            expanded += 1;
            state.list_next(spec)
        },
        |state| {
            let stuck = state.outcome.is_none() && state.list_next(spec).is_empty();
            state.violates_property() || stuck
        },
    );
    (found, expanded)
}

#[test]
fn each_token_once_in_order_of_one_generation() {
    let spec = Spec {
        bug: None,
        faults: 3,
    };
    let (found, expanded) = search(spec);
    println!("{expanded} states with {} faults", spec.faults);
    assert!(
        found.is_none(),
        "{:#?}",
        found.and_then(|path| path.last().cloned())
    );
}

#[test]
fn injected_bugs_are_found() {
    let bugs = [
        Bug::AcknowledgeWhenSent,
        Bug::CancelFromOldLink,
        Bug::DropWhenFull,
        Bug::IgnoreEngineOffset,
        Bug::ReadOldLink,
        Bug::RerunAfterDelivery,
        Bug::ResumeTooEarly,
    ];
    for bug in bugs {
        let spec = Spec {
            bug: Some(bug),
            faults: 2,
        };
        let (found, expanded) = search(spec);
        let steps = found.map(|path| path.len());
        println!("{bug:?}: found after {expanded} states, {steps:?} steps");
        assert!(steps.is_some(), "{bug:?} was not found");
    }
}
