//! The engine that a generation's events come from.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

use crate::call;
use crate::pool;

/// Where events come from.
pub(crate) enum Source {
    /// The present engine.
    Engine(Box<Stream>),
    /// The present engine has broken off.
    Stopped,
}

/// An engine's answer.
pub(crate) struct Stream {
    pub(crate) body: body::Incoming,
    pub(crate) keep_s: Option<u64>,
    pub(crate) sender: pool::Sender,
}

/// What an engine sent.
pub(crate) enum Read {
    /// Bytes arrived.
    Data(Bytes),
    /// The engine says that the answer is complete.
    End,
    /// The stream broke, for this reason.
    Fault(String),
}

impl Source {
    /// Returns the source that an answer is.
    pub(crate) fn from_answer(answer: call::Answer) -> Source {
        Source::Engine(Box::new(Stream {
            body: answer.body,
            keep_s: answer.keep_s,
            sender: answer.sender,
        }))
    }

    /// Waits for what the engine sends next; forever once it has stopped.
    pub(crate) async fn read(&mut self) -> Read {
        let Source::Engine(engine) = self else {
            return core::future::pending().await;
        };
        loop {
            match engine.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Read::Data(data);
                    }
                }
                Some(Err(error)) => return Read::Fault(error.to_string()),
                None => return Read::End,
            }
        }
    }
}
