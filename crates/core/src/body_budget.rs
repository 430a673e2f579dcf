//! Memory for what callers make a process hold, and who is ended when it runs out.
//!
//! A holder is one response that a caller has not read, one request that is being received or that
//! an upstream has not read, or one connection. There is one budget for the process, so that a
//! single slow peer may use all of it while nobody else needs it.

use slotmap::SlotMap;

use crate::time;

slotmap::new_key_type! {
    /// Key of a holder.
    pub struct Key;
}

/// What the bytes of a holder wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The peer sends the rest of them.
    Arriving,
    /// The peer reads them.
    Leaving,
    /// Nothing that the peer does: they are needed until the holder is closed.
    Settled,
}

/// A response, request or connection whose bytes are held.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    /// Longest time between two reads of the peer while bytes waited, in milliseconds.
    longest_gap_ms: u64,
    phase: Phase,
    /// When the first byte arrived or began to wait. While bytes leave, when the peer last read
    /// something, if that is later.
    waiting_since: time::Instant,
}

impl Holder {
    /// Returns the bytes times milliseconds: while they arrive, those since the first one, however
    /// steadily the others come; while they leave, those for which the peer has read nothing,
    /// beyond those that it took between two reads before. `None` if it can't be ended.
    fn weigh(&self, now: time::Instant) -> Option<u128> {
        let waited_ms = now.millis_since(self.waiting_since);
        let counted_ms = match self.phase {
            _any if self.bytes == 0 => return None,
            Phase::Arriving => waited_ms,
            Phase::Leaving => waited_ms.saturating_sub(self.longest_gap_ms),
            Phase::Settled => return None,
        };
        // A peer that reads at its pace counts by its bytes alone.
        Some(u128::from(self.bytes) * u128::from(counted_ms.max(1)))
    }
}

/// A holder that has to end because the budget is exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Bytes that it held.
    pub bytes: u64,
    /// Its key, which is no longer valid.
    pub key: Key,
    /// Milliseconds since its first byte arrived, or for which its peer had read nothing.
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

    /// Adds a holder of nothing, whose bytes will wait for its peer to read them.
    pub fn open(&mut self, now: time::Instant) -> Key {
        self.open_in(Phase::Leaving, now)
    }

    /// Adds a holder of nothing, whose bytes its peer will send.
    pub fn open_arriving(&mut self, now: time::Instant) -> Key {
        self.open_in(Phase::Arriving, now)
    }

    /// Adds a holder of `bytes` that can't be ended.
    pub fn open_settled(&mut self, bytes: u64, now: time::Instant) -> Key {
        let key = self.open_in(Phase::Settled, now);
        self.set_bytes(key, bytes);
        key
    }

    fn open_in(&mut self, phase: Phase, now: time::Instant) -> Key {
        self.holders.insert(Holder {
            bytes: 0,
            longest_gap_ms: 0,
            phase,
            waiting_since: now,
        })
    }

    fn set_bytes(&mut self, key: Key, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(key) {
            self.held_bytes = self.held_bytes - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Keeps a holder until it is closed. Does nothing if it has been ended.
    pub fn settle(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.phase = Phase::Settled;
        }
    }

    /// Keeps a holder until it is closed, with `bytes` in place of those that it holds.
    pub fn reset(&mut self, key: Key, bytes: u64) {
        self.settle(key);
        self.set_bytes(key, bytes);
    }

    /// Lets the bytes of a holder wait for its peer to read them.
    pub fn begin_leaving(&mut self, key: Key, now: time::Instant) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.longest_gap_ms = 0;
            holder.phase = Phase::Leaving;
            holder.waiting_since = now;
        }
    }

    /// Adds bytes that have arrived to a holder, which its peer has not sent whole.
    ///
    /// Returns the holders that end because of this; `key` may be among them.
    pub fn arrive(&mut self, key: Key, bytes: u64, now: time::Instant) -> Vec<Ended> {
        if let Some(holder) = self.holders.get_mut(key) {
            if holder.phase != Phase::Arriving {
                holder.phase = Phase::Arriving;
                holder.waiting_since = now;
            }
        }
        self.add(key, bytes, now)
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
        let weighed = holders.filter_map(|(key, holder)| Some((holder.weigh(now)?, key, holder)));
        let (_weight, key, holder) = weighed.max_by_key(|(weight, _key, _holder)| *weight)?;
        let ended = Ended {
            bytes: holder.bytes,
            key,
            waited_ms: now.millis_since(holder.waiting_since),
        };
        self.close(key);
        Some(ended)
    }
}
