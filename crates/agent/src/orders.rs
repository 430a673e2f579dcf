//! Executes model orders on the engine, each at most once and in increasing order of fences.
//!
//! Only the agent sends orders to its engine. The fences come from the configuration, whose version
//! only increases. After a restart, the agent executes nothing until it holds a lease, which shows
//! that its configuration is at least as new as the one that its previous process acted on.

use core::time::Duration;
use std::sync;

use peargap_adapters::logs;
use peargap_wire::control;
use tokio_util::sync as cancel;

use crate::agent;
use crate::engine;
use crate::events;

/// Interval between checks for a new order.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed order.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Executes orders until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut newest_fence = 0;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        let Some(order) = find_new_order(&agent, newest_fence) else {
            continue;
        };
        match execute(&agent, &order).await {
            engine::OrderOutcome::Done | engine::OrderOutcome::Fenced => newest_fence = order.fence,
            engine::OrderOutcome::Failed(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns the current order if its fence is larger than `newest_fence`.
fn find_new_order(agent: &agent::Agent, newest_fence: u64) -> Option<control::Order> {
    if !agent.view.is_fresh() {
        return None;
    }
    let config = agent.view.config();
    let config = config.borrow();
    let order = config.orders.get(&agent.settings.upstream.name)?;
    (order.fence > newest_fence).then(|| order.clone())
}

async fn execute(agent: &agent::Agent, order: &control::Order) -> engine::OrderOutcome {
    let outcome = agent.engine.order(order.fence, &order.models).await;
    let (fence, models) = (order.fence, order.models.join(","));
    match &outcome {
        engine::OrderOutcome::Done => {
            logs::emit(
                events::ORDERED,
                format_args!("fence={fence} models={models}"),
            );
        }
        engine::OrderOutcome::Fenced => {
            logs::emit(
                events::ORDER_FENCED,
                format_args!("fence={fence} models={models}"),
            );
        }
        engine::OrderOutcome::Failed(cause) => logs::emit(
            events::ORDER_FAILED,
            format_args!("fence={fence} models={models} cause={cause:?}"),
        ),
    }
    outcome
}
