//! Orders that take a failure domain out of service or return it.
//!
//! An order may be held up on its way to the leader. Its caller then sends it again to another host,
//! and later ones may be acknowledged before the first copy arrives, which must not undo them. So each
//! order names the one on its domain that it follows, and is applied only while that is the last one.

use std::time;

use peargap_adapters::logs;
use peargap_platform::api;
use peargap_wire::record;

use crate::events;
use crate::proposal;
use crate::replica;

/// Time after the receipt of an order in which its host may find out which one it follows. Callers
/// send an order again after a second; what is the last one then may be a later order.
const PATIENCE: time::Duration = time::Duration::from_millis(900);

/// When an order was received.
struct Receipt {
    clock: tokio::time::Instant,
    time_of_day: time::SystemTime,
}

impl Receipt {
    fn now() -> Receipt {
        Receipt {
            clock: tokio::time::Instant::now(),
            time_of_day: time::SystemTime::now(),
        }
    }

    /// Returns the time since the receipt. The clock stands still while the machine is suspended, and
    /// the time of day may be set back, so the longer time counts.
    fn elapsed(&self) -> time::Duration {
        let by_day = self.time_of_day.elapsed().unwrap_or_default();
        self.clock.elapsed().max(by_day)
    }
}

/// Takes a domain out of service, or returns it.
pub(crate) async fn set(handle: &replica::Handle, domain: String, out: bool) -> api::Outcome {
    let receipt = Receipt::now();
    let mut follows = handle.routing.borrow().last_order(&domain);
    let outcome = loop {
        let shift = record::Shift {
            domain: domain.clone(),
            follows: Some(follows),
            out,
        };
        let shifted = match propose(handle, shift).await {
            Some(shifted) => shifted,
            None => break api::Outcome::Unknown,
        };
        if shifted.applied {
            break api::Outcome::Done;
        }
        let waited = receipt.elapsed();
        logs::emit(
            events::ORDER_OVERTAKEN,
            format_args!(
                "domain={domain} out={out} follows={follows} last={} waited_ms={}",
                shifted.last,
                waited.as_millis()
            ),
        );
        if waited > PATIENCE {
            break api::Outcome::Unknown;
        }
        follows = shifted.last;
    };
    logs::emit(
        events::DOMAIN_STATE_SET,
        format_args!("domain={domain} out={out} follows={follows} outcome={outcome:?}"),
    );
    outcome
}

async fn propose(handle: &replica::Handle, shift: record::Shift) -> Option<record::Shifted> {
    match proposal::propose(handle, record::command::Kind::Shift(shift)).await {
        Ok(record::reply::Kind::Shifted(shifted)) => Some(shifted),
        Ok(other) => {
            logs::emit(events::COMMAND_FAILED, format_args!("reply={other:?}"));
            None
        }
        Err(failure) => {
            logs::emit(events::COMMAND_FAILED, format_args!("why={failure:?}"));
            None
        }
    }
}
