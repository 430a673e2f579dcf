//! Parses the engine's SSE response into tokens.

use core::future;
use core::pin;
use core::time;
use std::sync;

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures::Stream as _;
use futures::StreamExt as _;
use hyper::body;
use peargap_adapters::body_budget;

/// Data of the event that terminates the stream.
const DONE: &str = "[DONE]";
/// Why a response is not read on that was ended as the budget of memory is exceeded.
const NO_MEMORY: &str = "no memory for an event that does not end";

type Frames = pin::Pin<Box<dyn futures::Stream<Item = Result<Bytes, hyper::Error>> + Send>>;
type Error = eventsource_stream::EventStreamError<hyper::Error>;
type Events = pin::Pin<Box<eventsource_stream::EventStream<Frames>>>;

/// Bytes that may arrive without a complete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What has arrived of a response.
#[derive(Debug)]
struct Arrival {
    /// Bytes since the last complete event.
    bytes: usize,
    /// Counts them to the budget of memory.
    hold: body_budget::Hold,
    last_frame_at: tokio::time::Instant,
}

/// Reader of the events of one response.
pub(crate) struct Reader {
    arrival: sync::Arc<sync::Mutex<Arrival>>,
    events: Events,
    hold: body_budget::Hold,
    silent_after: time::Duration,
}

impl core::fmt::Debug for Reader {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.debug_struct("Reader").finish_non_exhaustive()
    }
}

/// Next item of the response.
#[derive(Debug, PartialEq)]
pub(crate) enum Item {
    /// The response is complete.
    Done,
    /// The engine reported an error, in its own words.
    Failed(String),
    /// The connection broke or the event is malformed.
    Lost(String),
    /// Nothing arrived in time, not even a comment.
    Silent,
    /// An event of the generation.
    Step(Step),
    /// The event is longer than allowed, or there is no memory for it; for this reason.
    TooLong(String),
}

/// One event of the response.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Step {
    /// Offset of the token, if the engine numbers tokens.
    pub(crate) offset: Option<u64>,
    /// Finish reason, on the last token.
    pub(crate) reason: Option<String>,
    /// Text of one token.
    pub(crate) text: Option<Bytes>,
    /// Token counts, after the last token.
    pub(crate) usage: Option<Usage>,
}

/// Token counts of a whole generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(default)]
pub(crate) struct Usage {
    pub(crate) completion_tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) prompt_tokens_details: Option<Details>,
}

/// Breakdown of the prompt tokens in [`Usage`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(default)]
pub(crate) struct Details {
    pub(crate) cached_tokens: u32,
}

#[derive(serde::Deserialize)]
struct Data {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<serde_json::Value>,
    usage: Option<Usage>,
}

#[derive(serde::Deserialize)]
struct Choice {
    delta: Option<Delta>,
    finish_reason: Option<String>,
    text: Option<String>,
}

#[derive(serde::Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Reader {
    /// Returns a reader of a response's body. `hold` counts what has arrived of an event.
    pub(crate) fn new(
        body: body::Incoming,
        silent_after: time::Duration,
        hold: body_budget::Hold,
    ) -> Reader {
        let arrival = sync::Arc::new(sync::Mutex::new(Arrival {
            bytes: 0,
            hold: hold.clone(),
            last_frame_at: tokio::time::Instant::now(),
        }));
        let shared = sync::Arc::clone(&arrival);
        let frames = http_body_util::BodyDataStream::new(body);
        // The event parser drops SSE comments, which still show that the engine is alive; so the
        // arrival of each frame is recorded.
        let frames = frames.take_while(move |frame| {
            let length = frame.as_ref().map_or(0, Bytes::len);
            future::ready(lock(&shared).record(length))
        });
        let frames: Frames = Box::pin(frames);
        Reader {
            arrival,
            events: Box::pin(frames.eventsource()),
            hold,
            silent_after,
        }
    }

    /// Waits for the next item.
    ///
    /// Silence is counted from this call at the earliest, so that time in which nobody read the
    /// response does not count.
    pub(crate) async fn next(&mut self) -> Item {
        self.hold.wait_freed().await;
        let called = tokio::time::Instant::now();
        loop {
            let last_frame_at = lock(&self.arrival).last_frame_at;
            let until = last_frame_at.max(called) + self.silent_after;
            let event = tokio::select! {
                biased;
                () = self.hold.ended() => return Item::TooLong(NO_MEMORY.to_owned()),
                event = tokio::time::timeout_at(until, self.events.next()) => event,
            };
            match event {
                Ok(event) => return self.take(event),
                Err(_) if lock(&self.arrival).last_frame_at > last_frame_at => {}
                Err(_) => return Item::Silent,
            }
        }
    }

    /// Returns the item of an event, or of the end of the response.
    fn take(&self, event: Option<Result<eventsource_stream::Event, Error>>) -> Item {
        match event {
            Some(Ok(event)) => {
                lock(&self.arrival).reset();
                parse(&event)
            }
            Some(Err(error)) => Item::Lost(error.to_string()),
            None if lock(&self.arrival).bytes > MAX_EVENT_BYTES => {
                Item::TooLong(format!("event longer than {MAX_EVENT_BYTES} bytes"))
            }
            None => Item::Lost("closed".to_owned()),
        }
    }

    /// Returns the next item if it has already arrived.
    pub(crate) fn poll_ready(&mut self) -> Option<Item> {
        let waker = futures::task::noop_waker();
        let mut context = core::task::Context::from_waker(&waker);
        match self.events.as_mut().poll_next(&mut context) {
            core::task::Poll::Ready(event) => Some(self.take(event)),
            core::task::Poll::Pending => None,
        }
    }
}

impl Arrival {
    /// Records bytes of the response; returns whether the event that they belong to is not too long.
    fn record(&mut self, length: usize) -> bool {
        self.last_frame_at = tokio::time::Instant::now();
        self.bytes += length;
        self.hold.arrive(body_budget::BUFFER_FACTOR * length);
        self.bytes <= MAX_EVENT_BYTES
    }

    /// Records that an event is complete.
    fn reset(&mut self) {
        self.bytes = 0;
        self.hold.reset(0);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn parse(event: &eventsource_stream::Event) -> Item {
    if event.data == DONE {
        return Item::Done;
    }
    let data: Data = match serde_json::from_str(&event.data) {
        Ok(data) => data,
        Err(_) => return Item::Lost("malformed event".to_owned()),
    };
    if let Some(error) = data.error {
        return Item::Failed(error.to_string());
    }
    let mut step = Step {
        offset: event.id.parse().ok(),
        usage: data.usage,
        ..Step::default()
    };
    if let Some(choice) = data.choices.into_iter().next() {
        let content = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(content).filter(|text| !text.is_empty());
        step.text = text.map(Bytes::from);
        step.reason = choice.finish_reason;
    }
    Item::Step(step)
}
