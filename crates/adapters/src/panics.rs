//! Panics: each is a fault of the program, so it is logged and counted.

use std::future;
use std::panic;
use std::sync::atomic;

use futures::FutureExt as _;

use crate::logs;

const PANIC: logs::Event = logs::Event::error(1008, "panic");

static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The work ended by a panic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Panicked;

/// Logs and counts the panics of this process from now on.
pub fn install() {
    panic::set_hook(Box::new(|info| {
        COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        logs::emit(PANIC, format_args!("{info:?}"));
    }));
}

/// Returns the number of panics so far.
#[must_use]
pub fn count() -> u64 {
    COUNT.load(atomic::Ordering::Relaxed)
}

/// Does some work; a panic in it ends only this work. The work must not leave shared state half changed.
pub async fn catch<T>(work: impl future::Future<Output = T>) -> Result<T, Panicked> {
    let caught = panic::AssertUnwindSafe(work).catch_unwind().await;
    caught.map_err(|_payload| Panicked)
}
