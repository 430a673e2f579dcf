//! Order in which generations get the room of engines while there is too little for all.
//!
//! A generation that waits stands in a level. Gateways tell each other how many of theirs wait in each
//! level, so that one gateway leaves room to the more urgent ones of the others. Within a gateway, the
//! generation of a level goes first that has to begin first.

use core::time::Duration;
use std::collections;

use crate::time::Instant;

slotmap::new_key_type! {
    /// Key of a waiting generation.
    pub struct Key;
}

/// Number of levels, 0 being the first.
pub const LEVELS: usize = 8;
/// Time before the latest start from which on a generation is pressing, in milliseconds. It is as long
/// as a generation may be held back for others.
const PRESSING_MS: u64 = 1000;
/// Time for which a generation counts as new, in milliseconds.
const NEW_MS: u64 = 20;
/// Longest time that a generation for which there is room is held back for those of other gateways: one
/// of them may have failed.
const MAX_HELD_BACK: Duration = Duration::from_secs(1);
/// Of this many generations that begin after a wait, one is that which has waited longest.
const TURN_OF_OLDEST: u32 = 8;
/// Generations begun in a second from which on they tell how long a wait takes.
const MIN_STARTED: u32 = 8;
/// Age of what a gateway knows of the others: two periods of the exchange, in milliseconds.
const UNSEEN_MS: u64 = 100;
/// Age from which on the figures of other gateways are not used, in milliseconds.
const MAX_AGE_MS: u64 = 600;
/// Lowest priority that is told apart.
const LAST_RANK: usize = 2;
/// Place of generations of teams that are above their share, behind those of all priorities.
const ABOVE_SHARE_PLACE: usize = 3;

/// A generation that waits for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Whether its team has got more than its share.
    pub is_above_share: bool,
    /// Time after which it would not be on time any more.
    pub latest_start: Instant,
    /// Longest wait if the time that a wait takes is not known, in milliseconds.
    pub patience_ms: u64,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// When it began to wait.
    pub since: Instant,
}

impl Waiter {
    /// Returns its level. All pressing ones go before those that have time.
    #[must_use]
    pub fn level(&self, now: Instant) -> usize {
        let is_pressing = self.latest_start.millis_since(now) <= PRESSING_MS;
        let place = match self.is_above_share {
            true => ABOVE_SHARE_PLACE,
            false => usize::try_from(self.rank).map_or(LAST_RANK, |rank| rank.min(LAST_RANK)),
        };
        match is_pressing {
            true => place,
            false => LEVELS / 2 + place,
        }
    }
}

/// What waits at gateways for the engines of one service, and how fast generations begin there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
    /// Generations that began in the last second.
    pub started: u32,
    /// Waiting generations by level.
    pub waiting: [u32; LEVELS],
}

impl Figures {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Figures) -> Figures {
        let mut waiting = self.waiting;
        for (sum, other) in waiting.iter_mut().zip(other.waiting) {
            *sum = sum.saturating_add(other);
        }
        Figures {
            started: self.started.saturating_add(other.started),
            waiting,
        }
    }

    /// Returns this without `part`, which must be contained in it.
    #[must_use]
    pub fn minus(self, part: Figures) -> Figures {
        let mut waiting = self.waiting;
        for (sum, part) in waiting.iter_mut().zip(part.waiting) {
            *sum = sum.saturating_sub(part);
        }
        Figures {
            started: self.started.saturating_sub(part.started),
            waiting,
        }
    }

    /// Returns how many generations have probably begun that are not in the loads yet.
    fn count_unseen(&self) -> u32 {
        let unseen = u64::from(self.started) * UNSEEN_MS / 1000;
        u32::try_from(unseen).unwrap_or(u32::MAX)
    }

    /// Returns how many wait in the levels that `levels` covers.
    fn count(&self, levels: core::ops::Range<usize>) -> u32 {
        let waiting = self.waiting[levels].iter();
        waiting.fold(0, |sum, one| sum.saturating_add(*one))
    }
}

/// Figures of the other gateways, as they were received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Others {
    /// Sums of their figures.
    pub figures: Figures,
    /// When they were received.
    pub received: Instant,
}

impl Others {
    fn current(&self, now: Instant) -> Option<Figures> {
        let is_current = now.millis_since(self.received) <= MAX_AGE_MS;
        is_current.then_some(self.figures)
    }
}

/// Whose turn it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// The generation begins if there is room for it and for this many more.
    Begin {
        /// Generations at other gateways that go first.
        ahead: u32,
        /// Generations at other gateways that look for room as well.
        beside: u32,
        /// Whether the gateway has heard of the others since the generation last looked.
        is_news: bool,
    },
    /// Others of this gateway go first.
    Wait,
}

impl Turn {
    /// Turn of a generation that nothing else is to be left room by.
    pub const ALONE: Turn = Turn::Begin {
        ahead: 0,
        beside: 0,
        is_news: true,
    };
}

/// How long a generation waits that can't begin now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Patience {
    /// It goes on waiting.
    Keep,
    /// It gives up: it would not be on time any more.
    Refuse {
        /// Expected time until there is room, in milliseconds; `None` if it is not known.
        retry_after_ms: Option<u64>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Place {
    /// Whether it could not begin at once.
    has_waited: bool,
    /// Since when there has been room for it that was left to others.
    held_back: Option<Instant>,
    /// When the figures of the others were received that were known when it last looked.
    looked: Option<Instant>,
    waiter: Waiter,
}

/// Generations of one gateway that wait for the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Generations that began after a wait.
    begun: u32,
    places: slotmap::SlotMap<Key, Place>,
}

impl Queue {
    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a generation.
    pub fn join(&mut self, waiter: Waiter) -> Key {
        self.places.insert(Place {
            has_waited: false,
            held_back: None,
            looked: None,
            waiter,
        })
    }

    /// Removes a generation that gives up.
    pub fn leave(&mut self, key: Key) {
        self.places.remove(key);
    }

    /// Removes a generation that begins.
    pub fn begin(&mut self, key: Key) {
        let place = self.places.remove(key);
        if place.is_some_and(|place| place.has_waited) {
            self.begun = self.begun.wrapping_add(1);
        }
    }

    /// Records that a generation can't begin now, and whether there was room that was left to others.
    pub fn record_wait(&mut self, now: Instant, key: Key, others: &Others, is_held_back: bool) {
        if let Some(place) = self.places.get_mut(key) {
            place.looked = Some(others.received);
            place.has_waited = true;
            let since = place.held_back.unwrap_or(now);
            place.held_back = is_held_back.then_some(since);
        }
    }

    /// Returns whether a generation could not begin at once.
    #[must_use]
    pub fn has_waited(&self, key: Key) -> bool {
        self.places.get(key).is_some_and(|place| place.has_waited)
    }

    /// Returns how many wait in each level.
    #[must_use]
    pub fn count_waiting(&self, now: Instant) -> [u32; LEVELS] {
        let mut waiting = [0; LEVELS];
        let places = self.places.values();
        for place in places.filter(|place| place.has_waited) {
            waiting[place.waiter.level(now)] += 1;
        }
        waiting
    }

    /// Returns whether it is the turn of a generation.
    #[must_use]
    pub fn turn(&self, now: Instant, key: Key, others: &Others) -> Turn {
        match self.places.get(key) {
            Some(place) if self.first(now) == Some(key) => {
                let figures = self.relevant_others(now, place, others);
                let level = place.waiter.level(now);
                Turn::Begin {
                    ahead: figures.count(0..level),
                    beside: figures.count(level..level + 1) + figures.count_unseen(),
                    is_news: place.looked != Some(others.received),
                }
            }
            Some(_) | None => Turn::Wait,
        }
    }

    /// Returns how long a generation waits that can't begin now. `started` is the number of generations
    /// that this gateway began in the last second.
    #[must_use]
    pub fn patience(&self, now: Instant, key: Key, others: &Others, started: u32) -> Patience {
        let Some(place) = self.places.get(key) else {
            return Patience::Refuse {
                retry_after_ms: None,
            };
        };
        let wait_ms = self.expected_wait_ms(now, place, others.current(now), started);
        match place.waiter.has_to_give_up(now, wait_ms) {
            true => Patience::Refuse {
                retry_after_ms: wait_ms,
            },
            false => Patience::Keep,
        }
    }

    /// Returns the generation that goes first.
    fn first(&self, now: Instant) -> Option<Key> {
        let places = self.places.iter();
        let first = match self.is_turn_of_oldest() {
            true => places.min_by_key(|(key, place)| (0, place.waiter.since, *key)),
            false => places.min_by_key(|(key, place)| {
                let waiter = place.waiter;
                (waiter.level(now), waiter.latest_start, *key)
            }),
        };
        first.map(|(key, _place)| key)
    }

    fn is_turn_of_oldest(&self) -> bool {
        self.begun % TURN_OF_OLDEST == TURN_OF_OLDEST - 1
    }

    /// Returns the figures of the others that a generation leaves room to.
    fn relevant_others(&self, now: Instant, place: &Place, others: &Others) -> Figures {
        let was_held_back = place
            .held_back
            .is_some_and(|since| now >= since + MAX_HELD_BACK);
        if was_held_back || self.is_turn_of_oldest() {
            return Figures::default();
        }
        others.current(now).unwrap_or_default()
    }

    /// Returns the time until it is the turn of a generation, by the rate at which generations begin at
    /// all gateways, in milliseconds; `None` if the rate is not known.
    fn expected_wait_ms(
        &self,
        now: Instant,
        place: &Place,
        others: Option<Figures>,
        started: u32,
    ) -> Option<u64> {
        let own = Figures {
            started,
            waiting: self.count_waiting(now),
        };
        let all = own.plus(others?);
        let level = place.waiter.level(now);
        let in_front = all.count(0..level);
        // About half of its level waits in front of it.
        let beside = all.count(level..level + 1) / 2;
        let turn = u64::from(in_front) + u64::from(beside) + 1;
        (all.started >= MIN_STARTED).then(|| turn * 1000 / u64::from(all.started))
    }
}

impl Waiter {
    fn has_to_give_up(&self, now: Instant, wait_ms: Option<u64>) -> bool {
        let Some(wait_ms) = wait_ms else {
            return now >= self.since + Duration::from_millis(self.patience_ms);
        };
        // The rate varies: one that waits already is refused only if it is late by far.
        let wait_ms = match now.millis_since(self.since) > NEW_MS {
            true => wait_ms / 2,
            false => wait_ms,
        };
        now + Duration::from_millis(wait_ms) > self.latest_start
    }
}

/// Waiting generations of several gateways, by name of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table(collections::BTreeMap<String, Figures>);

impl Table {
    /// Returns the figures by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, Figures)> {
        self.0.iter().map(|(name, figures)| (name, *figures))
    }

    /// Returns the figures of one service.
    #[must_use]
    pub fn get(&self, service: &str) -> Figures {
        self.0.get(service).copied().unwrap_or_default()
    }

    /// Replaces the part `former` of the sums by `figures`.
    pub fn replace(&mut self, former: &Table, figures: &Table) {
        for (name, part) in former.iter() {
            self.update(name, |sum| sum.minus(part));
        }
        for (name, part) in figures.iter() {
            self.update(name, |sum| sum.plus(part));
        }
    }

    /// Returns the sums without the part of one gateway.
    #[must_use]
    pub fn without(&self, own: &Table) -> Table {
        let mut others = self.clone();
        others.replace(own, &Table::default());
        others
    }

    fn update(&mut self, name: &str, change: impl FnOnce(Figures) -> Figures) {
        let sum = change(self.get(name));
        match sum == Figures::default() {
            true => self.0.remove(name),
            false => self.0.insert(name.to_owned(), sum),
        };
    }
}

impl FromIterator<(String, Figures)> for Table {
    fn from_iter<T: IntoIterator<Item = (String, Figures)>>(figures: T) -> Table {
        let figures = figures.into_iter();
        let has_any = |(_name, figures): &(String, Figures)| *figures != Figures::default();
        Table(figures.filter(has_any).collect())
    }
}
