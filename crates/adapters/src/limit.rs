//! News of upstreams' limits in the messages between gateways and control hosts.

use peargap_core::limit;
use peargap_core::named_limits;
use peargap_wire::fleet as wire;

/// Thousandths in a request a second.
const THOUSANDTHS: f64 = 1000.0;

/// Returns the news in a message. A limit out of bounds is kept within them.
#[must_use]
pub fn decode(news: wire::Limit) -> named_limits::News {
    let per_s = f64::from(news.thousandths_per_s) / THOUSANDTHS;
    named_limits::News {
        born_ms: news.born_ms,
        per_s: (news.thousandths_per_s > 0).then(|| limit::bound(limit::Named::PerSecond(per_s))),
        sequence: news.sequence,
        upstream: news.upstream,
    }
}

/// Returns the message for the news.
#[must_use]
pub fn encode(news: &named_limits::News) -> wire::Limit {
    wire::Limit {
        born_ms: news.born_ms,
        sequence: news.sequence,
        thousandths_per_s: news.per_s.map_or(0, count_thousandths),
        upstream: news.upstream.clone(),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are bounded, and at least one thousandth"
)]
fn count_thousandths(per_s: f64) -> u32 {
    (per_s * THOUSANDTHS).round() as u32
}
