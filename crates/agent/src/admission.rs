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

use crate::agent;
use crate::decision;
use crate::enforcement;
use crate::engine;
use crate::events;
use crate::gate;
use crate::meters;
use peargap_adapters::clock;

/// Interval between checks of the progress of running streams.
const TICK: Duration = Duration::from_millis(20);
/// When the engine reports preemptions, a stream that got no token for this long counts as preempted.
const STALLED_AFTER_MS: u64 = 250;
/// Retry delay for an upstream that does not respond.
const LOST_RETRY_MS: u32 = 1_000;

/// A request in the queue.
struct Waiting {
    answer: mpsc::UnboundedSender<gate::Verdict>,
    ask: gate::Ask,
    since: time::Instant,
}

/// A stream that uses the upstream.
struct Running {
    /// Number of tokens already reported to the admission policy.
    known: u32,
    last_token: time::Instant,
    produced: sync::Arc<atomic::AtomicU32>,
}

/// The admission task.
pub(crate) struct Admission {
    admission: admit::Admission,
    clock: clock::Clock,
    enforcement: enforcement::Enforcement,
    healthy: bool,
    messages: mpsc::UnboundedReceiver<gate::Message>,
    meters: meters::Meters,
    report: engine::Report,
    running: collections::HashMap<admit::Stream, Running>,
    sender: mpsc::UnboundedSender<gate::Message>,
    snapshots: watch::Sender<gate::Snapshot>,
    waiting: collections::HashMap<queue::Ticket, Waiting>,
}

impl Admission {
    /// Returns the task and a handle to it.
    pub(crate) fn new(
        clock: clock::Clock,
        options: admit::Options,
        enforcement: enforcement::Enforcement,
        meters: meters::Meters,
    ) -> (Admission, gate::Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let admission = admit::Admission::new(clock.now(), options);
        let (snapshots, watched) = watch::channel(gate::Snapshot {
            healthy: false,
            load: admission.load(),
            report: engine::Report::default(),
        });
        let handle = gate::Handle::new(sender.clone(), watched);
        let task = Admission {
            admission,
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
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                message = self.messages.recv() => match message {
                    Some(message) => self.take_message(message),
                    None => return,
                },
                _ = timer.tick(), if self.is_busy() => self.tick(),
            }
            self.start_waiting();
            self.publish();
        }
    }

    fn is_busy(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    fn take_message(&mut self, message: gate::Message) {
        match message {
            gate::Message::Arrived(ask, answer) => self.decide(ask, answer),
            gate::Message::Doubted => self.healthy = false,
            gate::Message::First(stream) => self.note_progress(stream),
            gate::Message::Left { end, stream } => self.leave(stream, end),
            gate::Message::Reported(report) => self.take_report(report),
            gate::Message::Sign(sign) => self.fall_back(sign),
        }
    }

    fn decide(&mut self, ask: gate::Ask, answer: mpsc::UnboundedSender<gate::Verdict>) {
        if let Some(closure) = self.find_closure() {
            let load = self.admission.load();
            decision::refuse(
                &self.meters,
                &load,
                &ask,
                &answer,
                closure.reason(),
                closure.retry_after_ms,
            );
            return;
        }
        let now = self.clock.now();
        let request = self.build_request(&ask);
        match admit::decide(&self.admission, now, &request) {
            admit::Decision::Admit => {
                let stream = self.admission.start(now, request);
                self.admit(stream, &ask, &answer, 0);
            }
            admit::Decision::Refuse {
                reason,
                retry_after_ms,
            } => {
                let reason = decision::map_reason(reason);
                decision::refuse(
                    &self.meters,
                    &self.admission.load(),
                    &ask,
                    &answer,
                    reason,
                    decision::clip(retry_after_ms),
                );
            }
            admit::Decision::Wait => self.queue(now, request, ask, answer),
        }
    }

    /// Returns the refusal for all requests, if none can be admitted now.
    fn find_closure(&self) -> Option<wire::Failed> {
        if self.healthy {
            return self.enforcement.check();
        }
        let detail = "the upstream does not respond";
        Some(agent::refuse(wire::Reason::Upstream, LOST_RETRY_MS, detail))
    }

    fn build_request(&mut self, ask: &gate::Ask) -> admit::Request {
        admit::Request {
            cached_tokens: 0,
            class: self.admission.class(&ask.model, &ask.team),
            deadline: ask.deadline,
            max_tokens: ask.max_tokens,
            priority: ask.priority,
            prompt_tokens: ask.prompt_tokens,
            team: self.admission.team(&ask.team, ask.weight),
        }
    }

    fn queue(
        &mut self,
        now: time::Instant,
        request: admit::Request,
        ask: gate::Ask,
        answer: mpsc::UnboundedSender<gate::Verdict>,
    ) {
        let ahead = self.admission.load().waiting;
        let ticket = match self.admission.push(now, request) {
            queue::Pushed::Full { retry_after_ms } => {
                let after = decision::clip(retry_after_ms);
                decision::refuse(
                    &self.meters,
                    &self.admission.load(),
                    &ask,
                    &answer,
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
                self.turn_away(shed, wire::Reason::Busy, decision::clip(retry_after_ms));
                ticket
            }
            queue::Pushed::Queued(ticket) => ticket,
        };
        let load = self.admission.load();
        decision::log_queued(&ask, ahead, &load);
        let _ = answer.send(gate::Verdict::Queued(ahead));
        let since = now;
        self.waiting.insert(ticket, Waiting { answer, ask, since });
    }

    fn admit(
        &mut self,
        stream: admit::Stream,
        ask: &gate::Ask,
        answer: &mpsc::UnboundedSender<gate::Verdict>,
        waited_ms: u64,
    ) {
        let now = self.clock.now();
        self.running.insert(
            stream,
            Running {
                known: 0,
                last_token: now,
                produced: sync::Arc::clone(&ask.produced),
            },
        );
        self.meters.count_admitted(waited_ms);
        let load = self.admission.load();
        decision::log_admitted(ask, waited_ms, &load);
        // If the caller has gone, the permit is dropped with the message, which releases it.
        let _ = answer.send(gate::Verdict::Admitted(gate::Permit::new(
            stream,
            sync::Arc::clone(&ask.produced),
            self.sender.clone(),
        )));
    }

    /// Admits queued requests as capacity allows and refuses those that can't meet their deadline.
    fn start_waiting(&mut self) {
        // The upstream may have restarted; wait for its next report.
        if !self.healthy {
            return;
        }
        // Queued requests have not reached the upstream, so they are refused like new ones.
        if let Some(failed) = self.enforcement.check() {
            self.turn_all_away(failed.reason(), failed.retry_after_ms);
            return;
        }
        let now = self.clock.now();
        for shed in self.admission.shed(now) {
            self.turn_away(
                shed.ticket,
                wire::Reason::Deadline,
                decision::clip(shed.retry_after_ms),
            );
        }
        while let Some(started) = self.admission.next(now) {
            let Some(waiting) = self.waiting.remove(&started.ticket) else {
                self.admission
                    .finished(now, started.stream, admit::End::Cancelled);
                continue;
            };
            let waited_ms = now.millis_since(waiting.since);
            self.admit(started.stream, &waiting.ask, &waiting.answer, waited_ms);
        }
    }

    fn turn_away(&mut self, ticket: queue::Ticket, reason: wire::Reason, retry_after_ms: u32) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            decision::refuse(
                &self.meters,
                &self.admission.load(),
                &waiting.ask,
                &waiting.answer,
                reason,
                retry_after_ms,
            );
        }
    }

    fn leave(&mut self, stream: admit::Stream, end: admit::End) {
        self.note_progress(stream);
        self.running.remove(&stream);
        self.admission.finished(self.clock.now(), stream, end);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let streams: Vec<_> = self.running.keys().copied().collect();
        for stream in streams {
            self.note_progress(stream);
        }
        if let Some(sign) = self.admission.check_overdue(now) {
            self.log_sign(sign);
        }
        let gone = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.answer.is_closed());
        let gone: Vec<_> = gone.map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            self.waiting.remove(&ticket);
            self.admission.cancel(ticket);
        }
    }

    /// Records the tokens that a stream produced since the last call.
    fn note_progress(&mut self, stream: admit::Stream) {
        let now = self.clock.now();
        let Some(running) = self.running.get_mut(&stream) else {
            return;
        };
        let produced = running.produced.load(atomic::Ordering::Relaxed);
        let count = produced - running.known;
        if count == 0 {
            return;
        }
        running.known = produced;
        running.last_token = now;
        if let Some(sign) = self.admission.record_tokens(now, stream, count) {
            self.log_sign(sign);
        }
    }

    fn take_report(&mut self, report: Option<engine::Report>) {
        let Some(report) = report else {
            self.lose_upstream();
            return;
        };
        if !self.healthy {
            self.healthy = true;
            logs::emit(
                events::UPSTREAM_BACK,
                format_args!("incarnation={}", report.incarnation),
            );
        }
        let known = !self.report.incarnation.is_empty();
        if known && report.incarnation != self.report.incarnation {
            self.fall_back(ramp::Sign::NewIncarnation);
        } else if report.cold && !self.report.cold {
            self.fall_back(ramp::Sign::EmptyCache);
        } else if report.preemptions > self.report.preemptions {
            self.note_preemptions(report.preemptions - self.report.preemptions);
        }
        self.admission.set_cold(report.cold);
        self.meters.set_report(&report);
        self.report = report;
    }

    fn lose_upstream(&mut self) {
        if self.healthy {
            logs::emit(
                events::UPSTREAM_LOST,
                format_args!("waiting={}", self.waiting.len()),
            );
        }
        self.healthy = false;
        self.turn_all_away(wire::Reason::Upstream, LOST_RETRY_MS);
    }

    fn turn_all_away(&mut self, reason: wire::Reason, retry_after_ms: u32) {
        let tickets: Vec<_> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.admission.cancel(ticket);
            self.turn_away(ticket, reason, retry_after_ms);
        }
    }

    /// Logs the preemptions that the engine reported and the number of stalled streams.
    fn note_preemptions(&mut self, count: u64) {
        let now = self.clock.now();
        let mut stalled = 0;
        for running in self.running.values() {
            if running.known > 0 && now.millis_since(running.last_token) > STALLED_AFTER_MS {
                stalled += 1;
            }
        }
        logs::emit(
            events::PREEMPTED,
            format_args!("count={count} stalled={stalled}"),
        );
    }

    fn fall_back(&mut self, sign: ramp::Sign) {
        self.admission.record_sign(self.clock.now(), sign);
        self.log_sign(sign);
    }

    fn log_sign(&self, sign: ramp::Sign) {
        let load = self.admission.load();
        self.meters.count_sign();
        logs::emit(
            events::COLD_SIGN,
            format_args!(
                "sign={sign:?} running={} limit={}",
                load.running, load.limit
            ),
        );
    }

    fn publish(&mut self) {
        let load = self.admission.load();
        self.meters.set_load(&load);
        let snapshot = gate::Snapshot {
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
