//! Experiment: gateways in front of a plain service whose upstreams refuse requests for a while.
//!
//! It compares rules for sending a refused request to another upstream: what callers get, and what
//! the service gets. Placement, circuit breakers and budgets are those of the gateways.

use core::fmt;

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::fleet_share;
use peargap_core::retry;
use peargap_core::retry_budget;
use peargap_core::time::Instant;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// Upstreams of the service.
const UPSTREAMS: usize = 4;
/// Requests that one upstream runs at a time; it refuses more.
const SLOTS: usize = 30;
/// Time that an upstream needs for a request, in milliseconds.
const WORK_MS: u64 = 30;
/// Time from one attempt to the next, in milliseconds.
const ATTEMPT_MS: u64 = 4;
/// Upstreams that a request is sent to, at most.
const MAX_ATTEMPTS: usize = 4;
/// Requests of all gateways in a second.
const REQUESTS_PER_S: u64 = 150;
const RUN_MS: u64 = 45_000;
/// When the upstreams refuse requests.
const FAULT_MS: core::ops::Range<u64> = 20_000..30_000;
/// Time between two sums of what the gateways report, in milliseconds.
const REPORT_MS: u64 = 100;
/// Time for which a refusal counts as a sign that the upstream refuses other requests too.
const REFUSAL_MS: u64 = 1000;

/// How the upstreams refuse requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All of them refuse all requests.
    All,
    /// All of them refuse half of the requests.
    HalfOfAll,
    /// One of them refuses all requests.
    One,
}

/// All faults.
pub const FAULTS: [Fault; 3] = [Fault::One, Fault::HalfOfAll, Fault::All];

/// Which refused requests are sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Those that the budget of their gateway allows, which it holds for all services.
    ByGateway,
    /// Those that the budget of their service allows, which all gateways share.
    ByService,
    /// None.
    Never,
}

/// All rules.
pub const RULES: [Rule; 3] = [Rule::ByGateway, Rule::ByService, Rule::Never];

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Arrivals at upstreams for each request, while upstreams refuse.
    pub amplification: f64,
    /// Share of the requests that are served, while upstreams refuse.
    pub served: f64,
    /// Largest share of the fleet's bound that a window spends.
    pub worst_window: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "served {:.3}, arrivals a request {:.3}, of the bound {:.2}",
            self.served, self.amplification, self.worst_window
        )
    }
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    breakers: [breaker::Breaker; UPSTREAMS],
    by_gateway: retry::Budget,
    by_service: retry_budget::Budget,
    refused_ms: [Option<u64>; UPSTREAMS],
    sharers: fleet_share::Sharers,
}

impl Gateway {
    /// Returns whether the last answer of an upstream was a refusal, a short time ago.
    fn is_refused(&self, now: Instant, upstream: usize) -> bool {
        self.refused_ms[upstream].is_some_and(|refused| now.0 < refused + REFUSAL_MS)
    }

    fn may_repeat(
        &mut self,
        now: Instant,
        rule: Rule,
        limits: &retry_budget::Limits,
        reports: [balance::Load; UPSTREAMS],
    ) -> bool {
        match rule {
            Rule::ByGateway => self.by_gateway.try_withdraw(),
            Rule::ByService => {
                let is_refusing =
                    |one: &usize| self.is_refused(now, *one) || reports[*one].is_refusing();
                let refusing = (0..UPSTREAMS).filter(is_refusing).count();
                let upstreams = retry_budget::Upstreams {
                    ready: u32::try_from(UPSTREAMS).unwrap_or(u32::MAX),
                    refusing: u32::try_from(refusing).unwrap_or(u32::MAX),
                };
                let sharers = &self.sharers;
                let decision = self
                    .by_service
                    .try_withdraw(now, limits, sharers, upstreams);
                decision == retry_budget::Decision::Allow
            }
            Rule::Never => false,
        }
    }

    /// Returns an upstream that was not tried; one whose breaker is open only if all are.
    fn choose(
        &self,
        now: Instant,
        tried: &[usize],
        random: &mut rand::rngs::SmallRng,
    ) -> Option<usize> {
        let untried: Vec<usize> = (0..UPSTREAMS).filter(|one| !tried.contains(one)).collect();
        let is_open = |one: &usize| {
            matches!(
                self.breakers[*one].check(now),
                breaker::Decision::Reject { .. }
            )
        };
        let closed: Vec<usize> = untried
            .iter()
            .copied()
            .filter(|one| !is_open(one))
            .collect();
        let candidates = if closed.is_empty() { untried } else { closed };
        let count = candidates.len();
        (count > 0).then(|| candidates[random.random_range(0..count)])
    }

    fn record(&mut self, now: Instant, upstream: usize, is_served: bool) {
        self.refused_ms[upstream] = (!is_served).then_some(now.0);
        match is_served {
            true => self.breakers[upstream].record_success(),
            false => self.breakers[upstream].record_failure(now),
        }
    }
}

/// State of a run.
struct Run {
    fault: Fault,
    gateways: Vec<Gateway>,
    limits: retry_budget::Limits,
    random: rand::rngs::SmallRng,
    /// What gateways know of each other's refusals, and when it was summed up.
    reports: [balance::Load; UPSTREAMS],
    reported_at: Instant,
    /// Ends of the requests that each upstream runs, in milliseconds.
    running: [Vec<u64>; UPSTREAMS],
    rule: Rule,
    /// Requests and repeats in each second.
    requests: Vec<u32>,
    repeats: Vec<u32>,
    served_in_fault: u32,
}

/// Plays a fault with one rule.
#[must_use]
pub fn play(fault: Fault, rule: Rule, gateways: u32, seed: u64) -> Figures {
    let seconds = usize::try_from(RUN_MS / 1000).unwrap_or(0) + 1;
    let mut run = Run {
        fault,
        gateways: (0..gateways).map(|_| Gateway::default()).collect(),
        limits: retry_budget::Limits {
            burst: 90.0,
            ..retry_budget::Limits::default()
        },
        random: rand::rngs::SmallRng::seed_from_u64(seed),
        reported_at: Instant(0),
        reports: Default::default(),
        running: Default::default(),
        rule,
        requests: vec![0; seconds],
        repeats: vec![0; seconds],
        served_in_fault: 0,
    };
    for number in 0..RUN_MS * REQUESTS_PER_S / 1000 {
        run.serve(Instant(number * 1000 / REQUESTS_PER_S));
    }
    run.figures()
}

impl Run {
    fn serve(&mut self, now: Instant) {
        if now.millis_since(self.reported_at) >= REPORT_MS {
            self.sum_reports(now);
        }
        let count = self.gateways.len();
        let index = self.random.random_range(0..count);
        let second = usize::try_from(now.0 / 1000).unwrap_or(0);
        self.requests[second] += 1;
        let known = u32::try_from(count).unwrap_or(u32::MAX);
        let mut gateway = core::mem::take(&mut self.gateways[index]);
        gateway.sharers.update(now, known, self.limits.window);
        gateway.by_gateway.deposit();
        gateway.by_service.record_request(now, &self.limits);
        let repeats = self.send(&mut gateway, now);
        self.repeats[second] += repeats;
        self.gateways[index] = gateway;
    }

    fn sum_reports(&mut self, now: Instant) {
        self.reported_at = now;
        for (upstream, report) in self.reports.iter_mut().enumerate() {
            let gateways = self.gateways.iter();
            let refused = gateways.filter(|gateway| gateway.is_refused(now, upstream));
            report.refusing = u32::try_from(refused.count()).unwrap_or(u32::MAX);
        }
    }

    /// Sends a request until it is served or may not be repeated; returns the number of repeats.
    fn send(&mut self, gateway: &mut Gateway, arrived: Instant) -> u32 {
        let mut tried = Vec::new();
        let mut now = arrived;
        while tried.len() < MAX_ATTEMPTS {
            let Some(upstream) = gateway.choose(now, &tried, &mut self.random) else {
                break;
            };
            if !tried.is_empty() && !gateway.may_repeat(now, self.rule, &self.limits, self.reports)
            {
                break;
            }
            tried.push(upstream);
            let is_served = self.offer(now, upstream);
            gateway.record(now, upstream, is_served);
            if is_served {
                self.served_in_fault += u32::from(FAULT_MS.contains(&arrived.0));
                break;
            }
            now = now + core::time::Duration::from_millis(ATTEMPT_MS);
        }
        u32::try_from(tried.len().saturating_sub(1)).unwrap_or(u32::MAX)
    }

    /// Offers a request to an upstream; returns whether it runs it.
    fn offer(&mut self, now: Instant, upstream: usize) -> bool {
        let running = &mut self.running[upstream];
        running.retain(|end| *end > now.0);
        let refuses = FAULT_MS.contains(&now.0)
            && match self.fault {
                Fault::All => true,
                Fault::HalfOfAll => self.random.random_bool(0.5),
                Fault::One => upstream == 0,
            };
        if refuses || running.len() >= SLOTS {
            return false;
        }
        running.push(now.0 + WORK_MS);
        true
    }

    fn figures(&self) -> Figures {
        let fault = usize::try_from(FAULT_MS.start / 1000).unwrap_or(0)
            ..usize::try_from(FAULT_MS.end / 1000).unwrap_or(0);
        let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
        let requests = sum(&self.requests[fault.clone()]);
        let window = usize::try_from(self.limits.window.as_secs()).unwrap_or(1);
        let windows = self
            .repeats
            .windows(window)
            .zip(self.requests.windows(window));
        let spent = windows.map(|(repeats, requests)| {
            sum(repeats) / (self.limits.ratio * sum(requests) + self.limits.burst)
        });
        Figures {
            amplification: 1.0 + sum(&self.repeats[fault]) / requests,
            served: f64::from(self.served_in_fault) / requests,
            worst_window: spent.fold(0.0, f64::max),
        }
    }
}

/// Returns the figures of all faults and rules for several numbers of gateways, as text.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for gateways in [6, 25, 105] {
        for fault in FAULTS {
            for rule in RULES {
                let figures = play(fault, rule, gateways, seed);
                text.push_str(&format!(
                    "{gateways} gateways, {fault:?}, {rule:?}: {figures}\n"
                ));
            }
        }
    }
    text
}
