//! Exit codes. Their meaning is stable: scripts depend on it.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Code {
    /// Done.
    Done,
    /// Arguments, settings, key or manifest are invalid; nothing was changed.
    Invalid,
    /// Another change was accepted on the same base revision.
    Conflict,
    /// No control host responded; a submitted change may have been accepted.
    Unavailable,
    /// Accepted, but not known to be in force everywhere in time.
    TimedOut,
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> process::ExitCode {
        process::ExitCode::from(match code {
            Code::Done => 0,
            Code::Invalid => 2,
            Code::Conflict => 3,
            Code::Unavailable => 4,
            Code::TimedOut => 5,
        })
    }
}
