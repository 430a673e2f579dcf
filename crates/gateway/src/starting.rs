//! Start of a generation: its engine is chosen, and others are tried if it has not run there.

use std::sync;

use peargap_adapters::logs;
use peargap_core::quarantine;
use peargap_core::rollout::counts;
use tokio::time;

use crate::attempts;
use crate::call;
use crate::crash;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::generation;
use crate::migrate;
use crate::placement;
use crate::response;
use crate::rollout;

/// Maximum number of engines that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which a waiting generation looks for an engine with free capacity.
const CAPACITY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// A request waits for free capacity for at most the latency objective divided by this. After that
/// it is refused, so that its caller learns early that there is none.
const CAPACITY_WAIT_DIVISOR: u32 = 8;

/// A generation that has not begun yet.
#[derive(Debug)]
pub(crate) struct Starting<'a> {
    attempts: attempts::Attempts,
    /// When a generation that waits for free capacity is refused.
    capacity_deadline: time::Instant,
    gateway: &'a gateway::Gateway,
    generation: &'a sync::Arc<generation::Generation>,
    /// Refusal if no other engine is tried.
    refusal: response::Refusal,
    /// How often it may still be repeated after it may have run.
    repeats: u32,
    since: time::Instant,
    /// Subject in quarantine of which it shows whether engines still crash on it.
    trial: Option<quarantine::Subject>,
}

/// What to do next.
#[derive(Debug)]
enum Next {
    /// Relay what the engine sends.
    Begin(Box<generation::Run>),
    /// Answer the caller.
    Refuse(response::Refusal),
    /// Try another engine.
    TryAgain,
    /// Look again later for an engine with free capacity.
    Wait,
}

impl<'a> Starting<'a> {
    /// Returns a generation that is repeated up to `repeats` times if it may have run; `objective` is
    /// the time to its first event.
    pub(crate) fn new(
        gateway: &'a gateway::Gateway,
        generation: &'a sync::Arc<generation::Generation>,
        objective: time::Duration,
        repeats: u32,
    ) -> Starting<'a> {
        let since = time::Instant::now();
        Starting {
            attempts: attempts::Attempts::new(MAX_ATTEMPTS),
            capacity_deadline: since + objective / CAPACITY_WAIT_DIVISOR,
            gateway,
            generation,
            refusal: response::Refusal::NotTaken,
            repeats,
            since,
            trial: None,
        }
    }

    /// Starts the generation at an engine. Another engine is tried if the request has not run at the
    /// first one. If it may have run there, it continues at its copy, if there is one, or is repeated.
    pub(crate) async fn run(mut self) -> Result<generation::Run, response::Refusal> {
        while !self.attempts.is_exhausted() {
            match self.try_engine().await {
                Next::Begin(run) => return Ok(*run),
                Next::Refuse(refusal) => return Err(refusal),
                Next::TryAgain => {}
                Next::Wait => time::sleep(CAPACITY_POLL_INTERVAL).await,
            }
        }
        Err(self.refusal)
    }

    async fn try_engine(&mut self) -> Next {
        if let Some(refusal) = self.check_quarantine() {
            return Next::Refuse(refusal);
        }
        let placement = match self.choose() {
            Ok(placement) => placement,
            Err(error) => return self.explain(error),
        };
        if self.attempts.tried().is_empty() {
            self.gateway.meters.record_wait(self.since.elapsed());
        }
        if self.attempts.has_arrived() && !self.may_repeat() {
            return Next::Refuse(self.refusal);
        }
        self.attempts.record_choice(placement.key);
        self.send(placement).await
    }

    /// Returns the refusal of a request that is in quarantine.
    fn check_quarantine(&mut self) -> Option<response::Refusal> {
        if self.trial.is_some() {
            return None;
        }
        match self.gateway.fleet.admit(&self.generation.request) {
            quarantine::Verdict::Allow => None,
            quarantine::Verdict::Trial(subject) => {
                self.trial = Some(subject);
                None
            }
            quarantine::Verdict::Refuse {
                subject,
                retry_after_ms,
            } => Some(match self.refusal {
                response::Refusal::NotTaken => response::Refusal::Quarantined {
                    subject,
                    retry_after_ms,
                },
                may_have_run => may_have_run,
            }),
        }
    }

    fn request(&self) -> &'a call::Request {
        &self.generation.request
    }

    fn choose(&self) -> Result<placement::Placement, fleet::PlacementError> {
        self.gateway.fleet.place_generation(fleet::Criteria {
            exclude: self.attempts.tried(),
            near: None,
            need: self.generation.need(),
            purpose: self.attempts.purpose(),
            service: &self.generation.service,
            tokens: self.generation.estimate_tokens(0),
        })
    }

    /// Returns what to do if no engine was chosen.
    fn explain(&self, error: fleet::PlacementError) -> Next {
        let has_not_run = self.refusal == response::Refusal::NotTaken;
        let refusal = match error {
            fleet::PlacementError::Paused { retry_after_ms } if has_not_run => {
                response::Refusal::Paused { retry_after_ms }
            }
            _error if self.attempts.has_arrived() => self.refusal,
            fleet::PlacementError::Full | fleet::PlacementError::Limited { .. }
                if time::Instant::now() < self.capacity_deadline =>
            {
                return Next::Wait;
            }
            fleet::PlacementError::Full => response::Refusal::Full,
            fleet::PlacementError::Limited { retry_after_ms } => {
                let service = &self.generation.service.name;
                self.gateway.meters.count_limited(service);
                response::Refusal::Limited { retry_after_ms }
            }
            fleet::PlacementError::NoUpstream | fleet::PlacementError::Paused { .. } => {
                response::Refusal::Nobody
            }
        };
        Next::Refuse(refusal)
    }

    fn may_repeat(&self) -> bool {
        let service = &self.generation.service.name;
        let request = &self.generation.request;
        self.gateway.retries.try_withdraw(request, service)
    }

    async fn send(&mut self, mut placement: placement::Placement) -> Next {
        let sent_at = time::Instant::now();
        let generation = self.generation;
        let copy = generation::place_backup(self.gateway, generation, &placement, 0);
        let attempt = response::attempt_text(&generation.request.head.attempt);
        logs::emit(
            events::REQUEST_PLACED,
            format_args!(
                "request={attempt} upstream={} copy={} tokens={} {}",
                placement.name,
                copy.as_ref().map_or("none", |copy| &copy.placement.name),
                generation.estimate_tokens(0),
                placement.view
            ),
        );
        if let Some(subject) = self.trial {
            self.gateway.fleet.record_trial(self.request(), subject);
        }
        let options = call::Options {
            copy_to: copy.as_ref().map(|copy| copy.placement.address.as_str()),
            resume: None,
        };
        let sent = tokio::select! {
            sent = call::send(&generation.request, &placement, options) => sent,
            // An engine that has not begun to write drops the request with its connection.
            () = self.gateway.fleet.wait_until_quarantined(&generation.request), if self.trial.is_none() => {
                return Next::Refuse(response::Refusal::UpstreamFailed);
            }
        };
        self.gateway
            .fleet
            .record_outcome(placement.key, call::classify(&sent));
        self.attempts.record(&sent);
        if rollout::is_failure(&sent) {
            let sample = counts::Sample::Failed;
            generation.count_sample(&self.gateway.fleet, &placement, sample);
        }
        let failure = match sent {
            Ok(response) => {
                if response.head.status.is_success() {
                    placement.record_first();
                }
                placement.finish_prompt();
                logs::emit(
                    events::GENERATION_BEGUN,
                    format_args!(
                        "request={attempt} upstream={} waited_ms={} parts={}",
                        placement.name,
                        sent_at.elapsed().as_millis(),
                        generation.request.head.prompt
                    ),
                );
                return Next::Begin(Box::new(generation::Run {
                    response,
                    copy,
                    placement,
                }));
            }
            Err(failure) => failure,
        };
        logs::emit(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={attempt} upstream={} why={failure:?}",
                placement.name
            ),
        );
        // Its load counts until what follows from the failure is decided.
        let next = self.handle_failure(&failure, copy, &placement).await;
        drop(placement);
        next
    }

    async fn handle_failure(
        &mut self,
        failure: &call::Failure,
        copy: Option<migrate::Copy>,
        placement: &placement::Placement,
    ) -> Next {
        if !failure.may_have_run() {
            return Next::TryAgain;
        }
        let broken = crash::Broken::of(&self.gateway.fleet, failure, self.request(), placement);
        let resumed = match copy {
            Some(copy) => resume_at_copy(self.gateway, self.generation, copy, broken).await,
            None => {
                crash::examine(broken).await;
                None
            }
        };
        if let Some(run) = resumed {
            return Next::Begin(Box::new(run));
        }
        self.refusal = response::Refusal::UpstreamFailed;
        if self.repeats == 0 || !self.gateway.fleet.may_repeat(self.request()) {
            return Next::Refuse(self.refusal);
        }
        self.repeats -= 1;
        Next::TryAgain
    }
}

/// Continues a generation at its copy after its engine failed without a response.
async fn resume_at_copy(
    gateway: &gateway::Gateway,
    generation: &sync::Arc<generation::Generation>,
    copy: migrate::Copy,
    broken: Option<crash::Broken>,
) -> Option<generation::Run> {
    let reason = migrate::Reason::Broken;
    let mut resuming = migrate::resume(gateway.clone(), generation.clone(), copy, reason, broken);
    let attempt = response::attempt_text(&generation.request.head.attempt);
    match resuming.wait().await {
        Ok(run) => {
            logs::emit(
                events::MOVE_COMPLETED,
                format_args!(
                    "request={attempt} from=none to={} events=0",
                    run.placement.name
                ),
            );
            Some(run)
        }
        Err(failure) => {
            logs::emit(
                events::MOVE_FAILED,
                format_args!("request={attempt} from=none why={failure:?}"),
            );
            None
        }
    }
}
