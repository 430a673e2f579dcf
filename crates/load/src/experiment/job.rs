//! State of a request in the simulation.

use crate::experiment::workload;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its engine died on its own after tokens had been delivered.
    Died,
    /// Its engine crashed under overload after tokens had been delivered.
    Overloaded,
    /// Accepted, but not complete by its deadline.
    Late,
    /// Refused by all attempts, or not accepted by its deadline.
    Refused,
    /// Accepted by an agent, then given up before any token was delivered.
    Shed,
    /// Completed in time.
    Whole,
}

/// A request and its progress. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whether an agent has queued or started it.
    pub accepted: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Engines that refused or failed it, which further attempts avoid.
    pub avoid: Vec<usize>,
    /// Tokens delivered to the caller.
    pub delivered: u32,
    /// Engine that holds it.
    pub engine: Option<usize>,
    /// Index of the entry that serves it.
    pub entry: usize,
    /// When it ended.
    pub ended_at: u64,
    /// When the first token was delivered.
    pub first_token_at: Option<u64>,
    /// When the last token was delivered.
    pub last_token_at: u64,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// When it was preempted, if no token has been generated since.
    pub preempted_at: Option<u64>,
    /// The request.
    pub request: workload::Request,
}

impl Job {
    /// Returns a job that has not been placed yet.
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
            first_token_at: None,
            last_token_at: 0,
            outcome: None,
            preempted_at: None,
            request,
        }
    }

    /// Returns the outcome if the job is given up now.
    #[must_use]
    pub fn refusal_outcome(&self) -> Outcome {
        if self.accepted {
            Outcome::Shed
        } else {
            Outcome::Refused
        }
    }
}
