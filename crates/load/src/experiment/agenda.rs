//! Event queue of the simulation, ordered by time.

use std::cmp;
use std::collections;

use peargap_core::table;

use crate::experiment::scenario;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job reaches its entry.
    Arrive(usize),
    /// A job's deadline passes.
    Deadline(usize),
    /// Entries and agents learn that a domain was taken out or returned.
    Domain { domain: usize, out: bool },
    /// A fault of the scenario occurs.
    Fault(scenario::Fault),
    /// An offer reaches an agent.
    Offer { job: usize, engine: usize },
    /// An entry learns that an offer was refused or failed.
    Refused {
        job: usize,
        engine: usize,
        failed: bool,
    },
    /// A load report reaches the entries.
    Report {
        engine: usize,
        load: table::Report,
        prefixes: Vec<u64>,
    },
    /// An engine restarts.
    Restart(usize),
    /// A job gets another attempt.
    Retry(usize),
    /// An agent sends a load report.
    Sample(usize),
    /// An engine's step ends.
    Step { engine: usize, incarnation: u32 },
    /// Agents check their timeouts.
    Tick,
}

#[derive(Debug)]
struct Due {
    at: u64,
    event: Event,
    number: u64,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> cmp::Ordering {
        // Reversed, since `BinaryHeap` pops the greatest element.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Pending events.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    due: collections::BinaryHeap<Due>,
    number: u64,
}

impl Agenda {
    /// Adds an event at a time in microseconds; events of the same time keep their order.
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        let number = self.number;
        self.due.push(Due { at, event, number });
    }

    /// Removes and returns the earliest event with its time.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}
