//! How soon a process is connected to a peer that comes up.

use core::time::Duration;

use peargap_core::reconnect;

/// Longest time between the start of a process and that of a peer that lost power with it.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Target for the time from a peer's start to the connection, if both lost power together.
const TARGET: Duration = Duration::from_millis(150);
/// Target if the peer was away for longer.
const LATE_TARGET: Duration = Duration::from_millis(800);

/// Returns the time from the peer's start to the connection. The peer is silent before it starts, so
/// that an attempt made before waits for its whole timeout.
fn time_to_connect(peer_start: Duration) -> Duration {
    let mut now = Duration::ZERO;
    for failures in 0.. {
        if now >= peer_start {
            break;
        }
        let attempt = reconnect::plan(failures);
        now += attempt.timeout + attempt.delay;
    }
    now.saturating_sub(peer_start)
}

#[test]
fn a_peer_that_lost_power_too_is_connected_soon_after_its_start() {
    for start_ms in 0..1000 {
        let start = Duration::from_millis(start_ms);
        assert!(start < START_SPREAD);
        let connected = time_to_connect(start);
        assert!(connected <= TARGET, "{start:?}: {connected:?}");
    }
}

#[test]
fn a_peer_that_was_away_for_long_is_connected_within_a_second() {
    for start_ms in (1000..20_000).step_by(10) {
        let start = Duration::from_millis(start_ms);
        let connected = time_to_connect(start);
        assert!(connected <= LATE_TARGET, "{start:?}: {connected:?}");
    }
}
