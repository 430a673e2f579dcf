//! Runs a command line and returns its exit code.

use std::ffi;
use std::path;
use std::process;
use std::time;

use peargap_adapters::manifest;
use peargap_wire::operator;
use peargap_wire::operator::submit_request;

use crate::account;
use crate::account_windows;
use crate::changes;
use crate::client;
use crate::command;
use crate::diff;
use crate::exit;
use crate::options;
use crate::output;
use crate::question;
use crate::timeline;
use crate::version_change;

/// Parses the arguments and runs the command.
pub async fn run(arguments: Vec<ffi::OsString>) -> process::ExitCode {
    let code = match command::parse(arguments) {
        Ok(line) => execute(&line).await,
        Err(why) => output::report_invalid_input(false, &format!("{why}; see --help")),
    };
    code.into()
}

async fn execute(line: &command::CommandLine) -> exit::Code {
    match &line.command {
        command::Command::Help => {
            println!("{}", command::HELP);
            exit::Code::Done
        }
        command::Command::Version => {
            println!("peargap {}", env!("CARGO_PKG_VERSION"));
            exit::Code::Done
        }
        command::Command::Account => account(line.json, line.window),
        command::Command::Explain(request) => explain(line.json, request),
        command::Command::ExplainAt(question) => explain_at(line, question).await,
        command::Command::ManifestCheck(file) => match read_manifest(file) {
            Ok(_) => output::report_valid_manifest(line.json, &file.display().to_string()),
            Err(findings) => output::report_findings(line.json, &findings),
        },
        command::Command::DomainBack(_)
        | command::Command::DomainOut(_)
        | command::Command::ManifestApply(_)
        | command::Command::ManifestDiff(_)
        | command::Command::ManifestHistory
        | command::Command::ManifestShow
        | command::Command::Members
        | command::Command::QuarantineList
        | command::Command::QuarantineRelease(_)
        | command::Command::Rollout(_)
        | command::Command::Status
        | command::Command::UpstreamDrain(_)
        | command::Command::UpstreamResume(_) => match options::resolve(line) {
            Ok(options) => call_control_hosts(line, options).await,
            Err(why) => output::report_invalid_input(line.json, &why),
        },
    }
}

fn read_log(json: bool) -> Result<String, exit::Code> {
    let read = std::io::read_to_string(std::io::stdin());
    read.map_err(|error| output::report_invalid_input(json, &format!("standard input: {error}")))
}

/// Prints generations by outcome, or by window if their length is given.
fn account(json: bool, window: Option<time::Duration>) -> exit::Code {
    let log = match read_log(json) {
        Ok(log) => log,
        Err(code) => return code,
    };
    let table = match window {
        Some(length) => {
            account_windows::format_table(&account_windows::count_windows(&log, length))
        }
        None => account::format_table(&account::count_outcomes(&log)),
    };
    print!("{table}");
    exit::Code::Done
}

/// Prints a request's timeline; a request that isn't in the log counts as an invalid argument.
fn explain(json: bool, request: &str) -> exit::Code {
    let log = match read_log(json) {
        Ok(log) => log,
        Err(code) => return code,
    };
    let lines = timeline::collect(&log, request);
    if lines.is_empty() {
        return output::report_invalid_input(
            json,
            &format!("no log lines found for request {request}"),
        );
    }
    print!("{}", timeline::format_timeline(&lines));
    exit::Code::Done
}

/// Prints where a request would go; one that would not be routed counts as an invalid argument.
async fn explain_at(line: &command::CommandLine, question: &question::Question) -> exit::Code {
    match question::ask(question, line.timeout).await {
        Ok(answer) => output::report_answer(line.json, &answer),
        Err(error) => {
            let why = format!("{}: {error}", question.gateway);
            output::report_error(line.json, &client::Error::Unavailable(why))
        }
    }
}

async fn call_control_hosts(line: &command::CommandLine, options: options::Options) -> exit::Code {
    let operator = options.operator.clone();
    let client = client::Client::new(options, line.timeout);
    let change = match &line.command {
        command::Command::DomainBack(name) => submit_request::Change::DomainBack(name.clone()),
        command::Command::DomainOut(name) => submit_request::Change::DomainOut(name.clone()),
        command::Command::UpstreamDrain(name) => {
            submit_request::Change::UpstreamDrain(name.clone())
        }
        command::Command::UpstreamResume(name) => {
            submit_request::Change::UpstreamResume(name.clone())
        }
        command::Command::ManifestApply(file) => match read_manifest(file) {
            Ok(text) => submit_request::Change::Manifest(text.into()),
            Err(findings) => return output::report_findings(line.json, &findings),
        },
        command::Command::ManifestDiff(file) => return show_diff(line, &client, file).await,
        command::Command::ManifestHistory => return show_history(line, &client).await,
        command::Command::ManifestShow => {
            return show_with(line, &client, output::report_manifest).await
        }
        command::Command::Members => return show_with(line, &client, output::report_members).await,
        command::Command::QuarantineList => return show_quarantine(line, &client).await,
        command::Command::QuarantineRelease(name) => {
            return release(line, &client, name, &operator).await
        }
        command::Command::Rollout(action) => {
            let id = changes::choose_id(line);
            return version_change::run(line.json, &client, action, &id).await;
        }
        command::Command::Status => return show_status(line, &client).await,
        command::Command::Account
        | command::Command::Explain(_)
        | command::Command::ExplainAt(_)
        | command::Command::Help
        | command::Command::ManifestCheck(_)
        | command::Command::Version => return exit::Code::Done,
    };
    changes::submit(line, &client, &operator, change).await
}

fn read_manifest(file: &path::Path) -> Result<String, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| vec![format!("{name}: cannot be read: {error}")])?;
    match manifest::parse_manifest(&name, &text) {
        Ok(_) => Ok(text),
        Err(findings) => Err(findings.0.iter().map(ToString::to_string).collect()),
    }
}

async fn show_diff(
    line: &command::CommandLine,
    client: &client::Client,
    file: &path::Path,
) -> exit::Code {
    let text = match read_manifest(file) {
        Ok(text) => text,
        Err(findings) => return output::report_findings(line.json, &findings),
    };
    match client.show().await {
        Ok(show) => {
            let present = String::from_utf8_lossy(&show.manifest);
            output::report_diff(line.json, &diff::compare(&present, &text))
        }
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn show_history(line: &command::CommandLine, client: &client::Client) -> exit::Code {
    match client.history(line.limit).await {
        Ok(history) => output::report_history(line.json, &history),
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn show_with(
    line: &command::CommandLine,
    client: &client::Client,
    report: fn(bool, &peargap_wire::operator::ShowReply) -> exit::Code,
) -> exit::Code {
    match client.show().await {
        Ok(reply) => report(line.json, &reply),
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn show_quarantine(line: &command::CommandLine, client: &client::Client) -> exit::Code {
    match client.quarantine().await {
        Ok(reply) => output::report_quarantine(line.json, &reply),
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn release(
    line: &command::CommandLine,
    client: &client::Client,
    name: &operator::Name,
    operator: &str,
) -> exit::Code {
    match client.release(name, operator).await {
        Ok(reply) => output::report_release(line.json, name, &reply),
        Err(error) => output::report_error(line.json, &error),
    }
}

async fn show_status(line: &command::CommandLine, client: &client::Client) -> exit::Code {
    let calls = client.controls().iter().map(|host| async {
        output::HostStatus {
            address: host.to_string(),
            status: client.status_of(*host).await,
        }
    });
    let hosts = futures::future::join_all(calls).await;
    output::report_status(line.json, &hosts)
}
