//! Requests that wait at one upstream: priority, fair shares, deadlines, shedding.

use std::collections;

use crate::fair;
use crate::time;

slotmap::new_key_type! {
    /// Names one waiting request.
    pub struct Ticket;
}

/// Every so many picks the oldest request goes first, so that no priority starves another.
pub const PICKS_PER_OLDEST: u32 = 16;
/// Share of a new sample in the pace of departures.
const SMOOTHING: f64 = 0.1;
/// Time between departures before any was seen, in milliseconds.
const FIRST_PACE_MS: f64 = 200.0;
/// Longest time between departures that is counted, in milliseconds.
const MAX_PACE_MS: f64 = 10_000.0;
/// Shortest time after which a caller is asked to come back, in milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Item<T> {
    /// When it was queued.
    pub arrived: time::Instant,
    /// Wait expected then, in milliseconds.
    pub expected_ms: u64,
    /// Time by which it must have started.
    pub start_by: time::Instant,
    /// Smaller is served first.
    pub priority: u8,
    /// Account that pays for it.
    pub team: fair::Team,
    /// What the owner of the queue needs.
    pub work: T,
}

/// What became of a new request, and of an old one that it displaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pushed {
    /// The queue is full and its team has most of it.
    Full {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// It waits; `shed` of the team with the longest backlog was dropped for it.
    Displaced {
        /// The new request.
        ticket: Ticket,
        /// The request to refuse now.
        shed: Ticket,
        /// When its caller is to come back.
        retry_after_ms: u64,
    },
    /// It waits.
    Waits(Ticket),
}

/// Waiting requests of one team and priority.
#[derive(Clone, Debug)]
struct Lane {
    priority: u8,
    team: fair::Team,
    tickets: collections::VecDeque<Ticket>,
}

/// Requests that wait at one upstream.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: slotmap::SlotMap<Ticket, Item<T>>,
    lanes: Vec<Lane>,
    capacity: usize,
    shares: fair::Shares,
    /// Departures since the oldest went first.
    picks: u32,
    /// Smoothed time between departures while requests waited.
    pace_ms: f64,
    /// Last departure, or when the queue became non-empty.
    last: time::Instant,
    /// Departures have become slower at once.
    slowed: bool,
}

impl<T: Copy> Queue<T> {
    /// Returns an empty queue for up to `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Queue<T> {
        Queue {
            items: slotmap::SlotMap::with_key(),
            lanes: Vec::new(),
            capacity: capacity.max(1),
            shares: fair::Shares::new(),
            picks: 0,
            pace_ms: FIRST_PACE_MS,
            last: time::Instant::default(),
            slowed: false,
        }
    }

    /// Returns the accounts of the teams.
    pub fn shares(&mut self) -> &mut fair::Shares {
        &mut self.shares
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether no more requests fit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.capacity
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, ticket: Ticket) -> Option<&Item<T>> {
        self.items.get(ticket)
    }

    /// Queues a request; a full queue drops the newest of the team with the longest backlog.
    pub fn push(&mut self, now: time::Instant, item: Item<T>) -> Pushed {
        let retry_after_ms = self.retry_after_ms(item.priority, item.team);
        if !self.is_full() {
            return Pushed::Waits(self.insert(now, item));
        }
        let Some(shed) = self.find_surplus(item.priority, item.team) else {
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

    /// Returns the request that goes next.
    #[must_use]
    pub fn peek(&self) -> Option<Ticket> {
        if self.picks + 1 >= PICKS_PER_OLDEST {
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

    /// Takes a request out to run it.
    pub fn take(&mut self, now: time::Instant, ticket: Ticket) -> Option<Item<T>> {
        let item = self.remove(ticket)?;
        self.picks = (self.picks + 1) % PICKS_PER_OLDEST;
        self.shares.serve(item.team);
        let waited_ms = now.millis_since(item.arrived);
        self.shares
            .learn_wait(item.team, item.expected_ms, waited_ms);
        let since = (now.millis_since(self.last) as f64).min(MAX_PACE_MS);
        self.pace_ms += (since - self.pace_ms) * SMOOTHING;
        self.last = now;
        Some(item)
    }

    /// Takes a request out because its caller has gone or it is refused.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item<T>> {
        let item = self.items.remove(ticket)?;
        self.shares.leave(item.team);
        let lane = self.find_lane(item.priority, item.team);
        lane.tickets.retain(|other| *other != ticket);
        Some(item)
    }

    /// Takes out the requests that can no longer start in time; they are to be refused now.
    pub fn shed(&mut self, now: time::Instant) -> Vec<Ticket> {
        let late = self.items.iter().filter(|(_, item)| item.start_by < now);
        let mut late: Vec<Ticket> = late.map(|(ticket, _)| ticket).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        if core::mem::take(&mut self.slowed) {
            late.extend(self.shed_hopeless(now));
        }
        late
    }

    /// Notes that departures will be at least `pace_ms` apart from now on.
    ///
    /// The next [`Queue::shed`] takes out what is not expected to start in time any more.
    pub fn slow_down(&mut self, pace_ms: f64) {
        self.pace_ms = self.pace_ms.max(pace_ms.min(MAX_PACE_MS));
        self.slowed = true;
    }

    /// Takes out the requests that are not expected to start in time at the present pace.
    fn shed_hopeless(&mut self, now: time::Instant) -> Vec<Ticket> {
        let mut order: Vec<Ticket> = self.items.keys().collect();
        order.sort_by_key(|ticket| {
            let item = &self.items[*ticket];
            (item.priority, item.arrived)
        });
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for ticket in order {
            let start_ms = now.0 as f64 + ahead * self.pace_ms;
            if start_ms > self.items[ticket].start_by.0 as f64 {
                self.remove(ticket);
                hopeless.push(ticket);
            } else {
                ahead += 1.0;
            }
        }
        hopeless
    }

    /// Returns the expected wait of a new request in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, priority: u8, team: fair::Team) -> u64 {
        if self.items.is_empty() {
            return 0;
        }
        let urgent = self.lanes.iter().filter(|lane| lane.priority < priority);
        let urgent: usize = urgent.map(|lane| lane.tickets.len()).sum();
        let ahead = self.items.len() as f64;
        let places = (self.shares.turns(team) + urgent as f64).min(ahead) + 1.0;
        (places * self.pace_ms * self.shares.stretch(team)) as u64
    }

    /// Returns after how many milliseconds a refused caller is to come back.
    #[must_use]
    pub fn retry_after_ms(&self, priority: u8, team: fair::Team) -> u64 {
        self.wait_ms(priority, team).max(MIN_RETRY_MS)
    }

    fn insert(&mut self, now: time::Instant, item: Item<T>) -> Ticket {
        if self.items.is_empty() {
            self.last = now;
        }
        self.shares.wait(item.team);
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

    /// Returns the request to drop for a new one: the newest of a less urgent priority, else of a
    /// team with a longer backlog by weight.
    fn find_surplus(&self, priority: u8, team: fair::Team) -> Option<Ticket> {
        let lanes = self.lanes.iter().filter(|lane| !lane.tickets.is_empty());
        let worst = lanes.max_by(|a, b| {
            let backlog = self
                .shares
                .backlog(a.team)
                .total_cmp(&self.shares.backlog(b.team));
            a.priority.cmp(&b.priority).then(backlog)
        })?;
        let own = self.shares.backlog(team) + 1.0 / self.shares.weight(team);
        let rival = worst.priority > priority
            || (worst.priority == priority && self.shares.backlog(worst.team) > own);
        worst.tickets.back().copied().filter(|_| rival)
    }
}
