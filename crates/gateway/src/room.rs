//! Generations that wait at this gateway for room at engines, and what it knows of those elsewhere.

use core::time::Duration;
use std::collections;
use std::sync;

use peargap_core::output_forecast;
use peargap_core::team_share;
use peargap_core::time::Instant;
use peargap_core::waiting;
use peargap_core::window;
use tokio::sync::watch;

/// Time over which begun generations are counted.
const STARTED_WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 10,
};

/// Waiting generations, shared by all clones.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    /// Counter that increases when there may be room, or another generation's turn.
    changed: sync::Arc<watch::Sender<u64>>,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Default for Room {
    fn default() -> Room {
        Room {
            changed: sync::Arc::new(watch::Sender::new(0)),
            state: sync::Arc::default(),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    forecasts: output_forecast::Forecasts,
    /// When the figures of the other gateways were last confirmed.
    heard: Instant,
    others: waiting::Table,
    services: collections::BTreeMap<String, Service>,
    shares: team_share::Shares,
}

#[derive(Debug, Default)]
struct Service {
    queue: waiting::Queue,
    started: window::Counter,
}

/// A generation's place in the queue of its service; dropped, it leaves the queue.
#[derive(Debug)]
pub(crate) struct Place {
    key: waiting::Key,
    room: Room,
    service: String,
}

impl Room {
    /// Wakes those who wait.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns whether a team has got more than its share of the engines lately.
    pub(crate) fn is_above_share(&self, now: Instant, team: &str) -> bool {
        self.lock().shares.is_above(now, team)
    }

    /// Adds a generation to the queue of its service.
    pub(crate) fn join(&self, service: &str, waiter: waiting::Waiter) -> Place {
        let mut state = self.lock();
        let entry = state.services.entry(service.to_owned()).or_default();
        Place {
            key: entry.queue.join(waiter),
            room: self.clone(),
            service: service.to_owned(),
        }
    }

    /// Returns what waits here and how much began lately, by service.
    pub(crate) fn figures(&self, now: Instant) -> waiting::Table {
        let state = self.lock();
        let services = state.services.iter();
        let figures = services.map(|(name, service)| {
            let figures = waiting::Figures {
                started: service.started.count(now, &STARTED_WINDOW),
                waiting: service.queue.count_waiting(now),
            };
            (name.clone(), figures)
        });
        figures.collect()
    }

    /// Replaces the figures of the other gateways.
    pub(crate) fn set_others(&self, others: waiting::Table) {
        let has_changed = {
            let mut state = self.lock();
            let has_changed = state.others != others;
            state.others = others;
            has_changed
        };
        if has_changed {
            self.notify();
        }
    }

    /// Records that the figures of the other gateways are still right.
    pub(crate) fn confirm_others(&self, now: Instant) {
        self.lock().heard = now;
    }

    /// Returns the class of a request on a route, by which its output is forecast.
    pub(crate) fn classify(&self, route: &str, hint: Option<u64>) -> output_forecast::Class {
        self.lock().forecasts.classify(route, hint)
    }

    /// Runs `read` on the forecasts of outputs.
    pub(crate) fn with_forecasts<T>(
        &self,
        read: impl FnOnce(&mut output_forecast::Forecasts) -> T,
    ) -> T {
        read(&mut self.lock().forecasts)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn others_of(&self, service: &str) -> waiting::Others {
        waiting::Others {
            figures: self.others.get(service),
            received: self.heard,
        }
    }
}

impl Place {
    /// Returns whether it is the generation's turn.
    pub(crate) fn turn(&self, now: Instant) -> waiting::Turn {
        let state = self.room.lock();
        let others = state.others_of(&self.service);
        let service = state.services.get(&self.service);
        service.map_or(waiting::Turn::Wait, |service| {
            service.queue.turn(now, self.key, &others)
        })
    }

    /// Records that the generation can't begin now; returns how long it waits.
    pub(crate) fn wait(&self, now: Instant, is_held_back: bool) -> waiting::Patience {
        let mut state = self.room.lock();
        let others = state.others_of(&self.service);
        let Some(service) = state.services.get_mut(&self.service) else {
            return waiting::Patience::Keep;
        };
        service
            .queue
            .record_wait(now, self.key, &others, is_held_back);
        let started = service.started.count(now, &STARTED_WINDOW);
        service.queue.patience(now, self.key, &others, started)
    }

    /// Returns whether the generation could not begin at once.
    pub(crate) fn has_waited(&self) -> bool {
        let state = self.room.lock();
        let service = state.services.get(&self.service);
        service.is_some_and(|service| service.queue.has_waited(self.key))
    }

    /// Leaves the queue as the generation begins; `tokens` count for the share of its team.
    pub(crate) fn begin(self, now: Instant, team: Option<&str>, tokens: u64) {
        let mut state = self.room.lock();
        if let Some(service) = state.services.get_mut(&self.service) {
            service.queue.begin(self.key);
            service.started.record(now, &STARTED_WINDOW);
        }
        if let Some(team) = team {
            state.shares.record(now, team, tokens);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.room.lock();
        if let Some(service) = state.services.get_mut(&self.service) {
            service.queue.leave(self.key);
        }
        drop(state);
        self.room.notify();
    }
}
