//! Forwards a link's messages to the caller through bounded buffers.

use core::time;
use std::collections;

use bytes::BufMut as _;
use bytes::BytesMut;
use peargap_adapters::logs;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio::time as clock;

use crate::app;
use crate::disconnect;
use crate::events;
use crate::link;
use crate::output;
use crate::progress;
use crate::refusal;

/// Capacity of the channel to the caller's response.
pub(crate) const OUTPUT_BUFFER: usize = 16;
/// Number of outputs queued behind the full channel at which the link is no longer read.
const MAX_PENDING: usize = 64;
/// Number of newly written tokens that are acknowledged without waiting for the next tick.
const ACK_TOKENS: u64 = 64;
/// Time without output after which a keep-alive comment is sent.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time after the deadline in which the agent may still report that it was exceeded.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Why forwarding from a link ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The caller needs nothing more.
    Done,
    /// The agent reported a failure.
    Failed(wire::Failed),
    /// The link is unusable, for this reason; it may be replaced.
    Lost(&'static str),
    /// The entry itself refused to continue.
    Refused(refusal::Refusal),
}

/// The relay's state towards its caller.
#[derive(Debug)]
pub(crate) struct Caller {
    acked: u64,
    delivery: output::Delivery,
    /// Text for a caller that gets it in one response.
    collected: BytesMut,
    deadline: clock::Instant,
    first_token_at: Option<clock::Instant>,
    last_token_at: clock::Instant,
    /// Outputs queued behind the full channel.
    pending: collections::VecDeque<output::Output>,
    outputs: mpsc::Sender<output::Output>,
    pub(crate) progress: progress::Progress,
    started: clock::Instant,
    /// When the caller's response last took an output, or the last keep-alive was queued.
    last_sent_at: clock::Instant,
    written: progress::WrittenOffset,
}

enum Next {
    Link(link::Event),
    Sent,
    Tick,
}

/// Result of a periodic check.
enum Check {
    Deadline,
    Continue,
    Disconnected,
    Draining,
    Silent,
    Stalled,
}

impl Caller {
    pub(crate) fn new(
        delivery: output::Delivery,
        deadline: clock::Instant,
        outputs: mpsc::Sender<output::Output>,
        written: progress::WrittenOffset,
    ) -> Caller {
        let started = clock::Instant::now();
        Caller {
            acked: 0,
            delivery,
            collected: BytesMut::new(),
            deadline,
            first_token_at: None,
            last_token_at: started,
            pending: collections::VecDeque::new(),
            outputs,
            progress: progress::Progress::default(),
            started,
            last_sent_at: started,
            written,
        }
    }

    /// Discards the output of an earlier attempt.
    pub(crate) fn reset(&mut self) {
        self.collected.clear();
        self.progress = progress::Progress::default();
        self.written.set(0);
        self.acked = 0;
    }

    /// Resolves when the caller has disconnected.
    pub(crate) async fn disconnected(&self) {
        self.outputs.closed().await;
    }

    /// Returns the time since the request arrived.
    pub(crate) fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Returns the time from the request to the first token, if there was one.
    pub(crate) fn first_token(&self) -> Option<time::Duration> {
        self.first_token_at.map(|at| at - self.started)
    }

    /// Returns the milliseconds left until the deadline, at least 1.
    pub(crate) fn remaining_ms(&self) -> u32 {
        app::millis_until(self.deadline)
    }

    /// Sends the queued outputs and then the last one, `output`.
    pub(crate) async fn send_final(&mut self, output: output::Output) {
        self.pending.push_back(output);
        while let Some(output) = self.pending.pop_front() {
            if self.outputs.send(output).await.is_err() {
                return;
            }
        }
    }

    /// Forwards a link's messages until one side ends.
    pub(crate) async fn pump(&mut self, app: &app::App, mut link: link::Link) -> End {
        let mut timer = clock::interval(link::TICK_INTERVAL);
        timer.set_missed_tick_behavior(clock::MissedTickBehavior::Delay);
        self.last_sent_at = clock::Instant::now();
        loop {
            match self.await_next(&mut link, &mut timer).await {
                Next::Link(event) => {
                    if let Some(end) = self.handle_event(app, event) {
                        return self.finish_link(end, link).await;
                    }
                    self.send_pending();
                    self.ack(&link, ACK_TOKENS);
                }
                Next::Sent => {
                    self.last_sent_at = clock::Instant::now();
                    if self.pending.len() + 1 == MAX_PENDING {
                        link.reset_silence();
                    }
                }
                Next::Tick => {
                    link.tick();
                    self.ack(&link, 1);
                    match self.check(app, &link) {
                        Check::Continue => self.keep_alive(),
                        check => return self.stop(app, link, check).await,
                    }
                }
            }
        }
    }

    /// Waits for a message, for room in the channel, or for the tick.
    ///
    /// This runs for every token, so timeouts are checked on the tick instead of with timers.
    async fn await_next(&mut self, link: &mut link::Link, timer: &mut clock::Interval) -> Next {
        let waiting = !self.pending.is_empty();
        let reading = self.pending.len() < MAX_PENDING;
        tokio::select! {
            biased;
            _ = timer.tick() => Next::Tick,
            Ok(permit) = self.outputs.reserve(), if waiting => {
                if let Some(output) = self.pending.pop_front() {
                    permit.send(output);
                }
                Next::Sent
            }
            event = link.next(), if reading => Next::Link(event),
        }
    }

    /// Sends queued outputs while the channel has room.
    fn send_pending(&mut self) {
        while let Some(output) = self.pending.pop_front() {
            match self.outputs.try_send(output) {
                Ok(()) => self.last_sent_at = self.last_token_at,
                Err(mpsc::error::TrySendError::Full(output)) => {
                    self.pending.push_front(output);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
    }

    fn check(&self, app: &app::App, link: &link::Link) -> Check {
        let now = clock::Instant::now();
        let waiting = !self.pending.is_empty();
        let reading = self.pending.len() < MAX_PENDING;
        if self.outputs.is_closed() {
            return Check::Disconnected;
        }
        if reading && now >= link.silence_deadline() {
            return Check::Silent;
        }
        if now >= self.deadline + DEADLINE_MARGIN {
            return Check::Deadline;
        }
        if waiting && now >= self.last_sent_at + app.settings.limits.stalled_reader {
            return Check::Stalled;
        }
        if app.streams_end.is_cancelled() && self.delivery != output::Delivery::Buffered {
            return Check::Draining;
        }
        Check::Continue
    }

    async fn stop(&mut self, app: &app::App, link: link::Link, check: Check) -> End {
        match check {
            Check::Deadline => {
                link.cancel();
                End::Refused(self.refuse_deadline())
            }
            Check::Disconnected => {
                self.handle_disconnect(app, link).await;
                End::Done
            }
            Check::Draining => {
                self.send_final(output::Output::ResumeElsewhere).await;
                End::Done
            }
            Check::Continue | Check::Silent => End::Lost("silent"),
            Check::Stalled => {
                let offset = self.written.get();
                logs::emit(events::CALLER_STALLED, format_args!("written={offset}"));
                link.cancel();
                End::Done
            }
        }
    }

    /// Queues a keep-alive on a stream without recent output.
    fn keep_alive(&mut self) {
        let quiet = self.last_sent_at.elapsed() >= KEEP_ALIVE_INTERVAL;
        if quiet && self.pending.is_empty() && self.delivery != output::Delivery::Buffered {
            self.last_sent_at = clock::Instant::now();
            self.pending.push_back(output::Output::KeepAlive);
            self.send_pending();
        }
    }

    /// Handles a link event; returns the reason if forwarding ends with it.
    fn handle_event(&mut self, app: &app::App, event: link::Event) -> Option<End> {
        match event {
            link::Event::Accepted(accepted) => self.handle_accepted(&accepted.generation),
            link::Event::Chunk(chunk) => self.handle_chunk(app, chunk),
            link::Event::Failed(failed) => Some(End::Failed(failed)),
            link::Event::Finished(finished) => {
                self.queue_collected();
                self.pending.push_back(output::Output::Finished(finished));
                Some(End::Done)
            }
            link::Event::Lost => Some(End::Lost("closed")),
        }
    }

    fn handle_accepted(&mut self, generation: &str) -> Option<End> {
        match self.progress.check_generation(generation) {
            progress::GenerationCheck::New => {
                let generation = self.progress.generation()?;
                self.pending.push_back(output::Output::Accepted(generation));
                None
            }
            progress::GenerationCheck::Mismatch => Some(End::Refused(refuse_broken())),
            progress::GenerationCheck::Known => None,
        }
    }

    fn handle_chunk(&mut self, app: &app::App, chunk: wire::Chunk) -> Option<End> {
        if self.progress.generation().is_none() {
            return Some(End::Refused(refuse_broken()));
        }
        match self.progress.accept_chunk(chunk.offset, chunk.tokens) {
            progress::ChunkAction::Deliver { offset, tokens } => {
                self.record_tokens(app, tokens.len());
                if self.delivery == output::Delivery::Buffered {
                    tokens
                        .iter()
                        .for_each(|token| self.collected.put_slice(token));
                    self.written.set(self.progress.next_offset());
                } else {
                    self.progress.set_delivered();
                    let output = output::Output::Tokens { offset, tokens };
                    self.pending.push_back(output);
                }
                None
            }
            progress::ChunkAction::Gap => Some(End::Lost("gap")),
            progress::ChunkAction::Ignore => None,
        }
    }

    /// Queues the collected text of an answer that is delivered in one response.
    fn queue_collected(&mut self) {
        if !self.collected.is_empty() {
            let tokens = vec![self.collected.split().freeze()];
            let output = output::Output::Tokens { offset: 0, tokens };
            self.pending.push_back(output);
        }
    }

    fn record_tokens(&mut self, app: &app::App, tokens: usize) {
        let now = clock::Instant::now();
        match self.first_token_at {
            None => {
                self.first_token_at = Some(now);
                app.metrics.record_first_token(now - self.started);
            }
            Some(_) => app.metrics.record_gap(now - self.last_token_at, tokens),
        }
        self.last_token_at = now;
    }

    fn ack(&mut self, link: &link::Link, min_tokens: u64) {
        let written = self.written.get();
        if written >= self.acked + min_tokens {
            self.acked = written;
            link.ack(written);
        }
    }

    /// Flushes the queue and acknowledges after a complete answer; cancels a refused generation.
    async fn finish_link(&mut self, end: End, mut link: link::Link) -> End {
        match end {
            End::Done => {
                while let Some(output) = self.pending.pop_front() {
                    if !self.send_with_heartbeats(output, &mut link).await {
                        break;
                    }
                }
                link.ack(self.written.get());
                End::Done
            }
            End::Refused(refusal) => {
                link.cancel();
                End::Refused(refusal)
            }
            End::Failed(_) | End::Lost(_) => end,
        }
    }

    /// Sends an output while heartbeats continue; returns false if the caller has disconnected.
    async fn send_with_heartbeats(
        &mut self,
        output: output::Output,
        link: &mut link::Link,
    ) -> bool {
        let mut timer = clock::interval(link::TICK_INTERVAL);
        loop {
            tokio::select! {
                permit = self.outputs.reserve() => {
                    let Ok(permit) = permit else { return false };
                    permit.send(output);
                    return true;
                }
                _ = timer.tick() => link.tick(),
            }
        }
    }

    /// Cancels the generation of a caller that disconnected, after its grace period.
    async fn handle_disconnect(&self, app: &app::App, link: link::Link) {
        let offset = self.written.get();
        logs::emit(
            events::CALLER_DISCONNECTED,
            format_args!("written={offset}"),
        );
        let grace = match self.delivery {
            output::Delivery::Stream { grace } if self.progress.is_delivered() => grace,
            output::Delivery::Stream { .. } | output::Delivery::Buffered => time::Duration::ZERO,
        };
        disconnect::cancel_after(app, link, grace).await;
    }

    fn refuse_deadline(&self) -> refusal::Refusal {
        let ran = if self.progress.has_tokens() {
            refusal::Ran::Yes
        } else {
            refusal::Ran::Unknown
        };
        let message = "The request was not answered within its deadline.";
        refusal::Refusal::not_run(refusal::Code::Deadline, message).with_ran(ran)
    }
}

fn refuse_broken() -> refusal::Refusal {
    refusal::Refusal::failed(refusal::Ran::Unknown, "The upstream violated the protocol.")
}
