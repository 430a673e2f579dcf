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
    /// The holder was ended, and its task has not dropped them yet.
    Ended,
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
            Phase::Ended | Phase::Settled => return None,
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
    /// Its key, which stays valid until it is closed.
    pub key: Key,
    /// Milliseconds since its first byte arrived, or for which its peer had read nothing.
    pub waited_ms: u64,
}

/// Memory for bodies that peers have not read yet.
#[derive(Debug)]
pub struct Budget {
    /// Bytes of the holders that were ended and are not closed yet.
    ended_bytes: u64,
    ended_holders: usize,
    /// Bytes of the others.
    held_bytes: u64,
    holders: SlotMap<Key, Holder>,
    limit_bytes: u64,
}

impl Budget {
    /// Returns an empty budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Budget {
        Budget {
            ended_bytes: 0,
            ended_holders: 0,
            held_bytes: 0,
            holders: SlotMap::with_key(),
            limit_bytes,
        }
    }

    /// Returns the bytes of holders that were ended and are not closed yet.
    #[must_use]
    pub fn ended_bytes(&self) -> u64 {
        self.ended_bytes
    }

    /// Returns the bytes that all holders that were not ended hold together.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of holders that were not ended.
    #[must_use]
    pub fn count_holders(&self) -> usize {
        self.holders.len() - self.ended_holders
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

    /// Returns whether more is in memory than may be held, which changes once holders that were ended
    /// are closed.
    #[must_use]
    pub fn is_freeing(&self) -> bool {
        self.ended_bytes > 0 && self.held_bytes + self.ended_bytes > self.limit_bytes
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
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let total = match holder.phase {
            Phase::Ended => &mut self.ended_bytes,
            Phase::Arriving | Phase::Leaving | Phase::Settled => &mut self.held_bytes,
        };
        *total = *total - holder.bytes + bytes;
        holder.bytes = bytes;
    }

    /// Returns a holder that has not been ended.
    fn get_kept(&mut self, key: Key) -> Option<&mut Holder> {
        let holder = self.holders.get_mut(key);
        holder.filter(|holder| holder.phase != Phase::Ended)
    }

    /// Keeps a holder until it is closed. Does nothing if it has been ended.
    pub fn settle(&mut self, key: Key) {
        if let Some(holder) = self.get_kept(key) {
            holder.phase = Phase::Settled;
        }
    }

    /// Keeps a holder until it is closed, with `bytes` in place of those that it holds.
    pub fn reset(&mut self, key: Key, bytes: u64) {
        self.settle(key);
        self.set_bytes(key, bytes);
    }

    /// Lets the bytes of a holder wait for its peer to read them. Does nothing if it has been ended.
    pub fn begin_leaving(&mut self, key: Key, now: time::Instant) {
        if let Some(holder) = self.get_kept(key) {
            holder.longest_gap_ms = 0;
            holder.phase = Phase::Leaving;
            holder.waiting_since = now;
        }
    }

    /// Adds bytes that have arrived to a holder, which its peer has not sent whole.
    ///
    /// Returns the holders that end because of this; `key` may be among them.
    pub fn arrive(&mut self, key: Key, bytes: u64, now: time::Instant) -> Vec<Ended> {
        if let Some(holder) = self.get_kept(key) {
            if holder.phase != Phase::Arriving {
                holder.phase = Phase::Arriving;
                holder.waiting_since = now;
            }
        }
        self.add(key, bytes, now)
    }

    /// Removes a holder with all that it holds.
    pub fn close(&mut self, key: Key) {
        self.set_bytes(key, 0);
        if let Some(holder) = self.holders.remove(key) {
            self.ended_holders -= usize::from(holder.phase == Phase::Ended);
        }
    }

    /// Adds bytes to a holder.
    ///
    /// Returns the holders that end because of this; `key` may be among them. What they hold is no longer
    /// held, but counts as ended until they are closed.
    pub fn add(&mut self, key: Key, bytes: u64, now: time::Instant) -> Vec<Ended> {
        let Some(holder) = self.holders.get_mut(key) else {
            return Vec::new();
        };
        if holder.bytes == 0 {
            holder.waiting_since = now;
        }
        let bytes = holder.bytes + bytes;
        self.set_bytes(key, bytes);
        let mut ended = Vec::new();
        while self.held_bytes > self.limit_bytes {
            let Some(heaviest) = self.end_heaviest(now) else {
                break;
            };
            ended.push(heaviest);
        }
        ended
    }

    /// Records that a holder's peer has read `bytes`, which may be none that count here.
    pub fn record_read(&mut self, key: Key, bytes: u64, now: time::Instant) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let gap_ms = match holder.bytes {
            0 => 0,
            _waiting => now.millis_since(holder.waiting_since),
        };
        holder.longest_gap_ms = holder.longest_gap_ms.max(gap_ms);
        holder.waiting_since = now;
        let left = holder.bytes.saturating_sub(bytes);
        self.set_bytes(key, left);
    }

    /// Ends the holder that holds most for longest, by its own pace.
    fn end_heaviest(&mut self, now: time::Instant) -> Option<Ended> {
        let holders = self.holders.iter();
        let weighed = holders.filter_map(|(key, holder)| Some((holder.weigh(now)?, key, holder)));
        let (_weight, key, holder) = weighed.max_by_key(|(weight, _key, _holder)| *weight)?;
        let ended = Ended {
            bytes: holder.bytes,
            key,
            waited_ms: now.millis_since(holder.waiting_since),
        };
        let holder = self.holders.get_mut(key)?;
        holder.phase = Phase::Ended;
        self.ended_bytes += ended.bytes;
        self.ended_holders += 1;
        self.held_bytes -= ended.bytes;
        Some(ended)
    }
}
