//! Attempts to send one request, and whether another one is allowed.

use peargap_core::rate_limit;

use crate::call;
use crate::fleet;
use crate::pool;

/// Upstreams that may break a request off before it is sent to no other: the request may be the cause.
const MAX_BROKEN: usize = 2;

/// Attempts to send one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    /// Attempts that reached an upstream.
    arrived: usize,
    /// Attempts that an upstream broke off without a valid response.
    broken: usize,
    /// Limit of the attempts that reach an upstream or wait for one that does not answer.
    limit: usize,
    /// Attempts that ended before the request was sent, other than by a refused connection.
    unanswered: usize,
    tried: Vec<fleet::UpstreamKey>,
}

impl Attempts {
    /// Returns no attempts so far.
    pub(crate) fn new(limit: usize) -> Attempts {
        Attempts {
            arrived: 0,
            broken: 0,
            limit,
            tried: Vec::new(),
            unanswered: 0,
        }
    }

    /// Returns the upstreams tried so far.
    pub(crate) fn tried(&self) -> &[fleet::UpstreamKey] {
        &self.tried
    }

    /// Returns whether the request has reached an upstream, so that another attempt draws on the
    /// retry budget.
    pub(crate) fn has_arrived(&self) -> bool {
        self.arrived > 0
    }

    /// Returns what the next attempt is for.
    pub(crate) fn purpose(&self) -> rate_limit::Purpose {
        match self.has_arrived() {
            true => rate_limit::Purpose::Repeat,
            false => rate_limit::Purpose::First,
        }
    }

    /// Returns whether a limit of attempts is reached. A refused connection costs next to no time
    /// and does not count.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.arrived + self.unanswered >= self.limit || self.broken >= MAX_BROKEN
    }

    /// Records the choice of an upstream.
    pub(crate) fn record_choice(&mut self, key: fleet::UpstreamKey) {
        self.tried.push(key);
    }

    /// Records the result of an attempt.
    pub(crate) fn record<T>(&mut self, result: &Result<T, call::Failure>) {
        match result {
            Err(call::Failure::Unreachable(pool::Error::Refused)) => {}
            Err(call::Failure::NotSent(_) | call::Failure::Unreachable(_)) => {
                self.unanswered += 1;
            }
            Err(call::Failure::Unknown(_)) => {
                self.arrived += 1;
                self.broken += 1;
            }
            Err(
                call::Failure::Displaced
                | call::Failure::Late(_)
                | call::Failure::Lost(_)
                | call::Failure::NotRun(_),
            )
            | Ok(_) => self.arrived += 1,
        }
    }
}
