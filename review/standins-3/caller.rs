//! A caller of streams, and the desired state of the cases.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const STREAM: &str = "/lohu930/";
const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub struct End {
    pub attempt: String,
    /// 0 if there was no answer.
    pub status: u16,
    /// Whether the answer came whole.
    pub is_whole: bool,
    /// IDs of the events.
    pub events: Vec<u64>,
    pub took: Duration,
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

pub fn new_attempt() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000 + ATTEMPTS.fetch_add(1, Ordering::SeqCst))
}

/// Returns a desired state of this version with one route to one service of model runners.
pub fn document(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"{HOST}","pathPrefix":"{STREAM}","routeType":"streaming","timeoutMs":{timeout_ms},"latencySloMs":1800,"priority":0,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"itlTargetMs":180}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConns":252,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{{"slots":24,"kvCapacity":34206,"kvTokenBytes":18432,"linkMbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"huka270","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Sends a request for a generation and reads its answer until `limit`.
pub fn generate(
    gateway: SocketAddr,
    attempt: &str,
    events: u64,
    gap_ms: u64,
    limit: Duration,
    record: &Record,
) -> End {
    let since = Instant::now();
    let mut end = End {
        attempt: attempt.to_owned(),
        status: 0,
        is_whole: false,
        events: Vec::new(),
        took: Duration::ZERO,
    };
    record.line(format!("caller sends {attempt}"));
    let read = read(gateway, &mut end, events, gap_ms, limit);
    end.took = since.elapsed();
    record.line(format!(
        "caller of {attempt}: status {} whole={} events={} after {} ms{}",
        end.status,
        end.is_whole,
        end.events.len(),
        end.took.as_millis(),
        read.err().map_or(String::new(), |error| format!(" ({error})"))
    ));
    end
}

fn read(
    gateway: SocketAddr,
    end: &mut End,
    events: u64,
    gap_ms: u64,
    limit: Duration,
) -> std::io::Result<()> {
    let deadline = Instant::now() + limit;
    let mut connection = Connection::open(gateway)?;
    let body = format!("{events} {gap_ms}");
    let (attempt, length, deadline_ms) = (&end.attempt, body.len(), limit.as_millis());
    connection.write(
        format!(
            "POST {STREAM}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
             Token-Usage: 300,{output}\r\nPrefix-Hash: 5c1e07a2:200,{attempt}:100\r\n\
             Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\nContent-Length: {length}\r\n\r\n{body}",
            output = events * 4,
        )
        .as_bytes(),
    )?;
    connection.set_deadline(deadline);
    let head = connection.read_head()?;
    end.status = head.status();
    if head.get("content-type") != Some("text/event-stream") {
        connection.read_body(&head)?;
        end.is_whole = true;
        return Ok(());
    }
    loop {
        connection.set_deadline(deadline);
        let Some(chunk) = connection.read_chunk()? else {
            end.is_whole = true;
            return Ok(());
        };
        let text = String::from_utf8_lossy(&chunk).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse::<u64>().ok());
        end.events.extend(ids);
    }
}
