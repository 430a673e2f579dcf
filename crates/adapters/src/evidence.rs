//! Evidence on what crashes upstreams in the messages between gateways and control hosts.

use peargap_core::prompt;
use peargap_core::quarantine;
use peargap_core::request;
use peargap_wire::fleet as wire;

use crate::logs;

const MALFORMED: logs::Event = logs::Event::warn(1007, "evidence ignored, malformed");

/// Returns the evidence in a message; what names no subject is left out, with a log line.
#[must_use]
pub fn decode_all(told: &[wire::Evidence]) -> Vec<quarantine::Evidence> {
    told.iter().filter_map(decode).collect()
}

/// Returns the successes in a message; what names no subject is left out, with a log line.
#[must_use]
pub fn decode_successes(told: &[wire::Success]) -> Vec<quarantine::Success> {
    let decoded = told.iter().filter_map(|one| {
        Some(quarantine::Success {
            epoch: one.epoch,
            subject: decode_subject(one.subject.as_ref())?,
        })
    });
    decoded.collect()
}

fn decode(told: &wire::Evidence) -> Option<quarantine::Evidence> {
    Some(quarantine::Evidence {
        cleared_by_answers: told.cleared_by_answers,
        epoch: told.epoch,
        losses: told.losses.iter().copied().map(quarantine::Loss).collect(),
        moments: told.moments,
        subject: decode_subject(told.subject.as_ref())?,
        successes: told.successes,
        successes_since_loss: told.successes_since_loss,
        trials: told.trials,
    })
}

fn decode_subject(told: Option<&wire::Subject>) -> Option<quarantine::Subject> {
    let kind = told.and_then(|subject| subject.kind.as_ref());
    let subject = match kind {
        Some(wire::subject::Kind::Part(part)) => Some(quarantine::Subject::Part(decode_part(part))),
        Some(wire::subject::Kind::Request(digest)) => {
            decode_digest(digest).map(quarantine::Subject::Request)
        }
        None => None,
    };
    if subject.is_none() {
        logs::emit(MALFORMED, format_args!("subject={told:?}"));
    }
    subject
}

fn decode_part(told: &wire::Part) -> prompt::Part {
    prompt::Part {
        id: told.id,
        model: told.model,
    }
}

/// Returns the digest in a message; `None` if it does not have the length of one.
#[must_use]
pub fn decode_digest(bytes: &[u8]) -> Option<request::Digest> {
    let bytes = bytes.try_into().ok()?;
    Some(request::Digest(u128::from_be_bytes(bytes)))
}

/// Returns the message for a digest.
#[must_use]
pub fn encode_digest(digest: request::Digest) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(&digest.0.to_be_bytes())
}

/// Returns the message for the evidence.
#[must_use]
pub fn encode(evidence: &quarantine::Evidence) -> wire::Evidence {
    wire::Evidence {
        cleared_by_answers: evidence.cleared_by_answers,
        epoch: evidence.epoch,
        losses: evidence.losses.iter().map(|loss| loss.0).collect(),
        moments: evidence.moments,
        subject: Some(encode_subject(evidence.subject)),
        successes: evidence.successes,
        successes_since_loss: evidence.successes_since_loss,
        trials: evidence.trials,
    }
}

/// Returns the message for an answered request.
#[must_use]
pub fn encode_success(success: &quarantine::Success) -> wire::Success {
    wire::Success {
        epoch: success.epoch,
        subject: Some(encode_subject(success.subject)),
    }
}

fn encode_subject(subject: quarantine::Subject) -> wire::Subject {
    let kind = match subject {
        quarantine::Subject::Part(part) => wire::subject::Kind::Part(wire::Part {
            id: part.id,
            model: part.model,
        }),
        quarantine::Subject::Request(digest) => wire::subject::Kind::Request(encode_digest(digest)),
    };
    wire::Subject { kind: Some(kind) }
}
