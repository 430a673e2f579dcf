//! Migration of a running generation: copies its memory to another engine and resumes it there.

use std::future;
use std::sync;

use bytes::Bytes;
use peargap_platform::engine;
use peargap_platform::head;
use rand::RngExt as _;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time;

use crate::call;
use crate::crash;
use crate::gateway;
use crate::generation;
use crate::order;
use crate::placement;
use crate::pool;
use crate::response;
use crate::run_guard;

/// Range of the random delay, in milliseconds, before a generation with a backup copy moves away
/// from a leaving engine, so that its generations do not all arrive elsewhere at once.
const MOVE_DELAY_MS: core::ops::Range<u64> = 20..300;
/// Range of the random delay, in milliseconds, before a generation continues at an engine that names
/// a limit.
const LIMIT_DELAY_MS: core::ops::Range<u64> = 0..500;
/// Delay between attempts to resume.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Maximum number of attempts to resume at the engine with the copy.
const MAX_ATTEMPTS: u32 = 3;
/// Longest time for which a generation waits for an engine's pause or limit before it resumes there.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Time limit for the response to a resume, counted from [`REFUSAL_TIMEOUT`].
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Time after which an engine that has not refused a resume is assumed to have accepted it: a
/// refusal takes one round trip.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(30);
/// Time limit for a copy of the memory. Copies queue on the engines' network links, and an engine
/// refuses to start another one while one is pending, so the limit is longer than an engine stays
/// after it has announced that it leaves.
const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(6000);

/// Why a generation moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// Its engine's stream failed.
    Broken,
    /// Its engine is leaving.
    Leaving,
}

/// Why a copy or a move failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The memory could not be copied.
    NotCopied(String),
    /// The memory can't be copied before the pause of its engine is over, which lasts for this time.
    Paused(time::Duration),
    /// The engine with the copy did not resume the generation.
    NotResumed(String),
}

/// How a copy was made, which determines the handle to resume from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// Sent by the running engine during the generation; the handle is the attempt ID.
    Backup,
    /// Copied on demand for a move.
    Move {
        /// Address of the engine that it was copied from.
        from: String,
        /// Handle of the memory at that engine.
        handle: String,
    },
}

/// A copy of a generation's memory at another engine.
#[derive(Debug)]
pub(crate) struct Copy {
    pub(crate) origin: Origin,
    pub(crate) placement: placement::Placement,
}

/// A background task of a relay; aborted on drop.
#[derive(Debug)]
pub(crate) struct Task<T> {
    /// Notified once the other engine is assumed to have accepted the resume.
    accepted: sync::Arc<Notify>,
    result: oneshot::Receiver<Result<T, Failure>>,
    task: tokio::task::JoinHandle<()>,
}

impl<T: Send + 'static> Task<T> {
    fn spawn<F>(work: impl FnOnce(sync::Arc<Notify>) -> F) -> Task<T>
    where
        F: future::Future<Output = Result<T, Failure>> + Send + 'static,
    {
        let accepted: sync::Arc<Notify> = sync::Arc::default();
        let work = work(accepted.clone());
        let (sender, result) = oneshot::channel();
        let task = tokio::spawn(async move {
            // The relay may have ended in the meantime.
            let _ = sender.send(work.await);
        });
        Task {
            accepted,
            result,
            task,
        }
    }

    /// Returns the notification that the other engine is assumed to have accepted the resume.
    pub(crate) fn accepted(&self) -> sync::Arc<Notify> {
        self.accepted.clone()
    }

    /// Waits for the result.
    pub(crate) async fn wait(&mut self) -> Result<T, Failure> {
        let ended = (&mut self.result).await;
        ended.unwrap_or_else(|_closed| {
            Err(Failure::NotResumed(
                "task ended without a result".to_owned(),
            ))
        })
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Copies the memory of a generation at `from` to the engine at `placement`; what is already there
/// is not sent again.
pub(crate) fn copy(
    attempt: Bytes,
    from: &placement::Placement,
    placement: placement::Placement,
) -> Task<Copy> {
    let engine = order::Engine::at(from);
    let from = from.address.clone();
    Task::spawn(|_accepted| async move {
        let attempt = response::attempt_text(&attempt);
        let ordered = engine.copy(&attempt, &placement.address);
        let handle = match time::timeout(COPY_TIMEOUT, ordered).await {
            Ok(Ok(engine::Moved::Copied(copy))) => copy.handle,
            Ok(Ok(moved)) => return Err(Failure::NotCopied(format!("{moved:?}"))),
            Ok(Err(order::Error::Paused(left))) => return Err(Failure::Paused(left)),
            Ok(Err(error)) => return Err(Failure::NotCopied(format!("{error:?}"))),
            Err(_elapsed) => return Err(Failure::NotCopied("copy timed out".to_owned())),
        };
        let origin = Origin::Move { from, handle };
        Ok(Copy { origin, placement })
    })
}

/// What a generation leaves as it resumes elsewhere.
#[derive(Debug)]
pub(crate) enum Former {
    /// A run that has broken off; set if the generation was beginning there.
    Broken(Option<crash::Broken>),
    /// A run that goes on at an engine that is leaving; how it may be left.
    Running(Option<sync::Arc<run_guard::Exit>>),
}

/// Resumes a generation at the engine that holds a copy, unless its beginning has ended the process of
/// the engine where it broke. One that still runs goes on until its engine may be ordered to stop it.
pub(crate) fn resume(
    gateway: gateway::Gateway,
    generation: sync::Arc<generation::Generation>,
    copy: Copy,
    former: Former,
) -> Task<generation::Run> {
    Task::spawn(|accepted| async move {
        let exit = former.examine(copy.origin == Origin::Backup).await?;
        let resumed = resume_at(&gateway, &generation, copy, exit.as_deref(), &accepted).await;
        if let (Err(_failure), Some(exit)) = (&resumed, exit) {
            exit.cancel();
        }
        resumed
    })
}

impl Former {
    /// Waits until the generation may begin to leave; fails if its beginning has ended the engine's
    /// process. Returns how a run that goes on may be left.
    async fn examine(
        self,
        has_backup: bool,
    ) -> Result<Option<sync::Arc<run_guard::Exit>>, Failure> {
        match self {
            Former::Broken(None) => Ok(None),
            Former::Broken(Some(broken)) => match broken.examine().await {
                pool::Process::Ended => Err(Failure::NotResumed(
                    "engine ended as the generation began".to_owned(),
                )),
                pool::Process::Running | pool::Process::Unknown => Ok(None),
            },
            Former::Running(exit) => {
                if has_backup {
                    let delay = rand::rng().random_range(MOVE_DELAY_MS);
                    time::sleep(time::Duration::from_millis(delay)).await;
                }
                Ok(exit)
            }
        }
    }
}

async fn resume_at(
    gateway: &gateway::Gateway,
    generation: &generation::Generation,
    copy: Copy,
    exit: Option<&run_guard::Exit>,
    accepted: &Notify,
) -> Result<generation::Run, Failure> {
    let Copy {
        origin,
        mut placement,
    } = copy;
    let mut failure = String::new();
    for _attempt in 0..MAX_ATTEMPTS {
        prepare(gateway, generation, &placement, exit).await?;
        placement.promote_copy();
        if generation.last_event().is_none() && gateway.fleet.is_quarantined(&generation.request) {
            let why = "the request is in quarantine".to_owned();
            return Err(Failure::NotResumed(why));
        }
        match try_resume(gateway, generation, &origin, &placement, accepted).await {
            Ok((sent, copy)) => {
                return Ok(generation::Run {
                    copy,
                    guard: sent.guard,
                    placement,
                    response: sent.response,
                })
            }
            Err(ResumeError::NotRun(why)) => failure = why,
            Err(ResumeError::MayHaveRun(why)) => return Err(Failure::NotResumed(why)),
        }
        time::sleep(RETRY_DELAY).await;
    }
    Err(Failure::NotResumed(failure))
}

/// Waits until the generation may resume at the engine with the copy and leave its former run.
async fn prepare(
    gateway: &gateway::Gateway,
    generation: &generation::Generation,
    placement: &placement::Placement,
    exit: Option<&run_guard::Exit>,
) -> Result<(), Failure> {
    loop {
        wait_for_pause(placement).await?;
        wait_for_limit(placement).await?;
        let Some(exit) = exit else {
            return Ok(());
        };
        match exit.prepare(&generation.request.head.attempt).await {
            run_guard::Wait::None => return Ok(()),
            run_guard::Wait::Waited if gateway.fleet.is_in_service(placement.key) => {}
            run_guard::Wait::Waited => {
                let why = "the engine with the copy went out of service".to_owned();
                return Err(Failure::NotResumed(why));
            }
        }
    }
}

/// Waits until the engine with the copy accepts requests again; fails if its pause is long.
async fn wait_for_pause(placement: &placement::Placement) -> Result<(), Failure> {
    match placement.notices.pause_left() {
        None => Ok(()),
        Some(left) if left <= MAX_PAUSE => {
            time::sleep(left).await;
            Ok(())
        }
        Some(left) => Err(Failure::NotResumed(format!(
            "engine asked for a pause, {left:?} are left"
        ))),
    }
}

/// If the engine with the copy names a limit, waits until it leaves room; fails if that takes long.
async fn wait_for_limit(placement: &placement::Placement) -> Result<(), Failure> {
    if placement.notices.may_resume().is_none() {
        return Ok(());
    }
    // Generations of many gateways continue there at the same moment, of which none has heard yet.
    let delay = rand::rng().random_range(LIMIT_DELAY_MS);
    time::sleep(time::Duration::from_millis(delay)).await;
    let deadline = time::Instant::now() + MAX_PAUSE;
    while placement.notices.may_resume() == Some(false) {
        if time::Instant::now() >= deadline {
            let why = "the limit of the engine leaves no room".to_owned();
            return Err(Failure::NotResumed(why));
        }
        time::sleep(RETRY_DELAY).await;
    }
    Ok(())
}

/// Why an attempt to resume failed.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ResumeError {
    /// The engine may have run the generation, so it must not get it again.
    MayHaveRun(String),
    /// The engine has not run the generation.
    NotRun(String),
}

async fn try_resume(
    gateway: &gateway::Gateway,
    generation: &generation::Generation,
    origin: &Origin,
    placement: &placement::Placement,
    accepted: &Notify,
) -> Result<(generation::Sent, Option<Copy>), ResumeError> {
    let last_event = generation.last_event();
    let copy = generation::place_backup(gateway, generation, placement, last_event.unwrap_or(0));
    let attempt = response::attempt_text(&generation.request.head.attempt);
    let (address, handle) = match origin {
        Origin::Backup => (placement.address.as_str(), attempt.as_ref()),
        Origin::Move { from, handle } => (from.as_str(), handle.as_str()),
    };
    let options = call::Options {
        copy_to: copy.as_ref().map(|copy| copy.placement.address.as_str()),
        resume: Some(head::Resume {
            address,
            handle,
            last_event,
        }),
    };
    placement.notices.record_sent();
    let sent = generation::send(gateway, generation, placement, options);
    let result = wait_for_response(sent, accepted).await;
    match result {
        Ok(Ok(sent)) if sent.response.head.status.is_success() => Ok((sent, copy)),
        Ok(Ok(sent)) => {
            sent.guard.finish();
            let why = format!("engine answered {}", sent.response.head.status);
            Err(ResumeError::MayHaveRun(why))
        }
        Ok(Err(failure)) if failure.may_have_run() => {
            Err(ResumeError::MayHaveRun(format!("{failure:?}")))
        }
        Ok(Err(failure)) => Err(ResumeError::NotRun(format!("{failure:?}"))),
        Err(_elapsed) => Err(ResumeError::MayHaveRun("resume timed out".to_owned())),
    }
}

/// Waits for an engine's response to a resume. Notifies `accepted` if none arrives within
/// [`REFUSAL_TIMEOUT`].
async fn wait_for_response<T>(
    sent: impl future::Future<Output = T>,
    accepted: &Notify,
) -> Result<T, time::error::Elapsed> {
    let mut sent = core::pin::pin!(sent);
    if let Ok(result) = time::timeout(REFUSAL_TIMEOUT, &mut sent).await {
        return Ok(result);
    }
    accepted.notify_one();
    time::timeout(RESUME_TIMEOUT, sent).await
}
