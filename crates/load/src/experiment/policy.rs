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
    Weighed,
}

/// How agents admit requests to their engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
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
pub enum Off {
    /// The limit on the batch by the time between tokens.
    Batch,
    /// The circuit breakers.
    Breaker,
    /// The retry budget.
    Budget,
    /// Separate length curves by model and team.
    Classes,
    /// The correction of delayed load reports by the entry's own sends.
    Correction,
    /// Refusal of requests that cannot meet their deadline.
    Deadlines,
    /// Weighted fair sharing among teams.
    Fair,
    /// The memory reserve for the variance of output lengths.
    Reserve,
    /// No mechanism.
    Nothing,
    /// Prefix affinity of the placement.
    Prefix,
    /// Priorities of teams.
    Priority,
    /// The ramp of the limit on cold engines.
    Ramp,
    /// The limit on streams that wait for their first token.
    Unproven,
}

/// A policy: a placement and an admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Admission at the agents.
    pub gate: Gate,
    /// Name in tables.
    pub name: &'static str,
    /// Disabled mechanism.
    pub off: Off,
    /// Placement at the entries.
    pub placement: Placement,
}

const fn policy(name: &'static str, placement: Placement, gate: Gate) -> Policy {
    Policy {
        gate,
        name,
        off: Off::Nothing,
        placement,
    }
}

const fn without(name: &'static str, off: Off) -> Policy {
    Policy {
        gate: Gate::Forecast,
        name,
        off,
        placement: Placement::Weighed,
    }
}

/// The production code with all mechanisms.
pub const PEARGAP: Policy = policy("peargap", Placement::Weighed, Gate::Forecast);
/// Places by the fewest requests in flight and admits everything.
pub const LEAST_REQUESTS: Policy = policy("least requests", Placement::LeastRequests, Gate::Open);
/// Admits with knowledge of the output lengths.
pub const ORACLE: Policy = policy("oracle", Placement::Weighed, Gate::Oracle);

/// The production code and the baselines.
pub const COMPARED: [Policy; 6] = [
    PEARGAP,
    policy("round robin", Placement::RoundRobin, Gate::Open),
    LEAST_REQUESTS,
    policy("least reported load", Placement::LeastReported, Gate::Open),
    policy("worst-case reservation", Placement::Weighed, Gate::Reserve),
    ORACLE,
];

/// The production code, complete and with each mechanism disabled in turn.
pub const ABLATED: [Policy; 13] = [
    PEARGAP,
    without("no batch bound", Off::Batch),
    without("no breaker", Off::Breaker),
    without("no retry budget", Off::Budget),
    without("no classes", Off::Classes),
    without("no correction", Off::Correction),
    without("no deadlines", Off::Deadlines),
    without("no fair shares", Off::Fair),
    without("no reserve", Off::Reserve),
    without("no prefix affinity", Off::Prefix),
    without("no priority", Off::Priority),
    without("no ramp", Off::Ramp),
    without("no first-token bound", Off::Unproven),
];
