//! Fake peers of an agent process, run inside the test process.

// Each test file uses only part of this module.
#![allow(dead_code)]

pub(crate) mod control;
pub(crate) mod engine;
pub(crate) mod process;
pub(crate) mod relay;

use core::time;

use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers;

/// Timeout of every wait in the tests.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// An entry's link to the agent.
pub(crate) struct Link {
    pub(crate) down: tonic::Streaming<wire::Down>,
    pub(crate) up: mpsc::Sender<wire::Up>,
}

/// Messages received over a link.
#[derive(Debug, Default)]
pub(crate) struct Received {
    pub(crate) failed: Option<wire::Failed>,
    pub(crate) finished: Option<wire::Finished>,
    pub(crate) generation: String,
    /// Concatenated text of the tokens.
    pub(crate) text: String,
    /// Offset after the last token.
    pub(crate) next: u64,
    /// Number of pongs.
    pub(crate) pongs: u64,
}

/// Returns a client of the agent at `address`.
pub(crate) async fn connect(
    address: core::net::SocketAddr,
) -> wire::agent_client::AgentClient<tonic::transport::Channel> {
    let url = format!("http://{address}");
    wire::agent_client::AgentClient::connect(url).await.unwrap()
}

/// Opens a link whose first message is `first`.
pub(crate) async fn open(address: core::net::SocketAddr, first: wire::up::Kind) -> Link {
    let mut client = connect(address).await;
    let (up, outgoing) = mpsc::channel(16);
    up.send(wire::Up { kind: Some(first) }).await.unwrap();
    let answer = client
        .generate(wrappers::ReceiverStream::new(outgoing))
        .await;
    Link {
        down: answer.unwrap().into_inner(),
        up,
    }
}

/// Builds a request for `length` tokens.
pub(crate) fn start_request(request: &str, length: u64) -> wire::up::Kind {
    wire::up::Kind::Start(wire::Start {
        request: request.to_owned(),
        team: "archive".to_owned(),
        model: "transcript".to_owned(),
        body: format!(r#"{{"model":"transcript","prompt":"{length}"}}"#).into(),
        max_tokens: 4_000,
        deadline_ms: 60_000,
        prompt_tokens: 4,
        streaming: true,
        ..wire::Start::default()
    })
}

/// Builds a request for the tokens of `generation` from `offset` on.
pub(crate) fn resume_request(generation: &str, offset: u64) -> wire::up::Kind {
    wire::up::Kind::Resume(wire::Resume {
        generation: generation.to_owned(),
        offset,
        team: "archive".to_owned(),
        config_version: 1,
    })
}

impl Link {
    /// Reads and acknowledges messages until `count` tokens have arrived or the link ends.
    pub(crate) async fn read(&mut self, received: &mut Received, count: u64) {
        while received.next < count {
            if !self.read_message(received).await {
                return;
            }
        }
    }

    /// Reads and acknowledges messages until the next pong.
    pub(crate) async fn read_pong(&mut self, received: &mut Received) {
        let pongs = received.pongs;
        while received.pongs == pongs {
            assert!(
                self.read_message(received).await,
                "the link ended before a pong"
            );
        }
    }

    /// Reads one message; returns false if the link has ended.
    async fn read_message(&mut self, received: &mut Received) -> bool {
        let message = tokio::time::timeout(TIMEOUT, self.down.message()).await;
        let Ok(Some(message)) = message.expect("timed out waiting for a message") else {
            return false;
        };
        match message.kind.unwrap() {
            wire::down::Kind::Accepted(accepted) => received.generation = accepted.generation,
            wire::down::Kind::Chunk(chunk) => self.handle_chunk(received, chunk).await,
            wire::down::Kind::Finished(finished) => received.finished = Some(finished),
            wire::down::Kind::Failed(failed) => received.failed = Some(failed),
            wire::down::Kind::Pong(_) => received.pongs += 1,
        }
        true
    }

    /// Reads until the link ends.
    pub(crate) async fn read_all(&mut self, received: &mut Received) {
        self.read(received, u64::MAX).await;
    }

    /// Sends one message to the agent.
    pub(crate) async fn send(&self, kind: wire::up::Kind) {
        self.up.send(wire::Up { kind: Some(kind) }).await.unwrap();
    }

    async fn handle_chunk(&mut self, received: &mut Received, chunk: wire::Chunk) {
        assert_eq!(chunk.offset, received.next, "tokens repeated or lost");
        for token in &chunk.tokens {
            received.text.push_str(core::str::from_utf8(token).unwrap());
        }
        received.next += chunk.tokens.len() as u64;
        let ack = wire::up::Kind::Ack(wire::Ack {
            offset: received.next,
        });
        let _ = self.up.send(wire::Up { kind: Some(ack) }).await;
    }
}

/// Returns the complete text of a generation of `length` tokens.
pub(crate) fn full_text(length: u64) -> String {
    (0..length).map(engine::format_token).collect()
}

/// Waits until `check` is true.
pub(crate) async fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !check() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}
