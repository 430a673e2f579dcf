//! Commands that change the configuration.

use peargap_wire::operator;
use peargap_wire::operator::submit_request;
use tokio::time;

use crate::client;
use crate::command;
use crate::exit;
use crate::output;
use crate::rollout;

/// Submits a change under the id from the command line, or a random one, and prints the result.
pub(crate) async fn submit(
    line: &command::CommandLine,
    client: &client::Client,
    operator: &str,
    change: submit_request::Change,
) -> exit::Code {
    let base_revision = match find_base(line, client, &change).await {
        Ok(base) => base,
        Err(error) => return output::report_error(line.json, &error),
    };
    let id = choose_id(line);
    let request = operator::SubmitRequest {
        base_revision,
        change: Some(change),
        id: id.clone(),
        operator: operator.to_owned(),
    };
    match client.submit(&request).await {
        Ok(reply) => report_reply(line, client, &id, reply).await,
        Err(client::Error::Unavailable(why)) => {
            let why = format!("{why}; change {id} may have been accepted: retry with --id {id}");
            output::report_error(line.json, &client::Error::Unavailable(why))
        }
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn find_base(
    line: &command::CommandLine,
    client: &client::Client,
    change: &submit_request::Change,
) -> Result<u64, client::Error> {
    match (line.base, change) {
        (Some(base), _) => Ok(base),
        (None, submit_request::Change::Manifest(_)) => Ok(client.show().await?.revision),
        (
            None,
            submit_request::Change::DomainBack(_)
            | submit_request::Change::DomainOut(_)
            | submit_request::Change::UpstreamDrain(_)
            | submit_request::Change::UpstreamResume(_),
        ) => Ok(0),
    }
}

/// Returns the id from the command line, or a random one.
pub(crate) fn choose_id(line: &command::CommandLine) -> String {
    let id = line.id.clone();
    id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

async fn report_reply(
    line: &command::CommandLine,
    client: &client::Client,
    id: &str,
    reply: operator::SubmitReply,
) -> exit::Code {
    let accepted_at = time::Instant::now();
    match reply.kind {
        Some(operator::submit_reply::Kind::Accepted(accepted)) => {
            let wait_result = match line.wait {
                Some(limit) => {
                    let wait = rollout::wait(client, accepted.version, accepted_at, limit);
                    output::Wait::Waited(wait.await)
                }
                None => output::Wait::NotRequested,
            };
            output::report_accepted(line.json, id, &accepted, &wait_result)
        }
        Some(operator::submit_reply::Kind::Conflict(conflict)) => {
            output::report_conflict(line.json, id, &conflict)
        }
        Some(operator::submit_reply::Kind::Invalid(invalid)) => {
            output::report_findings(line.json, &invalid.findings)
        }
        Some(operator::submit_reply::Kind::Unavailable(why)) => {
            output::report_error(line.json, &client::Error::Unavailable(why))
        }
        None => {
            let why = "empty response".to_owned();
            output::report_error(line.json, &client::Error::Unavailable(why))
        }
    }
}
