//! Placement of models on engines by the leader.

use core::time as duration;
use std::collections;
use std::sync;

use peargap_adapters::logs;
use peargap_core::config;
use peargap_core::placement;
use peargap_wire::record;
use tokio::time;
use tokio_util::sync as cancel;

use crate::events;
use crate::proposal;
use crate::replica;
use crate::status;

/// Time between two runs of the planner.
const PLAN_PERIOD: duration::Duration = duration::Duration::from_secs(2);
/// Time for which the configuration must be unchanged before models are placed, so that a restart
/// moves no model.
const SETTLE_TIME: duration::Duration = duration::Duration::from_secs(10);
/// Time within which an engine must have loaded the models of an order.
const LOAD_TIMEOUT: duration::Duration = duration::Duration::from_secs(600);
/// Maximum number of placements in one proposal.
const MAX_PLACEMENTS: usize = 4;

/// An order that an upstream has not carried out yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    fence: u64,
    since: time::Instant,
}

#[derive(Debug)]
struct Planner {
    changed_at: time::Instant,
    pending: collections::BTreeMap<String, Pending>,
    version: u64,
}

/// Places models while this host is the leader, until `token` is cancelled.
pub(crate) async fn run(handle: replica::Handle, token: cancel::CancellationToken) {
    let mut planner = Planner {
        changed_at: time::Instant::now(),
        pending: collections::BTreeMap::new(),
        version: 0,
    };
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = time::sleep(PLAN_PERIOD) => {}
        }
        let config = handle.config().borrow().clone();
        let is_leader = handle.status().borrow().role == status::Role::Leader;
        if let (true, Some(placements)) = (is_leader, planner.plan(&config)) {
            propose(&handle, &config, placements).await;
        }
    }
}

impl Planner {
    /// Returns the placements to propose now, if any.
    fn plan(&mut self, config: &sync::Arc<config::Config>) -> Option<Vec<placement::Placement>> {
        if config.version != self.version {
            self.version = config.version;
            self.changed_at = time::Instant::now();
        }
        let failed = self.list_failed(config);
        if self.changed_at.elapsed() < SETTLE_TIME {
            return None;
        }
        let placements = placement::plan(config, &failed, MAX_PLACEMENTS);
        (!placements.is_empty()).then_some(placements)
    }

    /// Returns the upstreams that have not loaded the models of their order in time.
    fn list_failed(&mut self, config: &config::Config) -> collections::BTreeSet<String> {
        let mut failed = collections::BTreeSet::new();
        for (upstream, order) in &config.orders {
            if placement::count_loads(config, upstream, &order.models) == 0 {
                self.pending.remove(upstream);
                continue;
            }
            let current = Pending {
                fence: order.fence,
                since: time::Instant::now(),
            };
            let pending = self.pending.entry(upstream.clone()).or_insert(current);
            if pending.fence != order.fence {
                *pending = current;
            }
            if pending.since.elapsed() >= LOAD_TIMEOUT {
                failed.insert(upstream.clone());
                logs::emit(
                    events::LOAD_FAILED,
                    format_args!("upstream={upstream} fence={}", order.fence),
                );
            }
        }
        failed
    }
}

async fn propose(
    handle: &replica::Handle,
    config: &config::Config,
    placements: Vec<placement::Placement>,
) {
    let wire = placements.iter().map(|placement| record::Placement {
        models: placement.models.clone(),
        upstream: placement.upstream.clone(),
    });
    let assign = record::Assign {
        base_version: config.version,
        placements: wire.collect(),
    };
    let reply = proposal::propose(handle, record::command::Kind::Assign(assign)).await;
    // Placements that were refused because of the weight store's rate or a newer configuration
    // version are planned again in the next run.
    let Ok(record::reply::Kind::Assigned(assigned)) = reply else {
        return;
    };
    let is_assigned =
        |placement: &&placement::Placement| assigned.upstreams.contains(&placement.upstream);
    for placement in placements.iter().filter(is_assigned) {
        log_placement(placement);
    }
}

fn log_placement(placement: &placement::Placement) {
    let (replaced, cost) = match &placement.replaced {
        Some(replaced) => (replaced.model.as_str(), format!("{:?}", replaced.cost)),
        None => ("none", "Free".to_owned()),
    };
    logs::emit(
        events::MODEL_PLACED,
        format_args!(
            "upstream={} model={} replaced={replaced} cost={cost} models={}",
            placement.upstream,
            placement.model,
            placement.models.join(",")
        ),
    );
}
