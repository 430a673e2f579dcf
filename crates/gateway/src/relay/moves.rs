//! Moves of a relayed generation to another engine, and the copies of its memory that they need.

use peargap_adapters::logs;
use peargap_core::balance;
use tokio::time;

use crate::event_buffer;
use crate::events;
use crate::generation;
use crate::meters;
use crate::migrate;
use crate::placement;
use crate::relay;
use crate::source;

/// Delay before another attempt to copy a generation away from a leaving engine.
const COPY_RETRY: time::Duration = time::Duration::from_millis(60);

impl relay::Relay {
    /// Starts a move or a copy if the state of the current engine or of the copy requires it.
    pub(super) fn check_engine(&mut self) -> relay::Next {
        self.retry_copy_at = None;
        if self.moving.is_some() {
            return relay::Next::Continue;
        }
        let fleet = &self.gateway.fleet;
        let is_usable = |copy: &migrate::Copy| fleet.is_in_service(copy.placement.key);
        if matches!(self.source, source::Source::Stopped) {
            return self.move_away(migrate::Reason::Broken);
        }
        let is_leaving = fleet.is_leaving(self.placement.key);
        if !self.copy.as_ref().is_some_and(is_usable) {
            self.copy = None;
        }
        match is_leaving {
            true => self.move_away(migrate::Reason::Leaving),
            false => relay::Next::Continue,
        }
    }

    /// Starts the move to the engine with a copy. Without a copy, the response ends if the engine
    /// has failed, and a copy is started if it is leaving.
    fn move_away(&mut self, reason: migrate::Reason) -> relay::Next {
        let broken = self.broken.take();
        if let Some(copy) = self.copy.take() {
            logs::emit(
                events::MOVE_STARTED,
                format_args!(
                    "request={} from={} to={} why={reason:?} events={}",
                    self.attempt(),
                    self.placement.name,
                    copy.placement.name,
                    self.events
                ),
            );
            let gateway = self.gateway.clone();
            let generation = self.generation.clone();
            let former = match reason {
                migrate::Reason::Broken => migrate::Former::Broken(broken),
                migrate::Reason::Leaving => migrate::Former::Running(self.source.exit()),
            };
            self.moving = Some(migrate::resume(gateway, generation, copy, former));
            return relay::Next::Continue;
        }
        if let Some(broken) = broken {
            tokio::spawn(broken.examine());
        }
        match reason {
            migrate::Reason::Broken => relay::Next::Broken("upstream's stream failed"),
            migrate::Reason::Leaving => {
                if self.copying.is_none() && self.generation.can_move() {
                    let has_failed = !self.start_copy();
                    self.retry_copy_at = has_failed.then(|| time::Instant::now() + COPY_RETRY);
                }
                relay::Next::Continue
            }
        }
    }

    /// Starts a copy on demand; returns false if no engine has capacity for it.
    fn start_copy(&mut self) -> bool {
        let found = generation::place_copy(
            &self.gateway,
            &self.generation,
            &self.placement,
            self.events,
            balance::Purpose::Move,
        );
        let Some(placement) = found else {
            return false;
        };
        self.copying = Some(self.copy_to(placement));
        true
    }

    fn copy_to(&self, placement: placement::Placement) -> migrate::Task<migrate::Copy> {
        let attempt = self.generation.request.head.attempt.clone();
        migrate::copy(attempt, &self.placement, placement)
    }

    pub(super) fn finish_copy(
        &mut self,
        result: Result<Box<migrate::Copy>, migrate::Failure>,
    ) -> relay::Next {
        self.copying = None;
        match result {
            Ok(copy) => {
                logs::emit(
                    events::COPY_COMPLETED,
                    format_args!(
                        "request={} from={} to={}",
                        self.attempt(),
                        self.placement.name,
                        copy.placement.name
                    ),
                );
                self.gateway.meters.count_copy(meters::Outcome::Done);
                self.copy = Some(*copy);
                return self.check_engine();
            }
            Err(failure) => {
                self.gateway.meters.count_copy(meters::Outcome::Failed);
                self.log_failure(&failure);
                let delay = match failure {
                    migrate::Failure::Paused(left) => left,
                    migrate::Failure::NotCopied(_) | migrate::Failure::NotResumed(_) => COPY_RETRY,
                };
                self.retry_copy_at = Some(time::Instant::now() + delay);
            }
        }
        relay::Next::Continue
    }

    pub(super) fn finish_move(
        &mut self,
        result: Result<Box<generation::Run>, migrate::Failure>,
    ) -> relay::Next {
        self.moving = None;
        match result {
            Ok(run) => {
                logs::emit(
                    events::MOVE_COMPLETED,
                    format_args!(
                        "request={} from={} to={} events={}",
                        self.attempt(),
                        self.placement.name,
                        run.placement.name,
                        self.events
                    ),
                );
                self.gateway.meters.count_move(meters::Outcome::Done);
                self.moves += 1;
                self.buffer = event_buffer::EventBuffer::new(run.response.arriving.clone());
                self.source = source::Source::new(run.response, run.guard);
                self.placement = run.placement;
                self.copy = run.copy;
            }
            Err(failure) => {
                self.gateway.meters.count_move(meters::Outcome::Failed);
                self.log_failure(&failure);
            }
        }
        self.check_engine()
    }

    fn log_failure(&self, failure: &migrate::Failure) {
        logs::emit(
            events::MOVE_FAILED,
            format_args!(
                "request={} from={} why={failure:?}",
                self.attempt(),
                self.placement.name
            ),
        );
    }
}
