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
    Complete,
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
    machine: blocking::StateMachine<Connection>,
}

impl core::fmt::Debug for Fetch {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.debug_tuple("Fetch").field(&self.next()).finish()
    }
}

impl Fetch {
    /// Returns a fetch whose request was not sent yet.
    ///
    /// After the connection breaks, resuming is tried for `resume_window`.
    #[must_use]
    pub fn new(resume_window: Duration) -> Fetch {
        let connection = Connection { resume_window };
        Fetch {
            machine: connection.state_machine(),
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
            State::Requesting {} => Next::Start,
            State::Ended { end } => Next::End(*end),
            State::Reading { .. } => Next::Read,
            State::Resuming { .. } => Next::Resume,
        }
    }
}

/// Data shared by all states.
#[derive(Debug)]
pub(crate) struct Connection {
    /// How long resuming is tried after the connection breaks.
    resume_window: Duration,
}

type Step = Outcome<State>;

#[statig::state_machine(
    initial = "State::requesting()",
    state(derive(Clone, Copy, Debug, Eq, Hash, PartialEq)),
    visibility = "pub(crate)"
)]
impl Connection {
    /// The request is being sent and the engine has not answered.
    #[state]
    fn requesting(&mut self, event: &Event, context: &mut time::Instant) -> Step {
        match event {
            Event::Opened => Outcome::Transition(State::reading(false)),
            Event::Gone | Event::Unreachable => end_failed(Ran::No, Cause::Engine),
            Event::Refused(refusal) => end_refused(*refusal),
            Event::Failed => end_failed(Ran::Unknown, Cause::Engine),
            Event::Completed | Event::LastToken | Event::Lost => {
                let until = *context + self.resume_window;
                Outcome::Transition(State::resuming(false, Ran::Unknown, until))
            }
        }
    }

    /// Tokens are being received; `complete` is set after the last one.
    #[state]
    fn reading(&mut self, complete: &mut bool, event: &Event, context: &mut time::Instant) -> Step {
        match event {
            Event::Completed => Outcome::Transition(State::ended(End::Complete)),
            Event::LastToken => {
                *complete = true;
                Outcome::Handled
            }
            Event::Failed | Event::Refused(_) => end_without_resume(*complete, Ran::Yes),
            Event::Gone | Event::Lost | Event::Unreachable => {
                let until = *context + self.resume_window;
                Outcome::Transition(State::resuming(*complete, Ran::Yes, until))
            }
            Event::Opened => Outcome::Handled,
        }
    }

    /// The connection broke; resuming is tried until `until`.
    #[state]
    fn resuming(
        &mut self,
        complete: &mut bool,
        ran: &mut Ran,
        until: &mut time::Instant,
        event: &Event,
        context: &mut time::Instant,
    ) -> Step {
        match event {
            Event::Opened => Outcome::Transition(State::reading(*complete)),
            Event::Failed | Event::Gone | Event::Refused(_) => end_without_resume(*complete, *ran),
            Event::Lost | Event::Unreachable if *context >= *until => {
                end_without_resume(*complete, *ran)
            }
            Event::Lost | Event::Unreachable | Event::Completed | Event::LastToken => {
                Outcome::Handled
            }
        }
    }

    /// The generation has ended; further events are ignored.
    #[state]
    fn ended(end: &End) -> Step {
        let _ = end;
        Outcome::Handled
    }
}

/// Handles an error response to the request. Unless the engine failed, it refused the request
/// before running it.
fn end_refused(refusal: Refusal) -> Step {
    match refusal {
        Refusal::Busy => end_failed(Ran::No, Cause::Busy),
        Refusal::Error => end_failed(Ran::Unknown, Cause::Engine),
        Refusal::Invalid => end_failed(Ran::No, Cause::Invalid),
        Refusal::NotFound => end_failed(Ran::No, Cause::Model),
    }
}

/// Ends a generation that cannot be resumed; it is complete if its last token was received.
fn end_without_resume(complete: bool, ran: Ran) -> Step {
    if complete {
        return Outcome::Transition(State::ended(End::Complete));
    }
    end_failed(ran, Cause::Engine)
}

fn end_failed(ran: Ran, cause: Cause) -> Step {
    Outcome::Transition(State::ended(End::Failed { cause, ran }))
}
