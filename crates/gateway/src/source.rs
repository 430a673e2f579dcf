//! Event stream of the upstream that runs a request.

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

use crate::call;
use crate::pool;
use crate::run_guard;

/// Source of a stream's events.
pub(crate) enum Source {
    /// The current upstream's stream has ended or is no longer read.
    Stopped,
    /// Stream of the current upstream.
    Upstream(Box<Stream>),
}

/// Body of an upstream's response, with the connection that carries it.
pub(crate) struct Stream {
    pub(crate) body: body::Incoming,
    pub(crate) connection: pool::Answering,
    /// Ends the run if the stream is dropped before its end.
    pub(crate) guard: run_guard::Guard,
}

/// Result of a read.
pub(crate) enum Read {
    /// Bytes that arrived.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The stream failed with this error.
    Error(String),
}

impl Source {
    /// Returns a source that reads the body of a response to the run of `guard`.
    pub(crate) fn new(response: call::Response, guard: run_guard::Guard) -> Source {
        Source::Upstream(Box::new(Stream {
            body: response.body,
            connection: response.connection,
            guard,
        }))
    }

    /// Returns how the run may be left; `None` if it is no longer read, or no order would stop it.
    pub(crate) fn exit(&self) -> Option<sync::Arc<run_guard::Exit>> {
        match self {
            Source::Stopped => None,
            Source::Upstream(stream) => stream.guard.exit(),
        }
    }

    /// Reads the next data from the upstream; never returns once the source is stopped.
    pub(crate) async fn read(&mut self) -> Read {
        let Source::Upstream(stream) = self else {
            return core::future::pending().await;
        };
        loop {
            match stream.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Read::Data(data);
                    }
                }
                Some(Err(error)) => return Read::Error(error.to_string()),
                None => return Read::End,
            }
        }
    }
}
