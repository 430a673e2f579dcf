//! Experiment: bursts of long and short generations at engines whose memory is bounded.
//!
//! It compares who gets the room of the engines, and when: what callers get, and how many tokens engines
//! read in vain. Placement, queues, shares and forecasts are those of the gateways.

pub mod callers;
pub mod engines;
pub mod gateways;
pub mod run;

use core::fmt;

pub use run::play;

/// Who gets the room of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Each request looks for room every 30 ms, for an eighth of its latency objective.
    Poll,
    /// The queues of the gateways, which tell each other what waits.
    Queues,
    /// One queue that knows the load of the engines at once and the lengths of all outputs.
    Oracle,
}

/// All rules.
pub const RULES: [Rule; 3] = [Rule::Poll, Rule::Queues, Rule::Oracle];

/// The load that is played.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Times the usual number of requests in a burst.
    pub burst: f64,
    /// Times the usual load outside of bursts.
    pub load: f64,
    /// Times the load of another team that the first one has.
    pub first_team: f64,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    /// 99th percentile of the time to the first event, of those that began, in milliseconds.
    pub first_p99_ms: u64,
    /// Share that was answered.
    pub answered: f64,
    /// Share that was answered with its first event on time.
    pub on_time: f64,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Short, pressing generations.
    pub check: Kind,
    /// Long generations that have time.
    pub digest: Kind,
    /// Jain index of the tokens served to each team, as shares of what it would get by equal shares.
    pub jain: f64,
    /// Preempted generations.
    pub preempted: u32,
    /// Tokens that engines read more than once.
    pub tokens_in_vain: u64,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "in vain {} ({} preempted), checks p99 {} ms, on time {:.3}, answered {:.3}, \
             digests p99 {} ms, on time {:.3}, answered {:.3}, Jain {:.3}",
            self.tokens_in_vain,
            self.preempted,
            self.check.first_p99_ms,
            self.check.on_time,
            self.check.answered,
            self.digest.first_p99_ms,
            self.digest.on_time,
            self.digest.answered,
            self.jain
        )
    }
}

/// Returns the text of the runs of all rules with one seed.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for burst in [1.0, 1.5, 2.0, 2.5, 3.0] {
        for first_team in [1.0, 7.5] {
            for rule in RULES {
                let scenario = Scenario {
                    burst,
                    load: 1.2,
                    first_team,
                };
                let figures = play(scenario, rule, seed);
                text.push_str(&format!(
                    "seed {seed}, burst {burst}, first team {first_team}, {rule:?}: {figures}\n"
                ));
            }
        }
    }
    text
}
