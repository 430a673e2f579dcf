//! Pace of attempts to connect to another process of the deployment.
//!
//! Hosts that lost power together come back within a second of each other. The first attempts
//! follow each other quickly, so that a process is connected soon after its peer is up. A peer that
//! is gone for longer is tried less often, and with time for a connection over a full link.

use core::time::Duration;

/// Number of attempts that follow each other quickly.
const QUICK_ATTEMPTS: u32 = 12;
const QUICK_TIMEOUT: Duration = Duration::from_millis(100);
const QUICK_DELAY: Duration = Duration::from_millis(20);
const TIMEOUT: Duration = Duration::from_millis(500);
const DELAY: Duration = Duration::from_millis(300);

/// Time limits of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Time before the next attempt if this one fails.
    pub delay: Duration,
    /// Time limit for opening the connection.
    pub timeout: Duration,
}

/// Returns the next attempt after `failures` failures in a row.
#[must_use]
pub fn plan(failures: u32) -> Attempt {
    if failures < QUICK_ATTEMPTS {
        Attempt {
            delay: QUICK_DELAY,
            timeout: QUICK_TIMEOUT,
        }
    } else {
        Attempt {
            delay: DELAY,
            timeout: TIMEOUT,
        }
    }
}
