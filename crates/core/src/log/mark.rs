//! Detects hosts that run on an old copy of their disk.
//!
//! Every message carries a [`Stamp`] with the state of the sender's disk at process start (`found`)
//! and its current state (`now`). Members record the newest state seen from each disk. A process
//! started on an old copy finds an older state than the one already seen by others. Its messages
//! are refused, and it continues as a new member with a new disk id.

/// Version of the state on a disk.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Mark {
    /// Number of process starts on this disk.
    pub generation: u64,
    /// Highest index stored and acknowledged in this term.
    pub index: u64,
    /// Current term.
    pub term: u64,
    /// Whether a vote was cast in this term.
    pub voted: bool,
}

impl Mark {
    /// Returns whether `self` is at least as new as `seen`, so that the same disk may have reported
    /// `seen` earlier.
    #[must_use]
    pub fn covers(self, seen: Mark) -> bool {
        if self.generation != seen.generation {
            return self.generation > seen.generation;
        }
        if self.term != seen.term {
            return self.term > seen.term;
        }
        self.voted >= seen.voted && self.index >= seen.index
    }

    /// Returns the newest state given two marks from the same process, which may arrive out of
    /// order.
    fn merge(self, other: Mark) -> Mark {
        if self.generation == other.generation && self.term == other.term {
            return Mark {
                index: self.index.max(other.index),
                voted: self.voted || other.voted,
                ..self
            };
        }
        if self.covers(other) {
            self
        } else {
            other
        }
    }
}

/// State of the sender's disk at process start and now.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Stamp {
    /// State at process start.
    pub found: Mark,
    /// Current state.
    pub now: Mark,
    /// Random number that identifies the process.
    pub run: u64,
}

/// Newest state seen from a member's disk.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Seen {
    /// Newest mark.
    pub mark: Mark,
    /// Random number that identifies the process that reported it.
    pub run: u64,
}

/// Result of checking a stamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StampCheck {
    /// A new process whose disk is at least as new as the state seen before.
    NewRun(Seen),
    /// A new process whose disk is older than the state seen before.
    OldCopy,
    /// The same process as before.
    SameRun(Seen),
}

/// Compares a stamp with the newest state seen from the same disk.
pub(crate) fn check_stamp(seen: Option<&Seen>, stamp: Stamp) -> StampCheck {
    let fresh = Seen {
        mark: stamp.now,
        run: stamp.run,
    };
    match seen {
        None => StampCheck::NewRun(fresh),
        Some(seen) if seen.run == stamp.run => StampCheck::SameRun(Seen {
            mark: seen.mark.merge(stamp.now),
            run: stamp.run,
        }),
        Some(seen) if stamp.found.covers(seen.mark) => StampCheck::NewRun(fresh),
        Some(_) => StampCheck::OldCopy,
    }
}
