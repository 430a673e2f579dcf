//! Load report, cached for up to [`MAX_AGE`] so that clients see outdated values.

use std::sync;

use core::time;

use serde::Serialize;

use crate::engine;
use crate::stream;

/// Age at which a report is replaced.
const MAX_AGE: time::Duration = time::Duration::from_millis(500);

/// Load report in its JSON form.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) adapters: Vec<String>,
    pub(crate) cold: bool,
    pub(crate) falls: u64,
    pub(crate) fence: u64,
    pub(crate) incarnation: String,
    pub(crate) memory_tokens: u64,
    pub(crate) models: Vec<String>,
    pub(crate) name: String,
    pub(crate) orders: u64,
    pub(crate) preemptions: u64,
    pub(crate) role: String,
    pub(crate) running: usize,
    pub(crate) sequence: u64,
    pub(crate) stall_ms: u64,
    pub(crate) tokens: u64,
    pub(crate) used_tokens: u64,
    pub(crate) version: String,
    pub(crate) waiting: usize,
}

/// Holds the current report; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Publisher(sync::Arc<sync::Mutex<Current>>);

#[derive(Debug)]
struct Current {
    taken_at: tokio::time::Instant,
    load: Load,
}

impl Publisher {
    /// Returns a publisher with a report of the present load.
    pub(crate) fn new(engine: &engine::Engine) -> Publisher {
        let current = Current {
            taken_at: tokio::time::Instant::now(),
            load: measure_load(engine, 1),
        };
        Publisher(sync::Arc::new(sync::Mutex::new(current)))
    }

    /// Returns a report that is less than [`LAG`] old.
    pub(crate) fn read(&self, engine: &engine::Engine) -> Load {
        let mut current = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if current.taken_at.elapsed() >= MAX_AGE {
            current.taken_at = tokio::time::Instant::now();
            current.load = measure_load(engine, current.load.sequence + 1);
        }
        current.load.clone()
    }
}

fn measure_load(engine: &engine::Engine, sequence: u64) -> Load {
    let state = engine.lock();
    let running = engine::list_running(&state).len();
    let stall = u64::try_from(state.totals.stall.as_millis()).unwrap_or(u64::MAX);
    Load {
        adapters: state.orders.adapters.clone(),
        cold: tokio::time::Instant::now() < state.cold_until,
        falls: state.totals.overloads,
        fence: state.orders.fence,
        incarnation: engine.incarnation.to_string(),
        memory_tokens: engine.options.memory_tokens / stream::BLOCK_TOKENS * stream::BLOCK_TOKENS,
        models: state.orders.models.clone(),
        name: engine.options.name.clone(),
        orders: state.orders.applied,
        preemptions: state.totals.preemptions,
        role: state.orders.role.clone(),
        running,
        sequence,
        stall_ms: stall,
        tokens: state.totals.tokens,
        used_tokens: engine::count_used_tokens(&state),
        version: state.orders.version.clone(),
        waiting: engine::count_active(&state) - running,
    }
}
