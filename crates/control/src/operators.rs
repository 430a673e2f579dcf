//! The `Operator` service, on a port of its own.

use core::time;
use std::sync;

use peargap_adapters::digest;
use peargap_adapters::logs;
use peargap_core::members;
use peargap_wire::control;
use peargap_wire::operator;
use peargap_wire::operator::operator_server;
use peargap_wire::record;

use crate::answer;
use crate::attached;
use crate::claims;
use crate::events;
use crate::fleet;
use crate::proposal;
use crate::replica;
use crate::rollout_codec;
use crate::rollout_orders;
use crate::state_codec;
use crate::status;
use crate::suspect;

/// Header that carries the operator's key.
const AUTHORIZATION: &str = "authorization";
/// Prefix of the header's value.
const SCHEME: &str = "Bearer ";

/// Implementation of the `Operator` service.
#[derive(Clone, Debug)]
pub struct Operators {
    pub(crate) fleet: fleet::Fleet,
    pub(crate) handle: replica::Handle,
    pub(crate) keys: sync::Arc<[[u8; 32]]>,
    /// Longest lease that is granted to nodes.
    pub(crate) lease: time::Duration,
    pub(crate) name: String,
    pub(crate) nodes: attached::Nodes,
}

impl Operators {
    fn authorize<T>(&self, request: &tonic::Request<T>) -> Result<(), tonic::Status> {
        let value = request.metadata().get(AUTHORIZATION);
        let key = value.and_then(|value| value.as_bytes().strip_prefix(SCHEME.as_bytes()));
        // Digests are compared, so that the time of the comparison reveals nothing about the key.
        let is_known = key.is_some_and(|key| self.keys.contains(&digest::hash_key(key)));
        if is_known {
            return Ok(());
        }
        logs::emit(
            events::OPERATOR_REFUSED,
            format_args!("from={:?}", request.remote_addr()),
        );
        Err(tonic::Status::unauthenticated(
            "the operator's key is not known",
        ))
    }
}

#[tonic::async_trait]
impl operator_server::Operator for Operators {
    async fn submit(
        &self,
        request: tonic::Request<operator::SubmitRequest>,
    ) -> Result<tonic::Response<operator::SubmitReply>, tonic::Status> {
        self.authorize(&request)?;
        let request = request.into_inner();
        let id = request.id.clone();
        let by = request.operator.clone();
        let reply = submit(&self.handle, request).await;
        logs::emit(
            events::CHANGE_ANSWERED,
            format_args!("id={id:?} operator={by:?} answer={}", name_answer(&reply)),
        );
        Ok(tonic::Response::new(reply))
    }

    async fn show(
        &self,
        request: tonic::Request<operator::ShowRequest>,
    ) -> Result<tonic::Response<operator::ShowReply>, tonic::Status> {
        self.authorize(&request)?;
        let config = self.handle.config().borrow().clone();
        let members = config.members.values();
        Ok(tonic::Response::new(operator::ShowReply {
            domains_out: config.domains_out.iter().cloned().collect(),
            manifest: config.text.clone(),
            members: members.map(|member| describe_member(member)).collect(),
            revision: config.revision,
            upstreams_out: config.upstreams_out.iter().cloned().collect(),
            version: config.version,
        }))
    }

    async fn history(
        &self,
        request: tonic::Request<operator::HistoryRequest>,
    ) -> Result<tonic::Response<operator::HistoryReply>, tonic::Status> {
        self.authorize(&request)?;
        // The read goes through the log, so that it includes every change accepted before the call.
        let kind = record::command::Kind::History(request.into_inner());
        match proposal::propose(&self.handle, kind).await {
            Ok(record::reply::Kind::History(reply)) => Ok(tonic::Response::new(reply)),
            Ok(_) => Err(tonic::Status::internal("unexpected state machine reply")),
            Err(failure) => Err(claims::describe_failure(failure)),
        }
    }

    async fn quarantine(
        &self,
        request: tonic::Request<operator::QuarantineRequest>,
    ) -> Result<tonic::Response<operator::QuarantineReply>, tonic::Status> {
        self.authorize(&request)?;
        let suspects = self.fleet.list_suspects();
        Ok(tonic::Response::new(operator::QuarantineReply { suspects }))
    }

    async fn release(
        &self,
        request: tonic::Request<operator::ReleaseRequest>,
    ) -> Result<tonic::Response<operator::ReleaseReply>, tonic::Status> {
        self.authorize(&request)?;
        let request = request.into_inner();
        let Some(name) = suspect::decode_name(request.name) else {
            return Err(tonic::Status::invalid_argument(
                "neither a prompt part nor a request is named",
            ));
        };
        let cleared = self.fleet.release(name, &request.operator);
        let cleared = cleared.into_iter().map(suspect::encode_name).collect();
        Ok(tonic::Response::new(operator::ReleaseReply { cleared }))
    }

    async fn rollout(
        &self,
        request: tonic::Request<operator::RolloutRequest>,
    ) -> Result<tonic::Response<operator::RolloutReply>, tonic::Status> {
        self.authorize(&request)?;
        let reply = match request.into_inner().kind {
            Some(operator::rollout_request::Kind::Start(start)) => {
                let request = rollout_codec::decode_start(start);
                rollout_orders::start(&self.handle, request).await
            }
            Some(operator::rollout_request::Kind::Read(service)) => {
                rollout_orders::read(&self.handle, service).await
            }
            Some(operator::rollout_request::Kind::Abort(service)) => {
                rollout_orders::abort(&self.handle, service).await
            }
            None => return Err(tonic::Status::invalid_argument("the call names no action")),
        };
        reply
            .map(tonic::Response::new)
            .map_err(claims::describe_failure)
    }

    async fn status(
        &self,
        request: tonic::Request<operator::StatusRequest>,
    ) -> Result<tonic::Response<operator::StatusReply>, tonic::Status> {
        self.authorize(&request)?;
        let status = self.handle.status().borrow().clone();
        let nodes = self.nodes.list();
        Ok(tonic::Response::new(operator::StatusReply {
            fresh: status.is_fresh(),
            leader: status.leader.unwrap_or_default(),
            lease_ms: u32::try_from(self.lease.as_millis()).unwrap_or(u32::MAX),
            learners: status.learners,
            log_committed: status.committed,
            log_last: status.last,
            name: self.name.clone(),
            nodes: nodes.iter().map(describe_node).collect(),
            role: name_replica_role(status.role).to_owned(),
            term: status.term,
            version: self.handle.config().borrow().version,
            voters: status.voters,
        }))
    }
}

async fn submit(
    handle: &replica::Handle,
    request: operator::SubmitRequest,
) -> operator::SubmitReply {
    if let Some(findings) = check_manifest(&request) {
        return operator::SubmitReply {
            kind: Some(operator::submit_reply::Kind::Invalid(operator::Invalid {
                findings,
            })),
        };
    }
    let kind = record::command::Kind::Submit(request);
    let why = match proposal::propose(handle, kind).await {
        Ok(record::reply::Kind::Submit(reply)) => return reply,
        Ok(_) => "unexpected state machine reply".to_owned(),
        Err(answer::Failure::DiskFull) => "the disk is full; not accepted".to_owned(),
        Err(answer::Failure::NoQuorum) => "no quorum; not accepted".to_owned(),
        Err(answer::Failure::Unknown) => {
            "not known whether accepted; send the same id again".to_owned()
        }
    };
    operator::SubmitReply {
        kind: Some(operator::submit_reply::Kind::Unavailable(why)),
    }
}

/// Returns the findings in a submitted manifest, so that an invalid one does not enter the log.
fn check_manifest(request: &operator::SubmitRequest) -> Option<Vec<String>> {
    let Some(operator::submit_request::Change::Manifest(text)) = &request.change else {
        return None;
    };
    let findings = state_codec::parse_manifest(text).err()?;
    Some(state_codec::list_findings(&findings))
}

fn describe_member(member: &members::Member) -> operator::MemberRow {
    let offers = member.announcement.as_ref();
    operator::MemberRow {
        address: member.node.address.clone(),
        domain: member.node.domain.clone(),
        epoch: member.epoch,
        incarnation: member.node.incarnation.clone(),
        name: member.node.name.clone(),
        offers: offers.map_or_else(Vec::new, |announcement| announcement.offers.clone()),
        role: name_role(member.node.role).to_owned(),
    }
}

fn describe_node(node: &attached::Node) -> operator::NodeRow {
    let silent = node.last_report.elapsed().as_millis();
    let role = match control::Role::try_from(node.role) {
        Ok(control::Role::Agent) => name_role(members::Role::Agent),
        Ok(control::Role::Entry) => name_role(members::Role::Entry),
        Ok(control::Role::Unspecified) | Err(_) => "unknown",
    };
    operator::NodeRow {
        applied_version: node.applied_version,
        incarnation: node.incarnation.clone(),
        name: node.name.clone(),
        role: role.to_owned(),
        silent_ms: u32::try_from(silent).unwrap_or(u32::MAX),
    }
}

fn name_role(role: members::Role) -> &'static str {
    match role {
        members::Role::Agent => "agent",
        members::Role::Entry => "entry",
    }
}

fn name_replica_role(role: status::Role) -> &'static str {
    match role {
        status::Role::Candidate => "candidate",
        status::Role::Follower => "follower",
        status::Role::Leader => "leader",
        status::Role::Outsider => "outsider",
    }
}

fn name_answer(reply: &operator::SubmitReply) -> &'static str {
    match &reply.kind {
        Some(operator::submit_reply::Kind::Accepted(_)) => "accepted",
        Some(operator::submit_reply::Kind::Conflict(_)) => "conflict",
        Some(operator::submit_reply::Kind::Invalid(_)) => "invalid",
        Some(operator::submit_reply::Kind::Unavailable(_)) => "unavailable",
        None => "none",
    }
}
