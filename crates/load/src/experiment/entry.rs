//! Simulated entry: places requests by the production placement or by a baseline.

use peargap_core::retry;
use peargap_core::selection;
use peargap_core::table;
use peargap_core::time;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::admission;
use crate::experiment::job;
use crate::experiment::policy;
use crate::experiment::workload;

/// Age that entries assume for every load report, in milliseconds.
const REPORT_AGE_MS: u32 = 400;

/// An entry with its own view of the engines, which lags behind their state.
#[derive(Debug)]
pub struct Entry {
    budget: retry::Budget,
    /// Indices of the engines of each model.
    engines: Vec<Vec<usize>>,
    groups: Vec<table::Group>,
    round_robin_index: usize,
    disabled: policy::Mechanism,
    /// Requests that this entry has in flight at each engine.
    outstanding: Vec<u32>,
    placement: policy::Placement,
    random: rand::rngs::SmallRng,
    reports: Vec<table::Report>,
    table: table::Table,
    upstreams: Vec<table::Upstream>,
    domains: Vec<table::Domain>,
    domain_out: [bool; workload::DOMAINS],
    candidates: Vec<selection::Candidate>,
}

impl Entry {
    /// Returns an entry that has received no report yet.
    #[must_use]
    pub fn new(policy: &policy::Policy, models: &[workload::Model], seed: u64) -> Entry {
        let mut table = table::Table::new();
        let mut domains = Vec::new();
        for number in 0..workload::DOMAINS {
            domains.push(table.domain(&number.to_string()));
        }
        let mut groups = Vec::new();
        let mut engines = Vec::new();
        let mut upstreams = Vec::new();
        for model in models {
            let group = table.group(model.name);
            let first = upstreams.len();
            for engine in first..first + model.engines {
                upstreams.push(table.announce(domains[engine % workload::DOMAINS], &[group]));
            }
            groups.push(group);
            engines.push((first..upstreams.len()).collect());
        }
        let report = table::Report {
            accepting: true,
            limit: 1,
            ..table::Report::default()
        };
        Entry {
            budget: retry::Budget::new(),
            engines,
            groups,
            round_robin_index: 0,
            disabled: policy.disabled,
            outstanding: vec![0; upstreams.len()],
            placement: policy.placement,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            reports: vec![report; upstreams.len()],
            table,
            upstreams,
            domains,
            domain_out: [false; workload::DOMAINS],
            candidates: Vec::new(),
        }
    }

    /// Chooses an engine for a job and counts the job as in flight there.
    ///
    /// Returns `None` when no engine can take it.
    pub fn choose_engine(&mut self, now: u64, job: &job::Job, deadline: u64) -> Option<usize> {
        let chosen = match self.placement {
            policy::Placement::LeastRequests => {
                self.pick_least_loaded(job, |entry, engine| u64::from(entry.outstanding[engine]))
            }
            policy::Placement::LeastReported => {
                self.pick_least_loaded(job, |entry, engine| entry.reports[engine].used_tokens)
            }
            policy::Placement::RoundRobin => self.pick_round_robin(job),
            policy::Placement::Weighted => self.pick_weighted(now, job, deadline),
        }?;
        self.outstanding[chosen] += 1;
        if self.disabled != policy::Mechanism::LoadCorrection {
            self.table.record_send(
                admission::to_instant(now),
                self.upstreams[chosen],
                job.request.prompt,
            );
        }
        Some(chosen)
    }

    /// Adds the share of a first attempt to the retry budget.
    pub fn record_first_attempt(&mut self) {
        self.budget.deposit();
    }

    /// Decides whether a job gets another attempt; baseline placements limit the number of attempts
    /// but have no retry budget.
    pub fn plan_retry(&mut self, now: u64, job: &job::Job, deadline: u64) -> retry::Next {
        if self.placement != policy::Placement::Weighted {
            return match job.attempts {
                0..4 => retry::Next::Retry { after_ms: 5 },
                _ => retry::Next::GiveUp(retry::Reason::TooMany),
            };
        }
        let attempt = retry::Attempt {
            deadline: admission::to_instant(deadline),
            number: job.attempts,
            ran: retry::Ran::No,
            repeatable: true,
        };
        if self.disabled == policy::Mechanism::RetryBudget {
            self.budget = retry::Budget::new();
        }
        retry::plan_retry(
            &mut self.budget,
            admission::to_instant(now),
            &attempt,
            &mut self.random,
        )
    }

    /// Records that a job has left an engine or was refused by it.
    pub fn record_departure(&mut self, engine: usize) {
        self.outstanding[engine] = self.outstanding[engine].saturating_sub(1);
    }

    /// Records an agent's answer to an offer: whether the job ran.
    pub fn record_answer(&mut self, engine: usize, ran: bool) {
        self.table.record_answer(self.upstreams[engine], ran);
    }

    /// Records that an engine failed a job.
    pub fn record_failure(&mut self, now: u64, engine: usize) {
        if self.disabled != policy::Mechanism::Breaker {
            let upstream = self.upstreams[engine];
            self.table
                .record_failure(admission::to_instant(now), upstream);
        }
    }

    /// Applies an agent's load report.
    pub fn record_report(
        &mut self,
        now: u64,
        engine: usize,
        report: table::Report,
        prefixes: &[u64],
    ) {
        let report = table::Report {
            age_ms: REPORT_AGE_MS,
            ..report
        };
        self.reports[engine] = report;
        let upstream = self.upstreams[engine];
        self.table
            .record_report(admission::to_instant(now), upstream, report);
        if self.disabled != policy::Mechanism::PrefixAffinity {
            self.table.set_prefixes(upstream, prefixes);
        }
    }

    /// Records that a failure domain was taken out or returned.
    pub fn set_domain_out(&mut self, domain: usize, out: bool) {
        self.domain_out[domain] = out;
        self.table.set_domain_out(self.domains[domain], out);
    }

    fn eligible_engines(&self, job: &job::Job) -> Vec<usize> {
        let engines = self.engines[job.request.model].iter().copied();
        let eligible = engines.filter(|engine| {
            self.reports[*engine].accepting
                && !self.domain_out[engine % workload::DOMAINS]
                && !job.avoid.contains(engine)
        });
        eligible.collect()
    }

    fn pick_least_loaded(
        &mut self,
        job: &job::Job,
        load: fn(&Entry, usize) -> u64,
    ) -> Option<usize> {
        let eligible = self.eligible_engines(job);
        let least_load = eligible.iter().map(|engine| load(self, *engine)).min()?;
        let tied: Vec<usize> = eligible
            .into_iter()
            .filter(|engine| load(self, *engine) == least_load)
            .collect();
        Some(tied[self.random.random_range(0..tied.len())])
    }

    fn pick_round_robin(&mut self, job: &job::Job) -> Option<usize> {
        let eligible = self.eligible_engines(job);
        self.round_robin_index += 1;
        eligible
            .get(self.round_robin_index % eligible.len().max(1))
            .copied()
    }

    fn pick_weighted(&mut self, now: u64, job: &job::Job, deadline: u64) -> Option<usize> {
        let avoid: Vec<table::Upstream> = job
            .avoid
            .iter()
            .map(|engine| self.upstreams[*engine])
            .collect();
        let prefix = match self.disabled {
            policy::Mechanism::PrefixAffinity => &[],
            _ => job.request.prefix.as_slice(),
        };
        let query = selection::Query {
            avoid: &avoid,
            deadline: time::Instant(deadline / 1000),
            group: self.groups[job.request.model],
            prefix,
            prompt_tokens: job.request.prompt,
        };
        let now = admission::to_instant(now);
        let choice = selection::pick_upstream(
            &self.table,
            now,
            &query,
            &mut self.random,
            &mut self.candidates,
        );
        match choice {
            selection::Choice::Chosen { upstream, .. } => {
                self.upstreams.iter().position(|other| *other == upstream)
            }
            selection::Choice::None { .. } => None,
        }
    }
}
