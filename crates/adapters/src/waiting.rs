//! Waiting generations in the messages between gateways and control hosts.

use peargap_core::waiting;
use peargap_wire::fleet as wire;

/// Returns the figures in messages, by service. Levels beyond those that are known are dropped.
#[must_use]
pub fn decode(messages: &[wire::Waiting]) -> waiting::Table {
    let decoded = messages.iter().map(|message| {
        let mut levels = [0; waiting::LEVELS];
        for (level, count) in levels.iter_mut().zip(&message.levels) {
            *level = *count;
        }
        let figures = waiting::Figures {
            started: message.started,
            waiting: levels,
        };
        (message.service.clone(), figures)
    });
    decoded.collect()
}

/// Returns the messages for the figures of services.
#[must_use]
pub fn encode(table: &waiting::Table) -> Vec<wire::Waiting> {
    let encoded = table.iter().map(|(service, figures)| {
        let has_waiting = figures.waiting.iter().any(|count| *count > 0);
        wire::Waiting {
            levels: match has_waiting {
                true => figures.waiting.to_vec(),
                false => Vec::new(),
            },
            service: service.clone(),
            started: figures.started,
        }
    });
    encoded.collect()
}
