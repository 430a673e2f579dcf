//! Streaming response of server-sent events.

use core::pin;
use core::task;
use std::io;

use axum::body;
use axum::http;
use axum::http::header;
use axum::response;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;

use crate::output;
use crate::progress;
use crate::render;

/// Size of a body frame, in bytes, from which no further queued output is added to it.
const BATCH_BYTES: usize = 32 << 10;

/// Returns a response that streams `first` and the outputs after it.
pub(crate) fn respond(
    renderer: render::Renderer,
    resumed: Option<&str>,
    first: output::Output,
    outputs: mpsc::Receiver<output::Output>,
    written: progress::WrittenOffset,
) -> response::Response {
    let stream = Stream {
        event_renderer: resumed.map(|generation| renderer.event_renderer(generation).resumed()),
        first: Some(first),
        emitted: written.get(),
        is_resumed: resumed.is_some(),
        ended: false,
        outputs,
        renderer,
        written,
    };
    let mut response = response::Response::new(body::Body::new(stream));
    let headers = response.headers_mut();
    let kind = http::HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, kind);
    let cache = http::HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, cache);
    response
}

/// Response body that renders outputs as events.
struct Stream {
    event_renderer: Option<render::EventRenderer>,
    first: Option<output::Output>,
    /// Offset below which all tokens are in frames returned to the connection.
    emitted: u64,
    is_resumed: bool,
    ended: bool,
    outputs: mpsc::Receiver<output::Output>,
    renderer: render::Renderer,
    written: progress::WrittenOffset,
}

impl body::HttpBody for Stream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        // The connection polls for another frame only after it has taken the earlier ones.
        self.written.set(self.emitted);
        if self.ended {
            return task::Poll::Ready(None);
        }
        let output = match self.first.take() {
            Some(first) => Some(first),
            None => task::ready!(self.outputs.poll_recv(context)),
        };
        let Some(output) = output else {
            // The answer is incomplete: only an aborted connection can signal this to the caller.
            return task::Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        };
        let frame = hyper::body::Frame::data(self.build_chunk(output));
        task::Poll::Ready(Some(Ok(frame)))
    }
}

impl Stream {
    /// Renders an output and those queued behind it.
    fn build_chunk(&mut self, first: output::Output) -> Bytes {
        let mut buffer = BytesMut::new();
        self.put_output(&mut buffer, first);
        while buffer.len() < BATCH_BYTES && !self.ended {
            let Ok(output) = self.outputs.try_recv() else {
                break;
            };
            self.put_output(&mut buffer, output);
        }
        buffer.freeze()
    }

    fn put_output(&mut self, buffer: &mut BytesMut, output: output::Output) {
        match output {
            output::Output::Accepted(generation) => {
                if !self.is_resumed {
                    self.event_renderer = Some(self.renderer.event_renderer(&generation));
                }
                buffer.put_slice(b": accepted\n\n");
            }
            output::Output::Failed(refusal) => {
                buffer.put_slice(b"data: ");
                buffer.put_slice(refusal.to_json().as_bytes());
                buffer.put_slice(b"\n\n");
                self.ended = true;
            }
            output::Output::Finished(finished) => {
                if let Some(event_renderer) = &mut self.event_renderer {
                    event_renderer.put_finish(buffer, &finished);
                }
                self.ended = true;
            }
            output::Output::ResumeElsewhere => {
                buffer.put_slice(b": resume with Last-Event-ID\nretry: 0\n\n");
                self.ended = true;
            }
            output::Output::KeepAlive => buffer.put_slice(b": keep-alive\n\n"),
            output::Output::Tokens { offset, tokens } => {
                if let Some(event_renderer) = &mut self.event_renderer {
                    event_renderer.put_tokens(buffer, offset, &tokens);
                }
                self.emitted = offset + tokens.len() as u64;
            }
        }
    }
}
