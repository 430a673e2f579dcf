//! Output of the commands, as text or JSON.

use peargap_wire::operator;
use serde_json::json;

use crate::client;
use crate::diff;
use crate::exit;
use crate::question;
use crate::rollout;
use crate::suspect;

/// Result of waiting until a change is in force.
pub(crate) enum Wait {
    NotRequested,
    /// The state at the end of the wait; `None` when no control host reported it.
    Waited(Option<rollout::Rollout>),
}

/// Prints `value` if `json` is set, the lines otherwise.
pub(crate) fn print(json: bool, value: &serde_json::Value, lines: &[String]) {
    if json {
        println!("{value}");
        return;
    }
    for line in lines {
        println!("{line}");
    }
}

pub(crate) fn report_error(json: bool, error: &client::Error) -> exit::Code {
    let (code, why) = match error {
        client::Error::Unauthorized => (exit::Code::Invalid, "the operator's key was rejected"),
        client::Error::Unavailable(why) => (exit::Code::Unavailable, why.as_str()),
    };
    if json {
        println!("{}", json!({ "error": why }));
    }
    eprintln!("peargap: {why}");
    code
}

pub(crate) fn report_invalid_input(json: bool, why: &str) -> exit::Code {
    if json {
        println!("{}", json!({ "error": why }));
    }
    eprintln!("peargap: {why}");
    exit::Code::Invalid
}

pub(crate) fn report_answer(json: bool, answer: &question::Answer) -> exit::Code {
    let values: Vec<_> = answer
        .lines
        .iter()
        .map(|line| question::read_values(line))
        .collect();
    print(json, &json!({ "lines": values }), &answer.lines);
    match answer.is_routed {
        true => exit::Code::Done,
        false => exit::Code::Invalid,
    }
}

pub(crate) fn report_findings(json: bool, findings: &[String]) -> exit::Code {
    if json {
        println!("{}", json!({ "findings": findings }));
    }
    for finding in findings {
        eprintln!("{finding}");
    }
    exit::Code::Invalid
}

pub(crate) fn report_conflict(json: bool, id: &str, conflict: &operator::Conflict) -> exit::Code {
    let winner = json!({ "id": conflict.winner_id, "operator": conflict.winner_operator });
    let value = json!({
        "conflict": { "revision": conflict.revision, "winner": winner },
        "id": id,
    });
    let line = format!(
        "conflict: change {} by {:?} was accepted first; the current revision is {}",
        conflict.winner_id, conflict.winner_operator, conflict.revision
    );
    print(json, &value, &[line]);
    exit::Code::Conflict
}

pub(crate) fn report_accepted(
    json: bool,
    id: &str,
    accepted: &operator::Accepted,
    wait: &Wait,
) -> exit::Code {
    let mut value = json!({
        "accepted": { "revision": accepted.revision, "version": accepted.version },
        "id": id,
        "repeated": accepted.repeated,
    });
    let repeated = if accepted.repeated { " before" } else { "" };
    let mut lines = vec![format!(
        "accepted{repeated}: revision {} version {} id {id}",
        accepted.revision, accepted.version
    )];
    let code = match wait {
        Wait::NotRequested => exit::Code::Done,
        Wait::Waited(None) => {
            lines.push(
                "unknown whether in force everywhere: no control host with this version responded"
                    .to_owned(),
            );
            value["in_force"] = json!(null);
            exit::Code::TimedOut
        }
        Wait::Waited(Some(rollout)) => add_rollout(rollout, &mut value, &mut lines),
    };
    print(json, &value, &lines);
    code
}

fn add_rollout(
    rollout: &rollout::Rollout,
    value: &mut serde_json::Value,
    lines: &mut Vec<String>,
) -> exit::Code {
    value["in_force"] = json!(rollout.pending.is_empty());
    value["lapsed"] = json!(rollout.expired);
    value["missing"] = json!(rollout.pending);
    if !rollout.expired.is_empty() {
        lines.push(format!(
            "lease expired, accepting no new work: {}",
            rollout.expired.join(" ")
        ));
    }
    if rollout.pending.is_empty() {
        lines.push(format!("in force on {} nodes", rollout.applied.len()));
        return exit::Code::Done;
    }
    lines.push(format!(
        "not in force yet on: {}",
        rollout.pending.join(" ")
    ));
    exit::Code::TimedOut
}

pub(crate) fn report_diff(json: bool, lines: &[diff::Difference]) -> exit::Code {
    let mut texts: Vec<String> = lines.iter().map(ToString::to_string).collect();
    let value = json!({ "changes": texts });
    if texts.is_empty() {
        texts.push("no differences".to_owned());
    }
    print(json, &value, &texts);
    exit::Code::Done
}

pub(crate) fn report_valid_manifest(json: bool, file: &str) -> exit::Code {
    let value = json!({ "correct": true, "file": file });
    print(json, &value, &[format!("{file}: correct")]);
    exit::Code::Done
}

pub(crate) fn report_manifest(json: bool, show: &operator::ShowReply) -> exit::Code {
    let text = String::from_utf8_lossy(&show.manifest);
    let value = json!({
        "domains_out": show.domains_out,
        "manifest": text,
        "revision": show.revision,
        "upstreams_out": show.upstreams_out,
        "version": show.version,
    });
    let mut lines = vec![format!(
        "# revision {} version {}",
        show.revision, show.version
    )];
    lines.extend(
        show.domains_out
            .iter()
            .map(|name| format!("# domain out: {name}")),
    );
    let drained = show.upstreams_out.iter();
    lines.extend(drained.map(|name| format!("# upstream drained: {name}")));
    lines.push(text.trim_end().to_owned());
    print(json, &value, &lines);
    exit::Code::Done
}

pub(crate) fn report_history(json: bool, history: &operator::HistoryReply) -> exit::Code {
    let describe = |entry: &operator::Entry| {
        json!({
            "id": entry.id,
            "operator": entry.operator,
            "outcome": entry.outcome,
            "revision": entry.revision,
            "summary": entry.summary,
            "version": entry.version,
        })
    };
    let value: Vec<serde_json::Value> = history.entries.iter().map(describe).collect();
    let lines = history.entries.iter().map(|entry| {
        format!(
            "version {} revision {} {} {} by {} id {}",
            entry.version, entry.revision, entry.outcome, entry.summary, entry.operator, entry.id
        )
    });
    let lines: Vec<String> = lines.collect();
    print(json, &json!({ "changes": value }), &lines);
    exit::Code::Done
}

pub(crate) fn report_members(json: bool, show: &operator::ShowReply) -> exit::Code {
    let describe = |member: &operator::MemberRow| {
        json!({
            "address": member.address,
            "domain": member.domain,
            "epoch": member.epoch,
            "incarnation": member.incarnation,
            "name": member.name,
            "offers": member.offers,
            "role": member.role,
        })
    };
    let value: Vec<serde_json::Value> = show.members.iter().map(describe).collect();
    let lines = show.members.iter().map(|member| {
        format!(
            "{} {} domain {} at {} epoch {} offers {}",
            member.role,
            member.name,
            member.domain,
            member.address,
            member.epoch,
            member.offers.join(",")
        )
    });
    let lines: Vec<String> = lines.collect();
    print(json, &json!({ "members": value }), &lines);
    exit::Code::Done
}

/// Response of a control host, or the error of the call.
pub(crate) struct HostStatus {
    pub(crate) address: String,
    pub(crate) status: Result<operator::StatusReply, client::Error>,
}

pub(crate) fn report_status(json: bool, hosts: &[HostStatus]) -> exit::Code {
    let mut values = Vec::new();
    let mut lines = Vec::new();
    let mut code = exit::Code::Unavailable;
    for host in hosts {
        match &host.status {
            Ok(status) => {
                code = exit::Code::Done;
                values.push(host_to_json(&host.address, status));
                append_host(&host.address, status, &mut lines);
            }
            Err(client::Error::Unauthorized) => {
                return report_error(json, &client::Error::Unauthorized);
            }
            Err(client::Error::Unavailable(why)) => {
                values.push(json!({ "address": host.address, "error": why }));
                lines.push(format!("{}: {why}", host.address));
            }
        }
    }
    print(json, &json!({ "hosts": values }), &lines);
    code
}

fn host_to_json(address: &str, status: &operator::StatusReply) -> serde_json::Value {
    let describe = |node: &operator::NodeRow| {
        json!({
            "applied_version": node.applied_version,
            "incarnation": node.incarnation,
            "name": node.name,
            "role": node.role,
            "silent_ms": node.silent_ms,
        })
    };
    let nodes: Vec<serde_json::Value> = status.nodes.iter().map(describe).collect();
    json!({
        "address": address,
        "fresh": status.fresh,
        "leader": status.leader,
        "lease_ms": status.lease_ms,
        "learners": status.learners,
        "log_committed": status.log_committed,
        "log_last": status.log_last,
        "name": status.name,
        "nodes": nodes,
        "role": status.role,
        "term": status.term,
        "version": status.version,
        "voters": status.voters,
    })
}

fn append_host(address: &str, status: &operator::StatusReply, lines: &mut Vec<String>) {
    lines.push(format!(
        "{address}: {} {} term {} leader {} version {} committed {} of {} fresh {}",
        status.name,
        status.role,
        status.term,
        status.leader,
        status.version,
        status.log_committed,
        status.log_last,
        status.fresh
    ));
    lines.push(format!("  voters {}", status.voters.join(" ")));
    if !status.learners.is_empty() {
        lines.push(format!("  learners {}", status.learners.join(" ")));
    }
    for node in &status.nodes {
        lines.push(format!(
            "  {} {} version {} last heard from {} ms ago",
            node.role, node.name, node.applied_version, node.silent_ms
        ));
    }
}

/// Prints the prompt parts and requests on which upstreams crash or may crash.
pub(crate) fn report_quarantine(json: bool, reply: &operator::QuarantineReply) -> exit::Code {
    let describe = |one: &operator::Suspect| {
        json!({
            "answered": one.successes,
            "losses": one.losses,
            "model": format!("{:08x}", one.model),
            "moments": one.moments,
            "name": format_name(one.name.as_ref()),
            "quarantined": one.quarantined,
            "together": one.together.iter().map(suspect::format).collect::<Vec<_>>(),
            "trials": one.trials,
        })
    };
    let value: Vec<serde_json::Value> = reply.suspects.iter().map(describe).collect();
    let lines: Vec<String> = reply.suspects.iter().map(format_suspect).collect();
    print(json, &json!({ "suspects": value }), &lines);
    exit::Code::Done
}

fn format_suspect(one: &operator::Suspect) -> String {
    let state = match one.quarantined {
        true => "quarantined",
        false => "suspected",
    };
    let together: Vec<String> = one.together.iter().map(suspect::format).collect();
    format!(
        "{} {state} losses {} at {} moments answered {} trials {} together with {}",
        format_name(one.name.as_ref()),
        one.losses,
        one.moments,
        one.successes,
        one.trials,
        together.join(",")
    )
}

/// Prints what a release has cleared; what is not known is an invalid argument.
pub(crate) fn report_release(
    json: bool,
    name: &operator::Name,
    reply: &operator::ReleaseReply,
) -> exit::Code {
    if reply.cleared.is_empty() {
        let name = suspect::format(name);
        return report_invalid_input(json, &format!("nothing is known against {name}"));
    }
    let cleared: Vec<String> = reply.cleared.iter().map(suspect::format).collect();
    let line = format!("cleared {}", cleared.join(","));
    print(json, &json!({ "cleared": cleared }), &[line]);
    exit::Code::Done
}

fn format_name(name: Option<&operator::Name>) -> String {
    name.map_or_else(String::new, suspect::format)
}
