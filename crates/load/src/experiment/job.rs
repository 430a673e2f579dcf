//! A request on its way through the experiment.

use crate::experiment::workload;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its engine died of itself after tokens had left.
    Died,
    /// Its engine fell over under more than it could carry.
    FellOver,
    /// Accepted and not whole by its deadline.
    Late,
    /// Refused when it was offered, not run.
    Refused,
    /// Accepted, then refused from the queue, not run.
    Shed,
    /// Whole and in time.
    Whole,
}

/// A request and what became of it so far. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Job {
    /// An agent has queued or started it.
    pub accepted: bool,
    /// Offers so far.
    pub attempts: u32,
    /// Engines that refused or failed it.
    pub avoid: Vec<usize>,
    /// Tokens that reached the caller.
    pub delivered: u32,
    /// Where it is.
    pub engine: Option<usize>,
    /// Entry that serves it.
    pub entry: usize,
    /// When it ended.
    pub ended_at: u64,
    /// When the first token reached the caller.
    pub first_at: Option<u64>,
    /// When the last token reached the caller.
    pub last_at: u64,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// Since when it lacks memory.
    pub preempted_at: Option<u64>,
    /// What was asked.
    pub request: workload::Request,
}

impl Job {
    /// Returns a job that nothing has happened to.
    #[must_use]
    pub fn new(request: workload::Request, entry: usize) -> Job {
        Job {
            accepted: false,
            attempts: 0,
            avoid: Vec::new(),
            delivered: 0,
            engine: None,
            ended_at: 0,
            entry,
            first_at: None,
            last_at: 0,
            outcome: None,
            preempted_at: None,
            request,
        }
    }

    /// Returns how it ends when it is refused now.
    #[must_use]
    pub fn refusal(&self) -> Outcome {
        if self.accepted {
            Outcome::Shed
        } else {
            Outcome::Refused
        }
    }
}
