//! The policies that are compared, and the mechanisms that an ablation disables.

/// How entries choose an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// The fewest requests outstanding from this entry.
    LeastRequests,
    /// The fewest tokens in use according to the load reports.
    LeastReported,
    /// Engines in rotation.
    RoundRobin,
    /// The weighted choice of the production code.
    Weighted,
}

/// How agents admit requests to their engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The forecast, queue and ramp of the production code.
    Forecast,
    /// Everything at once; requests wait in the engine.
    Open,
    /// First come, first served, knowing the length of each answer.
    Oracle,
    /// First come, first served, reserving memory up to each answer's output limit.
    Reserve,
}

/// A mechanism that an ablation disables to measure its effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mechanism {
    /// The limit on the batch by the time between tokens.
    BatchLimit,
    /// The circuit breakers.
    Breaker,
    /// The retry budget.
    RetryBudget,
    /// Separate length curves by model and team.
    LengthClasses,
    /// The correction of delayed load reports by the entry's own sends.
    LoadCorrection,
    /// Refusal of requests that cannot meet their deadline.
    DeadlineRefusal,
    /// Weighted fair sharing among teams.
    FairShares,
    /// The memory reserve for the variance of output lengths.
    MemoryReserve,
    /// No mechanism.
    None,
    /// Prefix affinity of the placement.
    PrefixAffinity,
    /// Priorities of teams.
    Priority,
    /// The ramp of the limit on cold engines.
    Ramp,
    /// The limit on streams that wait for their first token.
    FirstTokenLimit,
}

/// A policy: a placement and an admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Admission at the agents.
    pub admission: Admission,
    /// Name in tables.
    pub name: &'static str,
    /// Disabled mechanism.
    pub disabled: Mechanism,
    /// Placement at the entries.
    pub placement: Placement,
}

const fn policy(name: &'static str, placement: Placement, admission: Admission) -> Policy {
    Policy {
        admission,
        name,
        disabled: Mechanism::None,
        placement,
    }
}

const fn without(name: &'static str, disabled: Mechanism) -> Policy {
    Policy {
        admission: Admission::Forecast,
        name,
        disabled,
        placement: Placement::Weighted,
    }
}

/// The production code with all mechanisms.
pub const PEARGAP: Policy = policy("peargap", Placement::Weighted, Admission::Forecast);
/// Places by the fewest requests in flight and admits everything.
pub const LEAST_REQUESTS: Policy =
    policy("least requests", Placement::LeastRequests, Admission::Open);
/// Admits with knowledge of the output lengths.
pub const ORACLE: Policy = policy("oracle", Placement::Weighted, Admission::Oracle);

/// The production code and the baselines.
pub const COMPARED: [Policy; 6] = [
    PEARGAP,
    policy("round robin", Placement::RoundRobin, Admission::Open),
    LEAST_REQUESTS,
    policy(
        "least reported load",
        Placement::LeastReported,
        Admission::Open,
    ),
    policy(
        "worst-case reservation",
        Placement::Weighted,
        Admission::Reserve,
    ),
    ORACLE,
];

/// The production code, complete and with each mechanism disabled in turn.
pub const ABLATED: [Policy; 13] = [
    PEARGAP,
    without("no batch bound", Mechanism::BatchLimit),
    without("no breaker", Mechanism::Breaker),
    without("no retry budget", Mechanism::RetryBudget),
    without("no classes", Mechanism::LengthClasses),
    without("no correction", Mechanism::LoadCorrection),
    without("no deadlines", Mechanism::DeadlineRefusal),
    without("no fair shares", Mechanism::FairShares),
    without("no reserve", Mechanism::MemoryReserve),
    without("no prefix affinity", Mechanism::PrefixAffinity),
    without("no priority", Mechanism::Priority),
    without("no ramp", Mechanism::Ramp),
    without("no first-token bound", Mechanism::FirstTokenLimit),
];
