//! Bytes that callers make the process hold, counted to one budget of memory.
//!
//! Bytes that leave count from when they are put into a [`Hold`] until the system has taken the last
//! of them for the network, so what an HTTP library buffers counts too. Bytes that arrive count from
//! when they are received until the request that they belong to has ended.
//!
//! A request or response that is ended because the budget is exceeded keeps its memory until its task
//! has run. Meanwhile upstreams that send are not read, see [`Hold::wait_freed`].

use std::sync;
use std::time;

use bytes::Bytes;
use peargap_core::body_budget;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::clock;
use crate::logs;

/// Bytes of memory that a piece takes beside its own bytes: its owner, its allocation and its
/// place in a queue.
const PIECE_OVERHEAD_BYTES: usize = 160;

/// Bytes of memory for each byte in a buffer that grows by doubling.
pub const BUFFER_FACTOR: usize = 2;

/// Time for which a reader waits until what was ended has been dropped. Its tasks only have to run, so
/// this is reached only if the process is short of processor time.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

const FREED_LATE: logs::Event = logs::Event::warn(1014, "memory of ended requests freed late");

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// A caller that reads a response.
    Caller,
    /// A connection on which the head of a request arrives.
    Connection,
    /// A request that is received, or that an upstream reads.
    Request,
    /// An upstream that sends a response.
    Upstream,
}

/// Memory for bytes that callers make the process hold; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: clock::Clock,
    ended: logs::Event,
    /// Notified when bytes have been read.
    freed: Notify,
    /// Notified once no memory of what was ended is waited for. Wakes one reader, which wakes the next
    /// one, so that they read one after another.
    freed_ended: Notify,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: body_budget::Budget,
    ended: u64,
    owners: SecondaryMap<body_budget::Key, Owner>,
}

/// What a holder belongs to.
#[derive(Debug)]
struct Owner {
    request: Bytes,
    side: Side,
    token: CancellationToken,
}

/// What the budget holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Bytes that wait for peers.
    pub bytes: u64,
    /// Requests and responses that have been ended.
    pub ended: u64,
    /// Requests and responses that are being sent.
    pub holders: u64,
}

impl Budget {
    /// Returns a budget of `limit_bytes`. `ended` is logged for each request or response that is
    /// ended because the budget is exceeded.
    #[must_use]
    pub fn new(limit_bytes: u64, ended: logs::Event) -> Budget {
        Budget(sync::Arc::new(Inner {
            clock: clock::Clock::start(),
            ended,
            freed: Notify::new(),
            freed_ended: Notify::new(),
            state: sync::Mutex::new(State {
                budget: body_budget::Budget::new(limit_bytes),
                ended: 0,
                owners: SecondaryMap::new(),
            }),
        }))
    }

    /// Returns a hold for one response or request; `request` is its ID in log lines. `token` is
    /// cancelled if it has to end because the budget is exceeded.
    #[must_use]
    pub fn open(&self, side: Side, request: Bytes, token: CancellationToken) -> Hold {
        let now = self.0.clock.now();
        self.hold(side, request, token, |budget| budget.open(now))
    }

    /// Returns a hold for a request that arrives, or for the response to it from an upstream; `request`
    /// is its ID in log lines.
    #[must_use]
    pub fn receive(&self, side: Side, request: Bytes) -> Hold {
        let now = self.0.clock.now();
        let token = CancellationToken::new();
        self.hold(side, request, token, |budget| budget.open_arriving(now))
    }

    /// Returns a hold of `bytes` for a connection, whose peer's address is `peer` in log lines.
    /// `token` is cancelled if it has to end because the budget is exceeded.
    #[must_use]
    pub fn connect(&self, peer: Bytes, bytes: usize, token: CancellationToken) -> Hold {
        let now = self.0.clock.now();
        self.hold(Side::Connection, peer, token, |budget| {
            budget.open_settled(to_u64(bytes), now)
        })
    }

    fn hold(
        &self,
        side: Side,
        request: Bytes,
        token: CancellationToken,
        open: impl FnOnce(&mut body_budget::Budget) -> body_budget::Key,
    ) -> Hold {
        let mut state = self.lock();
        let key = open(&mut state.budget);
        let owner = Owner {
            request,
            side,
            token: token.clone(),
        };
        state.owners.insert(key, owner);
        drop(state);
        Hold(sync::Arc::new(Holder {
            budget: self.clone(),
            key,
            token,
        }))
    }

    /// Returns what it holds.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        let holders = state.budget.count_holders();
        Usage {
            bytes: state.budget.held_bytes(),
            ended: state.ended,
            holders: to_u64(holders),
        }
    }

    fn add(&self, key: body_budget::Key, bytes: usize) {
        self.add_locked(&mut self.lock(), key, bytes);
    }

    /// Adds bytes if this ends nobody; returns whether it has.
    fn try_add(&self, key: body_budget::Key, bytes: usize) -> bool {
        let mut state = self.lock();
        let has_room = state.budget.has_room(to_u64(bytes));
        if has_room {
            self.add_locked(&mut state, key, bytes);
        }
        has_room
    }

    fn add_locked(&self, state: &mut State, key: body_budget::Key, bytes: usize) {
        let bytes = to_u64(bytes);
        for ended in state.budget.add(key, bytes, self.0.clock.now()) {
            self.end(state, ended);
        }
    }

    fn arrive(&self, key: body_budget::Key, bytes: usize) {
        let bytes = to_u64(bytes);
        let state = &mut self.lock();
        for ended in state.budget.arrive(key, bytes, self.0.clock.now()) {
            self.end(state, ended);
        }
    }

    fn end(&self, state: &mut State, ended: body_budget::Ended) {
        state.ended += 1;
        let Some(owner) = state.owners.remove(ended.key) else {
            return;
        };
        logs::emit(
            self.0.ended,
            format_args!(
                "request={} side={:?} bytes={} waited_ms={} left={} freeing={} limit={} holders={}",
                String::from_utf8_lossy(&owner.request),
                owner.side,
                ended.bytes,
                ended.waited_ms,
                state.budget.held_bytes(),
                state.budget.ended_bytes(),
                state.budget.limit_bytes(),
                state.budget.count_holders(),
            ),
        );
        owner.token.cancel();
    }

    fn record_read(&self, key: body_budget::Key, bytes: usize) {
        let bytes = to_u64(bytes);
        let now = self.0.clock.now();
        let mut state = self.lock();
        state.budget.record_read(key, bytes, now);
        self.notify_freed(state);
    }

    fn reset(&self, key: body_budget::Key, bytes: usize) {
        let bytes = to_u64(bytes);
        let mut state = self.lock();
        state.budget.reset(key, bytes);
        self.notify_freed(state);
    }

    fn close(&self, key: body_budget::Key) {
        let mut state = self.lock();
        state.budget.close(key);
        state.owners.remove(key);
        self.notify_freed(state);
    }

    fn notify_freed(&self, state: sync::MutexGuard<'_, State>) {
        let is_freeing = state.budget.is_freeing();
        drop(state);
        self.0.freed.notify_waiters();
        if !is_freeing {
            self.0.freed_ended.notify_one();
        }
    }

    fn is_freeing(&self) -> bool {
        self.lock().budget.is_freeing()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.0.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// The share of one response or request in the budget; it ends with the last clone and the last
/// bytes put into it.
#[derive(Clone, Debug)]
pub struct Hold(sync::Arc<Holder>);

#[derive(Debug)]
struct Holder {
    budget: Budget,
    key: body_budget::Key,
    token: CancellationToken,
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.budget.close(self.key);
    }
}

impl Hold {
    /// Counts bytes that the caller of this function keeps.
    pub fn add(&self, bytes: usize) {
        self.0.budget.add(self.0.key, bytes);
    }

    /// Counts bytes that have arrived, while the rest of them is still expected.
    pub fn arrive(&self, bytes: usize) {
        self.0.budget.arrive(self.0.key, bytes);
    }

    /// Keeps what it holds until it is dropped: nothing that the peer does is waited for.
    pub fn settle(&self) {
        self.0.budget.lock().budget.settle(self.0.key);
    }

    /// Keeps `bytes` in place of what it holds until it is dropped.
    pub fn reset(&self, bytes: usize) {
        self.0.budget.reset(self.0.key, bytes);
    }

    /// Returns whether what was ended is still in memory, so that nothing more may be read.
    #[must_use]
    pub fn is_freeing(&self) -> bool {
        self.0.budget.is_freeing()
    }

    /// Returns once more may be read: what was ended has been dropped, as far as the budget is exceeded
    /// by it.
    pub async fn wait_freed(&self) {
        let budget = &self.0.budget;
        if !budget.is_freeing() {
            return;
        }
        let freed = async {
            while budget.is_freeing() {
                budget.0.freed_ended.notified().await;
            }
        };
        if tokio::time::timeout(FREE_TIMEOUT, freed).await.is_err() {
            logs::emit(
                FREED_LATE,
                format_args!("waited_ms={}", FREE_TIMEOUT.as_millis()),
            );
        }
        budget.0.freed_ended.notify_one();
    }

    /// Lets what it holds wait for its peer to read it.
    pub fn begin_leaving(&self) {
        let now = self.0.budget.0.clock.now();
        self.0.budget.lock().budget.begin_leaving(self.0.key, now);
    }

    /// Returns once it has been ended because the budget was exceeded.
    pub async fn ended(&self) {
        self.0.token.cancelled().await;
    }

    /// Returns a future that is ready once it has been ended.
    pub fn ended_owned(&self) -> WaitForCancellationFutureOwned {
        self.0.token.clone().cancelled_owned()
    }

    /// Records that the peer has read bytes that were added.
    pub fn record_read(&self, bytes: usize) {
        self.0.budget.record_read(self.0.key, bytes);
    }

    /// Returns a copy of `bytes` that counts until it is dropped.
    #[must_use]
    pub fn copy(&self, bytes: &[u8]) -> Bytes {
        let counted = bytes.len() + PIECE_OVERHEAD_BYTES;
        self.0.budget.add(self.0.key, counted);
        Bytes::from_owner(Piece {
            bytes: Box::<[u8]>::from(bytes),
            counted,
            hold: self.clone(),
        })
    }

    /// Counts a whole body until the hold ends.
    pub fn count_body(&self, bytes: &Bytes) {
        self.0.budget.add(self.0.key, bytes.len());
    }

    /// Counts a whole body until the hold ends. Waits for at most `limit` until others have read
    /// enough that nobody has to be ended for it.
    pub async fn count_body_when_room(&self, bytes: &Bytes, limit: time::Duration) {
        let Holder { budget, key, .. } = &*self.0;
        let counted = async {
            loop {
                let freed = budget.0.freed.notified();
                if budget.try_add(*key, bytes.len()) {
                    return;
                }
                freed.await;
            }
        };
        if tokio::time::timeout(limit, counted).await.is_err() {
            self.count_body(bytes);
        }
    }

    /// Returns a part of a body that was counted as a whole. Once it is dropped, the peer counts
    /// as having read.
    #[must_use]
    pub fn part(&self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Piece {
            bytes,
            counted: 0,
            hold: self.clone(),
        })
    }

    /// Returns the last part of a body that was counted as a whole. Once it is dropped, nothing that
    /// the peer does is waited for.
    #[must_use]
    pub fn last_part(&self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Last {
            bytes,
            hold: self.clone(),
        })
    }

    /// Returns whether it was ended because the budget was exceeded.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.0.token.is_cancelled()
    }
}

/// Bytes of a hold.
struct Piece<B> {
    bytes: B,
    /// Bytes that it counts.
    counted: usize,
    hold: Hold,
}

impl AsRef<[u8]> for Piece<Box<[u8]>> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for Piece<Bytes> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<B> Drop for Piece<B> {
    fn drop(&mut self) {
        let holder = &self.hold.0;
        holder.budget.record_read(holder.key, self.counted);
    }
}

/// The last bytes of a hold that a peer reads.
struct Last {
    bytes: Bytes,
    hold: Hold,
}

impl AsRef<[u8]> for Last {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Last {
    fn drop(&mut self) {
        self.hold.settle();
    }
}
