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

use crate::piece;
use crate::progress;
use crate::render;

/// Size of a body frame, in bytes, at which no further queued piece is added to it.
const BATCH_BYTES: usize = 32 << 10;

/// Returns a response that streams `first` and the pieces after it.
pub(crate) fn respond(
    style: render::Style,
    resumed: Option<&str>,
    first: piece::Piece,
    pieces: mpsc::Receiver<piece::Piece>,
    written: progress::Written,
) -> response::Response {
    let stream = Stream {
        events: resumed.map(|generation| style.events(generation).resumed()),
        first: Some(first),
        emitted: written.get(),
        is_resumed: resumed.is_some(),
        ended: false,
        pieces,
        style,
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

/// Response body that renders pieces as events.
struct Stream {
    events: Option<render::Events>,
    first: Option<piece::Piece>,
    /// Offset below which all tokens are in frames returned to the connection.
    emitted: u64,
    is_resumed: bool,
    ended: bool,
    pieces: mpsc::Receiver<piece::Piece>,
    style: render::Style,
    written: progress::Written,
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
        let piece = match self.first.take() {
            Some(first) => Some(first),
            None => task::ready!(self.pieces.poll_recv(context)),
        };
        let Some(piece) = piece else {
            // The answer is incomplete: only an aborted connection can signal this to the caller.
            return task::Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        };
        let frame = hyper::body::Frame::data(self.build_chunk(piece));
        task::Poll::Ready(Some(Ok(frame)))
    }
}

impl Stream {
    /// Renders a piece and those queued behind it.
    fn build_chunk(&mut self, first: piece::Piece) -> Bytes {
        let mut buffer = BytesMut::new();
        self.put_piece(&mut buffer, first);
        while buffer.len() < BATCH_BYTES && !self.ended {
            let Ok(piece) = self.pieces.try_recv() else {
                break;
            };
            self.put_piece(&mut buffer, piece);
        }
        buffer.freeze()
    }

    fn put_piece(&mut self, buffer: &mut BytesMut, piece: piece::Piece) {
        match piece {
            piece::Piece::Accepted(generation) => {
                if !self.is_resumed {
                    self.events = Some(self.style.events(&generation));
                }
                buffer.put_slice(b": accepted\n\n");
            }
            piece::Piece::Failed(refusal) => {
                buffer.put_slice(b"data: ");
                buffer.put_slice(refusal.to_json().as_bytes());
                buffer.put_slice(b"\n\n");
                self.ended = true;
            }
            piece::Piece::Finished(finished) => {
                if let Some(events) = &mut self.events {
                    events.put_finish(buffer, &finished);
                }
                self.ended = true;
            }
            piece::Piece::Moved => {
                buffer.put_slice(b": resume with Last-Event-ID\nretry: 0\n\n");
                self.ended = true;
            }
            piece::Piece::Quiet => buffer.put_slice(b": keep-alive\n\n"),
            piece::Piece::Tokens { offset, tokens } => {
                if let Some(events) = &mut self.events {
                    events.put_tokens(buffer, offset, &tokens);
                }
                self.emitted = offset + tokens.len() as u64;
            }
        }
    }
}
