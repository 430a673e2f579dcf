//! Memory for bodies that peers have not read yet, and who is ended when it runs out.
//!
//! A holder is one response that a caller has not read, or one request that an upstream has not
//! read. There is one budget for the process, so that a single slow peer may use all of it while
//! nobody else needs it.

use slotmap::SlotMap;

use crate::time;

slotmap::new_key_type! {
    /// Key of a holder.
    pub struct Key;
}

/// A response or request whose bytes wait for a peer to read them.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    /// Longest time between two reads of the peer while bytes waited, in milliseconds.
    longest_gap_ms: u64,
    /// When the peer last read something, or when the first byte began to wait, if that is later.
    waiting_since: time::Instant,
}

impl Holder {
    /// Returns the bytes that wait times the milliseconds for which the peer has read nothing, beyond
    /// those that it took between two reads before.
    fn weigh(&self, now: time::Instant) -> u128 {
        let waited_ms = now.millis_since(self.waiting_since);
        let excess_ms = waited_ms.saturating_sub(self.longest_gap_ms);
        // A peer that reads at its pace counts by its bytes alone.
        u128::from(self.bytes) * u128::from(excess_ms.max(1))
    }
}

/// A holder that has to end because the budget is exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Bytes that it held.
    pub bytes: u64,
    /// Its key, which is no longer valid.
    pub key: Key,
    /// Milliseconds for which its peer had read nothing.
    pub waited_ms: u64,
}

/// Memory for bodies that peers have not read yet.
#[derive(Debug)]
pub struct Budget {
    held_bytes: u64,
    holders: SlotMap<Key, Holder>,
    limit_bytes: u64,
}

impl Budget {
    /// Returns an empty budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Budget {
        Budget {
            held_bytes: 0,
            holders: SlotMap::with_key(),
            limit_bytes,
        }
    }

    /// Returns the bytes that all holders hold together.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of holders.
    #[must_use]
    pub fn count_holders(&self) -> usize {
        self.holders.len()
    }

    /// Returns the bytes that may be held.
    #[must_use]
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns whether this many more bytes may be held without ending anybody.
    #[must_use]
    pub fn has_room(&self, bytes: u64) -> bool {
        self.held_bytes.saturating_add(bytes) <= self.limit_bytes
    }

    /// Adds a holder of nothing.
    pub fn open(&mut self, now: time::Instant) -> Key {
        self.holders.insert(Holder {
            bytes: 0,
            longest_gap_ms: 0,
            waiting_since: now,
        })
    }

    /// Removes a holder with all that it holds. Does nothing if it has been ended.
    pub fn close(&mut self, key: Key) {
        if let Some(holder) = self.holders.remove(key) {
            self.held_bytes -= holder.bytes;
        }
    }

    /// Adds bytes to a holder. Does nothing if it has been ended.
    ///
    /// Returns the holders that end because of this; `key` may be among them. They no longer count.
    pub fn add(&mut self, key: Key, bytes: u64, now: time::Instant) -> Vec<Ended> {
        let Some(holder) = self.holders.get_mut(key) else {
            return Vec::new();
        };
        if holder.bytes == 0 {
            holder.waiting_since = now;
        }
        holder.bytes += bytes;
        self.held_bytes += bytes;
        let mut ended = Vec::new();
        while self.held_bytes > self.limit_bytes {
            let Some(heaviest) = self.take_heaviest(now) else {
                break;
            };
            ended.push(heaviest);
        }
        ended
    }

    /// Records that a holder's peer has read `bytes`, which may be none that count here. Does
    /// nothing if it has been ended.
    pub fn record_read(&mut self, key: Key, bytes: u64, now: time::Instant) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let gap_ms = match holder.bytes {
            0 => 0,
            _waiting => now.millis_since(holder.waiting_since),
        };
        holder.longest_gap_ms = holder.longest_gap_ms.max(gap_ms);
        let read = bytes.min(holder.bytes);
        holder.bytes -= read;
        holder.waiting_since = now;
        self.held_bytes -= read;
    }

    /// Removes the holder that holds most for longest, by its own pace.
    fn take_heaviest(&mut self, now: time::Instant) -> Option<Ended> {
        let holders = self.holders.iter();
        let holding = holders.filter(|(_key, holder)| holder.bytes > 0);
        let (key, holder) = holding.max_by_key(|(_key, holder)| holder.weigh(now))?;
        let ended = Ended {
            bytes: holder.bytes,
            key,
            waited_ms: now.millis_since(holder.waiting_since),
        };
        self.close(key);
        Some(ended)
    }
}
