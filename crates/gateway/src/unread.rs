//! Requests and responses that wait for slow peers, counted to the gateway's budget of memory.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use peargap_adapters::body_budget;
use peargap_adapters::intake;
use peargap_core::sse;
use tokio_util::sync::CancellationToken;

/// Bytes of a body that are handed to a connection at once, so that it shows whether its peer
/// reads.
const FRAME_BYTES: usize = 16 << 10;

/// Where the bytes of one caller's request and response are counted.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) budget: body_budget::Budget,
    /// Closes the caller's connection when it is cancelled.
    pub(crate) connection: CancellationToken,
    /// Counts the request until it has been answered.
    pub(crate) received: intake::Request,
}

impl Account {
    /// Returns the hold of a response to the caller.
    pub(crate) fn open_response(&self, attempt: &Bytes) -> body_budget::Hold {
        let side = body_budget::Side::Caller;
        self.budget
            .open(side, attempt.clone(), self.connection.clone())
    }

    /// Returns the hold of the response that an upstream sends.
    pub(crate) fn receive_response(&self, attempt: &Bytes) -> body_budget::Hold {
        self.budget
            .receive(body_budget::Side::Upstream, attempt.clone())
    }

    /// Returns the body of a request to an upstream, which waits for the upstream to read it.
    pub(crate) fn build_request_body(&self, bytes: Bytes) -> Body {
        let hold = self.received.hold();
        if !bytes.is_empty() {
            hold.begin_leaving();
        }
        Body::new(hold.clone(), bytes)
    }

    /// Returns whether the request was ended because the memory for callers was used up.
    pub(crate) fn is_request_ended(&self) -> bool {
        self.received.hold().is_ended()
    }
}

/// A body in memory that is handed out in frames and counts until the last of them is written.
#[derive(Debug)]
pub(crate) struct Body {
    hold: Option<body_budget::Hold>,
    rest: Bytes,
}

impl Body {
    /// Returns a body that `hold` counts already.
    pub(crate) fn new(hold: body_budget::Hold, bytes: Bytes) -> Body {
        Body {
            hold: Some(hold),
            rest: bytes,
        }
    }

    /// Returns the bytes that are not handed out yet.
    pub(crate) fn len(&self) -> usize {
        self.rest.len()
    }

    /// Returns whether the bytes that are not handed out yet, read as events, end between two of them.
    pub(crate) fn ends_between_events(&self) -> bool {
        sse::ends_between_events(&self.rest)
    }

    /// Returns the body of a short request of the gateway itself, which no budget counts.
    pub(crate) fn new_uncounted(bytes: Bytes) -> Body {
        Body {
            hold: None,
            rest: bytes,
        }
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, convert::Infallible>>> {
        if self.rest.is_empty() {
            return task::Poll::Ready(None);
        }
        let length = self.rest.len().min(FRAME_BYTES);
        let part = self.rest.split_to(length);
        let part = match &self.hold {
            Some(hold) if self.rest.is_empty() => hold.last_part(part),
            Some(hold) => hold.part(part),
            None => part,
        };
        task::Poll::Ready(Some(Ok(body::Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        let length = u64::try_from(self.rest.len()).unwrap_or(u64::MAX);
        body::SizeHint::with_exact(length)
    }
}
