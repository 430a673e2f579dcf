//! Requests between processes, whose messages count to the process's intake while they arrive.
//!
//! A message follows a head of five bytes: a flag and its length.

use core::future;
use core::future::Future as _;
use std::pin;
use std::task;

use bytes::Bytes;
use tokio_util::sync::WaitForCancellationFutureOwned;
use tonic::body;

use crate::intake;

/// Bytes of the head of a message.
const HEAD_BYTES: usize = 5;

/// Counts the requests of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Layer;

impl<S> tower::Layer<S> for Layer {
    type Service = Service<S>;

    fn layer(&self, inner: S) -> Service<S> {
        Service { inner }
    }
}

/// A service whose requests are counted.
#[derive(Clone, Debug)]
pub struct Service<S> {
    inner: S,
}

type Running<E> = pin::Pin<
    Box<dyn future::Future<Output = Result<http::Response<body::Body>, E>> + Send + 'static>,
>;

impl<S, B> tower::Service<http::Request<body::Body>> for Service<S>
where
    B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S: tower::Service<http::Request<body::Body>, Response = http::Response<B>>,
    S::Error: Send + 'static,
    S::Future: Send + 'static,
{
    type Error = S::Error;
    type Future = Running<S::Error>;
    type Response = http::Response<body::Body>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<body::Body>) -> Running<S::Error> {
        let connection = request.extensions().get::<intake::Connection>();
        let Some(connection) = connection.cloned() else {
            let running = self.inner.call(request);
            return Box::pin(async move { Ok(running.await?.map(body::Body::new)) });
        };
        let path = request.uri().path();
        let id = Bytes::copy_from_slice(path.as_bytes());
        let head_bytes = intake::http::count_head_bytes(path, request.headers());
        let opened = connection.open_request(id, head_bytes);
        let request = request.map(|inner| {
            body::Body::new(Counted {
                ended: Box::pin(opened.hold().ended_owned()),
                inner,
                messages: Messages::default(),
                opened: opened.clone(),
            })
        });
        let running = self.inner.call(request);
        Box::pin(async move {
            let response = tokio::select! {
                biased;
                response = running => response?,
                () = opened.hold().ended() => return Ok(refuse().into_http()),
            };
            // A service that answers before a message has come waits for it as long as it wants.
            if !response.headers().contains_key(tonic::Status::GRPC_STATUS) {
                opened.complete();
            }
            Ok(response.map(|body| body::Body::new(opened.attach(body))))
        })
    }
}

fn refuse() -> tonic::Status {
    tonic::Status::resource_exhausted("the memory for callers is used up")
}

/// A request's body whose messages are counted while they arrive.
#[derive(Debug)]
struct Counted {
    ended: pin::Pin<Box<WaitForCancellationFutureOwned>>,
    inner: body::Body,
    messages: Messages,
    opened: intake::Request,
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = tonic::Status;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, tonic::Status>>> {
        if self.ended.as_mut().poll(context).is_ready() {
            return task::Poll::Ready(Some(Err(refuse())));
        }
        let frame = task::ready!(pin::Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            if let Some(data) = frame.data_ref() {
                let this = &mut *self;
                this.messages.record(data, &this.opened);
            }
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}

/// Where a body stands in the message that arrives.
#[derive(Clone, Copy, Debug, Default)]
struct Messages {
    /// Bytes of the message, with its head, that the request counts.
    counted: usize,
    head: [u8; HEAD_BYTES],
    /// Bytes of the message that have arrived, with its head.
    received: usize,
}

impl Messages {
    fn record(&mut self, data: &[u8], opened: &intake::Request) {
        let mut rest = data;
        while !rest.is_empty() {
            if self.received == 0 && self.counted > 0 {
                // The message before has been taken.
                opened.release_body();
                self.counted = 0;
            }
            rest = self.take(rest);
            if self.is_whole() {
                opened.complete();
                self.received = 0;
            }
        }
        if self.received > self.counted {
            opened.hold().arrive(self.received - self.counted);
            self.counted = self.received;
        }
    }

    /// Takes the bytes of the message; returns those after it.
    fn take<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let mut rest = data;
        while self.received < HEAD_BYTES {
            let Some((&byte, after)) = rest.split_first() else {
                return rest;
            };
            self.head[self.received] = byte;
            self.received += 1;
            rest = after;
        }
        let length = rest.len().min(self.missing());
        self.received += length;
        &rest[length..]
    }

    /// Returns the bytes of the message that have not arrived.
    fn missing(&self) -> usize {
        let [_flag, length @ ..] = self.head;
        let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
        length
            .saturating_add(HEAD_BYTES)
            .saturating_sub(self.received)
    }

    fn is_whole(&self) -> bool {
        self.received >= HEAD_BYTES && self.missing() == 0
    }
}
