//! Requests and responses that wait for slow peers, counted to the gateway's budget of memory.

use std::convert;
use std::pin;
use std::task;

use bytes::Bytes;
use hyper::body;
use peargap_adapters::body_budget;
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
}

impl Account {
    /// Returns the hold of a response to the caller.
    pub(crate) fn open_response(&self, attempt: &Bytes) -> body_budget::Hold {
        let side = body_budget::Side::Caller;
        self.budget
            .open(side, attempt.clone(), self.connection.clone())
    }

    /// Returns the body of a request to an upstream, and the token that is cancelled if the request
    /// has to end.
    pub(crate) fn build_request_body(
        &self,
        attempt: &Bytes,
        bytes: Bytes,
    ) -> (Body, CancellationToken) {
        let side = body_budget::Side::Upstream;
        let ended = CancellationToken::new();
        let hold = self.budget.open(side, attempt.clone(), ended.clone());
        hold.count_body(&bytes);
        (Body::new(hold, bytes), ended)
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
