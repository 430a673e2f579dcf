//! The admission task: admits, queues or refuses requests. It runs on the control thread.

use std::collections;
use std::sync;
use std::sync::atomic;

use core::time::Duration;

use peargap_adapters::logs;
use peargap_core::admit;
use peargap_core::queue;
use peargap_core::ramp;
use peargap_core::time;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync as cancel;

use crate::admission_api;
use crate::agent;
use crate::decision;
use crate::enforcement;
use crate::engine;
use crate::events;
use crate::meters;
use peargap_adapters::clock;

/// Interval between checks of the progress of running streams.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);
/// When the engine reports preemptions, a stream that got no token for this long counts as
/// preempted.
const STALLED_AFTER_MS: u64 = 250;
/// Retry delay for an upstream that does not respond.
const UPSTREAM_RETRY_MS: u32 = 1_000;

/// A request in the queue.
struct Waiting {
    reply: mpsc::UnboundedSender<admission_api::Verdict>,
    request: admission_api::Request,
    queued_at: time::Instant,
}

/// A stream that uses the upstream.
struct Running {
    /// Number of tokens already reported to the admission policy.
    recorded_tokens: u32,
    last_token_at: time::Instant,
    produced: sync::Arc<atomic::AtomicU32>,
}

/// The admission task.
pub(crate) struct Admission {
    policy: admit::Admission,
    clock: clock::Clock,
    enforcement: enforcement::Enforcement,
    healthy: bool,
    messages: mpsc::UnboundedReceiver<admission_api::Message>,
    meters: meters::Meters,
    report: engine::Report,
    running: collections::HashMap<admit::Stream, Running>,
    sender: mpsc::UnboundedSender<admission_api::Message>,
    snapshots: watch::Sender<admission_api::Snapshot>,
    waiting: collections::HashMap<queue::Ticket, Waiting>,
}

impl Admission {
    /// Returns the task and a handle to it.
    pub(crate) fn new(
        clock: clock::Clock,
        options: admit::Options,
        enforcement: enforcement::Enforcement,
        meters: meters::Meters,
    ) -> (Admission, admission_api::Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let policy = admit::Admission::new(clock.now(), options);
        let (snapshots, watched) = watch::channel(admission_api::Snapshot {
            healthy: false,
            load: policy.load(),
            report: engine::Report::default(),
        });
        let handle = admission_api::Handle::new(sender.clone(), watched);
        let task = Admission {
            policy,
            clock,
            enforcement,
            healthy: false,
            messages,
            meters,
            report: engine::Report::default(),
            running: collections::HashMap::new(),
            sender,
            snapshots,
            waiting: collections::HashMap::new(),
        };
        (task, handle)
    }

    /// Runs until `token` is cancelled.
    pub(crate) async fn run(mut self, token: cancel::CancellationToken) {
        let mut timer = tokio::time::interval(PROGRESS_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = timer.tick(), if self.has_work() => self.tick(),
            }
            self.admit_waiting();
            self.publish();
        }
    }

    fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    fn handle_message(&mut self, message: admission_api::Message) {
        match message {
            admission_api::Message::Request(request, reply) => self.decide(request, reply),
            admission_api::Message::ConnectionClosed => self.healthy = false,
            admission_api::Message::FirstToken(stream) => self.record_progress(stream),
            admission_api::Message::Finished { end, stream } => self.finish(stream, end),
            admission_api::Message::Report(report) => self.handle_report(report),
            admission_api::Message::Sign(sign) => self.record_sign(sign),
        }
    }

    fn decide(
        &mut self,
        request: admission_api::Request,
        reply: mpsc::UnboundedSender<admission_api::Verdict>,
    ) {
        if let Some(refusal) = self.check_accepting() {
            let load = self.policy.load();
            decision::refuse(
                &self.meters,
                &load,
                &request,
                &reply,
                refusal.reason(),
                refusal.retry_after_ms,
            );
            return;
        }
        let now = self.clock.now();
        let policy_request = self.build_policy_request(&request);
        match admit::decide(&self.policy, now, &policy_request) {
            admit::Decision::Admit => {
                let stream = self.policy.start(now, policy_request);
                self.admit(stream, &request, &reply, 0);
            }
            admit::Decision::Refuse {
                reason,
                retry_after_ms,
            } => {
                let reason = decision::to_wire_reason(reason);
                decision::refuse(
                    &self.meters,
                    &self.policy.load(),
                    &request,
                    &reply,
                    reason,
                    decision::saturate_millis(retry_after_ms),
                );
            }
            admit::Decision::Wait => self.enqueue(now, policy_request, request, reply),
        }
    }

    /// Returns the refusal for all requests, if none can be admitted now.
    fn check_accepting(&self) -> Option<wire::Failed> {
        if self.healthy {
            return self.enforcement.check();
        }
        let detail = "the upstream does not respond";
        Some(agent::refuse(
            wire::Reason::Upstream,
            UPSTREAM_RETRY_MS,
            detail,
        ))
    }

    fn build_policy_request(&mut self, request: &admission_api::Request) -> admit::Request {
        admit::Request {
            cached_tokens: 0,
            class: self.policy.class(&request.model, &request.team),
            deadline: request.deadline,
            max_tokens: request.max_tokens,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            team: self.policy.team(&request.team, request.weight),
        }
    }

    fn enqueue(
        &mut self,
        now: time::Instant,
        policy_request: admit::Request,
        request: admission_api::Request,
        reply: mpsc::UnboundedSender<admission_api::Verdict>,
    ) {
        let ahead = self.policy.load().waiting;
        let ticket = match self.policy.push(now, policy_request) {
            queue::Pushed::Full { retry_after_ms } => {
                let after = decision::saturate_millis(retry_after_ms);
                decision::refuse(
                    &self.meters,
                    &self.policy.load(),
                    &request,
                    &reply,
                    wire::Reason::Busy,
                    after,
                );
                return;
            }
            queue::Pushed::Displaced {
                ticket,
                shed,
                retry_after_ms,
            } => {
                self.refuse_waiting(
                    shed,
                    wire::Reason::Busy,
                    decision::saturate_millis(retry_after_ms),
                );
                ticket
            }
            queue::Pushed::Queued(ticket) => ticket,
        };
        let load = self.policy.load();
        decision::log_queued(&request, ahead, &load);
        let _ = reply.send(admission_api::Verdict::Queued(ahead));
        let queued_at = now;
        self.waiting.insert(
            ticket,
            Waiting {
                reply,
                request,
                queued_at,
            },
        );
    }

    fn admit(
        &mut self,
        stream: admit::Stream,
        request: &admission_api::Request,
        reply: &mpsc::UnboundedSender<admission_api::Verdict>,
        waited_ms: u64,
    ) {
        let now = self.clock.now();
        self.running.insert(
            stream,
            Running {
                recorded_tokens: 0,
                last_token_at: now,
                produced: sync::Arc::clone(&request.produced),
            },
        );
        self.meters.count_admitted(waited_ms);
        let load = self.policy.load();
        decision::log_admitted(request, waited_ms, &load);
        // If the caller has gone, the permit is dropped with the message, which releases it.
        let _ = reply.send(admission_api::Verdict::Admitted(
            admission_api::Permit::new(
                stream,
                sync::Arc::clone(&request.produced),
                self.sender.clone(),
            ),
        ));
    }

    /// Admits queued requests as capacity allows and refuses those that can't meet their deadline.
    fn admit_waiting(&mut self) {
        // The upstream may have restarted; wait for its next report.
        if !self.healthy {
            return;
        }
        // Queued requests have not reached the upstream, so they are refused like new ones.
        if let Some(failed) = self.enforcement.check() {
            self.refuse_all_waiting(failed.reason(), failed.retry_after_ms);
            return;
        }
        let now = self.clock.now();
        for shed in self.policy.shed(now) {
            self.refuse_waiting(
                shed.ticket,
                wire::Reason::Deadline,
                decision::saturate_millis(shed.retry_after_ms),
            );
        }
        while let Some(started) = self.policy.next(now) {
            let Some(waiting) = self.waiting.remove(&started.ticket) else {
                self.policy
                    .finished(now, started.stream, admit::End::Cancelled);
                continue;
            };
            let waited_ms = now.millis_since(waiting.queued_at);
            self.admit(started.stream, &waiting.request, &waiting.reply, waited_ms);
        }
    }

    fn refuse_waiting(&mut self, ticket: queue::Ticket, reason: wire::Reason, retry_after_ms: u32) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            decision::refuse(
                &self.meters,
                &self.policy.load(),
                &waiting.request,
                &waiting.reply,
                reason,
                retry_after_ms,
            );
        }
    }

    fn finish(&mut self, stream: admit::Stream, end: admit::End) {
        self.record_progress(stream);
        self.running.remove(&stream);
        self.policy.finished(self.clock.now(), stream, end);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let streams: Vec<_> = self.running.keys().copied().collect();
        for stream in streams {
            self.record_progress(stream);
        }
        if let Some(sign) = self.policy.check_overdue(now) {
            self.log_sign(sign);
        }
        let withdrawn = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.reply.is_closed());
        let withdrawn: Vec<_> = withdrawn.map(|(ticket, _)| *ticket).collect();
        for ticket in withdrawn {
            self.waiting.remove(&ticket);
            self.policy.cancel(ticket);
        }
    }

    /// Records the tokens that a stream produced since the last call.
    fn record_progress(&mut self, stream: admit::Stream) {
        let now = self.clock.now();
        let Some(running) = self.running.get_mut(&stream) else {
            return;
        };
        let produced = running.produced.load(atomic::Ordering::Relaxed);
        let count = produced - running.recorded_tokens;
        if count == 0 {
            return;
        }
        running.recorded_tokens = produced;
        running.last_token_at = now;
        if let Some(sign) = self.policy.record_tokens(now, stream, count) {
            self.log_sign(sign);
        }
    }

    fn handle_report(&mut self, report: Option<engine::Report>) {
        let Some(report) = report else {
            self.handle_upstream_loss();
            return;
        };
        if !self.healthy {
            self.healthy = true;
            logs::emit(
                events::UPSTREAM_BACK,
                format_args!("incarnation={}", report.incarnation),
            );
        }
        let has_report = !self.report.incarnation.is_empty();
        if has_report && report.incarnation != self.report.incarnation {
            self.record_sign(ramp::Sign::NewIncarnation);
        } else if report.cold && !self.report.cold {
            self.record_sign(ramp::Sign::EmptyCache);
        } else if report.preemptions > self.report.preemptions {
            self.log_preemptions(report.preemptions - self.report.preemptions);
        }
        self.policy.set_cold(report.cold);
        self.meters.set_report(&report);
        self.report = report;
    }

    fn handle_upstream_loss(&mut self) {
        if self.healthy {
            logs::emit(
                events::UPSTREAM_LOST,
                format_args!("waiting={}", self.waiting.len()),
            );
        }
        self.healthy = false;
        self.refuse_all_waiting(wire::Reason::Upstream, UPSTREAM_RETRY_MS);
    }

    fn refuse_all_waiting(&mut self, reason: wire::Reason, retry_after_ms: u32) {
        let tickets: Vec<_> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.policy.cancel(ticket);
            self.refuse_waiting(ticket, reason, retry_after_ms);
        }
    }

    /// Logs the preemptions that the engine reported and the number of stalled streams.
    fn log_preemptions(&mut self, count: u64) {
        let now = self.clock.now();
        let mut stalled = 0;
        for running in self.running.values() {
            if running.recorded_tokens > 0
                && now.millis_since(running.last_token_at) > STALLED_AFTER_MS
            {
                stalled += 1;
            }
        }
        logs::emit(
            events::PREEMPTED,
            format_args!("count={count} stalled={stalled}"),
        );
    }

    fn record_sign(&mut self, sign: ramp::Sign) {
        self.policy.record_sign(self.clock.now(), sign);
        self.log_sign(sign);
    }

    fn log_sign(&self, sign: ramp::Sign) {
        let load = self.policy.load();
        self.meters.count_cold_sign();
        logs::emit(
            events::COLD_SIGN,
            format_args!(
                "sign={sign:?} running={} limit={}",
                load.running, load.limit
            ),
        );
    }

    fn publish(&mut self) {
        let load = self.policy.load();
        self.meters.set_load(&load);
        let snapshot = admission_api::Snapshot {
            healthy: self.healthy,
            load,
            report: self.report.clone(),
        };
        self.snapshots.send_if_modified(|old| {
            let changed = *old != snapshot;
            *old = snapshot;
            changed
        });
    }
}
