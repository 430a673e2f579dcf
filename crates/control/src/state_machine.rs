//! The replicated state machine, which applies the log's commands in order.

use core::fmt;
use std::collections;
use std::sync;

use bytes::Bytes;
use peargap_adapters::rollout;
use peargap_core::changes;
use peargap_core::claims;
use peargap_core::clock;
use peargap_core::config;
use peargap_core::fences;
use peargap_core::members;
use peargap_core::placement;
use peargap_core::rollout::order;
use peargap_core::routing;
use peargap_wire::control;
use peargap_wire::operator;
use peargap_wire::record;
use prost::Message as _;

use crate::rollout_codec;
use crate::state_codec;

/// Window in which model loads count against the weight store's rate, on the replicated clock.
const LOADS_WINDOW_MS: u64 = 60_000;

/// A snapshot cannot be restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "cannot restore the snapshot: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// The replicated state machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    changes: changes::Changes,
    claims: claims::Claims,
    clock: clock::Clock,
    config: sync::Arc<config::Config>,
    /// Start times of the model loads within the last minute, oldest first.
    load_starts: collections::VecDeque<u64>,
    past_incarnations: members::PastIncarnations,
    routing: sync::Arc<routing::Routing>,
}

impl StateMachine {
    /// Returns the empty state.
    pub fn new() -> StateMachine {
        StateMachine::default()
    }

    /// Applies the committed command at `index` and returns its reply.
    pub fn apply(&mut self, index: u64, command: &Bytes) -> Bytes {
        let command = record::Command::decode(command.clone());
        let kind = command.ok().and_then(|command| command.kind);
        let reply = match kind {
            Some(kind) => self.apply_kind(index, kind),
            None => record::reply::Kind::Rejected(true),
        };
        let reply = record::Reply { kind: Some(reply) };
        reply.encode_to_vec().into()
    }

    /// Encodes the whole state; equal states give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        let claims = self.claims.records();
        let past = self.past_incarnations.0.iter();
        let snapshot = record::Snapshot {
            changes: self
                .changes
                .records()
                .map(state_codec::encode_change)
                .collect(),
            claims: claims.map(state_codec::encode_claim).collect(),
            clock_ms: self.clock.millis,
            config: Some(state_codec::encode_config(&self.config)),
            loads_ms: self.load_starts.iter().copied().collect(),
            past: past.map(state_codec::encode_past).collect(),
            routing: Some(state_codec::encode_routing(&self.routing)),
            ticks: self.clock.ticks,
        };
        snapshot.encode_to_vec().into()
    }

    /// Decodes the state from a snapshot.
    pub fn restore(snapshot: &Bytes) -> Result<StateMachine, Error> {
        let snapshot = record::Snapshot::decode(snapshot.clone());
        let snapshot = snapshot.map_err(|error| Error(error.to_string()))?;
        let config = snapshot.config.unwrap_or_default();
        let config =
            state_codec::decode_config(config).map_err(|error| Error(error.to_string()))?;
        let mut machine = StateMachine {
            clock: clock::Clock {
                millis: snapshot.clock_ms,
                ticks: snapshot.ticks,
            },
            config: sync::Arc::new(config),
            load_starts: snapshot.loads_ms.into(),
            past_incarnations: restore_past_incarnations(snapshot.past),
            routing: sync::Arc::new(state_codec::decode_routing(
                snapshot.routing.unwrap_or_default(),
            )),
            ..StateMachine::default()
        };
        for change in snapshot.changes {
            let change = state_codec::decode_change(change);
            machine
                .changes
                .push(change.ok_or_else(|| incomplete("change"))?);
        }
        for claim in snapshot.claims {
            let key = claim.key.clone();
            let claim = state_codec::decode_claim(claim).ok_or_else(|| incomplete("claim"))?;
            machine.claims.insert(key, claim);
        }
        Ok(machine)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> sync::Arc<config::Config> {
        self.config.clone()
    }

    /// Returns the routing document and the domains out of service.
    pub fn routing(&self) -> sync::Arc<routing::Routing> {
        self.routing.clone()
    }

    /// Returns the recorded changes with their answers.
    pub fn changes(&self) -> &changes::Changes {
        &self.changes
    }

    /// Returns the claimed keys.
    pub fn claims(&self) -> &claims::Claims {
        &self.claims
    }

    /// Returns the replicated clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    fn apply_kind(&mut self, index: u64, kind: record::command::Kind) -> record::reply::Kind {
        match kind {
            record::command::Kind::Announce(announce) => self.announce(index, announce),
            record::command::Kind::Assign(assign) => self.assign(index, assign),
            record::command::Kind::Claim(request) => self.claim(index, request),
            record::command::Kind::History(request) => self.list_history(&request),
            record::command::Kind::Leave(leave) => self.leave(&leave),
            record::command::Kind::Publish(publish) => self.publish(publish),
            record::command::Kind::ReadRouting(_) => {
                record::reply::Kind::Routing(state_codec::encode_routing(&self.routing))
            }
            record::command::Kind::Settle(request) => self.settle(request),
            record::command::Kind::Shift(shift) => self.set_domain_out(index, &shift),
            record::command::Kind::Submit(request) => self.submit(request),
            record::command::Kind::Tick(tick) => self.tick(&tick),
            record::command::Kind::StartRollout(start) => self.start_rollout(index, start),
            record::command::Kind::AdvanceRollout(advance) => self.advance_rollout(index, &advance),
            record::command::Kind::EndRollout(end) => self.end_rollout(index, &end),
            record::command::Kind::ReadRollout(service) => self.read_rollout(&service),
        }
    }

    fn publish(&mut self, publish: record::Publish) -> record::reply::Kind {
        if publish.version > self.routing.version {
            sync::Arc::make_mut(&mut self.routing).publish(publish.version, publish.text);
        }
        record::reply::Kind::Routed(true)
    }

    fn set_domain_out(&mut self, index: u64, shift: &record::Shift) -> record::reply::Kind {
        let order = routing::Order {
            domain: &shift.domain,
            follows: shift.follows,
            out: shift.out,
        };
        let routing = sync::Arc::make_mut(&mut self.routing);
        let applied = routing.shift(index, &order);
        record::reply::Kind::Shifted(record::Shifted {
            applied,
            last: routing.last_order(&shift.domain),
        })
    }

    fn start_rollout(&mut self, index: u64, start: operator::StartRollout) -> record::reply::Kind {
        let request = rollout_codec::decode_start(start);
        let service = request.service.clone();
        let orders = &mut sync::Arc::make_mut(&mut self.routing).rollouts;
        let answer = match orders.start(index, request) {
            order::Answer::Accepted => operator::RolloutAnswer::Accepted,
            order::Answer::Conflict => operator::RolloutAnswer::Conflict,
            order::Answer::Invalid => operator::RolloutAnswer::Invalid,
        };
        self.reply_rollout(answer, &service)
    }

    fn advance_rollout(
        &mut self,
        index: u64,
        advance: &record::AdvanceRollout,
    ) -> record::reply::Kind {
        let progress = order::Progress {
            elapsed_ms: advance.elapsed_ms,
            share_ppm: advance.share_ppm,
        };
        let orders = &mut sync::Arc::make_mut(&mut self.routing).rollouts;
        orders.advance(index, &advance.service, advance.order, progress);
        self.read_rollout(&advance.service)
    }

    fn end_rollout(&mut self, index: u64, end: &record::EndRollout) -> record::reply::Kind {
        if let Some(state) = rollout::decode_state(end.state()) {
            let orders = &mut sync::Arc::make_mut(&mut self.routing).rollouts;
            orders.end(index, &end.service, end.order, state);
        }
        self.read_rollout(&end.service)
    }

    fn read_rollout(&self, service: &str) -> record::reply::Kind {
        let answer = match self.routing.rollouts.find(service) {
            Some(_known) => operator::RolloutAnswer::Accepted,
            None => operator::RolloutAnswer::Unknown,
        };
        self.reply_rollout(answer, service)
    }

    fn reply_rollout(&self, answer: operator::RolloutAnswer, service: &str) -> record::reply::Kind {
        let known = self.routing.rollouts.find(service);
        record::reply::Kind::Rollout(operator::RolloutReply {
            answer: answer.into(),
            rollout: known.map(|known| rollout::encode_order(&known.last)),
        })
    }

    fn submit(&mut self, request: operator::SubmitRequest) -> record::reply::Kind {
        let answer = match state_codec::decode_request(request) {
            Some(request) => {
                let config = sync::Arc::make_mut(&mut self.config);
                changes::submit(config, &mut self.changes, request)
            }
            None => changes::Answer::Invalid(vec!["the request contains no change".to_owned()]),
        };
        record::reply::Kind::Submit(state_codec::encode_answer(&answer))
    }

    fn announce(&mut self, index: u64, announce: record::Announce) -> record::reply::Kind {
        let node = announce.node.and_then(state_codec::decode_node);
        let Some(node) = node else {
            return record::reply::Kind::Rejected(true);
        };
        let announcement = announce.announcement.map(state_codec::decode_announcement);
        let config = sync::Arc::make_mut(&mut self.config);
        let outcome = members::announce(
            &mut config.members,
            &mut self.past_incarnations,
            node,
            announcement,
            index,
        );
        self.reply_announced(outcome)
    }

    fn leave(&mut self, leave: &record::Leave) -> record::reply::Kind {
        let config = sync::Arc::make_mut(&mut self.config);
        let outcome = members::leave(
            &mut config.members,
            &mut self.past_incarnations,
            &leave.name,
            &leave.incarnation,
        );
        self.reply_announced(outcome)
    }

    fn reply_announced(&mut self, outcome: members::Outcome) -> record::reply::Kind {
        let config = sync::Arc::make_mut(&mut self.config);
        if outcome == members::Outcome::Recorded {
            config.version += 1;
        }
        record::reply::Kind::Announced(record::Announced {
            outcome: state_codec::encode_outcome(outcome).into(),
            version: config.version,
        })
    }

    fn claim(&mut self, index: u64, request: control::ClaimRequest) -> record::reply::Kind {
        let request = state_codec::decode_claim_request(request);
        let grant = self.claims.claim(self.clock.millis, index, request);
        record::reply::Kind::Claim(state_codec::encode_grant(grant))
    }

    fn settle(&mut self, request: control::SettleRequest) -> record::reply::Kind {
        let key = request.key.clone();
        let fence = request.fence;
        let recorded = match state_codec::decode_outcome(request) {
            Some(outcome) => self.claims.settle(self.clock.millis, &key, fence, outcome),
            None => false,
        };
        record::reply::Kind::Settled(control::SettleReply { recorded })
    }

    fn tick(&mut self, tick: &record::Tick) -> record::reply::Kind {
        if self.clock.tick(tick.number, tick.elapsed_ms) {
            self.claims.expire(self.clock.millis);
            self.expire_loads();
        }
        record::reply::Kind::Ticked(record::Ticked {
            busy: self.claims.is_running() || !self.load_starts.is_empty(),
            number: self.clock.ticks,
        })
    }

    fn list_history(&self, request: &operator::HistoryRequest) -> record::reply::Kind {
        let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
        let newest = self.changes.records().rev().take(limit);
        record::reply::Kind::History(operator::HistoryReply {
            entries: newest.map(state_codec::describe_change).collect(),
        })
    }

    fn assign(&mut self, index: u64, assign: record::Assign) -> record::reply::Kind {
        let mut upstreams = Vec::new();
        if assign.base_version == self.config.version {
            for placement in assign.placements {
                let upstream = placement.upstream.clone();
                if self.order_models(index, placement) {
                    upstreams.push(upstream);
                }
            }
        }
        if !upstreams.is_empty() {
            sync::Arc::make_mut(&mut self.config).version += 1;
        }
        record::reply::Kind::Assigned(record::Assigned { upstreams })
    }

    /// Orders the upstream to serve `models`, unless the loads would exceed the weight store's
    /// rate.
    fn order_models(&mut self, index: u64, placement: record::Placement) -> bool {
        let record::Placement { models, upstream } = placement;
        let loads = placement::count_loads(&self.config, &upstream, &models);
        let rate = self.config.manifest.weights.loads_per_minute;
        let rate = usize::try_from(rate).unwrap_or(usize::MAX);
        if self.load_starts.len() + loads > rate {
            return false;
        }
        let config = sync::Arc::make_mut(&mut self.config);
        let changed = fences::give_order(config, &upstream, models, index);
        if changed {
            let now = self.clock.millis;
            self.load_starts.extend(core::iter::repeat_n(now, loads));
        }
        changed
    }

    fn expire_loads(&mut self) {
        let now = self.clock.millis;
        let is_over = |start: &u64| start + LOADS_WINDOW_MS <= now;
        while self.load_starts.front().is_some_and(is_over) {
            self.load_starts.pop_front();
        }
    }
}

fn restore_past_incarnations(past: Vec<record::Past>) -> members::PastIncarnations {
    let mut names = collections::BTreeMap::new();
    for past in past {
        names.insert(past.name, past.incarnations.into());
    }
    members::PastIncarnations(names)
}

fn incomplete(what: &str) -> Error {
    Error(format!("a {what} is incomplete"))
}
