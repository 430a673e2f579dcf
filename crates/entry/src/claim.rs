//! Non-repeatable calls: claimed, dispatched once, settled.
//!
//! Each call runs in a task of its own, so that its claim is settled even if the caller
//! disconnects. The answer is returned once the outcome is settled, or after [`SETTLE_WAIT`] if the
//! quorum is slow; the settlement then continues in the background.

use core::time;
use std::sync;

use axum::http;
use axum::response;
use peargap_adapters::logs;
use peargap_wire::agent as wire;
use peargap_wire::control;
use peargap_wire::control::claim_reply;
use peargap_wire::control::settle_request;
use tokio::sync::oneshot;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::app;
use crate::call;
use crate::events;
use crate::record;
use crate::refusal;

/// Header with the caller's idempotency key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Header that marks a recorded answer.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// How long a claim is requested while the quorum does not answer.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long an answer is held back for its settlement.
const SETTLE_WAIT: time::Duration = time::Duration::from_millis(500);
/// How long a settlement is retried after the deadline.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// How long a stopping entry continues to wait for the quorum.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// How long the entry tries to release a claim that may have been granted without its knowing.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

type Answer = Result<response::Response, refusal::Refusal>;

/// Idempotency key of a call with the digest of its request.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    digest: u64,
    text: String,
}

impl Key {
    /// Returns the key of a request; the caller's `key` is scoped to its team and service.
    pub(crate) fn new(request: &wire::CallRequest, key: &str) -> Key {
        Key {
            digest: hash_request(request),
            text: format!("{}/{}/{key}", request.team, request.service),
        }
    }
}

fn hash_request(request: &wire::CallRequest) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for part in [request.method.as_bytes(), request.path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&request.body);
    hasher.digest()
}

/// Runs a call at most once and returns its answer, or the one recorded earlier.
pub(crate) async fn run(app: sync::Arc<app::App>, job: call::Job, key: Key) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let task = Task {
        answer: Some(sender),
        app: app.clone(),
        job,
        key,
    };
    app.tasks.spawn(task.run());
    receiver.await.unwrap_or_else(|_| Err(refuse_unknown()))
}

struct Task {
    /// Channel to the waiting caller; taken when the answer is sent.
    answer: Option<oneshot::Sender<Answer>>,
    app: sync::Arc<app::App>,
    job: call::Job,
    key: Key,
}

impl Task {
    async fn run(mut self) {
        if let Some(refusal) = self.app.refuse_stale() {
            // An earlier attempt with this key may have run.
            return self.send_answer(Err(refusal.with_ran(refusal::Ran::Unknown)));
        }
        let give_up_at = (clock::Instant::now() + CLAIM_TIMEOUT).min(self.job.deadline);
        let reply = self
            .app
            .claim_client
            .claim(self.build_claim(), give_up_at)
            .await;
        self.log_claim(reply.as_ref());
        match reply {
            Some(claim_reply::Kind::Granted(fence)) => self.run_granted(fence).await,
            Some(claim_reply::Kind::Answer(answer)) => self.send_answer(replay(&answer)),
            Some(kind) => self.send_answer(Err(refuse_claim(&kind))),
            None => {
                self.send_answer(Err(refuse_unavailable(refusal::DEFAULT_RETRY_MS)));
                self.release_claim().await;
            }
        }
    }

    async fn run_granted(&mut self, fence: u64) {
        self.job.request.claim = Some(wire::Claim {
            fence,
            key: self.key.text.clone(),
        });
        let outcome = call::dispatch(&self.app, &self.job).await;
        let settlement = self.build_settlement(fence, &outcome);
        let answer = outcome.map(call::respond);
        let give_up_at = self.job.deadline.max(clock::Instant::now()) + SETTLE_TIMEOUT;
        let app = self.app.clone();
        let settling = settle(&app, settlement, give_up_at);
        tokio::pin!(settling);
        let settled = clock::timeout(SETTLE_WAIT, &mut settling).await;
        self.send_answer(answer);
        let recorded = match settled {
            Ok(recorded) => recorded,
            Err(_) => settling.await,
        };
        self.log_settled(fence, recorded);
    }

    /// Releases a claim that may have been granted although its reply was lost.
    ///
    /// Nothing ran under it.
    async fn release_claim(&mut self) {
        let give_up_at = clock::Instant::now() + RELEASE_TIMEOUT;
        let reply = tokio::select! {
            reply = self.app.claim_client.claim(self.build_claim(), give_up_at) => reply,
            () = stop_timeout(&self.app) => None,
        };
        let Some(claim_reply::Kind::Granted(fence)) = reply else {
            return;
        };
        let settlement = control::SettleRequest {
            fence,
            key: self.key.text.clone(),
            outcome: Some(settle_request::Outcome::NotRun(true)),
        };
        let recorded = settle(&self.app, settlement, give_up_at).await;
        self.log_settled(fence, recorded);
    }

    fn send_answer(&mut self, answer: Answer) {
        if let Some(sender) = self.answer.take() {
            // The caller may have disconnected.
            let _ = sender.send(answer);
        }
    }

    fn build_claim(&self) -> control::ClaimRequest {
        control::ClaimRequest {
            attempt: self.job.request.request.clone(),
            deadline_ms: app::millis_until(self.job.deadline),
            digest: self.key.digest,
            key: self.key.text.clone(),
        }
    }

    fn build_settlement(
        &self,
        fence: u64,
        outcome: &Result<wire::Response, refusal::Refusal>,
    ) -> control::SettleRequest {
        let outcome = match outcome {
            Ok(answer) => settle_request::Outcome::Answer(record::encode_answer(answer)),
            Err(refusal) => match refusal.ran {
                refusal::Ran::No => settle_request::Outcome::NotRun(true),
                refusal::Ran::Yes | refusal::Ran::Unknown => settle_request::Outcome::Unknown(true),
            },
        };
        control::SettleRequest {
            fence,
            key: self.key.text.clone(),
            outcome: Some(outcome),
        }
    }

    fn log_claim(&self, reply: Option<&claim_reply::Kind>) {
        let outcome = match reply {
            Some(claim_reply::Kind::Granted(_)) => "granted",
            Some(claim_reply::Kind::InProgress(_)) => "in_progress",
            Some(claim_reply::Kind::Answer(_)) => "answer",
            Some(claim_reply::Kind::Unknown(_)) => "unknown",
            Some(claim_reply::Kind::Mismatch(_)) => "mismatch",
            Some(claim_reply::Kind::Unavailable(_)) => "unavailable",
            Some(claim_reply::Kind::Ran(_)) => "ran",
            None => "none",
        };
        let request = &self.job.request.request;
        logs::emit(
            events::CLAIMED,
            format_args!("request={request} outcome={outcome}"),
        );
    }

    fn log_settled(&self, fence: u64, recorded: bool) {
        let request = &self.job.request.request;
        let event = if recorded {
            events::SETTLED
        } else {
            events::SETTLE_FAILED
        };
        logs::emit(event, format_args!("request={request} fence={fence}"));
    }
}

/// Settles a claim; returns whether the outcome was recorded.
async fn settle(
    app: &app::App,
    settlement: control::SettleRequest,
    give_up_at: clock::Instant,
) -> bool {
    tokio::select! {
        recorded = app.claim_client.settle(settlement, give_up_at) => recorded,
        () = stop_timeout(app) => false,
    }
}

/// Resolves when a stopping entry gives up on the quorum.
async fn stop_timeout(app: &app::App) {
    app.stop.cancelled().await;
    clock::sleep(STOP_TIMEOUT).await;
}

/// Returns a recorded answer, marked as replayed.
fn replay(answer: &[u8]) -> Answer {
    let Some(answer) = record::decode_answer(answer) else {
        return Err(refuse_not_stored());
    };
    let mut response = call::respond(answer);
    let headers = response.headers_mut();
    headers.insert(REPLAYED_HEADER, http::HeaderValue::from_static("true"));
    Ok(response)
}

/// Returns the refusal for a claim that was not granted.
fn refuse_claim(kind: &claim_reply::Kind) -> refusal::Refusal {
    match kind {
        claim_reply::Kind::InProgress(millis) => {
            let message = "A call with this `Idempotency-Key` is in progress.";
            refusal::Refusal::not_run(refusal::Code::InProgress, message)
                .with_ran(refusal::Ran::Unknown)
                .with_retry(*millis)
        }
        claim_reply::Kind::Mismatch(_) => {
            let message = "This `Idempotency-Key` was already used for a different request.";
            let mut refusal = refusal::Refusal::not_run(refusal::Code::Conflict, message);
            refusal.param = Some("Idempotency-Key".to_owned());
            refusal
        }
        claim_reply::Kind::Unavailable(millis) => refuse_unavailable(*millis),
        claim_reply::Kind::Ran(_) => refuse_not_stored(),
        claim_reply::Kind::Unknown(_)
        | claim_reply::Kind::Granted(_)
        | claim_reply::Kind::Answer(_) => refuse_unknown(),
    }
}

fn refuse_unavailable(retry_after_ms: u32) -> refusal::Refusal {
    let message = "The call could not be claimed, so this attempt did not run. Whether an earlier \
                   attempt ran is unknown; retry with the same `Idempotency-Key`.";
    refusal::Refusal::not_run(refusal::Code::NoUpstream, message)
        .with_ran(refusal::Ran::Unknown)
        .with_retry(retry_after_ms)
}

fn refuse_not_stored() -> refusal::Refusal {
    let message = "The call ran, but its answer was too large to be stored.";
    refusal::Refusal::not_run(refusal::Code::AnswerGone, message).with_ran(refusal::Ran::Yes)
}

fn refuse_unknown() -> refusal::Refusal {
    let message = "Whether the call ran is unknown; it will not be run again.";
    refusal::Refusal::not_run(refusal::Code::Unknown, message).with_ran(refusal::Ran::Unknown)
}
