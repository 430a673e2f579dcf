//! Claim and settle calls, which make a request run at most once.

use peargap_adapters::logs;
use peargap_core::claims as core_claims;
use peargap_wire::control;
use peargap_wire::record;

use crate::answer;
use crate::events;
use crate::proposal;
use crate::replica;

/// Time after which a caller may retry a claim while there is no quorum.
const RETRY_DELAY_MS: u32 = 500;

/// Claims a key; replies `Unavailable` with a retry delay when there is no quorum.
pub(crate) async fn claim(
    handle: &replica::Handle,
    request: control::ClaimRequest,
) -> control::ClaimReply {
    let key = request.key.clone();
    let kind = record::command::Kind::Claim(request);
    let reply = match proposal::propose(handle, kind).await {
        Ok(record::reply::Kind::Claim(reply)) => reply,
        Ok(_) | Err(_) => control::ClaimReply {
            kind: Some(control::claim_reply::Kind::Unavailable(RETRY_DELAY_MS)),
        },
    };
    let outcome = reply.kind.as_ref().map_or("none", name_outcome);
    logs::emit(
        events::CLAIM_ANSWERED,
        format_args!("key={key:?} outcome={outcome}"),
    );
    reply
}

/// Records an outcome.
///
/// Fails unless the outcome is known to be recorded, so that the caller sends it again.
pub(crate) async fn settle(
    handle: &replica::Handle,
    mut request: control::SettleRequest,
) -> Result<control::SettleReply, tonic::Status> {
    replace_large_answer(&mut request);
    let key = request.key.clone();
    let kind = record::command::Kind::Settle(request);
    let settled = match proposal::propose(handle, kind).await {
        Ok(record::reply::Kind::Settled(settled)) => settled,
        Ok(_) => return Err(tonic::Status::internal("unexpected state machine reply")),
        Err(failure) => return Err(describe_failure(failure)),
    };
    logs::emit(
        events::CLAIM_SETTLED,
        format_args!("key={key:?} recorded={}", settled.recorded),
    );
    Ok(settled)
}

/// Replaces an answer that is too large for the state machine to store by `Ran`, so that it does
/// not enter the log.
fn replace_large_answer(request: &mut control::SettleRequest) {
    let Some(control::settle_request::Outcome::Answer(answer)) = &request.outcome else {
        return;
    };
    if answer.len() > core_claims::MAX_ANSWER_BYTES {
        request.outcome = Some(control::settle_request::Outcome::Ran(true));
    }
}

pub(crate) fn describe_failure(failure: answer::Failure) -> tonic::Status {
    match failure {
        answer::Failure::DiskFull => tonic::Status::resource_exhausted("the disk is full"),
        answer::Failure::NoQuorum => tonic::Status::unavailable("no quorum; not recorded"),
        answer::Failure::Unknown => tonic::Status::unavailable("not known whether recorded"),
    }
}

fn name_outcome(kind: &control::claim_reply::Kind) -> &'static str {
    match kind {
        control::claim_reply::Kind::Answer(_) => "answer",
        control::claim_reply::Kind::Granted(_) => "granted",
        control::claim_reply::Kind::InProgress(_) => "in_progress",
        control::claim_reply::Kind::Mismatch(_) => "mismatch",
        control::claim_reply::Kind::Ran(_) => "ran",
        control::claim_reply::Kind::Unavailable(_) => "unavailable",
        control::claim_reply::Kind::Unknown(_) => "unknown",
    }
}
