//! Proposal of typed commands to the replica.

use peargap_wire::record;
use prost::Message as _;

use crate::answer;
use crate::replica;

/// Commits a command and returns the state machine's reply.
pub(crate) async fn propose(
    handle: &replica::Handle,
    kind: record::command::Kind,
) -> Result<record::reply::Kind, answer::Failure> {
    let command = record::Command { kind: Some(kind) };
    let reply = handle.propose(command.encode_to_vec().into()).await?;
    let reply = record::Reply::decode(reply).ok();
    let kind = reply.and_then(|reply| reply.kind);
    kind.ok_or(answer::Failure::Unknown)
}
