//! Derives and logs the published status of the replica.

use peargap_adapters::logs;
use peargap_core::log;
use peargap_core::log::member;
use tokio::time;

use crate::events;
use crate::log_codec;
use crate::status;

/// Returns the status of a replica.
pub(crate) fn build(
    log: &log::Log,
    applied: u64,
    fresh_until: Option<time::Instant>,
) -> status::Status {
    let roster = log.store().roster();
    let is_member = roster.contains(log.me());
    status::Status {
        applied,
        committed: log.commit(),
        fresh_until,
        last: log.store().last().index,
        leader: log
            .leader()
            .map(|leader| log_codec::format_name(&leader.name)),
        learners: roster.learners.iter().map(format_member).collect(),
        members: roster
            .voters
            .iter()
            .chain(&roster.learners)
            .map(|member| log_codec::format_name(&member.name))
            .collect(),
        role: match log.role() {
            log::Role::Candidate => status::Role::Candidate,
            log::Role::Follower if is_member => status::Role::Follower,
            log::Role::Follower => status::Role::Outsider,
            log::Role::Leader => status::Role::Leader,
        },
        term: log.hard().term,
        voters: roster.voters.iter().map(format_member).collect(),
        voter_names: roster
            .voters
            .iter()
            .map(|voter| log_codec::format_name(&voter.name))
            .collect(),
    }
}

fn format_member(member: &member::Member) -> String {
    format!(
        "{}/{:016x}",
        log_codec::format_name(&member.name),
        member.disk
    )
}

/// Logs changes of the role, the leader and the members between two statuses.
pub(crate) fn log_changes(previous: &status::Status, status: &status::Status) {
    if previous.role != status.role || previous.leader != status.leader {
        logs::emit(
            events::ROLE_CHANGED,
            format_args!(
                "role={:?} term={} leader={}",
                status.role,
                status.term,
                status.leader.as_deref().unwrap_or("none")
            ),
        );
    }
    if previous.voters != status.voters || previous.learners != status.learners {
        logs::emit(
            events::MEMBERS_CHANGED,
            format_args!(
                "voters={} learners={}",
                status.voters.join(","),
                status.learners.join(",")
            ),
        );
    }
}
