//! Judges rollouts in progress: the leader compares the answers that gateways have counted, and
//! commits the share of the target and the end of the rollout.

use core::time as duration;
use std::collections;
use std::sync;

use peargap_adapters::logs;
use peargap_adapters::rollout as codec;
use peargap_core::rollout::counts;
use peargap_core::rollout::judge;
use peargap_core::rollout::order;
use peargap_core::rollout::schedule;
use peargap_core::routing;
use peargap_wire::fleet as wire;
use peargap_wire::operator;
use peargap_wire::record;
use tokio::time;
use tokio_util::sync as cancel;

use crate::events;
use crate::fleet;
use crate::proposal;
use crate::status;

/// Interval of judgements while a rollout is in progress.
const JUDGE_PERIOD: duration::Duration = duration::Duration::from_millis(100);
/// Longest time between two commits of the progress; gateways take them as a sign of life.
const TELL_PERIOD: duration::Duration = duration::Duration::from_millis(300);
/// Least change of the share that is committed at once, in millionths.
const MIN_CHANGE_PPM: u32 = 20_000;
/// Time after the start of its term before which a leader completes no rollout, as it may not have
/// the counts of all gateways.
const SETTLE_TIME: duration::Duration = duration::Duration::from_millis(500);

/// Counts in the last report of a gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reported {
    pub(crate) by_order: codec::CountsByOrder,
    pub(crate) gateway: String,
}

/// A rollout in progress.
#[derive(Debug)]
struct Watched {
    /// Time since the order when this host first saw it, in milliseconds.
    first_elapsed_ms: u64,
    first_seen: time::Instant,
    judge: judge::Judge,
    told: time::Instant,
}

#[derive(Debug)]
struct Judges {
    fleet: fleet::Fleet,
    /// Since when this host has led.
    leads_since: Option<time::Instant>,
    watched: collections::BTreeMap<u64, Watched>,
}

/// Judges rollouts while this host is the leader, until `token` is cancelled.
pub(crate) async fn run(fleet: fleet::Fleet, token: cancel::CancellationToken) {
    let mut routing = fleet.handle.routing();
    let mut judges = Judges {
        fleet,
        leads_since: None,
        watched: collections::BTreeMap::new(),
    };
    loop {
        let current = routing.borrow_and_update().clone();
        judges.judge(&current).await;
        let is_busy = !judges.watched.is_empty();
        tokio::select! {
            () = token.cancelled() => return,
            () = time::sleep(JUDGE_PERIOD), if is_busy => {}
            result = routing.changed(), if !is_busy => if result.is_err() { return },
        }
    }
}

impl Judges {
    async fn judge(&mut self, routing: &sync::Arc<routing::Routing>) {
        self.watch(&routing.rollouts);
        let is_leader = self.fleet.handle.status().borrow().role == status::Role::Leader;
        self.leads_since = match (is_leader, self.leads_since) {
            (false, _) => None,
            (true, None) => Some(time::Instant::now()),
            (true, since) => since,
        };
        let Some(leads_since) = self.leads_since else {
            return;
        };
        for order in routing.rollouts.in_progress() {
            let step = self.decide(order);
            let is_settled = leads_since.elapsed() >= SETTLE_TIME;
            match step {
                Some(schedule::Step::Share(share_ppm)) => self.tell(order, share_ppm).await,
                Some(schedule::Step::Complete) if is_settled => {
                    self.end(order, order::State::Completed, "good".to_owned())
                        .await;
                }
                Some(schedule::Step::RollBack(schedule::Reason::Worse(finding))) => {
                    self.end(order, order::State::RolledBack, describe(&finding))
                        .await;
                }
                Some(schedule::Step::RollBack(schedule::Reason::NoAnswers)) if is_settled => {
                    let why = "no answers".to_owned();
                    self.end(order, order::State::RolledBack, why).await;
                }
                Some(schedule::Step::RollBack(schedule::Reason::Suspect)) if is_settled => {
                    let why = "few answers that speak against it".to_owned();
                    self.end(order, order::State::RolledBack, why).await;
                }
                Some(schedule::Step::Complete | schedule::Step::RollBack(_)) | None => {}
            }
        }
    }

    /// Keeps a judge and a clock for each rollout in progress.
    fn watch(&mut self, orders: &order::Orders) {
        let in_progress: collections::BTreeSet<u64> =
            orders.in_progress().map(|order| order.number).collect();
        self.watched
            .retain(|number, _watched| in_progress.contains(number));
        let now = time::Instant::now();
        for order in orders.in_progress() {
            self.watched.entry(order.number).or_insert_with(|| Watched {
                first_elapsed_ms: order.elapsed_ms,
                first_seen: now,
                judge: judge::Judge::default(),
                told: now - TELL_PERIOD,
            });
        }
    }

    fn decide(&mut self, order: &order::Order) -> Option<schedule::Step> {
        let watched = self.watched.get_mut(&order.number)?;
        let reports = self.fleet.list_rollout_counts(order.number);
        watched.judge.observe(
            reports
                .iter()
                .map(|(gateway, counts)| (gateway.as_str(), counts)),
        );
        let view = schedule::View {
            all_answers: watched.judge.count_all_answers(),
            answers: watched.judge.count_answers(),
            duration_ms: order.request.duration_ms,
            elapsed_ms: watched.elapsed_ms(order),
            evidence: watched.judge.evidence(),
            has_streams: watched.judge.has_streams(),
            longest_ms: watched.judge.longest_ms(),
            share_ppm: order.share_ppm,
            verdict: watched.judge.verdict(),
        };
        Some(schedule::decide(&self.fleet.rollout_bounds, &view))
    }

    /// Commits the share and the time so far, if the share has changed or gateways need a sign of life.
    async fn tell(&mut self, order: &order::Order, share_ppm: u32) {
        let Some(watched) = self.watched.get_mut(&order.number) else {
            return;
        };
        let changed = share_ppm.abs_diff(order.share_ppm);
        let is_reached = share_ppm == order::WHOLE_PPM && changed > 0;
        let is_due = watched.told.elapsed() >= TELL_PERIOD;
        if changed < MIN_CHANGE_PPM && !is_reached && !is_due {
            return;
        }
        watched.told = time::Instant::now();
        let advance = record::AdvanceRollout {
            elapsed_ms: watched.elapsed_ms(order),
            order: order.number,
            service: order.request.service.clone(),
            share_ppm,
        };
        if changed > 0 {
            logs::emit(
                events::ROLLOUT_SHARE,
                format_args!(
                    "service={} target={:?} share_ppm={share_ppm} elapsed_ms={} answers={} \
                     running_elsewhere={}",
                    order.request.service,
                    order.request.target,
                    advance.elapsed_ms,
                    watched.judge.count_answers(),
                    watched.judge.count_running_elsewhere()
                ),
            );
        }
        self.commit(record::command::Kind::AdvanceRollout(advance))
            .await;
    }

    async fn end(&self, order: &order::Order, state: order::State, why: String) {
        let end = record::EndRollout {
            order: order.number,
            service: order.request.service.clone(),
            state: codec::encode_state(state).into(),
        };
        let is_committed = self
            .commit(record::command::Kind::EndRollout(end))
            .await
            .is_some();
        let watched = self.watched.get(&order.number);
        logs::emit(
            events::ROLLOUT_ENDED,
            format_args!(
                "service={} target={:?} state={state:?} why={why:?} committed={is_committed} \
                 elapsed_ms={} duration_ms={} answers={} running_elsewhere={}",
                order.request.service,
                order.request.target,
                watched.map_or(0, |watched| watched.elapsed_ms(order)),
                order.request.duration_ms,
                watched.map_or(0, |watched| watched.judge.count_answers()),
                watched.map_or(0, |watched| watched.judge.count_running_elsewhere())
            ),
        );
    }

    /// Commits a command; returns `None` if it may not be committed, so that it is tried again.
    async fn commit(&self, kind: record::command::Kind) -> Option<operator::RolloutReply> {
        match proposal::propose(&self.fleet.handle, kind).await {
            Ok(record::reply::Kind::Rollout(reply)) => Some(reply),
            Ok(_other) => None,
            Err(failure) => {
                logs::emit(
                    events::ROLLOUT_NOT_COMMITTED,
                    format_args!("why={failure:?}"),
                );
                None
            }
        }
    }
}

impl Watched {
    /// Returns the time since the order, in milliseconds.
    fn elapsed_ms(&self, order: &order::Order) -> u64 {
        let seen = u64::try_from(self.first_seen.elapsed().as_millis()).unwrap_or(u64::MAX);
        let elapsed = self.first_elapsed_ms.saturating_add(seen);
        elapsed.max(order.elapsed_ms)
    }
}

fn describe(finding: &judge::Finding) -> String {
    format!(
        "{:?} on route {}: evidence {:.1} against a rate of {:.3}",
        finding.aspect, finding.route, finding.evidence, finding.rate
    )
}

impl fleet::Fleet {
    /// Records what a gateway has counted of the rollouts in progress.
    pub(crate) fn record_rollouts(
        &self,
        key: fleet::LinkKey,
        gateway: &str,
        told: Vec<wire::RolloutCounts>,
    ) {
        if told.is_empty() {
            return;
        }
        let by_order = told
            .into_iter()
            .map(|told| (told.order, codec::decode_counts(told)));
        let reported = Reported {
            by_order: by_order.collect(),
            gateway: gateway.to_owned(),
        };
        self.lock().rollouts.insert(key, reported);
    }

    /// Returns what each gateway has counted of a rollout.
    fn list_rollout_counts(&self, order: u64) -> Vec<(String, counts::Counts)> {
        let state = self.lock();
        let reported = state.rollouts.values();
        let counted = reported.filter_map(|reported| {
            let counts = reported.by_order.get(&order)?;
            Some((reported.gateway.clone(), counts.clone()))
        });
        counted.collect()
    }

    /// Returns what gateways are told of the rollouts; `None` if no service has had one.
    pub(crate) fn describe_rollouts(
        &self,
        orders: &order::Orders,
        is_leader: bool,
    ) -> Option<wire::Rollouts> {
        if orders.revision == 0 {
            return None;
        }
        let bounds = &self.rollout_bounds;
        let lease_ms = u64::try_from(bounds.lease().as_millis()).unwrap_or(u64::MAX);
        let services = orders.services();
        Some(wire::Rollouts {
            revision: orders.revision,
            rollouts: services
                .map(|service| codec::encode_service(service, lease_ms))
                .collect(),
            wants_counts: is_leader && orders.in_progress().next().is_some(),
        })
    }
}
