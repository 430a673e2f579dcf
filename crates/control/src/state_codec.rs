//! Conversions between the replicated state's types and protobuf messages.

use std::sync;

use peargap_adapters::manifest as manifest_text;
use peargap_adapters::settings;
use peargap_core::changes;
use peargap_core::claims;
use peargap_core::config;
use peargap_core::manifest;
use peargap_core::members;
use peargap_core::routing;
use peargap_wire::control;
use peargap_wire::operator;
use peargap_wire::record;

use crate::rollout_codec;

/// File name that findings give for the manifest.
const MANIFEST: &str = "manifest";

/// Parses a manifest; on failure returns every finding.
pub(crate) fn parse_manifest(bytes: &[u8]) -> Result<manifest::Manifest, settings::Findings> {
    match core::str::from_utf8(bytes) {
        Ok(text) => manifest_text::parse_manifest(MANIFEST, text),
        Err(error) => Err(settings::Findings(vec![settings::Finding {
            file: MANIFEST.to_owned(),
            key: String::new(),
            problem: format!("is not UTF-8: {error}"),
            section: String::new(),
        }])),
    }
}

pub(crate) fn decode_request(request: operator::SubmitRequest) -> Option<changes::Request> {
    let change = match request.change? {
        operator::submit_request::Change::DomainBack(name) => changes::Change::DomainBack(name),
        operator::submit_request::Change::DomainOut(name) => changes::Change::DomainOut(name),
        operator::submit_request::Change::Manifest(text) => {
            let parsed = parse_manifest(&text).map(sync::Arc::new);
            changes::Change::Manifest(changes::Manifest {
                base: request.base_revision,
                parsed: parsed.map_err(|findings| list_findings(&findings)),
                text,
            })
        }
        operator::submit_request::Change::UpstreamDrain(name) => {
            changes::Change::UpstreamDrain(name)
        }
        operator::submit_request::Change::UpstreamResume(name) => {
            changes::Change::UpstreamResume(name)
        }
    };
    Some(changes::Request {
        change,
        id: request.id,
        operator: request.operator,
    })
}

pub(crate) fn list_findings(findings: &settings::Findings) -> Vec<String> {
    findings.0.iter().map(ToString::to_string).collect()
}

pub(crate) fn encode_answer(answer: &changes::Answer) -> operator::SubmitReply {
    let kind = match answer {
        changes::Answer::Accepted(accepted) => {
            operator::submit_reply::Kind::Accepted(operator::Accepted {
                repeated: accepted.repeated,
                revision: accepted.revision,
                version: accepted.version,
            })
        }
        changes::Answer::Conflict(conflict) => {
            operator::submit_reply::Kind::Conflict(operator::Conflict {
                revision: conflict.revision,
                winner_id: conflict.winner_id.clone(),
                winner_operator: conflict.winner_operator.clone(),
            })
        }
        changes::Answer::Invalid(findings) => {
            operator::submit_reply::Kind::Invalid(operator::Invalid {
                findings: findings.clone(),
            })
        }
    };
    operator::SubmitReply { kind: Some(kind) }
}

fn decode_answer(reply: operator::SubmitReply) -> Option<changes::Answer> {
    match reply.kind? {
        operator::submit_reply::Kind::Accepted(accepted) => {
            Some(changes::Answer::Accepted(changes::Accepted {
                repeated: accepted.repeated,
                revision: accepted.revision,
                version: accepted.version,
            }))
        }
        operator::submit_reply::Kind::Conflict(conflict) => {
            Some(changes::Answer::Conflict(changes::Conflict {
                revision: conflict.revision,
                winner_id: conflict.winner_id,
                winner_operator: conflict.winner_operator,
            }))
        }
        operator::submit_reply::Kind::Invalid(invalid) => {
            Some(changes::Answer::Invalid(invalid.findings))
        }
        operator::submit_reply::Kind::Unavailable(_) => None,
    }
}

pub(crate) fn encode_change(change: &changes::Record) -> record::Change {
    record::Change {
        digest: change.digest,
        id: change.id.clone(),
        operator: change.operator.clone(),
        reply: Some(encode_answer(&change.answer)),
        summary: change.summary.clone(),
    }
}

pub(crate) fn decode_change(change: record::Change) -> Option<changes::Record> {
    Some(changes::Record {
        answer: decode_answer(change.reply?)?,
        digest: change.digest,
        id: change.id,
        operator: change.operator,
        summary: change.summary,
    })
}

pub(crate) fn describe_change(change: &changes::Record) -> operator::Entry {
    let mut entry = operator::Entry {
        id: change.id.clone(),
        operator: change.operator.clone(),
        summary: change.summary.clone(),
        ..operator::Entry::default()
    };
    entry.outcome = match &change.answer {
        changes::Answer::Accepted(accepted) => {
            entry.revision = accepted.revision;
            entry.version = accepted.version;
            "accepted".to_owned()
        }
        changes::Answer::Conflict(conflict) => {
            entry.revision = conflict.revision;
            "conflict".to_owned()
        }
        changes::Answer::Invalid(_) => "invalid".to_owned(),
    };
    entry
}

pub(crate) fn encode_past(past: (&String, &std::collections::VecDeque<String>)) -> record::Past {
    record::Past {
        incarnations: past.1.iter().cloned().collect(),
        name: past.0.clone(),
    }
}

pub(crate) fn encode_claim(claim: (&String, &claims::Record)) -> record::Claim {
    let state = match &claim.1.state {
        claims::State::Answered(answer) => record::claim::State::Answer(answer.clone()),
        claims::State::Free(attempt) => record::claim::State::Free(attempt.clone()),
        claims::State::Ran => record::claim::State::Ran(true),
        claims::State::Running(attempt) => record::claim::State::Running(attempt.clone()),
        claims::State::Unknown => record::claim::State::Unknown(true),
    };
    record::Claim {
        digest: claim.1.digest,
        due_ms: claim.1.due,
        fence: claim.1.fence,
        key: claim.0.clone(),
        state: Some(state),
    }
}

pub(crate) fn decode_claim(claim: record::Claim) -> Option<claims::Record> {
    let state = match claim.state? {
        record::claim::State::Answer(answer) => claims::State::Answered(answer),
        record::claim::State::Free(attempt) => claims::State::Free(attempt),
        record::claim::State::Ran(_) => claims::State::Ran,
        record::claim::State::Running(attempt) => claims::State::Running(attempt),
        record::claim::State::Unknown(_) => claims::State::Unknown,
    };
    Some(claims::Record {
        digest: claim.digest,
        due: claim.due_ms,
        fence: claim.fence,
        state,
    })
}

pub(crate) fn decode_claim_request(request: control::ClaimRequest) -> claims::Request {
    claims::Request {
        attempt: request.attempt,
        deadline_ms: request.deadline_ms,
        digest: request.digest,
        key: request.key,
    }
}

pub(crate) fn encode_grant(grant: claims::Grant) -> control::ClaimReply {
    let kind = match grant {
        claims::Grant::Answer(answer) => control::claim_reply::Kind::Answer(answer),
        claims::Grant::Granted(fence) => control::claim_reply::Kind::Granted(fence),
        claims::Grant::InProgress(millis) => control::claim_reply::Kind::InProgress(millis),
        claims::Grant::Mismatch => control::claim_reply::Kind::Mismatch(true),
        claims::Grant::Ran => control::claim_reply::Kind::Ran(true),
        claims::Grant::Unavailable(millis) => control::claim_reply::Kind::Unavailable(millis),
        claims::Grant::Unknown => control::claim_reply::Kind::Unknown(true),
    };
    control::ClaimReply { kind: Some(kind) }
}

pub(crate) fn decode_outcome(request: control::SettleRequest) -> Option<claims::Outcome> {
    match request.outcome? {
        control::settle_request::Outcome::Answer(answer) => Some(claims::Outcome::Answer(answer)),
        control::settle_request::Outcome::NotRun(_) => Some(claims::Outcome::NotRun),
        control::settle_request::Outcome::Ran(_) => Some(claims::Outcome::Ran),
        control::settle_request::Outcome::Unknown(_) => Some(claims::Outcome::Unknown),
    }
}

pub(crate) fn encode_outcome(outcome: members::Outcome) -> record::Outcome {
    match outcome {
        members::Outcome::Known => record::Outcome::Known,
        members::Outcome::Recorded => record::Outcome::Recorded,
        members::Outcome::Replaced => record::Outcome::Replaced,
    }
}

pub(crate) fn encode_config(config: &config::Config) -> control::Config {
    let members = config.members.values();
    let orders = config.orders.values();
    control::Config {
        domains_out: config.domains_out.iter().cloned().collect(),
        manifest: config.text.clone(),
        members: members.map(|member| encode_member(member)).collect(),
        orders: orders.map(|order| encode_order(order)).collect(),
        revision: config.revision,
        upstreams_out: config.upstreams_out.iter().cloned().collect(),
        version: config.version,
    }
}

pub(crate) fn decode_config(config: control::Config) -> Result<config::Config, settings::Findings> {
    let manifest = if config.revision == 0 {
        manifest::Manifest::default()
    } else {
        parse_manifest(&config.manifest)?
    };
    let members = config.members.into_iter().filter_map(decode_member);
    let orders = config.orders.into_iter().map(decode_order);
    Ok(config::Config {
        domains_out: config.domains_out.into_iter().collect(),
        manifest: sync::Arc::new(manifest),
        members: members
            .map(|member| (member.node.name.clone(), sync::Arc::new(member)))
            .collect(),
        orders: orders
            .map(|order| (order.upstream.clone(), sync::Arc::new(order)))
            .collect(),
        revision: config.revision,
        text: config.manifest,
        upstreams_out: config.upstreams_out.into_iter().collect(),
        version: config.version,
    })
}

pub(crate) fn encode_member(member: &members::Member) -> control::Member {
    control::Member {
        announcement: member.announcement.as_ref().map(encode_announcement),
        epoch: member.epoch,
        node: Some(encode_node(&member.node)),
    }
}

fn decode_member(member: control::Member) -> Option<members::Member> {
    Some(members::Member {
        announcement: member.announcement.map(decode_announcement),
        epoch: member.epoch,
        node: decode_node(member.node?)?,
    })
}

pub(crate) fn encode_node(node: &members::Node) -> control::Node {
    let role = match node.role {
        members::Role::Agent => control::Role::Agent,
        members::Role::Entry => control::Role::Entry,
    };
    control::Node {
        address: node.address.clone(),
        domain: node.domain.clone(),
        incarnation: node.incarnation.clone(),
        name: node.name.clone(),
        role: role.into(),
    }
}

pub(crate) fn decode_node(node: control::Node) -> Option<members::Node> {
    let role = match node.role() {
        control::Role::Agent => members::Role::Agent,
        control::Role::Entry => members::Role::Entry,
        control::Role::Unspecified => return None,
    };
    if node.name.is_empty() || node.incarnation.is_empty() {
        return None;
    }
    Some(members::Node {
        address: node.address,
        domain: node.domain,
        incarnation: node.incarnation,
        name: node.name,
        role,
    })
}

pub(crate) fn encode_announcement(announcement: &members::Announcement) -> control::Announcement {
    let kind = match announcement.kind {
        members::Kind::Engine => control::Kind::Engine,
        members::Kind::Service => control::Kind::Service,
    };
    control::Announcement {
        checks_fences: announcement.checks_fences,
        kind: kind.into(),
        memory_tokens: announcement.memory_tokens,
        offers: announcement.offers.clone(),
        upstream: announcement.upstream.clone(),
    }
}

pub(crate) fn decode_announcement(announcement: control::Announcement) -> members::Announcement {
    let kind = match announcement.kind() {
        control::Kind::Engine => members::Kind::Engine,
        control::Kind::Service => members::Kind::Service,
    };
    members::Announcement {
        checks_fences: announcement.checks_fences,
        kind,
        memory_tokens: announcement.memory_tokens,
        offers: announcement.offers,
        upstream: announcement.upstream,
    }
}

pub(crate) fn encode_order(order: &config::Order) -> control::Order {
    control::Order {
        fence: order.fence,
        models: order.models.clone(),
        upstream: order.upstream.clone(),
    }
}

fn decode_order(order: control::Order) -> config::Order {
    config::Order {
        fence: order.fence,
        models: order.models,
        upstream: order.upstream,
    }
}

fn encode_domain_order((domain, index): (&String, &u64)) -> record::DomainOrder {
    record::DomainOrder {
        domain: domain.clone(),
        index: *index,
    }
}

pub(crate) fn encode_routing(routing: &routing::Routing) -> record::Routing {
    let orders = routing.orders.iter();
    record::Routing {
        domains_out: routing.domains_out.iter().cloned().collect(),
        orders: orders.map(encode_domain_order).collect(),
        revision: routing.revision,
        rollouts: routing
            .rollouts
            .services()
            .map(rollout_codec::encode_service)
            .collect(),
        rollouts_revision: routing.rollouts.revision,
        text: routing.text.clone(),
        version: routing.version,
    }
}

pub(crate) fn decode_routing(record: record::Routing) -> routing::Routing {
    let orders = record.orders.into_iter();
    routing::Routing {
        domains_out: record.domains_out.into_iter().collect(),
        orders: orders.map(|order| (order.domain, order.index)).collect(),
        revision: record.revision,
        rollouts: rollout_codec::restore(record.rollouts_revision, record.rollouts),
        text: record.text,
        version: record.version,
    }
}
