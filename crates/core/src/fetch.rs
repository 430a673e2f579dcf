//! State machine that fetches one generation from the engine: when to send the request, when to
//! resume the stream, and how to report a generation that cannot be completed.
//!
//! A generation is reported as not run only if the engine provably never accepted the request.

use core::time::Duration;

use statig::blocking;
use statig::blocking::IntoStateMachineExt as _;
use statig::Outcome;

use crate::time;

/// An event on the connection to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The engine reports that the answer is complete.
    Completed,
    /// The engine reports that it failed.
    Failed,
    /// The engine's host refuses connections, so the engine no longer runs.
    Gone,
    /// The token that ends the generation was received.
    LastToken,
    /// The connection broke, went silent or skipped tokens after the request was sent.
    Lost,
    /// The engine started to stream tokens.
    Opened,
    /// The engine answered with an error.
    Refused(Refusal),
    /// No connection was made, so nothing was sent.
    Unreachable,
}

/// Kind of an error response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine accepts no more work now.
    Busy,
    /// The engine failed.
    Error,
    /// The engine rejects the request as malformed.
    Invalid,
    /// The engine does not have the model or the stream.
    NotFound,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The generation is over.
    End(End),
    /// Read the next event.
    Read,
    /// Resume at the next offset over a new connection.
    Resume,
    /// Send the request.
    Start,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum End {
    /// The answer is incomplete.
    Failed {
        /// Why it is incomplete.
        cause: Cause,
        /// Whether the engine ran the request.
        ran: Ran,
    },
    /// Every token was received.
    Whole,
}

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The engine accepts no more work now.
    Busy,
    /// The engine failed or cannot be reached.
    Engine,
    /// The request is malformed.
    Invalid,
    /// The model is not loaded.
    Model,
}

/// Whether the engine ran a generation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// State of the fetch of one generation.
pub struct Fetch {
    machine: blocking::StateMachine<Link>,
}

impl core::fmt::Debug for Fetch {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.debug_tuple("Fetch").field(&self.next()).finish()
    }
}

impl Fetch {
    /// Returns a fetch whose request was not sent yet.
    ///
    /// After the connection breaks, resuming is tried for `window`.
    #[must_use]
    pub fn new(window: Duration) -> Fetch {
        let link = Link { window };
        Fetch {
            machine: link.state_machine(),
        }
    }

    /// Handles an event and returns what to do next.
    pub fn handle(&mut self, now: time::Instant, event: Event) -> Next {
        let mut now = now;
        self.machine.handle_with_context(&event, &mut now);
        self.next()
    }

    /// Returns what to do next.
    #[must_use]
    pub fn next(&self) -> Next {
        match self.machine.state() {
            State::Asking {} => Next::Start,
            State::Over { end } => Next::End(*end),
            State::Reading { .. } => Next::Read,
            State::Seeking { .. } => Next::Resume,
        }
    }
}

/// Data shared by all states.
#[derive(Debug)]
pub(crate) struct Link {
    /// How long resuming is tried after the connection breaks.
    window: Duration,
}

type Step = Outcome<State>;

#[statig::state_machine(
    initial = "State::asking()",
    state(derive(Clone, Copy, Debug, Eq, Hash, PartialEq)),
    visibility = "pub(crate)"
)]
impl Link {
    /// The request is being sent and the engine has not answered.
    #[state]
    fn asking(&mut self, event: &Event, context: &mut time::Instant) -> Step {
        match event {
            Event::Opened => Outcome::Transition(State::reading(false)),
            Event::Gone | Event::Unreachable => give_up(Ran::No, Cause::Engine),
            Event::Refused(refusal) => refuse(*refusal),
            Event::Failed => give_up(Ran::Unknown, Cause::Engine),
            Event::Completed | Event::LastToken | Event::Lost => {
                let until = *context + self.window;
                Outcome::Transition(State::seeking(false, Ran::Unknown, until))
            }
        }
    }

    /// Tokens are being received; `whole` is set after the last one.
    #[state]
    fn reading(&mut self, whole: &mut bool, event: &Event, context: &mut time::Instant) -> Step {
        match event {
            Event::Completed => Outcome::Transition(State::over(End::Whole)),
            Event::LastToken => {
                *whole = true;
                Outcome::Handled
            }
            Event::Failed | Event::Refused(_) => end_lost(*whole, Ran::Yes),
            Event::Gone | Event::Lost | Event::Unreachable => {
                let until = *context + self.window;
                Outcome::Transition(State::seeking(*whole, Ran::Yes, until))
            }
            Event::Opened => Outcome::Handled,
        }
    }

    /// The connection broke; resuming is tried until `until`.
    #[state]
    fn seeking(
        &mut self,
        whole: &mut bool,
        ran: &mut Ran,
        until: &mut time::Instant,
        event: &Event,
        context: &mut time::Instant,
    ) -> Step {
        match event {
            Event::Opened => Outcome::Transition(State::reading(*whole)),
            Event::Failed | Event::Gone | Event::Refused(_) => end_lost(*whole, *ran),
            Event::Lost | Event::Unreachable if *context >= *until => end_lost(*whole, *ran),
            Event::Lost | Event::Unreachable | Event::Completed | Event::LastToken => {
                Outcome::Handled
            }
        }
    }

    /// The generation has ended; further events are ignored.
    #[state]
    fn over(end: &End) -> Step {
        let _ = end;
        Outcome::Handled
    }
}

/// Handles an error response to the request. Unless the engine failed, it refused the request
/// before running it.
fn refuse(refusal: Refusal) -> Step {
    match refusal {
        Refusal::Busy => give_up(Ran::No, Cause::Busy),
        Refusal::Error => give_up(Ran::Unknown, Cause::Engine),
        Refusal::Invalid => give_up(Ran::No, Cause::Invalid),
        Refusal::NotFound => give_up(Ran::No, Cause::Model),
    }
}

/// Ends a generation that cannot be resumed; it is complete if its last token was received.
fn end_lost(whole: bool, ran: Ran) -> Step {
    if whole {
        return Outcome::Transition(State::over(End::Whole));
    }
    give_up(ran, Cause::Engine)
}

fn give_up(ran: Ran, cause: Cause) -> Step {
    Outcome::Transition(State::over(End::Failed { cause, ran }))
}
