//! The policies that are compared, and the mechanisms that can be switched off.

/// How entries choose an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// The fewest requests outstanding from this entry.
    LeastRequests,
    /// The smallest reported load.
    LeastReported,
    /// Each in turn.
    RoundRobin,
    /// The product's own choice.
    Weighed,
}

/// How agents admit work to their engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// The product's own forecast, queue and ramp.
    Forecast,
    /// All at once; the engine queues.
    Open,
    /// As if the length of each answer were known.
    Oracle,
    /// As if each answer were as long as allowed.
    Reserve,
}

/// A mechanism of the product that is switched off to see what it gains.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Off {
    /// The bound on the batch.
    Batch,
    /// The circuit breakers.
    Breaker,
    /// The budget of retries.
    Budget,
    /// One curve for all models and teams.
    Classes,
    /// The correction of late reports by own sends.
    Correction,
    /// Refusal of what cannot meet its deadline.
    Deadlines,
    /// Fair shares among teams.
    Fair,
    /// The reserve for the variance of lengths.
    Reserve,
    /// Nothing: the whole product.
    Nothing,
    /// Prefix affinity.
    Prefix,
    /// Priorities of models.
    Priority,
    /// The ramp.
    Ramp,
    /// The bound on streams that wait for their first token.
    Unproven,
}

/// One policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// At the agents.
    pub gate: Gate,
    /// Name in tables.
    pub name: &'static str,
    /// Switched off.
    pub off: Off,
    /// At the entries.
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

/// The product.
pub const PEARGAP: Policy = policy("peargap", Placement::Weighed, Gate::Forecast);
/// The fewest requests outstanding, all admitted.
pub const LEAST_REQUESTS: Policy = policy("least requests", Placement::LeastRequests, Gate::Open);
/// Lengths known.
pub const ORACLE: Policy = policy("oracle", Placement::Weighed, Gate::Oracle);

/// The product and what it is measured against.
pub const COMPARED: [Policy; 6] = [
    PEARGAP,
    policy("round robin", Placement::RoundRobin, Gate::Open),
    LEAST_REQUESTS,
    policy("least reported load", Placement::LeastReported, Gate::Open),
    policy("worst-case reservation", Placement::Weighed, Gate::Reserve),
    ORACLE,
];

/// The product with one mechanism off in turn.
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
