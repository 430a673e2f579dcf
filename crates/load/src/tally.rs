//! Counters and histograms of a load run.

use core::time;
use std::collections;

use serde::Serialize;

use crate::caller;

/// Largest time that the histograms record, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Faults listed in the report, at most.
const MAX_FAULTS: usize = 8;

/// Counters and histograms of the requests that have ended so far.
#[derive(Debug)]
pub struct Tally {
    faults: Vec<String>,
    first_token: hdrhistogram::Histogram<u64>,
    gaps: hdrhistogram::Histogram<u64>,
    lost: u64,
    reconnects: u64,
    refused: collections::BTreeMap<u16, u64>,
    sent: u64,
    stall: time::Duration,
    tokens: u64,
    total: hdrhistogram::Histogram<u64>,
    whole: u64,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    max: f64,
    p50: f64,
    p95: f64,
    p99: f64,
}

/// A run's report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Descriptions of the first lost or faulty answers.
    pub faults: Vec<String>,
    /// Time to the first token.
    pub first_ms: Quantiles,
    /// Time between tokens.
    pub gap_ms: Quantiles,
    /// Requests without an answer, with a truncated answer or with wrong tokens.
    pub lost: u64,
    /// Attempts that ended without a complete answer or an error answer.
    pub reconnects: u64,
    /// Requests that ended with an error, by HTTP status; 0 is an error event in a stream.
    pub refused: collections::BTreeMap<u16, u64>,
    /// Requests sent.
    pub sent: u64,
    /// Time by which gaps exceeded the stall limit, summed over all requests.
    pub stall_ms: u128,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the end of the answer.
    pub total_ms: Quantiles,
    /// Complete answers.
    pub whole: u64,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            faults: Vec::new(),
            first_token: build_histogram(),
            gaps: build_histogram(),
            lost: 0,
            reconnects: 0,
            refused: collections::BTreeMap::new(),
            sent: 0,
            stall: time::Duration::ZERO,
            tokens: 0,
            total: build_histogram(),
            whole: 0,
        }
    }
}

impl Tally {
    /// Adds one request.
    pub fn add(&mut self, sample: &caller::Sample) {
        self.sent += 1;
        self.tokens += sample.tokens;
        self.reconnects += sample.reconnects;
        self.stall += sample.stall;
        if let Some(first_token) = sample.first_token {
            self.first_token.saturating_record(to_micros(first_token));
        }
        for gap in &sample.gaps {
            self.gaps.saturating_record(to_micros(*gap));
        }
        self.total.saturating_record(to_micros(sample.total));
        match &sample.outcome {
            caller::Outcome::Whole => self.whole += 1,
            caller::Outcome::Refused(status) => *self.refused.entry(*status).or_insert(0) += 1,
            caller::Outcome::Lost(detail) => self.add_fault(detail.clone()),
            caller::Outcome::Faulty(fault) => self.add_fault(fault.to_string()),
        }
    }

    /// Returns the report so far.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            faults: self.faults.clone(),
            first_ms: read_quantiles(&self.first_token),
            gap_ms: read_quantiles(&self.gaps),
            lost: self.lost,
            reconnects: self.reconnects,
            refused: self.refused.clone(),
            sent: self.sent,
            stall_ms: self.stall.as_millis(),
            tokens: self.tokens,
            total_ms: read_quantiles(&self.total),
            whole: self.whole,
        }
    }

    fn add_fault(&mut self, detail: String) {
        self.lost += 1;
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(detail);
        }
    }
}

fn build_histogram() -> hdrhistogram::Histogram<u64> {
    let histogram = hdrhistogram::Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
    histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

fn to_micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS)
}

fn read_quantiles(histogram: &hdrhistogram::Histogram<u64>) -> Quantiles {
    let read = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        max: histogram.max() as f64 / 1_000.0,
        p50: read(0.5),
        p95: read(0.95),
        p99: read(0.99),
    }
}
