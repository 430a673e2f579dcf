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
const PERIOD: Duration = Duration::from_millis(200);
/// Delay after a failed order.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Executes orders until `token` is cancelled.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>, token: cancel::CancellationToken) {
    let mut newest = 0;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(PERIOD) => {}
        }
        let Some(order) = find_order(&agent, newest) else {
            continue;
        };
        match carry_out(&agent, &order).await {
            engine::Ordered::Done | engine::Ordered::Fenced => newest = order.fence,
            engine::Ordered::Failed(_) => tokio::time::sleep(FAILED_PAUSE).await,
        }
    }
}

/// Returns the current order if its fence is larger than `newest`.
fn find_order(agent: &agent::Agent, newest: u64) -> Option<control::Order> {
    if !agent.view.is_fresh() {
        return None;
    }
    let config = agent.view.config();
    let config = config.borrow();
    let order = config.orders.get(&agent.settings.upstream.name)?;
    (order.fence > newest).then(|| order.clone())
}

async fn carry_out(agent: &agent::Agent, order: &control::Order) -> engine::Ordered {
    let ordered = agent.engine.order(order.fence, &order.models).await;
    let (fence, models) = (order.fence, order.models.join(","));
    match &ordered {
        engine::Ordered::Done => {
            logs::emit(
                events::ORDERED,
                format_args!("fence={fence} models={models}"),
            );
        }
        engine::Ordered::Fenced => {
            logs::emit(
                events::ORDER_FENCED,
                format_args!("fence={fence} models={models}"),
            );
        }
        engine::Ordered::Failed(cause) => logs::emit(
            events::ORDER_FAILED,
            format_args!("fence={fence} models={models} cause={cause:?}"),
        ),
    }
    ordered
}
