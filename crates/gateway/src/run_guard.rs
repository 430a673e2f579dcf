//! Ends the runs of generations that go on elsewhere, or that nobody waits for any more.
//!
//! Most engines drop a run when its connection closes; some work on. So an engine whose run was given
//! up before its end is ordered to stop it. Nearly all answer that there is no such run.
//!
//! An engine in a pause gets few orders. So a generation that runs well takes the permit for the order
//! before it goes on elsewhere, and goes on where it is until it gets one.

use core::time::Duration;
use std::sync;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_platform::engine;
use tokio::runtime;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::fleet;
use crate::generation;
use crate::meters;
use crate::order;
use crate::placement;
use crate::pool;
use crate::response;

/// Time in which an engine drops a run whose connection has closed. An order that came earlier would
/// stop the run, and copy its memory for nothing.
const DROP_TIME: Duration = Duration::from_millis(100);
/// Time between the first two orders, if the first gets no clear answer. It doubles with each order.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Orders to stop a run at most.
const MAX_ORDERS: u32 = 7;
/// Longest pause after which memory that a stopped run has left is still freed. The engine frees it by
/// itself some seconds after the copy.
const MAX_FREE_DELAY: Duration = Duration::from_secs(6);
/// Time limit for the answer to an order. The run has stopped long before: the answer waits until the
/// memory is copied.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Engines at which a generation runs, shared with its guards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engines(sync::Arc<sync::Mutex<Vec<fleet::UpstreamKey>>>);

impl Engines {
    fn add(&self, key: fleet::UpstreamKey) {
        self.lock().push(key);
    }

    fn contains(&self, key: fleet::UpstreamKey) -> bool {
        self.lock().contains(&key)
    }

    fn remove(&self, key: fleet::UpstreamKey) {
        let mut keys = self.lock();
        if let Some(index) = keys.iter().position(|other| *other == key) {
            keys.swap_remove(index);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<fleet::UpstreamKey>> {
        let locked = self.0.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A run of a generation at an engine. The engine is ordered to stop it if the guard is dropped before
/// [`Guard::finish`].
#[derive(Debug)]
pub(crate) struct Guard {
    /// `None` once the run has ended, and for services without engines.
    run: Option<Run>,
}

#[derive(Debug)]
struct Run {
    attempt: Bytes,
    /// When the engine stops it by itself.
    deadline: time::Instant,
    engines: Engines,
    exit: sync::Arc<Exit>,
    fleet: fleet::Fleet,
    key: fleet::UpstreamKey,
    meters: meters::Meters,
    /// Name of its service.
    service: String,
}

/// How a run may be left, shared by its guard and the move of its generation to another engine.
#[derive(Debug)]
pub(crate) struct Exit {
    engine: order::Engine,
    /// Cancelled once the run has ended or was given up.
    left: CancellationToken,
    /// Permit for the order to stop the run, while the generation is about to go on elsewhere.
    permit: sync::Mutex<Option<order::Permit>>,
}

/// Whether a generation had to wait before it could leave a run that goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wait {
    /// It may leave at once.
    None,
    /// It may leave after the end of a pause, so that what was known of other engines may be old.
    Waited,
}

impl Exit {
    /// Waits until the engine may be ordered to stop the run, or the run has been given up.
    pub(crate) async fn prepare(&self, attempt: &Bytes) -> Wait {
        let mut wait = Wait::None;
        while let Err(left) = self.take_permit() {
            if wait == Wait::None {
                logs::emit(
                    events::MOVE_DELAYED,
                    format_args!(
                        "request={} from={} pause_left_ms={}",
                        response::attempt_text(attempt),
                        self.engine.name,
                        left.as_millis()
                    ),
                );
            }
            wait = Wait::Waited;
            tokio::select! {
                () = self.left.cancelled() => return Wait::None,
                () = time::sleep(left) => {}
            }
        }
        wait
    }

    /// Takes a permit for the order to stop the run, unless there is one that holds in a pause.
    fn take_permit(&self) -> Result<(), Duration> {
        let mut permit = self.lock();
        if self.left.is_cancelled() || permit.as_ref().is_some_and(order::Permit::is_counted) {
            return Ok(());
        }
        *permit = Some(self.engine.permit()?);
        Ok(())
    }

    /// Returns the permit, as the generation stays where it is.
    pub(crate) fn cancel(&self) {
        drop(self.lock().take());
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<order::Permit>> {
        let locked = self.permit.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The engine's process had ended.
    Absent,
    /// The engine had dropped it.
    Dropped,
    /// The generation runs there again.
    Resumed,
    /// The order has stopped it.
    Stopped,
    /// It is not known whether it has ended.
    Unknown,
}

impl End {
    /// Returns the label value for metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            End::Absent => "absent",
            End::Dropped => "dropped",
            End::Resumed => "resumed",
            End::Stopped => "stopped",
            End::Unknown => "unknown",
        }
    }
}

/// What to do after an order.
enum Next {
    End(End),
    /// Free this memory, which the order has left behind.
    Free(String),
    /// Give the order again.
    Retry(String),
}

impl Guard {
    /// Returns the guard of a run that is about to begin at `placement`.
    pub(crate) fn begin(
        fleet: &fleet::Fleet,
        meters: &meters::Meters,
        generation: &generation::Generation,
        placement: &placement::Placement,
    ) -> Guard {
        // Engines whose memory can't move know no order that stops a run.
        let run = generation.can_move().then(|| Run {
            attempt: generation.request.head.attempt.clone(),
            deadline: generation.request.deadline,
            engines: generation.engines.clone(),
            exit: sync::Arc::new(Exit {
                engine: order::Engine::at(placement),
                left: CancellationToken::new(),
                permit: sync::Mutex::default(),
            }),
            fleet: fleet.clone(),
            key: placement.key,
            meters: meters.clone(),
            service: generation.service.name.clone(),
        });
        if run.is_some() {
            generation.engines.add(placement.key);
        }
        Guard { run }
    }

    /// Returns how the run may be left; `None` if no order would stop it.
    pub(crate) fn exit(&self) -> Option<sync::Arc<Exit>> {
        let run = self.run.as_ref()?;
        Some(run.exit.clone())
    }

    /// Records that the run has ended at its engine, or has not begun there.
    pub(crate) fn finish(mut self) {
        if let Some(run) = self.run.take() {
            run.engines.remove(run.key);
            run.exit.left.cancel();
            run.exit.cancel();
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        run.engines.remove(run.key);
        run.exit.left.cancel();
        // Engines stop runs by themselves at their deadline.
        if time::Instant::now() >= run.deadline {
            return;
        }
        // Fails only as the process ends.
        if let Ok(runtime) = runtime::Handle::try_current() {
            runtime.spawn(run.end());
        }
    }
}

impl Run {
    /// Has the engine stop the run, and logs how it ended.
    async fn end(self) {
        let closed = time::Instant::now();
        time::sleep(DROP_TIME).await;
        let end = self.stop().await;
        self.meters.count_run_end(end);
        let event = match end {
            End::Absent | End::Dropped | End::Resumed => events::RUN_DROPPED,
            End::Stopped => events::RUN_STOPPED,
            End::Unknown => events::RUN_NOT_STOPPED,
        };
        logs::emit(
            event,
            format_args!(
                "request={} upstream={} end={end:?} since_close_ms={}",
                response::attempt_text(&self.attempt),
                self.exit.engine.name,
                closed.elapsed().as_millis()
            ),
        );
    }

    async fn stop(&self) -> End {
        let mut delay = RETRY_DELAY;
        let mut orders = 0;
        while orders < MAX_ORDERS && time::Instant::now() < self.deadline {
            if self.engines.contains(self.key) {
                return End::Resumed;
            }
            let permit = match self.take_permit() {
                Ok(permit) => permit,
                Err(left) => {
                    self.log_delay(left);
                    time::sleep(left).await;
                    continue;
                }
            };
            orders += 1;
            match self.order_stop(permit).await {
                Next::End(end) => return end,
                Next::Free(handle) => {
                    self.free(&handle).await;
                    return End::Stopped;
                }
                Next::Retry(why) => logs::emit(
                    events::STOP_REPEATED,
                    format_args!(
                        "request={} upstream={} why={why}",
                        response::attempt_text(&self.attempt),
                        self.exit.engine.name
                    ),
                ),
            }
            time::sleep(delay).await;
            delay *= 2;
        }
        End::Unknown
    }

    /// Returns the permit that was taken before the run was left, or takes one.
    fn take_permit(&self) -> Result<order::Permit, Duration> {
        let taken = self.exit.lock().take();
        taken.map_or_else(|| self.exit.engine.permit(), Ok)
    }

    fn log_delay(&self, left: Duration) {
        logs::emit(
            events::STOP_DELAYED,
            format_args!(
                "request={} upstream={} pause_left_ms={}",
                response::attempt_text(&self.attempt),
                self.exit.engine.name,
                left.as_millis()
            ),
        );
    }

    async fn order_stop(&self, permit: order::Permit) -> Next {
        let Some(target) = self.fleet.find_other(self.key, &self.service) else {
            return Next::End(End::Unknown);
        };
        let attempt = response::attempt_text(&self.attempt);
        let ordered = self.exit.engine.stop(&attempt, &target, permit);
        match time::timeout(ORDER_TIMEOUT, ordered).await {
            Ok(Ok(engine::Moved::NoRun)) => Next::End(End::Dropped),
            Ok(Ok(engine::Moved::Copied(copy))) => Next::Free(copy.handle),
            Ok(Ok(engine::Moved::NotCopied(Some(handle)))) => Next::Free(handle),
            Ok(Ok(moved)) => Next::Retry(format!("{moved:?}")),
            Ok(Err(order::Error::Unreachable(pool::Error::Refused))) => Next::End(End::Absent),
            Ok(Err(error)) => Next::Retry(format!("{error:?}")),
            Err(_elapsed) => Next::Retry("order timed out".to_owned()),
        }
    }

    /// Frees the memory that the order has left at the engine and at its target, after a pause.
    async fn free(&self, handle: &str) {
        let since = time::Instant::now();
        let freed = loop {
            let freed = time::timeout(ORDER_TIMEOUT, self.exit.engine.free(handle)).await;
            match freed {
                Ok(Err(order::Error::Paused(left))) if since.elapsed() + left <= MAX_FREE_DELAY => {
                    time::sleep(left).await;
                }
                freed => break freed,
            }
        };
        if !matches!(freed, Ok(Ok(true))) {
            logs::emit(
                events::MEMORY_NOT_FREED,
                format_args!(
                    "request={} upstream={} handle={handle} result={freed:?}",
                    response::attempt_text(&self.attempt),
                    self.exit.engine.name
                ),
            );
        }
    }
}
