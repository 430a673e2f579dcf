//! What may crash upstreams, in the messages of operators.

use peargap_adapters::evidence;
use peargap_core::quarantine;
use peargap_wire::operator;
use peargap_wire::operator::name;

/// Returns the message for what is known of a subject, and the group that is in quarantine with it.
pub(crate) fn encode(
    evidence: &quarantine::Evidence,
    group: Option<&[quarantine::Subject]>,
) -> operator::Suspect {
    let together = group.unwrap_or_default().iter();
    operator::Suspect {
        losses: u32::try_from(evidence.losses.len()).unwrap_or(u32::MAX),
        model: match evidence.subject {
            quarantine::Subject::Part(part) => part.model,
            quarantine::Subject::Request(_) => 0,
        },
        moments: evidence.moments,
        name: Some(encode_name(evidence.subject)),
        quarantined: group.is_some(),
        successes: evidence.successes,
        together: together.copied().map(encode_name).collect(),
        trials: evidence.trials,
    }
}

/// Returns the name in a message of an operator; `None` if it names nothing.
pub(crate) fn decode_name(name: Option<operator::Name>) -> Option<quarantine::Name> {
    match name?.kind? {
        name::Kind::Part(id) => Some(quarantine::Name::Part(id)),
        name::Kind::Request(digest) => {
            evidence::decode_digest(&digest).map(quarantine::Name::Request)
        }
    }
}

/// Returns the name by which operators call a subject.
pub(crate) fn encode_name(subject: quarantine::Subject) -> operator::Name {
    let kind = match subject {
        quarantine::Subject::Part(part) => name::Kind::Part(part.id),
        quarantine::Subject::Request(digest) => {
            name::Kind::Request(evidence::encode_digest(digest))
        }
    };
    operator::Name { kind: Some(kind) }
}
