//! Registry of the generations that the agent holds.

use std::collections;
use std::sync;

use core::time::Duration;

use peargap_core::time;

use crate::stream;

/// Bytes counted for each generation in addition to its tokens.
const GENERATION_OVERHEAD: usize = 1_024;

/// Generations by ID.
#[derive(Debug, Default)]
pub(crate) struct Generations {
    by_id: collections::HashMap<String, sync::Arc<stream::Stream>>,
}

/// Result of a sweep.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sweep {
    /// Running generations that were not resumed within the grace period.
    pub(crate) abandoned: Vec<sync::Arc<stream::Stream>>,
    /// Number of finished generations removed.
    pub(crate) removed: usize,
}

/// Limits on what is held for resumption.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) grace: Duration,
    pub(crate) retained_bytes: usize,
    pub(crate) retention: Duration,
}

impl Generations {
    pub(crate) fn add(&mut self, stream: sync::Arc<stream::Stream>) {
        self.by_id.insert(stream.id.clone(), stream);
    }

    /// Returns the generation with this ID, if it is held.
    pub(crate) fn find(&self, id: &str) -> Option<sync::Arc<stream::Stream>> {
        self.by_id.get(id).cloned()
    }

    /// Returns the number of generations that are running, or that ended and may still be
    /// fetched by a reader within `grace`.
    pub(crate) fn count_undelivered(&self, now: time::Instant, grace: Duration) -> usize {
        let streams = self.by_id.values();
        streams
            .filter(|stream| is_undelivered(stream, now, grace))
            .count()
    }

    /// Collects abandoned generations and removes finished ones that exceed the limits.
    pub(crate) fn sweep(&mut self, now: time::Instant, bounds: Bounds) -> Sweep {
        let mut sweep = Sweep::default();
        let mut finished = Vec::new();
        for stream in self.by_id.values() {
            stream.release_overdue();
            let summary = stream.summarize();
            match (summary.ended_at, summary.idle_since) {
                (None, Some(since)) if since + bounds.grace <= now => {
                    sweep.abandoned.push(sync::Arc::clone(stream));
                }
                (Some(ended_at), Some(_)) => finished.push(Finished {
                    ended_at,
                    id: stream.id.clone(),
                    kept_bytes: summary.kept_bytes,
                }),
                (None | Some(_), None | Some(_)) => {}
            }
        }
        // Newest first, so that the oldest are removed when memory runs out.
        finished.sort_by_key(|generation| core::cmp::Reverse(generation.ended_at));
        let mut total_bytes = 0;
        for generation in finished {
            total_bytes += generation.kept_bytes + GENERATION_OVERHEAD;
            if total_bytes > bounds.retained_bytes || generation.ended_at + bounds.retention <= now
            {
                self.by_id.remove(&generation.id);
                sweep.removed += 1;
            }
        }
        sweep
    }
}

struct Finished {
    ended_at: time::Instant,
    id: String,
    kept_bytes: usize,
}

fn is_undelivered(stream: &stream::Stream, now: time::Instant, grace: Duration) -> bool {
    let summary = stream.summarize();
    match (summary.ended_at, summary.idle_since) {
        (None, _) | (Some(_), None) => true,
        (Some(_), Some(since)) => !summary.end_taken && now < since + grace,
    }
}
