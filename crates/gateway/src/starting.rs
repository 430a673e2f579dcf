//! Start of a stream: its upstream is chosen, and others are tried if it has not run there.

use std::sync;

use peargap_adapters::logs;
use peargap_core::engine_room;
use peargap_core::quarantine;
use peargap_core::rollout::counts;
use peargap_core::time::Instant;
use peargap_core::waiting;
use tokio::sync::watch;
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
use crate::room;

/// Maximum number of engines that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which a generation without a queue looks again for an engine with free capacity.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// Interval at which a waiting generation looks again if nothing has woken it: it may have become
/// pressing, or been held back for long enough.
const WAIT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// A request waits for at most the latency objective divided by this while it is not known how long
/// it would have to. After that it is refused, so that its caller learns early that there is no room.
const CAPACITY_WAIT_DIVISOR: u32 = 8;
/// Time after which a caller may try again if it is not known when there is room, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;
/// Longest time after which a caller is told to try again, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5000;

/// A generation that has not begun yet.
#[derive(Debug)]
pub(crate) struct Starting<'a> {
    attempts: attempts::Attempts,
    /// When a generation that waits for free capacity is refused.
    capacity_deadline: time::Instant,
    changes: watch::Receiver<u64>,
    gateway: &'a gateway::Gateway,
    generation: &'a sync::Arc<generation::Generation>,
    objective: time::Duration,
    /// Place in the queue of those that wait for an engine's room.
    place: Option<room::Place>,
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
    /// Look again when there may be room, or after this time.
    Wait(time::Duration),
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
            changes: gateway.fleet.room.changes(),
            gateway,
            generation,
            objective,
            place: None,
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
                Next::Wait(longest) => self.wait(longest).await,
            }
        }
        Err(self.refusal)
    }

    async fn try_engine(&mut self) -> Next {
        if let Some(refusal) = self.check_quarantine() {
            return Next::Refuse(refusal);
        }
        let turn = self.take_turn();
        if turn == waiting::Turn::Wait {
            return self.wait_or_refuse(false);
        }
        let placement = match self.choose(turn) {
            Ok(placement) => placement,
            Err(error) => return self.explain(error),
        };
        self.leave_queue(&placement);
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

    fn choose(&self, turn: waiting::Turn) -> Result<placement::Placement, fleet::PlacementError> {
        let generation = self.generation;
        let fleet = &self.gateway.fleet;
        let tokens = generation.estimate_tokens(0);
        let criteria = fleet::Criteria {
            exclude: self.attempts.tried(),
            near: None,
            need: self.generation.need(),
            purpose: self.attempts.purpose(),
            service: &generation.service,
            tokens,
        };
        if generation.engine.is_none() {
            return fleet.place_plain(criteria);
        }
        let later = |forecasts: &mut _| generation.later(forecasts, 0);
        let later = fleet.room.with_forecasts(later);
        let need = match generation.order {
            generation::Order::Poll => engine_room::Need::present(tokens),
            generation::Order::Queue => engine_room::Need::new(turn, later, tokens),
        };
        fleet.place_generation(criteria, need)
    }

    fn now(&self) -> Instant {
        self.gateway.fleet.clock.now()
    }

    /// Returns whether it is the generation's turn. One that may have run does not wait.
    fn take_turn(&mut self) -> waiting::Turn {
        let is_queued = self.generation.order == generation::Order::Queue;
        if !is_queued || self.attempts.has_arrived() {
            return waiting::Turn::ALONE;
        }
        let now = self.now();
        self.changes.mark_unchanged();
        if self.place.is_none() {
            let waiter = self.describe(now);
            let service = &self.generation.service.name;
            self.place = Some(self.gateway.fleet.room.join(service, waiter));
        }
        let place = self.place.as_ref();
        place.map_or(waiting::Turn::ALONE, |place| place.turn(now))
    }

    fn describe(&self, now: Instant) -> waiting::Waiter {
        let request = self.request();
        let room = &self.gateway.fleet.room;
        let team = request.team.as_deref();
        let first_event = expected_first_event(self.generation.estimate_tokens(0));
        let patience = self.objective / CAPACITY_WAIT_DIVISOR;
        waiting::Waiter {
            is_above_share: team.is_some_and(|team| room.is_above_share(now, team)),
            latest_start: request.arrived + self.objective.saturating_sub(first_event),
            patience_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
            rank: request.priority.unwrap_or_default(),
            since: now,
        }
    }

    /// Returns what a generation does that can't begin now. `is_held_back` is set if there is room that
    /// it leaves to others.
    fn wait_or_refuse(&self, is_held_back: bool) -> Next {
        let patience = match &self.place {
            Some(place) => place.wait(self.now(), is_held_back),
            None => waiting::Patience::Refuse {
                retry_after_ms: None,
            },
        };
        let retry_after_ms = match patience {
            waiting::Patience::Keep => return Next::Wait(WAIT_CHECK_INTERVAL),
            waiting::Patience::Refuse { retry_after_ms } => retry_after_ms,
        };
        logs::emit(
            events::WAIT_REFUSED,
            format_args!(
                "request={} waited_ms={} expected_ms={retry_after_ms:?}",
                response::attempt_text(&self.request().head.attempt),
                self.since.elapsed().as_millis(),
            ),
        );
        let retry_after_ms = retry_after_ms.unwrap_or(RETRY_AFTER_MS);
        Next::Refuse(response::Refusal::Full {
            retry_after_ms: retry_after_ms.min(MAX_RETRY_AFTER_MS),
        })
    }

    /// Waits until there may be room or another's turn has come, at most for `longest`.
    async fn wait(&mut self, longest: time::Duration) {
        // The sender lives as long as the gateway.
        match self.place {
            Some(_) => {
                let _ = time::timeout(longest, self.changes.changed()).await;
            }
            None => time::sleep(longest).await,
        }
    }

    /// Leaves the queue, as an engine was chosen.
    fn leave_queue(&mut self, placement: &placement::Placement) {
        let Some(place) = self.place.take() else {
            return;
        };
        let request = self.request();
        let now = self.now();
        let waited_ms = now.millis_since(request.arrived);
        if self.attempts.tried().is_empty() && place.has_waited() {
            logs::emit(
                events::WAIT_ENDED,
                format_args!(
                    "request={} upstream={} since_arrival_ms={waited_ms}",
                    response::attempt_text(&request.head.attempt),
                    placement.name
                ),
            );
        }
        let tokens = self.generation.estimate_tokens(0);
        place.begin(now, request.team.as_deref(), tokens);
    }

    /// Returns what to do if no engine was chosen.
    fn explain(&self, error: fleet::PlacementError) -> Next {
        let has_not_run = self.refusal == response::Refusal::NotTaken;
        let refusal = match error {
            fleet::PlacementError::Paused { retry_after_ms } if has_not_run => {
                response::Refusal::Paused { retry_after_ms }
            }
            _error if self.attempts.has_arrived() => self.refusal,
            fleet::PlacementError::Full if self.place.is_some() => {
                return self.wait_or_refuse(false);
            }
            fleet::PlacementError::HeldBack => return self.wait_or_refuse(true),
            fleet::PlacementError::Full | fleet::PlacementError::Limited { .. }
                if time::Instant::now() < self.capacity_deadline =>
            {
                return Next::Wait(POLL_INTERVAL);
            }
            fleet::PlacementError::Full => response::Refusal::Full {
                retry_after_ms: RETRY_AFTER_MS,
            },
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
            sent = generation::send(self.gateway, generation, &placement, options) => sent,
            // An engine that has not begun to write drops the request with its connection.
            () = self.gateway.fleet.wait_until_quarantined(&generation.request), if self.trial.is_none() => {
                return Next::Refuse(response::Refusal::UpstreamFailed);
            }
        };
        self.gateway
            .fleet
            .record_outcome(placement.key, call::classify(&sent));
        self.attempts.record(&sent);
        let head = sent.as_ref().map(|sent| &sent.response.head);
        if rollout::is_failure(head) {
            let sample = counts::Sample::Failed;
            generation.count_sample(&self.gateway.fleet, &placement, sample);
        }
        let failure = match sent {
            Ok(sent) => {
                if sent.response.head.status.is_success() {
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
                    copy,
                    guard: sent.guard,
                    placement,
                    response: sent.response,
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
        if self.request().unread.is_request_ended() {
            return Next::Refuse(response::Refusal::UpstreamFailed);
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

/// Returns the time that an engine needs for the first event of a prompt of this length.
fn expected_first_event(tokens: u64) -> time::Duration {
    /// Time without the prompt: transfers, the wait for the engine's step.
    const BASE: time::Duration = time::Duration::from_millis(150);
    /// Prompt tokens that an engine reads in a millisecond, beside its other work.
    const TOKENS_PER_MS: u64 = 10;
    BASE + time::Duration::from_millis(tokens / TOKENS_PER_MS)
}

/// Continues a generation at its copy after its engine failed without a response.
async fn resume_at_copy(
    gateway: &gateway::Gateway,
    generation: &sync::Arc<generation::Generation>,
    copy: migrate::Copy,
    broken: Option<crash::Broken>,
) -> Option<generation::Run> {
    let former = migrate::Former::Broken(broken);
    let mut resuming = migrate::resume(gateway.clone(), generation.clone(), copy, former);
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
