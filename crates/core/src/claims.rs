//! At-most-once claims: one run for each key, one recorded answer.
//!
//! A key is running, settled or free. Only a provable "did not run" makes it free again, under a
//! new fence; a running one that nobody settles in time turns unknown and is never run again
//! while it is retained. When memory is short the oldest answers are dropped, but not that they ran.

use std::collections;

use bytes::Bytes;

/// How long a settled key is retained, on the state's clock.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// How long a key that did not run is retained, on the state's clock.
pub const FREE_RETENTION_MS: u64 = 60 * 1000;
/// Time after an attempt's deadline until it turns unknown; longer than two ticks.
pub const MARGIN_MS: u64 = 12_000;
/// Longest time an attempt may run.
pub const DEADLINE_MS: u32 = 60 * 60 * 1000;
/// Memory of all claims; a new key beyond it is refused.
pub const MEMORY_BYTES: usize = 24 << 20;
/// Largest answer kept.
pub const ANSWER_BYTES: usize = 256 << 10;
/// Longest key or attempt.
pub const NAME_BYTES: usize = 1024;
/// Memory of a claim beside its key and answer.
const OVERHEAD_BYTES: usize = 256;
/// When to come back at the soonest.
const RETRY_MS: u64 = 500;
/// When to come back for an attempt that still runs, at the latest.
const IN_PROGRESS_MS: u64 = 2_000;

/// Bounds of the table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Largest answer kept.
    pub answer_bytes: usize,
    /// Memory of all claims.
    pub memory_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            answer_bytes: ANSWER_BYTES,
            memory_bytes: MEMORY_BYTES,
        }
    }
}

/// Asks to run a call once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Request {
    /// Unique for this attempt; a resend carries the same one.
    pub attempt: String,
    /// How long the attempt may run.
    pub deadline_ms: u32,
    /// Digest of the request.
    pub digest: u64,
    /// Names the call.
    pub key: String,
}

/// The answer to a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Grant {
    /// It ran: the recorded answer.
    Answer(Bytes),
    /// Run it once under this fence.
    Granted(u64),
    /// Another attempt runs; come back after these milliseconds.
    InProgress(u32),
    /// The key was used with another request, or is no key.
    Mismatch,
    /// It ran; its answer was too large to keep.
    Ran,
    /// No room, or the attempt is over; come back after these milliseconds.
    Unavailable(u32),
    /// It may have run and will not be run again.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It ran and answered this.
    Answer(Bytes),
    /// It provably did not run.
    NotRun,
    /// It ran; its answer is too large to keep.
    Ran,
    /// Nobody knows.
    Unknown,
}

/// What is known of a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// It ran and answered this.
    Answered(Bytes),
    /// This attempt did not run; another may.
    Free(String),
    /// It ran; the answer was too large to keep.
    Ran,
    /// This attempt may run.
    Running(String),
    /// It may have run.
    Unknown,
}

/// One claimed key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Digest of the request.
    pub digest: u64,
    /// When it turns unknown (running) or is forgotten.
    pub due: u64,
    /// Fence of the last grant.
    pub fence: u64,
    /// What is known.
    pub state: State,
}

/// When a key needs attention.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Due {
    at: u64,
    key: String,
}

/// Claimed keys.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Claims {
    /// Keys whose answer is kept.
    answered: collections::BTreeSet<Due>,
    bytes: usize,
    dues: collections::BTreeSet<Due>,
    limits: Limits,
    records: collections::BTreeMap<String, Record>,
    running: usize,
}

impl Claims {
    /// Returns an empty table with these bounds.
    pub fn new(limits: Limits) -> Claims {
        Claims {
            limits,
            ..Claims::default()
        }
    }

    /// Returns whether an attempt waits for its deadline.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Returns the memory counted.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the keys with what is known of them.
    pub fn records(&self) -> impl Iterator<Item = (&String, &Record)> {
        self.records.iter()
    }

    /// Sets what is known of a key, as a snapshot gives it.
    pub fn insert(&mut self, key: String, record: Record) {
        self.remove(&key);
        self.bytes += measure(&key, &record);
        self.running += usize::from(is_running(&record));
        let due = Due {
            at: record.due,
            key: key.clone(),
        };
        if let State::Answered(_) = record.state {
            self.answered.insert(due.clone());
        }
        self.dues.insert(due);
        self.records.insert(key, record);
    }

    /// Grants the key once; `fence` is larger than any given before.
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
                    Grant::Unavailable(clamp_millis(RETRY_MS))
                }
                State::Free(_) => self.grant(now, fence, request),
                State::Ran => Grant::Ran,
                State::Running(attempt) if *attempt == request.attempt => {
                    Grant::Granted(record.fence)
                }
                State::Running(_) => {
                    let soon = now + IN_PROGRESS_MS;
                    Grant::InProgress(wait_until(now, record.due.min(soon)))
                }
                State::Unknown => Grant::Unknown,
            },
        }
    }

    /// Records how the attempt under `fence` ended; returns whether that now stands.
    pub fn settle(&mut self, now: u64, key: &str, fence: u64, outcome: Outcome) -> bool {
        let Some(record) = self.records.get(key) else {
            return false;
        };
        if record.fence != fence {
            return false;
        }
        match (&record.state, outcome) {
            (State::Running(_) | State::Unknown, Outcome::Answer(answer)) => {
                self.keep_answer(now, key, answer);
                true
            }
            (State::Running(_) | State::Unknown, Outcome::Ran) => {
                self.change(key, now + RETENTION_MS, State::Ran);
                true
            }
            (State::Running(attempt), Outcome::NotRun) => {
                let state = State::Free(attempt.clone());
                self.change(key, now + FREE_RETENTION_MS, state);
                true
            }
            (State::Running(_), Outcome::Unknown) => {
                self.change(key, now + RETENTION_MS, State::Unknown);
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

    /// Turns overdue attempts unknown and forgets what has been retained long enough.
    pub fn expire(&mut self, now: u64) {
        while let Some(due) = self.dues.first().cloned() {
            if due.at > now {
                return;
            }
            self.expire_one(now, &due.key);
        }
    }

    fn expire_one(&mut self, now: u64, key: &str) {
        let running = self.records.get(key).is_some_and(is_running);
        if running {
            self.change(key, now + RETENTION_MS, State::Unknown);
        } else {
            self.remove(key);
        }
    }

    fn grant_new(&mut self, now: u64, fence: u64, request: Request) -> Grant {
        let cost = 2 * request.key.len() + request.attempt.len() + OVERHEAD_BYTES;
        if !self.make_room(cost) {
            let first = self.dues.first().map_or(now, |due| due.at);
            return Grant::Unavailable(wait_until(now, first));
        }
        self.grant(now, fence, request)
    }

    fn grant(&mut self, now: u64, fence: u64, request: Request) -> Grant {
        let deadline = u64::from(request.deadline_ms.min(DEADLINE_MS));
        let record = Record {
            digest: request.digest,
            due: now + deadline + MARGIN_MS,
            fence,
            state: State::Running(request.attempt),
        };
        self.insert(request.key, record);
        Grant::Granted(fence)
    }

    fn keep_answer(&mut self, now: u64, key: &str, answer: Bytes) {
        let cost = answer.len() + key.len();
        let state = if answer.len() <= self.limits.answer_bytes && self.make_room(cost) {
            State::Answered(answer)
        } else {
            State::Ran
        };
        self.change(key, now + RETENTION_MS, state);
    }

    /// Drops the oldest answers until there is room; returns whether there is.
    fn make_room(&mut self, cost: usize) -> bool {
        while self.bytes + cost > self.limits.memory_bytes {
            let Some(oldest) = self.answered.first().cloned() else {
                return false;
            };
            self.change(&oldest.key, oldest.at, State::Ran);
        }
        true
    }

    fn change(&mut self, key: &str, due: u64, state: State) {
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
        self.bytes -= measure(key, &record);
        self.running -= usize::from(is_running(&record));
        let due = Due {
            at: record.due,
            key: key.to_owned(),
        };
        self.answered.remove(&due);
        self.dues.remove(&due);
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
    let names = [&request.key, &request.attempt];
    names
        .iter()
        .all(|name| !name.is_empty() && name.len() <= NAME_BYTES)
}

fn measure(key: &str, record: &Record) -> usize {
    let state = match &record.state {
        State::Answered(answer) => answer.len() + key.len(),
        State::Free(attempt) | State::Running(attempt) => attempt.len(),
        State::Ran | State::Unknown => 0,
    };
    2 * key.len() + state + OVERHEAD_BYTES
}

fn wait_until(now: u64, due: u64) -> u32 {
    clamp_millis(due.saturating_sub(now).max(RETRY_MS))
}

fn clamp_millis(millis: u64) -> u32 {
    u32::try_from(millis).unwrap_or(u32::MAX)
}
