//! The operator, which keeps sending and reading configuration documents.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use peargap_load::client;

use crate::deployment;
use crate::ledger;

/// Timeout of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Pause between two changes.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time within which every control host shows an acknowledged version.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Sends documents until [`Operator::finish`].
#[derive(Debug)]
pub(crate) struct Operator {
    changes: Option<tokio::task::JoinHandle<()>>,
    ledger: ledger::Ledger,
    versions: sync::Arc<atomic::AtomicU64>,
}

/// Returns the configuration document with this version.
fn format_document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
 {{"name":"plain","host":"h","pathPrefix":"/plain/","routeType":"idempotent","timeoutMs":2000,
  "latencySloMs":150,"service":"desk","maxAttempts":2,"public":true}},
 {{"name":"once","host":"h","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":2000,
  "latencySloMs":150,"service":"desk","maxAttempts":1,"public":true}},
 {{"name":"stream","host":"h","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":6000,
  "latencySloMs":1800,"service":"pool","maxAttempts":1,"public":true,"itlTargetMs":180}}],
 "services":[{{"name":"desk"}},{{"name":"pool","engine":{{"slots":24,"kvCapacity":34471,
  "moves":true,"backups":true,"stride":4,"handleTtlS":5.0}}}}],
 "limits":{{"maxBodyBytes":1000}}}}"#
    )
}

/// Calls a host once; returns `None` without a complete response in time.
pub(crate) async fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Option<(u16, Bytes)> {
    let url = format!("http://{address}{path}");
    let request = http::Request::builder().method(method).uri(url);
    // A new client for each call, so that no pooled connection outlives a restart of the host.
    let client = client::Client::new("");
    let called = tokio::time::timeout(CALL_TIMEOUT, client.call(request, body.into()));
    let answer = called.await.ok()?.ok()?;
    Some((answer.status.as_u16(), answer.body))
}

impl Operator {
    /// Sends the first document until a host acknowledges it, then starts to send others.
    pub(crate) async fn start(
        deployment: &deployment::Deployment,
        ledger: ledger::Ledger,
    ) -> Operator {
        let hosts: Vec<_> = (0..deployment::CONTROLS)
            .map(|host| deployment.platform_address(host))
            .collect();
        let deadline = time::Instant::now() + deployment::WAIT_TIMEOUT;
        while !send_document(&hosts, 0, 1, &ledger).await {
            assert!(
                time::Instant::now() < deadline,
                "no control host acknowledged the first document in time"
            );
        }
        let versions = sync::Arc::new(atomic::AtomicU64::new(1));
        let changes = tokio::spawn(send_documents(hosts, ledger.clone(), versions.clone()));
        Operator {
            changes: Some(changes),
            ledger,
            versions,
        }
    }

    /// Waits for the last change, then checks that every host returns the newest acknowledged
    /// document or a later one.
    pub(crate) async fn finish(&mut self, deployment: &deployment::Deployment) {
        if let Some(changes) = self.changes.take() {
            changes.await.expect("the operator");
        }
        let acknowledged = self.ledger.newest_acknowledged();
        let sent = self.versions.load(atomic::Ordering::SeqCst);
        for host in 0..deployment::CONTROLS {
            let deadline = time::Instant::now() + deployment::WAIT_TIMEOUT;
            let body = loop {
                let answer = call(
                    deployment.platform_address(host),
                    "GET",
                    "/api/config",
                    String::new(),
                );
                if let Some((200, body)) = answer.await {
                    break body;
                }
                if time::Instant::now() > deadline {
                    self.ledger.record_violation(format!(
                        "host {host} returned no document after the faults"
                    ));
                    return;
                }
            };
            let held = (acknowledged..=sent).any(|version| body == format_document(version));
            if !held {
                let text = format!("host {host} lost version {acknowledged}: {body:?}");
                self.ledger.record_violation(text);
            }
        }
    }
}

/// Sends a version to the hosts in turn, from `first` on, until one acknowledges it.
async fn send_document(
    hosts: &[net::SocketAddr],
    first: usize,
    version: u64,
    ledger: &ledger::Ledger,
) -> bool {
    for offset in 0..hosts.len() {
        let host = hosts[(first + offset) % hosts.len()];
        let answer = call(host, "PUT", "/api/config", format_document(version)).await;
        match answer {
            Some((200, _body)) => {
                ledger.record_acknowledged(version);
                return true;
            }
            Some((status @ 400..=499, body)) => {
                ledger
                    .record_violation(format!("version {version} was rejected: {status} {body:?}"));
            }
            _ => {}
        }
    }
    false
}

async fn send_documents(
    hosts: Vec<net::SocketAddr>,
    ledger: ledger::Ledger,
    versions: sync::Arc<atomic::AtomicU64>,
) {
    let mut turn = 0;
    while !ledger.is_stopped() {
        turn += 1;
        let version = versions.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        send_document(&hosts, turn, version, &ledger).await;
        let host = hosts[turn % hosts.len()];
        // A read returns no version older than those acknowledged at least `APPLY_TIMEOUT` ago.
        let min_version = ledger.newest_acknowledged_by(time::Instant::now() - APPLY_TIMEOUT);
        if let Some((200, body)) = call(host, "GET", "/api/config", String::new()).await {
            let sent = versions.load(atomic::Ordering::SeqCst);
            if !(min_version..=sent).any(|version| body == format_document(version)) {
                ledger.record_violation(format!(
                    "a read returned a document older than version {min_version}: {body:?}"
                ));
            }
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}
