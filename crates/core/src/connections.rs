//! Connections that a process accepts, and which one is ended for a new one when there are too many.
//!
//! A connection that carries a whole request, or several, is kept. Of the others, those that never
//! have are ended first, and of these the one that has been open for longest.

use slotmap::SlotMap;

use crate::time;

slotmap::new_key_type! {
    /// Key of a connection.
    pub struct Key;
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Whether it has carried a whole request.
    has_served: bool,
    /// When it was opened, or when its last request ended.
    idle_since: time::Instant,
    /// Whole requests that it carries.
    requests: u32,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opened {
    /// It is accepted.
    Accepted(Key),
    /// It is accepted and another one, whose key is no longer valid, is ended for it.
    AcceptedFor {
        /// The one that is ended.
        ended: Key,
        /// The new one.
        key: Key,
    },
    /// It is refused, as all others carry requests.
    Refused,
}

/// The open connections of a process.
#[derive(Debug)]
pub struct Table {
    connections: SlotMap<Key, Connection>,
    limit: usize,
}

impl Table {
    /// Returns an empty table of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Table {
        Table {
            connections: SlotMap::with_key(),
            limit,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection.
    pub fn open(&mut self, now: time::Instant) -> Opened {
        let ended = match self.connections.len() >= self.limit {
            true => match self.end_one() {
                Some(ended) => Some(ended),
                None => return Opened::Refused,
            },
            false => None,
        };
        let key = self.connections.insert(Connection {
            has_served: false,
            idle_since: now,
            requests: 0,
        });
        match ended {
            Some(ended) => Opened::AcceptedFor { ended, key },
            None => Opened::Accepted(key),
        }
    }

    /// Removes the connection that others need least, which is ended; `None` if all carry requests.
    pub fn end_one(&mut self) -> Option<Key> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_key, connection)| connection.requests == 0);
        let rank = |connection: &Connection| (connection.has_served, connection.idle_since);
        let (key, _connection) = idle.min_by_key(|(_key, connection)| rank(connection))?;
        self.connections.remove(key);
        Some(key)
    }

    /// Records that a connection carries a whole request. Does nothing if it has been ended.
    pub fn begin_request(&mut self, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.has_served = true;
            connection.requests += 1;
        }
    }

    /// Records that a request of a connection has ended; returns how many others it carries.
    pub fn end_request(&mut self, key: Key, now: time::Instant) -> u32 {
        let Some(connection) = self.connections.get_mut(key) else {
            return 0;
        };
        connection.requests = connection.requests.saturating_sub(1);
        connection.idle_since = now;
        connection.requests
    }

    /// Removes a connection that is closed. Does nothing if it has been ended.
    pub fn close(&mut self, key: Key) {
        self.connections.remove(key);
    }
}
