//! Generations held here, and the requests and claims seen.

use std::collections;
use std::sync;

use core::time::Duration;

use peargap_core::time;

use crate::stream;

/// How long a request's id is remembered.
const REQUEST_MEMORY: Duration = Duration::from_secs(600);
/// Request ids remembered at most; the oldest goes first.
const MAX_REQUESTS: usize = 200_000;
/// How long a claim's newest fence is remembered.
const CLAIM_MEMORY: Duration = Duration::from_secs(86_400);
/// Claims remembered at most; the oldest goes first.
const MAX_CLAIMS: usize = 200_000;

/// Generations by name.
#[derive(Debug, Default)]
pub(crate) struct Generations {
    by_id: collections::HashMap<String, sync::Arc<stream::Stream>>,
}

/// What the sweeper did.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sweep {
    /// Running ones that nobody came back for.
    pub(crate) abandoned: Vec<sync::Arc<stream::Stream>>,
    /// Finished ones let go.
    pub(crate) forgotten: usize,
}

/// Bounds of what is held for a resume.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) grace: Duration,
    pub(crate) retained_bytes: usize,
    pub(crate) retention: Duration,
}

impl Generations {
    /// Adds a generation.
    pub(crate) fn add(&mut self, stream: sync::Arc<stream::Stream>) {
        self.by_id.insert(stream.id.clone(), stream);
    }

    /// Returns the generation, if it is held.
    pub(crate) fn find(&self, id: &str) -> Option<sync::Arc<stream::Stream>> {
        self.by_id.get(id).cloned()
    }

    /// Returns how many are running, or ended and still owed to a reader who may come back.
    pub(crate) fn count_unsettled(&self, now: time::Instant, grace: Duration) -> usize {
        let streams = self.by_id.values();
        streams.filter(|stream| is_owed(stream, now, grace)).count()
    }

    /// Lets go of what is past its bounds.
    pub(crate) fn sweep(&mut self, now: time::Instant, bounds: Bounds) -> Sweep {
        let mut sweep = Sweep::default();
        let mut finished = Vec::new();
        for stream in self.by_id.values() {
            let summary = stream.summarize();
            match (summary.ended_at, summary.idle_since) {
                (None, Some(since)) if since + bounds.grace <= now => {
                    sweep.abandoned.push(sync::Arc::clone(stream));
                }
                (Some(at), Some(_)) => finished.push(Finished {
                    at,
                    id: stream.id.clone(),
                    kept_bytes: summary.kept_bytes,
                }),
                (None | Some(_), None | Some(_)) => {}
            }
        }
        // Newest first, so that the oldest are let go.
        finished.sort_by_key(|one| core::cmp::Reverse(one.at));
        let mut held = 0;
        for one in finished {
            held += one.kept_bytes;
            if held > bounds.retained_bytes || one.at + bounds.retention <= now {
                self.by_id.remove(&one.id);
                sweep.forgotten += 1;
            }
        }
        sweep
    }
}

struct Finished {
    at: time::Instant,
    id: String,
    kept_bytes: usize,
}

fn is_owed(stream: &stream::Stream, now: time::Instant, grace: Duration) -> bool {
    let summary = stream.summarize();
    match (summary.ended_at, summary.idle_since) {
        (None, _) | (Some(_), None) => true,
        (Some(_), Some(since)) => !summary.told && now < since + grace,
    }
}

/// Request ids seen, each for a bounded time.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    order: collections::VecDeque<Seen>,
    seen: collections::HashSet<String>,
}

#[derive(Debug)]
struct Seen {
    at: time::Instant,
    name: String,
}

impl Requests {
    /// Notes a request's id; returns false when it was seen before.
    pub(crate) fn admit(&mut self, request: &str, now: time::Instant) -> bool {
        self.expire(now);
        if !self.seen.insert(request.to_owned()) {
            return false;
        }
        self.order.push_back(Seen {
            at: now,
            name: request.to_owned(),
        });
        true
    }

    fn expire(&mut self, now: time::Instant) {
        while let Some(oldest) = self.order.front() {
            if self.order.len() < MAX_REQUESTS && now < oldest.at + REQUEST_MEMORY {
                return;
            }
            if let Some(oldest) = self.order.pop_front() {
                self.seen.remove(&oldest.name);
            }
        }
    }
}

/// The newest fence of each claim seen, each for a bounded time.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    fences: collections::HashMap<String, u64>,
    order: collections::VecDeque<Seen>,
}

impl Claims {
    /// Notes a claim's fence; returns false unless it is larger than every one seen.
    pub(crate) fn admit(&mut self, key: &str, fence: u64, now: time::Instant) -> bool {
        self.expire(now);
        let newest = self.fences.get(key).copied();
        if newest.is_some_and(|newest| fence <= newest) {
            return false;
        }
        self.fences.insert(key.to_owned(), fence);
        if newest.is_none() {
            self.order.push_back(Seen {
                at: now,
                name: key.to_owned(),
            });
        }
        true
    }

    fn expire(&mut self, now: time::Instant) {
        while let Some(oldest) = self.order.front() {
            if self.order.len() < MAX_CLAIMS && now < oldest.at + CLAIM_MEMORY {
                return;
            }
            if let Some(oldest) = self.order.pop_front() {
                self.fences.remove(&oldest.name);
            }
        }
    }
}
