//! At-most-once execution of calls by idempotency key: one run and one recorded answer per key.
//!
//! A key is running, settled or free. It becomes free again only when an attempt provably did not
//! run, and the next grant has a new fence. A running key that is not settled in time becomes
//! unknown and is not run again while it is retained. When memory is short, the oldest answers are
//! dropped, but the fact that their calls ran is kept.

use std::collections;

use bytes::Bytes;

/// How long a settled key is retained, in time of the replicated clock.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// How long a key whose attempt did not run is retained, in time of the replicated clock.
pub const FREE_RETENTION_MS: u64 = 60 * 1000;
/// Time from an attempt's deadline until its key becomes unknown; longer than two ticks.
pub const EXPIRY_MARGIN_MS: u64 = 12_000;
/// Upper bound on an attempt's deadline.
pub const MAX_DEADLINE_MS: u32 = 60 * 60 * 1000;
/// Default memory limit for all claims; a new key that would exceed it is refused.
pub const MAX_MEMORY_BYTES: usize = 24 << 20;
/// Default size limit for a recorded answer; of a larger one only the fact that it ran is kept.
pub const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Longest key or attempt id in bytes.
pub const MAX_ID_BYTES: usize = 1024;
/// Memory counted for a claim in addition to its key, attempt and answer.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Shortest retry delay given to a caller.
const MIN_RETRY_MS: u64 = 500;
/// Longest retry delay given while another attempt is running.
const MAX_IN_PROGRESS_RETRY_MS: u64 = 2_000;

/// Size limits of [`Claims`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Largest answer that is recorded, in bytes.
    pub answer_bytes: usize,
    /// Memory limit for all claims, in bytes.
    pub memory_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            answer_bytes: MAX_ANSWER_BYTES,
            memory_bytes: MAX_MEMORY_BYTES,
        }
    }
}

/// Request to run a call at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Request {
    /// Id of this attempt; a resent request carries the same one.
    pub attempt: String,
    /// How long the attempt may run, in milliseconds.
    pub deadline_ms: u32,
    /// Digest of the call's request.
    pub digest: u64,
    /// Idempotency key of the call.
    pub key: String,
}

/// Reply to a claim request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Grant {
    /// The call ran and this answer was recorded.
    Answer(Bytes),
    /// The call may run once, under this fence.
    Granted(u64),
    /// Another attempt is running; retry after this many milliseconds.
    InProgress(u32),
    /// The key was used with a different request, or the key or attempt id is malformed.
    Mismatch,
    /// The call ran; its answer was too large to keep or has been dropped.
    Ran,
    /// Memory is full, or this attempt has ended; retry after this many milliseconds.
    Unavailable(u32),
    /// The call may have run and will not be run again.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The call ran and returned this answer.
    Answer(Bytes),
    /// The call provably did not run.
    NotRun,
    /// The call ran; its answer is too large to keep.
    Ran,
    /// Whether the call ran is not known.
    Unknown,
}

/// State of a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The call ran and returned this answer.
    Answered(Bytes),
    /// The attempt with this id did not run; another may.
    Free(String),
    /// The call ran; its answer was too large to keep or has been dropped.
    Ran,
    /// The attempt with this id may be running.
    Running(String),
    /// The call may have run.
    Unknown,
}

/// Record of one claimed key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Digest of the call's request.
    pub digest: u64,
    /// Time at which a running key becomes unknown and any other key is removed.
    pub due: u64,
    /// Fence of the last grant.
    pub fence: u64,
    /// State of the key.
    pub state: State,
}

/// Time at which a key expires.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Expiry {
    at: u64,
    key: String,
}

/// Table of claimed keys.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Claims {
    /// Keys with a recorded answer, in order of expiry.
    answered: collections::BTreeSet<Expiry>,
    bytes: usize,
    expiries: collections::BTreeSet<Expiry>,
    limits: Limits,
    records: collections::BTreeMap<String, Record>,
    running: usize,
}

impl Claims {
    /// Returns an empty table with these limits.
    pub fn new(limits: Limits) -> Claims {
        Claims {
            limits,
            ..Claims::default()
        }
    }

    /// Returns whether any attempt is running.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Returns the memory counted for all claims, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns all keys and their records.
    pub fn records(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }

    /// Inserts or replaces the record of a key, for example from a snapshot.
    pub fn insert(&mut self, key: String, record: Record) {
        self.remove(&key);
        self.bytes += record_size(&key, &record);
        self.running += usize::from(is_running(&record));
        let expiry = Expiry {
            at: record.due,
            key: key.clone(),
        };
        if let State::Answered(_) = record.state {
            self.answered.insert(expiry.clone());
        }
        self.expiries.insert(expiry);
        self.records.insert(key, record);
    }

    /// Grants the key to at most one attempt; `fence` must be larger than any passed before.
    pub fn claim(&mut self, now: u64, fence: u64, request: Request) -> Grant {
        if !is_well_formed(&request) {
            return Grant::Mismatch;
        }
        match self.records.get(&request.key) {
            None => self.grant_new(now, fence, request),
            Some(record) if record.digest != request.digest => Grant::Mismatch,
            Some(record) => match &record.state {
                State::Answered(answer) => Grant::Answer(answer.clone()),
                State::Free(attempt) if *attempt == request.attempt => {
                    Grant::Unavailable(clamp_millis(MIN_RETRY_MS))
                }
                State::Free(_) => self.grant(now, fence, request),
                State::Ran => Grant::Ran,
                State::Running(attempt) if *attempt == request.attempt => {
                    Grant::Granted(record.fence)
                }
                State::Running(_) => {
                    let latest = now + MAX_IN_PROGRESS_RETRY_MS;
                    Grant::InProgress(retry_after(now, record.due.min(latest)))
                }
                State::Unknown => Grant::Unknown,
            },
        }
    }

    /// Records how the attempt under `fence` ended; returns whether the recorded state now agrees
    /// with that.
    pub fn settle(&mut self, now: u64, key: &str, fence: u64, outcome: Outcome) -> bool {
        let Some(record) = self.records.get(key) else {
            return false;
        };
        if record.fence != fence {
            return false;
        }
        match (&record.state, outcome) {
            (State::Running(_) | State::Unknown, Outcome::Answer(answer)) => {
                self.store_answer(now, key, answer);
                true
            }
            (State::Running(_) | State::Unknown, Outcome::Ran) => {
                self.set_state(key, now + RETENTION_MS, State::Ran);
                true
            }
            (State::Running(attempt), Outcome::NotRun) => {
                let state = State::Free(attempt.clone());
                self.set_state(key, now + FREE_RETENTION_MS, state);
                true
            }
            (State::Running(_), Outcome::Unknown) => {
                self.set_state(key, now + RETENTION_MS, State::Unknown);
                true
            }
            (State::Answered(known), Outcome::Answer(answer)) => *known == answer,
            (State::Free(_), Outcome::NotRun) => true,
            (State::Ran, Outcome::Answer(_) | Outcome::Ran) => true,
            (State::Unknown, Outcome::Unknown) => true,
            (State::Answered(_), Outcome::NotRun | Outcome::Ran | Outcome::Unknown) => false,
            (State::Ran, Outcome::NotRun | Outcome::Unknown) => false,
            (State::Free(_), Outcome::Answer(_) | Outcome::Ran | Outcome::Unknown) => false,
            (State::Unknown, Outcome::NotRun) => false,
        }
    }

    /// Marks overdue attempts unknown and removes other keys whose retention has ended.
    pub fn expire(&mut self, now: u64) {
        while let Some(expiry) = self.expiries.first().cloned() {
            if expiry.at > now {
                return;
            }
            self.expire_key(now, &expiry.key);
        }
    }

    fn expire_key(&mut self, now: u64, key: &str) {
        let running = self.records.get(key).is_some_and(is_running);
        if running {
            self.set_state(key, now + RETENTION_MS, State::Unknown);
        } else {
            self.remove(key);
        }
    }

    fn grant_new(&mut self, now: u64, fence: u64, request: Request) -> Grant {
        let cost = 2 * request.key.len() + request.attempt.len() + RECORD_OVERHEAD_BYTES;
        if !self.evict_answers(cost) {
            let next_expiry = self.expiries.first().map_or(now, |expiry| expiry.at);
            return Grant::Unavailable(retry_after(now, next_expiry));
        }
        self.grant(now, fence, request)
    }

    fn grant(&mut self, now: u64, fence: u64, request: Request) -> Grant {
        let deadline = u64::from(request.deadline_ms.min(MAX_DEADLINE_MS));
        let record = Record {
            digest: request.digest,
            due: now + deadline + EXPIRY_MARGIN_MS,
            fence,
            state: State::Running(request.attempt),
        };
        self.insert(request.key, record);
        Grant::Granted(fence)
    }

    fn store_answer(&mut self, now: u64, key: &str, answer: Bytes) {
        let cost = answer.len() + key.len();
        let state = if answer.len() <= self.limits.answer_bytes && self.evict_answers(cost) {
            State::Answered(answer)
        } else {
            State::Ran
        };
        self.set_state(key, now + RETENTION_MS, state);
    }

    /// Drops the oldest answers until `cost` bytes fit; returns whether they do.
    fn evict_answers(&mut self, cost: usize) -> bool {
        while self.bytes + cost > self.limits.memory_bytes {
            let Some(oldest) = self.answered.first().cloned() else {
                return false;
            };
            self.set_state(&oldest.key, oldest.at, State::Ran);
        }
        true
    }

    fn set_state(&mut self, key: &str, due: u64, state: State) {
        if let Some(record) = self.remove(key) {
            let record = Record {
                due,
                state,
                ..record
            };
            self.insert(key.to_owned(), record);
        }
    }

    fn remove(&mut self, key: &str) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.bytes -= record_size(key, &record);
        self.running -= usize::from(is_running(&record));
        let expiry = Expiry {
            at: record.due,
            key: key.to_owned(),
        };
        self.answered.remove(&expiry);
        self.expiries.remove(&expiry);
        Some(record)
    }
}

fn is_running(record: &Record) -> bool {
    match record.state {
        State::Running(_) => true,
        State::Answered(_) | State::Free(_) | State::Ran | State::Unknown => false,
    }
}

fn is_well_formed(request: &Request) -> bool {
    let ids = [&request.key, &request.attempt];
    ids.iter()
        .all(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES)
}

fn record_size(key: &str, record: &Record) -> usize {
    let state = match &record.state {
        State::Answered(answer) => answer.len() + key.len(),
        State::Free(attempt) | State::Running(attempt) => attempt.len(),
        State::Ran | State::Unknown => 0,
    };
    2 * key.len() + state + RECORD_OVERHEAD_BYTES
}

fn retry_after(now: u64, due: u64) -> u32 {
    clamp_millis(due.saturating_sub(now).max(MIN_RETRY_MS))
}

fn clamp_millis(millis: u64) -> u32 {
    u32::try_from(millis).unwrap_or(u32::MAX)
}
