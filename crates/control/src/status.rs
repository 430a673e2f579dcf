//! What a control host knows of its own replica.

use tokio::time;

/// What a control host does in the log's protocol.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows a leader, or waits for one.
    Follower,
    /// Orders the commands.
    Leader,
    /// Knows of no membership yet.
    #[default]
    Outsider,
}

/// State of this host's replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index known to be committed.
    pub committed: u64,
    /// Until when this host may grant freshness leases.
    pub fresh_until: Option<time::Instant>,
    /// Last index stored here.
    pub last: u64,
    /// Name of the leader, when known.
    pub leader: Option<String>,
    /// Hosts that are catching up, as `name/disk id`.
    pub learners: Vec<String>,
    /// Names of the hosts that vote or are catching up.
    pub members: Vec<String>,
    /// What this host does.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Hosts that vote, as `name/disk id`.
    pub voters: Vec<String>,
}

impl Status {
    /// Returns whether this host may grant freshness leases now.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until
            .is_some_and(|until| time::Instant::now() < until)
    }
}
