//! Directory of upstream statuses, merged from several control hosts.
//!
//! The directory is not replicated through the log, because an upstream repeats its status with
//! each heartbeat. Of two statuses with the same name, the one from the later process start wins,
//! then the one that is further on its way out, then the one with the higher heartbeat number.
//!
//! A leave names an upstream without its status, and may come at a host that has never heard of it.
//! Such a host keeps a [`Status::departed`], which has no address.

use std::collections;

use crate::time;

/// Difference up to which the remaining times of two heartbeats speak of the same cold start, in
/// milliseconds: heartbeats take different times on their way.
const COLD_TOLERANCE_MS: u64 = 300;

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
    /// Returns whether an instance in this state takes no new work any longer.
    #[must_use]
    pub fn is_leaving(self) -> bool {
        self.stage() > 0
    }

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
    /// Returns the status of an upstream of which only the name is known, and that the start at
    /// `born_ms` and the earlier ones take no new work.
    #[must_use]
    pub fn departed(name: &str, born_ms: u64, state: State) -> Status {
        Status {
            address: String::new(),
            cold_ms: 0,
            domain: String::new(),
            edition: Edition {
                born_ms,
                sequence: 0,
            },
            name: name.to_owned(),
            service: String::new(),
            slots: 0,
            state,
            version: String::new(),
        }
    }

    /// Returns whether another status of the same start contradicts what is fixed for a start.
    fn contradicts(&self, other: &Status) -> bool {
        let is_located = !self.address.is_empty() && !other.address.is_empty();
        let is_same = self.address == other.address
            && self.domain == other.domain
            && self.service == other.service
            && self.version == other.version;
        is_located && !is_same
    }

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
    /// It names another service, address, failure domain or version than the known one of the same
    /// start, which are fixed. It comes from another writer and must be ignored.
    Conflict,
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

impl Entry {
    /// Returns whether a status names a cold start that ends later than the one in this entry.
    fn is_colder(&self, now: time::Instant, status: &Status) -> bool {
        let left_ms = self
            .status
            .cold_ms
            .saturating_sub(now.millis_since(self.heard));
        status.cold_ms > left_ms.saturating_add(COLD_TOLERANCE_MS)
    }

    /// Returns whether there were heartbeats between this entry's and a status. Another receiver may
    /// have told others of them, and that they have stopped.
    fn has_gap_before(&self, status: &Status) -> bool {
        status.edition.sequence > self.status.edition.sequence.saturating_add(1)
    }
}

/// Upstreams known to one process.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: collections::HashMap<String, Entry>,
}

impl Directory {
    /// Merges a received status. It is `Known` only if those who were told the former one lack nothing
    /// of it.
    pub fn merge(&mut self, now: time::Instant, status: Status) -> Outcome {
        let Some(known) = self.entries.get_mut(&status.name) else {
            let name = status.name.clone();
            self.entries.insert(name, Entry { heard: now, status });
            return Outcome::Changed;
        };
        let outcome = match compare(&known.status, &status) {
            Outcome::Known if known.is_colder(now, &status) => Outcome::Changed,
            Outcome::Known if known.has_gap_before(&status) => Outcome::Changed,
            outcome => outcome,
        };
        match outcome {
            Outcome::Changed | Outcome::Known => *known = Entry { heard: now, status },
            Outcome::Conflict | Outcome::Stale => {}
        }
        outcome
    }

    /// Returns the status of an upstream.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Status> {
        Some(&self.entries.get(name)?.status)
    }

    /// Returns whether this start of an upstream is known, and takes work or is silent.
    #[must_use]
    pub fn takes_work(&self, name: &str, born_ms: u64) -> bool {
        self.find(name)
            .is_some_and(|known| known.edition.born_ms == born_ms && !known.state.is_leaving())
    }

    /// Marks the current start of an upstream as having left; returns its status unless it had left
    /// already. An upstream that is not known is taken for one that started at `born_ms` at the
    /// latest, so that no start up to then takes new work when it becomes known.
    pub fn leave(&mut self, now: time::Instant, name: &str, born_ms: u64) -> Option<Status> {
        let Some(known) = self.entries.get_mut(name) else {
            return Some(self.insert_departed(now, name, born_ms, State::Left));
        };
        if known.status.state == State::Left {
            return None;
        }
        known.heard = now;
        known.status.state = State::Left;
        Some(known.status.clone())
    }

    /// Marks one start of an upstream as draining, also if it is not known; returns its status
    /// unless it, or a later start, is known not to take new work already.
    pub fn drain(&mut self, now: time::Instant, name: &str, born_ms: u64) -> Option<Status> {
        let known = self.entries.get_mut(name).map(|entry| &mut entry.status);
        match known {
            Some(known) if known.edition.born_ms > born_ms => None,
            Some(known) if known.edition.born_ms == born_ms => {
                if known.state.is_leaving() {
                    return None;
                }
                known.state = State::Draining;
                Some(known.clone())
            }
            Some(_) | None => Some(self.insert_departed(now, name, born_ms, State::Draining)),
        }
    }

    fn insert_departed(
        &mut self,
        now: time::Instant,
        name: &str,
        born_ms: u64,
        state: State,
    ) -> Status {
        let status = Status::departed(name, born_ms, state);
        let entry = Entry {
            heard: now,
            status: status.clone(),
        };
        self.entries.insert(name.to_owned(), entry);
        status
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

/// Applies a status without an address to the known one of the same name.
pub fn depart(known: &mut Status, departed: &Status) -> Outcome {
    if known.edition.born_ms > departed.edition.born_ms {
        return Outcome::Stale;
    }
    if known.state.stage() >= departed.state.stage() {
        return Outcome::Known;
    }
    known.state = departed.state;
    Outcome::Changed
}

/// Compares a received status with the known one of the same name.
#[must_use]
pub fn compare(known: &Status, status: &Status) -> Outcome {
    let is_same_start = status.edition.born_ms == known.edition.born_ms;
    // The first one holds as long as it is heard of: if it is the one of another writer, it is silent soon.
    if is_same_start && known.state != State::Silent && known.contradicts(status) {
        return Outcome::Conflict;
    }
    // An instance that takes no new work takes none again before its next start, so heartbeats that
    // say otherwise are late. A host that was told of it may have heard fewer heartbeats than others.
    if is_same_start && status.state.stage() != known.state.stage() {
        return match status.state.stage() > known.state.stage() {
            true => Outcome::Changed,
            false => Outcome::Stale,
        };
    }
    if status.edition < known.edition {
        return Outcome::Stale;
    }
    // `Silent` only says that one receiver missed heartbeats, which another one may have received.
    // A `Ready` of the same heartbeat therefore replaces `Silent`.
    let is_same_edition = status.edition == known.edition;
    if is_same_edition && known.state != State::Silent && status.state == State::Ready {
        return Outcome::Known;
    }
    match known.has_same_content(status) {
        true => Outcome::Known,
        false => Outcome::Changed,
    }
}
