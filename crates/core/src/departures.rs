//! Upstreams that are leaving, as one gateway was told by their responses, or by a control host that
//! knows no more of them.
//!
//! The list outlives what the gateway knows of the upstreams themselves: a control host that has not
//! heard of a departure may announce the upstream as ready at any time.

use crate::backlog;
use crate::time;
use crate::upstreams;

/// Departures that are kept.
const MAX_ENTRIES: usize = 256;
/// Time for which a departure that one control host told is told to the others, in milliseconds. They
/// announce an upstream no longer that they have not heard from for that long.
const TELL_MS: u64 = 30_000;

/// One start of an upstream that is leaving. Earlier starts of it have ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Start time of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Name of the upstream.
    pub upstream: String,
}

/// The latest departures, oldest first.
#[derive(Clone, Debug)]
pub struct Departures(backlog::Backlog<Departure>);

impl Default for Departures {
    fn default() -> Departures {
        Departures(backlog::Backlog::new(MAX_ENTRIES))
    }
}

impl Departures {
    /// Adds a departure; the oldest is dropped if there are too many.
    pub fn push(&mut self, departure: Departure) {
        self.0.push(departure);
    }

    /// Returns whether a departure is listed.
    #[must_use]
    pub fn contains(&self, departure: &Departure) -> bool {
        self.0.iter().any(|listed| listed == departure)
    }

    /// Returns the number of departures so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.count()
    }

    /// Returns the departures after the first `known` ones, without those that were dropped.
    pub fn list_after(&self, known: usize) -> impl Iterator<Item = &Departure> {
        self.0.list_after(known)
    }

    /// Makes a status that says that a leaving upstream takes work say that it is draining.
    pub fn correct(&self, status: &mut upstreams::Status) {
        let takes_work = match status.state {
            upstreams::State::Ready | upstreams::State::Silent => true,
            upstreams::State::Draining | upstreams::State::Left => false,
        };
        let has_departed = self.0.iter().any(|departure| {
            departure.upstream == status.name && departure.born_ms >= status.edition.born_ms
        });
        if takes_work && has_departed {
            status.state = upstreams::State::Draining;
        }
    }
}

/// A departure that a control host told a gateway.
#[derive(Clone, Debug)]
struct Told {
    at: time::Instant,
    departure: Departure,
}

/// The latest departures that control hosts told a gateway, oldest first.
///
/// A control host keeps them in memory only, as the gateways do. What one host acknowledges is known to
/// all once a gateway has passed it on, so it outlives the host.
#[derive(Clone, Debug)]
pub struct Relayed(backlog::Backlog<Told>);

impl Default for Relayed {
    fn default() -> Relayed {
        Relayed(backlog::Backlog::new(MAX_ENTRIES))
    }
}

impl Relayed {
    /// Adds a departure unless it is listed; the oldest is dropped if there are too many.
    pub fn push(&mut self, now: time::Instant, departure: Departure) {
        if self.0.iter().all(|told| told.departure != departure) {
            self.0.push(Told { at: now, departure });
        }
    }

    /// Returns the number of departures so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.count()
    }

    /// Returns the departures after the first `known` ones, without those that were dropped or are old.
    pub fn list_after(&self, now: time::Instant, known: usize) -> impl Iterator<Item = &Departure> {
        let after = self.0.list_after(known);
        let recent = after.filter(move |told| now.millis_since(told.at) <= TELL_MS);
        recent.map(|told| &told.departure)
    }
}
