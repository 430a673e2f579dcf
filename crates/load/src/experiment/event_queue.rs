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
    DomainState { domain: usize, out: bool },
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
    SendReport(usize),
    /// An engine's step ends.
    StepEnd { engine: usize, incarnation: u32 },
    /// Agents check their timeouts.
    Tick,
}

#[derive(Debug)]
struct ScheduledEvent {
    at: u64,
    event: Event,
    sequence: u64,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> cmp::Ordering {
        // Reversed, since `BinaryHeap` pops the greatest element.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Pending events.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: collections::BinaryHeap<ScheduledEvent>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in microseconds; events of the same time keep their order.
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(ScheduledEvent {
            at,
            event,
            sequence,
        });
    }

    /// Removes and returns the earliest event with its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}
