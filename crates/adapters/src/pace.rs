//! Paces of upstreams in the messages between gateways and control hosts.

use peargap_core::pace;
use peargap_core::pace_counts;
use peargap_core::pace_table;
use peargap_wire::fleet as wire;

/// Thousandths in a ratio of 1.
const THOUSANDTHS: f64 = 1000.0;
/// Bits of a packed number that hold the count; the class is above them.
const COUNT_BITS: u32 = 16;
/// Highest count of a class that one message tells.
const MAX_COUNT: u32 = (1 << COUNT_BITS) - 1;

/// Returns the observations in a message.
#[must_use]
pub fn decode_observation(told: wire::Observation) -> pace_table::Observed {
    pace_table::Observed {
        born_ms: told.born_ms,
        samples: pace::Samples {
            first: decode_counts(&told.first),
            gap: decode_counts(&told.gap),
            longest: decode_counts(&told.longest),
        },
        upstream: told.upstream,
    }
}

/// Returns the message for observations of one start of an upstream.
#[must_use]
pub fn encode_observation(
    upstream: &str,
    born_ms: u64,
    samples: &pace::Samples,
) -> wire::Observation {
    wire::Observation {
        born_ms,
        first: encode_counts(&samples.first),
        gap: encode_counts(&samples.gap),
        longest: encode_counts(&samples.longest),
        upstream: upstream.to_owned(),
    }
}

/// Returns the news in a message.
#[must_use]
pub fn decode(told: wire::Pace) -> pace_table::News {
    pace_table::News {
        born_ms: told.born_ms,
        pace: pace::Pace {
            first: decode_ratio(told.first),
            gap: decode_ratio(told.gap),
            longest: decode_ratio(told.longest),
        },
        upstream: told.upstream,
    }
}

/// Returns the message for the news.
#[must_use]
pub fn encode(news: pace_table::News) -> wire::Pace {
    wire::Pace {
        born_ms: news.born_ms,
        first: encode_ratio(news.pace.first),
        gap: encode_ratio(news.pace.gap),
        longest: encode_ratio(news.pace.longest),
        upstream: news.upstream,
    }
}

fn decode_counts(packed: &[u32]) -> pace_counts::Counts {
    let mut counts = pace_counts::Counts::default();
    for packed in packed {
        let class = usize::try_from(packed >> COUNT_BITS).unwrap_or(usize::MAX);
        counts.add(class, packed & MAX_COUNT);
    }
    counts
}

fn encode_counts(counts: &pace_counts::Counts) -> Vec<u32> {
    let packed = counts.iter().map(|(class, count)| {
        let class = u32::try_from(class).unwrap_or_default();
        class << COUNT_BITS | count.min(MAX_COUNT)
    });
    packed.collect()
}

fn decode_ratio(told: Option<wire::Ratio>) -> pace::Ratio {
    let told = told.unwrap_or_default();
    pace::Ratio {
        count: told.count,
        value: f64::from(told.thousandths) / THOUSANDTHS,
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn encode_ratio(ratio: pace::Ratio) -> Option<wire::Ratio> {
    (ratio.count > 0).then_some(wire::Ratio {
        count: ratio.count,
        thousandths: (ratio.value * THOUSANDTHS).round() as u32,
    })
}
