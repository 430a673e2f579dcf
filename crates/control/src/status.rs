//! Published status of this host's replica.

use tokio::time;

/// Role of a control host in the consensus protocol.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Requests votes.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Appends commands to the log.
    Leader,
    /// Is neither a voter nor a learner in the membership known to this host.
    #[default]
    Outsider,
}

/// Status of this host's replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index known to be committed.
    pub committed: u64,
    /// Time until which this host may grant freshness leases.
    pub fresh_until: Option<time::Instant>,
    /// Last index stored here.
    pub last: u64,
    /// Name of the leader, when known.
    pub leader: Option<String>,
    /// Hosts that are catching up, as `name/disk id`.
    pub learners: Vec<String>,
    /// Names of the hosts that vote or are catching up.
    pub members: Vec<String>,
    /// Role of this host.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Hosts that vote, as `name/disk id`.
    pub voters: Vec<String>,
    /// Names of the hosts that vote.
    pub voter_names: Vec<String>,
}

impl Status {
    /// Returns whether this host may grant freshness leases now.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until
            .is_some_and(|until| time::Instant::now() < until)
    }
}
