//! Orders to the engine, each at most once and by growing fences.
//!
//! The agent is the only one to order its engine. Its newest fence comes from the configuration,
//! which only grows; a restarted agent carries out nothing until its lease shows that its
//! configuration is no older than the one its former self acted on.

use core::time::Duration;
use std::sync;

use peargap_adapters::logs;
use peargap_wire::control;
use tokio_util::sync as cancel;

use crate::agent;
use crate::engine;
use crate::events;

/// Time between two looks at the orders.
const PERIOD: Duration = Duration::from_millis(200);
/// Pause after an order that failed.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Carries out orders until `token` is cancelled.
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

/// Returns the order in force when it is newer than `newest`.
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
