//! Directory of upstream statuses, merged from several control hosts.
//!
//! The directory is not replicated through the log, because an upstream repeats its status with
//! each heartbeat. Of two statuses with the same name, the one from the later process start wins,
//! then the one with the higher heartbeat number.

use std::collections;

use crate::time;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes no new work and will leave soon.
    Draining,
    /// Has announced that it is leaving; takes no new work.
    Left,
    /// Takes new work.
    Ready,
    /// Has missed several heartbeats.
    Silent,
}

impl State {
    /// Returns how far the instance has come on its way out.
    fn stage(self) -> u8 {
        match self {
            State::Ready | State::Silent => 0,
            State::Draining => 1,
            State::Left => 2,
        }
    }
}

/// Version of an upstream's status, ordered by process start, then by heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Edition {
    /// Start time of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
}

/// Status of an upstream, as last announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// IP address and port.
    pub address: String,
    /// Remaining cold-start time, during which it handles little load, in milliseconds after the
    /// status is received.
    pub cold_ms: u64,
    /// Failure domain.
    pub domain: String,
    /// Version of this status.
    pub edition: Edition,
    /// Name of the upstream instance.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Version of its software; empty if it names none.
    pub version: String,
}

impl Status {
    /// Returns whether both are equal except for the heartbeat number and the remaining cold time.
    #[must_use]
    pub fn has_same_content(&self, other: &Status) -> bool {
        let mut other = other.clone();
        other.cold_ms = self.cold_ms;
        other.edition.sequence = self.edition.sequence;
        *self == other
    }
}

impl core::fmt::Display for Status {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "upstream={} service={} address={} domain={} state={:?} cold_ms={} born_ms={} \
             sequence={} version={:?}",
            self.name,
            self.service,
            self.address,
            self.domain,
            self.state,
            self.cold_ms,
            self.edition.born_ms,
            self.edition.sequence,
            self.version
        )
    }
}

/// Result of comparing a received status with the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It carries new information.
    Changed,
    /// It is as new as the known one, or newer, and carries the same information.
    Known,
    /// It is outdated and must be ignored.
    Stale,
}

/// A known upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// When the upstream was last heard from.
    pub heard: time::Instant,
    /// Its latest status.
    pub status: Status,
}

/// Upstreams known to one process.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: collections::HashMap<String, Entry>,
}

impl Directory {
    /// Merges a received status.
    pub fn merge(&mut self, now: time::Instant, status: Status) -> Outcome {
        let Some(known) = self.entries.get_mut(&status.name) else {
            let name = status.name.clone();
            self.entries.insert(name, Entry { heard: now, status });
            return Outcome::Changed;
        };
        match compare(&known.status, &status) {
            Outcome::Stale => Outcome::Stale,
            outcome => {
                *known = Entry { heard: now, status };
                outcome
            }
        }
    }

    /// Marks an upstream as having left; returns its status unless it had left already.
    pub fn leave(&mut self, now: time::Instant, name: &str) -> Option<Status> {
        let known = self.entries.get_mut(name)?;
        if known.status.state == State::Left {
            return None;
        }
        known.heard = now;
        known.status.state = State::Left;
        Some(known.status.clone())
    }

    /// Marks one start of an upstream as draining; returns its status unless it takes no new work
    /// already.
    pub fn drain(&mut self, name: &str, born_ms: u64) -> Option<Status> {
        let status = &mut self.entries.get_mut(name)?.status;
        if status.edition.born_ms != born_ms || status.state.stage() > 0 {
            return None;
        }
        status.state = State::Draining;
        Some(status.clone())
    }

    /// Marks as silent the upstreams last heard from more than `silence_ms` ago.
    ///
    /// Returns the statuses of those that were not silent before.
    pub fn expire(&mut self, now: time::Instant, silence_ms: u64) -> Vec<Status> {
        let mut expired = Vec::new();
        for entry in self.entries.values_mut() {
            let is_overdue = now.millis_since(entry.heard) > silence_ms;
            if is_overdue && entry.status.state == State::Ready {
                entry.status.state = State::Silent;
                expired.push(entry.status.clone());
            }
        }
        expired
    }

    /// Removes the upstreams last heard from more than `after_ms` ago.
    pub fn forget(&mut self, now: time::Instant, after_ms: u64) {
        self.entries
            .retain(|_name, entry| now.millis_since(entry.heard) <= after_ms);
    }

    /// Returns all known upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

/// Returns whether `other` is of a process that has ended: `status` is of another one that started
/// later at the same address.
#[must_use]
pub fn is_displaced(other: &Status, status: &Status) -> bool {
    other.address == status.address
        && other.name != status.name
        && other.edition.born_ms < status.edition.born_ms
}

/// Compares a received status with the known one of the same name.
#[must_use]
pub fn compare(known: &Status, status: &Status) -> Outcome {
    if status.edition < known.edition {
        return Outcome::Stale;
    }
    let is_same_start = status.edition.born_ms == known.edition.born_ms;
    // An instance that takes no new work takes none again before its next start, so heartbeats that
    // say otherwise are late.
    if is_same_start && known.state.stage() > status.state.stage() {
        return Outcome::Stale;
    }
    // `Silent` only says that one receiver missed heartbeats, which another one may have received.
    // A `Ready` of the same heartbeat therefore replaces `Silent`, but not `Draining`.
    let is_same_edition = status.edition == known.edition;
    if is_same_edition && known.state != State::Silent && status.state == State::Ready {
        return match known.state {
            State::Ready => Outcome::Known,
            _ => Outcome::Stale,
        };
    }
    match known.has_same_content(status) {
        true => Outcome::Known,
        false => Outcome::Changed,
    }
}
