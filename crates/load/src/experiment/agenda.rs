//! Events of the experiment in order of time.

use std::cmp;
use std::collections;

use peargap_core::table;

use crate::experiment::scenario;

/// What happens at a time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job reaches its entry.
    Arrive(usize),
    /// A job's deadline passes.
    Deadline(usize),
    /// All learn that a domain is out or back.
    Domain { domain: usize, out: bool },
    /// Something goes wrong.
    Fault(scenario::Fault),
    /// An offer reaches an agent.
    Offer { job: usize, engine: usize },
    /// An entry learns that an offer was not run.
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
    /// An engine starts again.
    Restart(usize),
    /// A job is placed again.
    Retry(usize),
    /// An agent takes a load report.
    Sample(usize),
    /// An engine's step ends.
    Step { engine: usize, incarnation: u32 },
    /// Agents look at their time-outs.
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
        // Reversed: the heap yields the earliest.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events to come.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    due: collections::BinaryHeap<Due>,
    number: u64,
}

impl Agenda {
    /// Adds an event at a time in microseconds; equal times keep their order.
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        let number = self.number;
        self.due.push(Due { at, event, number });
    }

    /// Takes the earliest event with its time.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}
