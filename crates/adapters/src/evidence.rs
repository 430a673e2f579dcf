//! Evidence on prompt parts in the messages between gateways and control hosts.

use peargap_core::prompt;
use peargap_core::quarantine;
use peargap_wire::fleet as wire;

/// Returns the evidence in a message.
#[must_use]
pub fn decode(told: &wire::Evidence) -> quarantine::Evidence {
    quarantine::Evidence {
        epoch: told.epoch,
        losses: told.losses.iter().copied().map(quarantine::Loss).collect(),
        moments: told.moments,
        part: prompt::Part {
            id: told.part,
            model: told.model,
        },
        writes: told.writes,
        writes_since_loss: told.writes_since_loss,
    }
}

/// Returns the message for the evidence.
#[must_use]
pub fn encode(evidence: &quarantine::Evidence) -> wire::Evidence {
    wire::Evidence {
        epoch: evidence.epoch,
        losses: evidence.losses.iter().map(|loss| loss.0).collect(),
        model: evidence.part.model,
        moments: evidence.moments,
        part: evidence.part.id,
        writes: evidence.writes,
        writes_since_loss: evidence.writes_since_loss,
    }
}

/// Returns the written generation in a message.
#[must_use]
pub fn decode_write(told: &wire::Write) -> quarantine::Write {
    quarantine::Write {
        epoch: told.epoch,
        part: prompt::Part {
            id: told.part,
            model: told.model,
        },
    }
}

/// Returns the message for a written generation.
#[must_use]
pub fn encode_write(write: &quarantine::Write) -> wire::Write {
    wire::Write {
        epoch: write.epoch,
        model: write.part.model,
        part: write.part.id,
    }
}
