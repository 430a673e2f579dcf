//! Exit codes; they never change their meaning.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Code {
    /// Done.
    Done,
    /// Arguments, settings, key or manifest are wrong; nothing was changed.
    Wrong,
    /// Another change won the revision.
    Conflict,
    /// No control host gave an answer; whether a change was accepted may be unknown.
    Unavailable,
    /// Accepted, but not known to be in force everywhere in time.
    Late,
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> process::ExitCode {
        process::ExitCode::from(match code {
            Code::Done => 0,
            Code::Wrong => 2,
            Code::Conflict => 3,
            Code::Unavailable => 4,
            Code::Late => 5,
        })
    }
}
