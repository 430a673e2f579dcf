//! Request queue of one upstream, with priorities, fair shares, deadlines and load shedding.

use std::collections;

use crate::fair;
use crate::time;

slotmap::new_key_type! {
    /// Key of a queued request.
    pub struct Ticket;
}

/// One in this many dequeues takes the oldest request, so that no priority starves.
pub const DEQUEUES_PER_OLDEST: u32 = 16;
/// Weight of a new sample in the moving average of the departure interval.
const SMOOTHING: f64 = 0.1;
/// Assumed time between departures until one is measured, in milliseconds.
const DEFAULT_INTERVAL_MS: f64 = 200.0;
/// Upper bound on the time between departures, in milliseconds.
const MAX_INTERVAL_MS: f64 = 10_000.0;
/// Shortest time after which a refused caller is asked to retry, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub struct Item<T> {
    /// When it was queued.
    pub arrived: time::Instant,
    /// Expected wait when it was queued, in milliseconds.
    pub expected_ms: u64,
    /// Latest start that still meets its deadline.
    pub start_by: time::Instant,
    /// Priority; smaller values are served first.
    pub priority: u8,
    /// Account charged for the request.
    pub team: fair::Team,
    /// Data of the queue's owner.
    pub payload: T,
}

/// Outcome of queueing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pushed {
    /// The queue is full and no queued request may be dropped for it; refuse it.
    Full {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It is queued, and `shed` was dropped from the full queue for it.
    Displaced {
        /// The new request.
        ticket: Ticket,
        /// The dropped request, to be refused.
        shed: Ticket,
        /// Time after which the caller of `shed` may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It is queued.
    Queued(Ticket),
}

/// Queued requests of one team and priority, oldest first.
#[derive(Clone, Debug)]
struct Lane {
    priority: u8,
    team: fair::Team,
    tickets: collections::VecDeque<Ticket>,
}

/// The request queue of one upstream.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: slotmap::SlotMap<Ticket, Item<T>>,
    lanes: Vec<Lane>,
    capacity: usize,
    shares: fair::Shares,
    /// Dequeues since the oldest request was last taken out of turn.
    dequeues: u32,
    /// Moving average of the time between departures while the queue was not empty.
    interval_ms: f64,
    /// Time of the last departure, or of the first arrival at an empty queue since.
    last_departure: time::Instant,
    /// Whether [`Queue::slow_down`] was called since the last [`Queue::shed`].
    slowed: bool,
}

impl<T: Copy> Queue<T> {
    /// Returns an empty queue for up to `capacity` requests, at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Queue<T> {
        Queue {
            items: slotmap::SlotMap::with_key(),
            lanes: Vec::new(),
            capacity: capacity.max(1),
            shares: fair::Shares::new(),
            dequeues: 0,
            interval_ms: DEFAULT_INTERVAL_MS,
            last_departure: time::Instant::default(),
            slowed: false,
        }
    }

    /// Returns the accounts of the teams.
    pub fn shares(&mut self) -> &mut fair::Shares {
        &mut self.shares
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether the queue is at its capacity.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.capacity
    }

    /// Returns a queued request.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&Item<T>> {
        self.items.get(ticket)
    }

    /// Queues a request. A full queue drops one for it: the newest of a less urgent priority, else
    /// of a team with a longer backlog by weight.
    pub fn push(&mut self, now: time::Instant, item: Item<T>) -> Pushed {
        let retry_after_ms = self.retry_after_ms(item.priority, item.team);
        if !self.is_full() {
            return Pushed::Queued(self.insert(now, item));
        }
        let Some(shed) = self.find_displaced(item.priority, item.team) else {
            return Pushed::Full { retry_after_ms };
        };
        self.remove(shed);
        let ticket = self.insert(now, item);
        Pushed::Displaced {
            ticket,
            shed,
            retry_after_ms,
        }
    }

    /// Returns the request to start next.
    #[must_use]
    pub fn peek(&self) -> Option<Ticket> {
        if self.dequeues + 1 >= DEQUEUES_PER_OLDEST {
            return self.oldest();
        }
        let lanes = self.lanes.iter().filter(|lane| !lane.tickets.is_empty());
        let first = lanes.min_by(|a, b| {
            let used = self
                .shares
                .used(a.team)
                .total_cmp(&self.shares.used(b.team));
            a.priority.cmp(&b.priority).then(used)
        });
        first.and_then(|lane| lane.tickets.front().copied())
    }

    /// Removes a request to run it, and updates the estimates of waits.
    pub fn take(&mut self, now: time::Instant, ticket: Ticket) -> Option<Item<T>> {
        let item = self.remove(ticket)?;
        self.dequeues = (self.dequeues + 1) % DEQUEUES_PER_OLDEST;
        self.shares.record_served(item.team);
        let waited_ms = now.millis_since(item.arrived);
        self.shares
            .record_wait(item.team, item.expected_ms, waited_ms);
        let since_ms = (now.millis_since(self.last_departure) as f64).min(MAX_INTERVAL_MS);
        self.interval_ms += (since_ms - self.interval_ms) * SMOOTHING;
        self.last_departure = now;
        Some(item)
    }

    /// Removes a request whose caller has disconnected or that is refused.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item<T>> {
        let item = self.items.remove(ticket)?;
        self.shares.record_dequeued(item.team);
        let lane = self.find_lane(item.priority, item.team);
        lane.tickets.retain(|other| *other != ticket);
        Some(item)
    }

    /// Removes the requests that can no longer start in time; the caller must refuse them.
    pub fn shed(&mut self, now: time::Instant) -> Vec<Ticket> {
        let late = self.items.iter().filter(|(_, item)| item.start_by < now);
        let mut late: Vec<Ticket> = late.map(|(ticket, _)| ticket).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        if core::mem::take(&mut self.slowed) {
            late.extend(self.shed_expected_late(now));
        }
        late
    }

    /// Raises the expected time between departures to `interval_ms`, at most to `MAX_INTERVAL_MS`,
    /// unless it is longer already.
    ///
    /// The next [`Queue::shed`] also removes the requests that are then not expected to start in
    /// time.
    pub fn slow_down(&mut self, interval_ms: f64) {
        self.interval_ms = self.interval_ms.max(interval_ms.min(MAX_INTERVAL_MS));
        self.slowed = true;
    }

    /// Removes the requests that are not expected to start in time at the current departure
    /// interval.
    fn shed_expected_late(&mut self, now: time::Instant) -> Vec<Ticket> {
        let mut order: Vec<Ticket> = self.items.keys().collect();
        order.sort_by_key(|ticket| {
            let item = &self.items[*ticket];
            (item.priority, item.arrived)
        });
        let mut ahead = 0.0;
        let mut expected_late = Vec::new();
        for ticket in order {
            let start_ms = now.0 as f64 + ahead * self.interval_ms;
            if start_ms > self.items[ticket].start_by.0 as f64 {
                self.remove(ticket);
                expected_late.push(ticket);
            } else {
                ahead += 1.0;
            }
        }
        expected_late
    }

    /// Returns the expected wait of a new request in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, priority: u8, team: fair::Team) -> u64 {
        if self.items.is_empty() {
            return 0;
        }
        let more_urgent = self.lanes.iter().filter(|lane| lane.priority < priority);
        let more_urgent: usize = more_urgent.map(|lane| lane.tickets.len()).sum();
        let ahead = self.items.len() as f64;
        let queue_position =
            (self.shares.requests_ahead(team) + more_urgent as f64).min(ahead) + 1.0;
        (queue_position * self.interval_ms * self.shares.wait_ratio(team)) as u64
    }

    /// Returns the time after which a refused caller may retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(&self, priority: u8, team: fair::Team) -> u64 {
        self.wait_ms(priority, team).max(MIN_RETRY_MS)
    }

    fn insert(&mut self, now: time::Instant, item: Item<T>) -> Ticket {
        if self.items.is_empty() {
            self.last_departure = now;
        }
        self.shares.record_queued(item.team);
        let ticket = self.items.insert(item);
        self.find_lane(item.priority, item.team)
            .tickets
            .push_back(ticket);
        ticket
    }

    fn find_lane(&mut self, priority: u8, team: fair::Team) -> &mut Lane {
        let found = self
            .lanes
            .iter()
            .position(|lane| lane.priority == priority && lane.team == team);
        let index = found.unwrap_or(self.lanes.len());
        if index == self.lanes.len() {
            self.lanes.push(Lane {
                priority,
                team,
                tickets: collections::VecDeque::new(),
            });
        }
        &mut self.lanes[index]
    }

    fn oldest(&self) -> Option<Ticket> {
        let fronts = self
            .lanes
            .iter()
            .filter_map(|lane| lane.tickets.front().copied());
        fronts.min_by_key(|ticket| self.items[*ticket].arrived)
    }

    /// Returns the request to drop from a full queue for a new one: the newest of a less urgent
    /// priority, else of a team with a longer backlog by weight.
    fn find_displaced(&self, priority: u8, team: fair::Team) -> Option<Ticket> {
        let lanes = self.lanes.iter().filter(|lane| !lane.tickets.is_empty());
        let worst = lanes.max_by(|a, b| {
            let backlog = self
                .shares
                .backlog(a.team)
                .total_cmp(&self.shares.backlog(b.team));
            a.priority.cmp(&b.priority).then(backlog)
        })?;
        let own_backlog = self.shares.backlog(team) + 1.0 / self.shares.weight(team);
        let may_displace = worst.priority > priority
            || (worst.priority == priority && self.shares.backlog(worst.team) > own_backlog);
        worst.tickets.back().copied().filter(|_| may_displace)
    }
}
