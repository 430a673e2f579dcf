//! Bounded replay buffer of one generation.
//!
//! The writer pushes tokens by offset; one reader at a time takes them in order and acknowledges
//! those that its caller has received. A token that was not acknowledged is never dropped: when
//! such tokens fill the buffer, pushing is refused and the writer stops reading from the engine.
//! Acknowledged tokens stay available to a later reader until their memory is needed.

use std::collections;

use bytes::Bytes;

/// Memory accounted for each token in addition to its text, in bytes.
const TOKEN_OVERHEAD: usize = 64;

/// Identifies a reader of the buffer; a newer link replaces an older one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Link(u64);

/// Tokens of one generation from [`Buffer::first`] to [`Buffer::next`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Buffer {
    /// Tokens below this offset may be dropped.
    acknowledged: u64,
    /// Offset of the oldest token kept.
    first: u64,
    kept_bytes: usize,
    /// Number of the newest link.
    last_link: u64,
    limit_bytes: usize,
    reader: Option<Reader>,
    tokens: collections::VecDeque<Bytes>,
    unacknowledged_bytes: usize,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Reader {
    link: Link,
    /// Offset of the next token to hand out.
    next: u64,
}

/// Result of [`Buffer::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Push {
    /// Not stored: unacknowledged tokens fill the buffer.
    Full,
    /// Not stored: tokens before the offset are missing.
    Gap,
    /// Not stored: the token was pushed before.
    Repeated,
    /// Stored at the offset.
    Stored,
}

/// Result of [`Buffer::attach`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attach {
    /// The offset is beyond the next token to push.
    Ahead,
    /// Tokens from the offset on were dropped already.
    Dropped {
        /// Offset of the oldest token kept.
        first: u64,
    },
    /// The link reads from the offset.
    Ready(Link),
}

/// Result of [`Buffer::take`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Take {
    /// Consecutive tokens.
    Batch {
        /// Offset of the first one.
        offset: u64,
        /// Text of each.
        tokens: Vec<Bytes>,
    },
    /// There is no new token.
    Empty,
    /// The link is not the reader: it was replaced or detached.
    Superseded,
}

impl Buffer {
    /// Returns an empty buffer for about `limit_bytes` of tokens and their overhead.
    pub fn new(limit_bytes: usize) -> Buffer {
        Buffer {
            acknowledged: 0,
            first: 0,
            kept_bytes: 0,
            last_link: 0,
            limit_bytes,
            reader: None,
            tokens: collections::VecDeque::new(),
            unacknowledged_bytes: 0,
        }
    }

    /// Returns the offset of the oldest token kept.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// Returns the offset of the next token to push.
    pub fn next(&self) -> u64 {
        self.first + self.tokens.len() as u64
    }

    /// Returns the memory of the tokens kept, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the memory of the tokens that are not acknowledged, in bytes.
    pub fn unacknowledged_bytes(&self) -> usize {
        self.unacknowledged_bytes
    }

    /// Drops all tokens of a generation that is ended, also those that are not acknowledged.
    pub fn discard(&mut self) {
        let next = self.next();
        self.tokens.clear();
        self.first = next;
        self.acknowledged = next;
        self.kept_bytes = 0;
        self.unacknowledged_bytes = 0;
        if let Some(reader) = &mut self.reader {
            reader.next = next;
        }
    }

    /// Returns whether a token may be pushed.
    pub fn has_room(&self) -> bool {
        self.unacknowledged_bytes < self.limit_bytes
    }

    /// Returns whether a reader is attached.
    pub fn is_attached(&self) -> bool {
        self.reader.is_some()
    }

    /// Returns whether `link` is the attached reader.
    pub fn is_reader(&self, link: Link) -> bool {
        self.reader.is_some_and(|reader| reader.link == link)
    }

    /// Adds the token at `offset`.
    pub fn push(&mut self, offset: u64, token: Bytes) -> Push {
        if offset < self.next() {
            return Push::Repeated;
        }
        if offset > self.next() {
            return Push::Gap;
        }
        if !self.has_room() {
            return Push::Full;
        }
        let size = token_bytes(&token);
        self.tokens.push_back(token);
        self.kept_bytes += size;
        self.unacknowledged_bytes += size;
        self.drop_acknowledged();
        Push::Stored
    }

    /// Attaches a new link at `offset`, which replaces an older one.
    ///
    /// Tokens below `offset` count as acknowledged, later ones do not.
    pub fn attach(&mut self, offset: u64) -> Attach {
        if offset < self.first {
            return Attach::Dropped { first: self.first };
        }
        if offset > self.next() {
            return Attach::Ahead;
        }
        self.last_link += 1;
        let link = Link(self.last_link);
        self.reader = Some(Reader { link, next: offset });
        self.set_acknowledged(offset);
        Attach::Ready(link)
    }

    /// Detaches `link` and returns whether it was the reader. Unacknowledged tokens are kept.
    pub fn detach(&mut self, link: Link) -> bool {
        let was_reader = self.is_reader(link);
        if was_reader {
            self.reader = None;
        }
        was_reader
    }

    /// Returns up to `max_tokens` tokens that `link` has not taken yet.
    pub fn take(&mut self, link: Link, max_tokens: usize) -> Take {
        let (first, next) = (self.first, self.next());
        let Some(reader) = self.reader.as_mut().filter(|reader| reader.link == link) else {
            return Take::Superseded;
        };
        if reader.next == next {
            return Take::Empty;
        }
        let offset = reader.next;
        let start = (offset - first) as usize;
        let tokens: Vec<Bytes> = self
            .tokens
            .range(start..)
            .take(max_tokens)
            .cloned()
            .collect();
        reader.next += tokens.len() as u64;
        Take::Batch { offset, tokens }
    }

    /// Records that the reader of `link` needs no token below `offset` again.
    ///
    /// Returns false and changes nothing if the link was replaced, or if the offset is already
    /// acknowledged or beyond the tokens taken.
    pub fn acknowledge(&mut self, link: Link, offset: u64) -> bool {
        let taken = match self.reader {
            Some(reader) if reader.link == link => reader.next,
            Some(_) | None => return false,
        };
        if offset <= self.acknowledged || offset > taken {
            return false;
        }
        self.set_acknowledged(offset);
        true
    }

    fn set_acknowledged(&mut self, offset: u64) {
        if offset >= self.acknowledged {
            self.unacknowledged_bytes -= self.range_bytes(self.acknowledged, offset);
        } else {
            self.unacknowledged_bytes += self.range_bytes(offset, self.acknowledged);
        }
        self.acknowledged = offset;
        self.drop_acknowledged();
    }

    /// Returns the memory of the tokens in `from..to`, in bytes.
    fn range_bytes(&self, from: u64, to: u64) -> usize {
        let start = (from - self.first) as usize;
        let end = (to - self.first) as usize;
        self.tokens.range(start..end).map(token_bytes).sum()
    }

    fn drop_acknowledged(&mut self) {
        while self.kept_bytes > self.limit_bytes && self.first < self.acknowledged {
            let Some(token) = self.tokens.pop_front() else {
                return;
            };
            self.kept_bytes -= token_bytes(&token);
            self.first += 1;
        }
    }
}

fn token_bytes(token: &Bytes) -> usize {
    token.len() + TOKEN_OVERHEAD
}
