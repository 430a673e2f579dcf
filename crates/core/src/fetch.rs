//! Fetches one generation from the engine: when to ask, when to resume, and what is true of a
//! generation that cannot be had.
//!
//! A generation counts as not run only while it is proven that the engine never took the request.

use core::time::Duration;

use statig::blocking;
use statig::blocking::IntoStateMachineExt as _;
use statig::Outcome;

use crate::time;

/// What happens at the link to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The engine says that the answer is complete.
    Completed,
    /// The engine says that it failed.
    Failed,
    /// The engine's host refuses connections: the engine has gone.
    Gone,
    /// The token that ends the generation has come.
    LastToken,
    /// The link broke, went silent or lost tokens after the request was sent.
    Lost,
    /// The engine answers with tokens.
    Opened,
    /// The engine answered with an error.
    Refused(Refusal),
    /// No connection was made, so nothing was sent.
    Unreachable,
}

/// What an error answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine takes no more work now.
    Busy,
    /// The engine failed.
    Error,
    /// The engine finds the request malformed.
    Invalid,
    /// The engine knows no such model, or no such stream.
    NotFound,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The generation is over.
    End(End),
    /// Go on reading.
    Read,
    /// Resume at the next offset over a new link.
    Resume,
    /// Send the request.
    Start,
}

/// How it ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum End {
    /// There is no whole answer.
    Failed {
        /// Why.
        cause: Cause,
        /// Whether the engine ran it.
        ran: Ran,
    },
    /// Every token has come.
    Whole,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// The engine takes no more work now.
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
    /// It provably did not.
    No,
    /// It may have.
    Unknown,
    /// It did.
    Yes,
}

/// The link to the engine for one generation.
pub struct Fetch {
    machine: blocking::StateMachine<Link>,
}

impl core::fmt::Debug for Fetch {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.debug_tuple("Fetch").field(&self.next()).finish()
    }
}

impl Fetch {
    /// Returns a generation that was not asked for yet; a broken link is sought for `window`.
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

/// What holds in every state.
#[derive(Debug)]
pub(crate) struct Link {
    /// How long a broken link is sought.
    window: Duration,
}

type Step = Outcome<State>;

#[statig::state_machine(
    initial = "State::asking()",
    state(derive(Clone, Copy, Debug, Eq, Hash, PartialEq)),
    visibility = "pub(crate)"
)]
impl Link {
    /// The request is being sent; nobody has answered.
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

    /// Tokens come; `whole` once the last one has.
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

    /// The link broke and another is sought until a time.
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

    /// Nothing more happens.
    #[state]
    fn over(end: &End) -> Step {
        let _ = end;
        Outcome::Handled
    }
}

/// Judges an error answer to the request: an engine refuses before it runs, or fails.
fn refuse(refusal: Refusal) -> Step {
    match refusal {
        Refusal::Busy => give_up(Ran::No, Cause::Busy),
        Refusal::Error => give_up(Ran::Unknown, Cause::Engine),
        Refusal::Invalid => give_up(Ran::No, Cause::Invalid),
        Refusal::NotFound => give_up(Ran::No, Cause::Model),
    }
}

/// Ends a generation whose rest cannot be had; with its last token it is whole.
fn end_lost(whole: bool, ran: Ran) -> Step {
    if whole {
        return Outcome::Transition(State::over(End::Whole));
    }
    give_up(ran, Cause::Engine)
}

fn give_up(ran: Ran, cause: Cause) -> Step {
    Outcome::Transition(State::over(End::Failed { cause, ran }))
}
