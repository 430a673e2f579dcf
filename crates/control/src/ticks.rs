//! Proposes ticks on the leader, which advance the time of the replicated state.

use core::time as duration;

use peargap_wire::record;
use tokio::time;
use tokio_util::sync as cancel;

use crate::proposal;
use crate::replica;
use crate::status;

/// Interval of ticks while the deadline of an attempt is pending.
const BUSY_PERIOD: duration::Duration = duration::Duration::from_secs(1);
/// Interval of ticks otherwise.
const IDLE_PERIOD: duration::Duration = duration::Duration::from_secs(5);
/// Number of a tick that only queries the number of the last one; ticks are numbered from 1.
const QUERY_NUMBER: u64 = 0;

/// The last tick known to be applied.
#[derive(Clone, Copy, Debug)]
struct AppliedTick {
    at: time::Instant,
    number: u64,
}

/// Proposes ticks while this host leads, until `token` is cancelled.
pub(crate) async fn run(handle: replica::Handle, token: cancel::CancellationToken) {
    let mut applied = None;
    let mut period = BUSY_PERIOD;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = time::sleep(period) => {}
        }
        let role = handle.status().borrow().role;
        if role != status::Role::Leader {
            applied = None;
            continue;
        }
        let reply = proposal::propose(&handle, next_tick(applied)).await;
        let Ok(record::reply::Kind::Ticked(ticked)) = reply else {
            applied = None;
            continue;
        };
        // The reply arrives after the tick was applied, so no elapsed time is counted twice.
        applied = Some(AppliedTick {
            at: time::Instant::now(),
            number: ticked.number,
        });
        period = if ticked.busy {
            BUSY_PERIOD
        } else {
            IDLE_PERIOD
        };
    }
}

fn next_tick(applied: Option<AppliedTick>) -> record::command::Kind {
    let tick = match applied {
        None => record::Tick {
            elapsed_ms: 0,
            number: QUERY_NUMBER,
        },
        Some(applied) => record::Tick {
            elapsed_ms: u32::try_from(applied.at.elapsed().as_millis()).unwrap_or(u32::MAX),
            number: applied.number + 1,
        },
    };
    record::command::Kind::Tick(tick)
}
