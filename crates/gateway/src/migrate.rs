//! Moves a running generation to another engine.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use peargap_platform::engine;
use peargap_platform::head;
use rand::RngExt as _;
use tokio::sync::oneshot;
use tokio::time;

use crate::answer;
use crate::call;
use crate::fleet;
use crate::gateway;
use crate::generation;
use crate::pool;

/// Time after a notice within which generations begin to move, spread so that they do not all
/// arrive at once.
const SPREAD_MS: core::ops::Range<u64> = 50..600;
/// Time between two tries.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// Tries to go on at a copy.
const MAX_TRIES: u32 = 4;
/// Time that an engine has to say that it goes on.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Time that a copy of the memory may take.
const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Why a generation moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// Its engine broke off.
    Broken,
    /// Its engine leaves soon.
    Leaving,
}

/// Why a move failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The memory could not be copied.
    NotCopied(String),
    /// No engine has room.
    NoRoom,
    /// The engine with the copy did not go on.
    NotResumed(String),
}

/// What a move starts from.
#[derive(Debug)]
pub(crate) struct Start {
    /// Engine that holds a copy.
    pub(crate) copy: Option<fleet::Place>,
    pub(crate) from_address: String,
    pub(crate) from_key: fleet::UpstreamKey,
    pub(crate) from_pool: sync::Arc<pool::Pool>,
    pub(crate) gateway: gateway::Gateway,
    pub(crate) generation: sync::Arc<generation::Generation>,
    pub(crate) reason: Reason,
    /// Tokens that the generation holds.
    pub(crate) tokens: u64,
}

/// A move on its way; dropped, it ends.
#[derive(Debug)]
pub(crate) struct Migration {
    result: oneshot::Receiver<Result<generation::Run, Failure>>,
    stopped: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl Migration {
    /// Starts a move.
    pub(crate) fn start(start: Start) -> Migration {
        let (sender, result) = oneshot::channel();
        let stopped: sync::Arc<atomic::AtomicBool> = sync::Arc::default();
        let flag = stopped.clone();
        let task = tokio::spawn(async move {
            // The relay may have ended meanwhile.
            let _ = sender.send(run(start, &flag).await);
        });
        Migration {
            result,
            stopped,
            task,
        }
    }

    /// Waits for the move's end.
    pub(crate) async fn done(&mut self) -> Result<generation::Run, Failure> {
        let ended = (&mut self.result).await;
        ended.unwrap_or_else(|_closed| Err(Failure::NotResumed("the move ended".to_owned())))
    }

    /// Returns whether the last copy was asked for, which stops the run at its engine.
    pub(crate) fn has_stopped_run(&self) -> bool {
        self.stopped.load(atomic::Ordering::Acquire)
    }
}

impl Drop for Migration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    mut start: Start,
    stopped: &atomic::AtomicBool,
) -> Result<generation::Run, Failure> {
    if start.reason == Reason::Leaving {
        let delay = rand::rng().random_range(SPREAD_MS);
        time::sleep(time::Duration::from_millis(delay)).await;
    }
    let mut failure = Failure::NoRoom;
    if let Some(copy) = start.copy.take() {
        match resume_at_copy(&start, copy).await {
            Ok(run) => return Ok(run),
            Err(failed) => failure = failed,
        }
    }
    match start.reason {
        Reason::Broken => Err(failure),
        Reason::Leaving => move_away(&start, stopped).await,
    }
}

/// Goes on at the engine that received a copy while the generation ran.
async fn resume_at_copy(start: &Start, copy: fleet::Place) -> Result<generation::Run, Failure> {
    let address = copy.address.clone();
    let attempt = answer::show(&start.generation.request.head.attempt).into_owned();
    let mut place = become_run(start, copy)?;
    let mut failure = String::new();
    for _try in 0..MAX_TRIES {
        match resume(start, place, &address, &attempt).await {
            Ok(run) => return Ok(run),
            Err(Refused { back, why }) => {
                place = back;
                failure = why;
            }
        }
        time::sleep(RETRY_DELAY).await;
    }
    Err(Failure::NotResumed(failure))
}

/// Counts a copy's engine as running the generation.
fn become_run(start: &Start, copy: fleet::Place) -> Result<fleet::Place, Failure> {
    let key = copy.key;
    drop(copy);
    let need = start.need(&[]);
    let place = start.gateway.fleet.place_at(key, need);
    place.ok_or(Failure::NoRoom)
}

/// Copies the memory to another engine and goes on there.
async fn move_away(
    start: &Start,
    stopped: &atomic::AtomicBool,
) -> Result<generation::Run, Failure> {
    if !start.generation.engine.moves {
        return Err(Failure::NotCopied("engines do not copy".to_owned()));
    }
    let place = start.gateway.fleet.place_generation(start.need(&[start.from_key]));
    let place = place.map_err(|_miss| Failure::NoRoom)?;
    copy_memory(start, &place, false).await?;
    stopped.store(true, atomic::Ordering::Release);
    let copy = copy_memory(start, &place, true).await?;
    let from = start.from_address.clone();
    match resume(start, place, &from, &copy.handle).await {
        Ok(run) => Ok(run),
        Err(refused) => Err(Failure::NotResumed(refused.why)),
    }
}

async fn copy_memory(
    start: &Start,
    place: &fleet::Place,
    last: bool,
) -> Result<engine::Copy, Failure> {
    let attempt = answer::show(&start.generation.request.head.attempt);
    let request = engine::build_move(&attempt, &place.address, last);
    let copied = call_engine(&start.from_pool, request);
    match time::timeout(COPY_TIMEOUT, copied).await {
        Ok(Ok(body)) => {
            engine::read_copy(&body).ok_or_else(|| Failure::NotCopied("no handle".to_owned()))
        }
        Ok(Err(why)) => Err(Failure::NotCopied(why)),
        Err(_elapsed) => Err(Failure::NotCopied("no copy in time".to_owned())),
    }
}

/// Calls an engine besides requests; returns the body of a 200.
async fn call_engine(
    pool: &sync::Arc<pool::Pool>,
    request: http::Request<Bytes>,
) -> Result<Bytes, String> {
    let mut sender = pool.acquire().await?.sender;
    let sent = sender.send_request(request.map(Full::new)).await;
    let (head, body) = sent.map_err(|error| error.to_string())?.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    pool.release(sender, None);
    match head.status.is_success() {
        true => Ok(body.to_bytes()),
        false => Err(format!("engine said {}", head.status)),
    }
}

/// A resume that the engine did not run.
struct Refused {
    back: fleet::Place,
    why: String,
}

async fn resume(
    start: &Start,
    place: fleet::Place,
    address: &str,
    handle: &str,
) -> Result<generation::Run, Refused> {
    let generation = &start.generation;
    let events = generation.last_event().unwrap_or(0);
    let copy = generation::place_copy(&start.gateway, generation, &place, events);
    let way = call::Way {
        copy_to: copy.as_ref().map(|copy| copy.address.as_str()),
        resume: Some(head::Resume {
            address,
            handle,
            last_event: generation.last_event(),
        }),
    };
    let sent = call::send(&generation.request, &place, way);
    let why = match time::timeout(RESUME_TIMEOUT, sent).await {
        Ok(Ok(answer)) if answer.head.status.is_success() => {
            return Ok(generation::Run {
                answer,
                copy,
                place,
            });
        }
        Ok(Ok(answer)) => format!("engine said {}", answer.head.status),
        Ok(Err(failure)) => format!("{failure:?}"),
        Err(_elapsed) => "no answer in time".to_owned(),
    };
    Err(Refused { back: place, why })
}

impl Start {
    fn need<'a>(&'a self, except: &'a [fleet::UpstreamKey]) -> fleet::Need<'a> {
        fleet::Need {
            except,
            service: &self.generation.service,
            tokens: self.tokens,
        }
    }
}
