//! Bodies of answers, which count their requests until they are dropped.

use std::pin;
use std::task;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use crate::intake;

/// The body of an answer, as long as the one in it.
#[derive(Debug)]
pub struct Answer<B> {
    body: B,
    /// Dropped with the body.
    _request: intake::Request,
}

impl<B> Answer<B> {
    pub(crate) fn new(body: B, request: intake::Request) -> Answer<B> {
        Answer {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
