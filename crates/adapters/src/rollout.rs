//! Rollouts in the messages between processes.

use std::collections;

use peargap_core::rollout::counts;
use peargap_core::rollout::order;
use peargap_wire::fleet as wire;
use peargap_wire::operator;

/// Returns the message with what a gateway has counted of a rollout.
#[must_use]
pub fn encode_counts(order: u64, counted: &counts::Counts) -> wire::RolloutCounts {
    let routes = counted
        .routes
        .iter()
        .map(|(route, pair)| wire::RouteCounts {
            others: Some(encode_answers(&pair.others)),
            route: route.clone(),
            target: Some(encode_answers(&pair.target)),
        });
    wire::RolloutCounts {
        order,
        routes: routes.collect(),
        running_elsewhere: counted.running_elsewhere,
    }
}

/// Returns what a gateway has counted of a rollout; routes beyond the largest number are left out.
#[must_use]
pub fn decode_counts(told: wire::RolloutCounts) -> counts::Counts {
    let routes = told.routes.into_iter().take(counts::MAX_ROUTES + 1);
    let routes = routes.map(|route| {
        let pair = counts::Pair {
            others: decode_answers(route.others.as_ref()),
            target: decode_answers(route.target.as_ref()),
        };
        (route.route, pair)
    });
    counts::Counts {
        routes: routes.collect(),
        running_elsewhere: told.running_elsewhere,
    }
}

fn encode_answers(answers: &counts::Answers) -> wire::AnswerCounts {
    wire::AnswerCounts {
        answered: answers.answered,
        failed: answers.failed,
        first: encode_times(&answers.first),
        pause: encode_times(&answers.pause),
        whole: encode_times(&answers.whole),
    }
}

fn decode_answers(told: Option<&wire::AnswerCounts>) -> counts::Answers {
    let Some(told) = told else {
        return counts::Answers::default();
    };
    counts::Answers {
        answered: told.answered,
        failed: told.failed,
        first: decode_times(&told.first),
        pause: decode_times(&told.pause),
        whole: decode_times(&told.whole),
    }
}

fn encode_times(times: &counts::Times) -> Vec<u32> {
    let last = times.0.iter().rposition(|count| *count > 0);
    let length = last.map_or(0, |last| last + 1);
    times.0.iter().copied().take(length).collect()
}

fn decode_times(told: &[u32]) -> counts::Times {
    let mut times = counts::Times::default();
    for (count, told) in times.0.iter_mut().zip(told) {
        *count = *told;
    }
    times
}

/// Returns the rollouts of a service as told to gateways; `lease_ms` is in milliseconds.
#[must_use]
pub fn encode_service(service: &order::Service, lease_ms: u64) -> wire::Rollout {
    let order = &service.last;
    wire::Rollout {
        barred: service.barred.iter().cloned().collect(),
        base: service.base.clone().unwrap_or_default(),
        lease_ms: u32::try_from(lease_ms).unwrap_or(u32::MAX),
        order: order.number,
        service: order.request.service.clone(),
        share_ppm: order.share_ppm,
        state: encode_state(order.state).into(),
        target: order.request.target.clone(),
    }
}

/// A service's rollouts, as a gateway is told of them.
#[derive(Clone, Debug)]
pub struct Told {
    /// Time without a newer revision after which the target gets no new requests, in milliseconds.
    pub lease_ms: u64,
    /// The rollouts.
    pub service: order::Service,
}

/// Returns the rollouts in a message, without those in an unknown state.
#[must_use]
pub fn decode_services(told: Vec<wire::Rollout>) -> Vec<Told> {
    told.into_iter().filter_map(decode_service).collect()
}

fn decode_service(told: wire::Rollout) -> Option<Told> {
    let state = decode_state(told.state())?;
    Some(Told {
        lease_ms: u64::from(told.lease_ms),
        service: order::Service {
            barred: told.barred.into(),
            base: Some(told.base).filter(|base| !base.is_empty()),
            last: order::Order {
                elapsed_ms: 0,
                number: told.order,
                request: order::Request {
                    duration_ms: 0,
                    id: String::new(),
                    service: told.service,
                    target: told.target,
                },
                share_ppm: told.share_ppm,
                state,
            },
        },
    })
}

/// Returns an order as operators see it and as it is stored.
#[must_use]
pub fn encode_order(order: &order::Order) -> operator::Rollout {
    operator::Rollout {
        duration_ms: order.request.duration_ms,
        elapsed_ms: order.elapsed_ms,
        id: order.request.id.clone(),
        order: order.number,
        service: order.request.service.clone(),
        share_ppm: order.share_ppm,
        state: encode_state(order.state).into(),
        target: order.request.target.clone(),
    }
}

/// Returns an order from its message; `None` if its state is unknown.
#[must_use]
pub fn decode_order(told: operator::Rollout) -> Option<order::Order> {
    let state = decode_state(told.state())?;
    Some(order::Order {
        elapsed_ms: told.elapsed_ms,
        number: told.order,
        request: order::Request {
            duration_ms: told.duration_ms,
            id: told.id,
            service: told.service,
            target: told.target,
        },
        share_ppm: told.share_ppm,
        state,
    })
}

/// Returns the message for a state.
#[must_use]
pub fn encode_state(state: order::State) -> operator::RolloutState {
    match state {
        order::State::Completed => operator::RolloutState::Completed,
        order::State::InProgress => operator::RolloutState::InProgress,
        order::State::RolledBack => operator::RolloutState::RolledBack,
    }
}

/// Returns the state in a message, if it is known.
#[must_use]
pub fn decode_state(told: operator::RolloutState) -> Option<order::State> {
    match told {
        operator::RolloutState::Completed => Some(order::State::Completed),
        operator::RolloutState::InProgress => Some(order::State::InProgress),
        operator::RolloutState::RolledBack => Some(order::State::RolledBack),
        operator::RolloutState::Unspecified => None,
    }
}

/// Counts by the number of their order.
pub type CountsByOrder = collections::BTreeMap<u64, counts::Counts>;
