//! Bounds the large requests that are handled at the same time.
//!
//! A document takes several times its own size while it is read and committed: its text, its table,
//! the command, the log, and what is written and sent.

use std::sync;

use axum::body::HttpBody as _;
use axum::extract;
use axum::middleware;
use axum::response;
use tokio::sync::Semaphore;

/// Times its own size that a request takes while it is handled.
const COPIES: u64 = 8;
/// Bytes of a body from which on a request is large.
const LARGE_BYTES: u64 = 64 << 10;
const KILOBYTE: u64 = 1 << 10;

/// Room for large requests; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    kilobytes: u32,
    /// One permit a kilobyte.
    permits: sync::Arc<Semaphore>,
}

impl Room {
    /// Returns the room on a host with this memory for callers, in bytes.
    pub(crate) fn new(caller_bytes: u64) -> Room {
        let kilobytes = u32::try_from(caller_bytes / COPIES / KILOBYTE).unwrap_or(u32::MAX);
        let permits = usize::try_from(kilobytes).unwrap_or(Semaphore::MAX_PERMITS);
        Room {
            kilobytes,
            permits: sync::Arc::new(Semaphore::new(permits)),
        }
    }
}

/// Handles a request once there is room for it. A large one waits for others, and one that is larger
/// than the room takes all of it.
pub(crate) async fn wait_for_room(
    extract::State(room): extract::State<Room>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let bytes = request.body().size_hint().lower();
    if bytes < LARGE_BYTES {
        return next.run(request).await;
    }
    let kilobytes = u32::try_from(bytes / KILOBYTE).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this returns a permit.
    let _permit = room
        .permits
        .acquire_many(kilobytes.min(room.kilobytes))
        .await;
    next.run(request).await
}
