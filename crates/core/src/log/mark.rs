//! How a host's disk is told apart from an old copy of it.
//!
//! Every message carries a [`Stamp`]: how far the disk had come when the process started (`found`)
//! and how far it is now. Members remember the furthest they have seen. A process that starts on
//! an old copy of a disk finds less there than its former self has shown to others; it is refused
//! and takes a new disk id.

/// How far a disk has come.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Mark {
    /// Starts of a process on this disk.
    pub generation: u64,
    /// Highest index stored and acknowledged in this term.
    pub index: u64,
    /// Term on the disk.
    pub term: u64,
    /// Whether a vote was given in this term.
    pub voted: bool,
}

impl Mark {
    /// Returns whether a disk that has come to `self` may have shown `seen` before.
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

    /// Returns the further one of two marks of the same process.
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

/// Proof of how far the sender's disk had come and has come.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Stamp {
    /// What the process found on its disk when it started.
    pub found: Mark,
    /// What the disk holds now.
    pub now: Mark,
    /// Random number of the process.
    pub run: u64,
}

/// The furthest that a member's disk was seen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Seen {
    /// Furthest mark.
    pub mark: Mark,
    /// Random number of the process that showed it.
    pub run: u64,
}

/// What a stamp says about its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// A new process on a disk that kept everything.
    NewRun(Seen),
    /// A disk that has come less far than was seen.
    OldCopy,
    /// The process known already.
    SameRun(Seen),
}

/// Compares a stamp with the furthest that was seen of the same disk.
pub(crate) fn check_stamp(seen: Option<&Seen>, stamp: Stamp) -> Verdict {
    let fresh = Seen {
        mark: stamp.now,
        run: stamp.run,
    };
    match seen {
        None => Verdict::NewRun(fresh),
        Some(seen) if seen.run == stamp.run => Verdict::SameRun(Seen {
            mark: seen.mark.merge(stamp.now),
            run: stamp.run,
        }),
        Some(seen) if stamp.found.covers(seen.mark) => Verdict::NewRun(fresh),
        Some(_) => Verdict::OldCopy,
    }
}
