//! A caller's stream of server-sent events.

use core::convert;
use core::time;

use axum::body;
use axum::http;
use axum::http::header;
use axum::response;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use futures::stream;
use tokio::sync::mpsc;
use tokio::time as clock;

use crate::progress;
use crate::relay;
use crate::render;

/// A comment is sent after this much silence.
const KEEP_ALIVE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Pieces that wait are written together up to this many bytes.
const BATCH_BYTES: usize = 32 << 10;

/// Returns the response that streams the pieces; `first` came before them.
pub(crate) fn respond(
    style: render::Style,
    resumed: Option<&str>,
    first: relay::Piece,
    pieces: mpsc::Receiver<relay::Piece>,
    written: progress::Written,
) -> response::Response {
    let state = State {
        events: resumed.map(|generation| style.events(generation).resumed()),
        first: Some(first),
        handed: written.get(),
        is_resumed: resumed.is_some(),
        over: false,
        pieces,
        style,
        written,
    };
    let chunks = stream::unfold(state, |mut state| async move {
        let chunk = state.next_chunk().await?;
        Some((Ok::<Bytes, convert::Infallible>(chunk), state))
    });
    let mut response = response::Response::new(body::Body::from_stream(chunks));
    let headers = response.headers_mut();
    let kind = http::HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, kind);
    let cache = http::HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, cache);
    response
}

struct State {
    events: Option<render::Events>,
    first: Option<relay::Piece>,
    /// Offset below which tokens are in chunks that were handed out.
    handed: u64,
    is_resumed: bool,
    over: bool,
    pieces: mpsc::Receiver<relay::Piece>,
    style: render::Style,
    written: progress::Written,
}

impl State {
    /// Returns the next bytes for the connection, which has taken all earlier ones.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        self.written.set(self.handed);
        if self.over {
            return None;
        }
        let mut buffer = BytesMut::new();
        let first = match self.first.take() {
            Some(first) => Some(first),
            None => match clock::timeout(KEEP_ALIVE_PERIOD, self.pieces.recv()).await {
                Ok(piece) => Some(piece?),
                Err(_) => None,
            },
        };
        match first {
            Some(piece) => self.put_piece(&mut buffer, piece),
            None => buffer.put_slice(b": keep-alive\n\n"),
        }
        while buffer.len() < BATCH_BYTES && !self.over {
            let Ok(piece) = self.pieces.try_recv() else {
                break;
            };
            self.put_piece(&mut buffer, piece);
        }
        Some(buffer.freeze())
    }

    fn put_piece(&mut self, buffer: &mut BytesMut, piece: relay::Piece) {
        match piece {
            relay::Piece::Accepted(generation) => {
                if !self.is_resumed {
                    self.events = Some(self.style.events(&generation));
                }
                buffer.put_slice(b": accepted\n\n");
            }
            relay::Piece::Failed(refusal) => {
                buffer.put_slice(b"data: ");
                buffer.put_slice(refusal.to_json().as_bytes());
                buffer.put_slice(b"\n\n");
                self.over = true;
            }
            relay::Piece::Finished(finished) => {
                if let Some(events) = &mut self.events {
                    events.put_finish(buffer, &finished);
                }
                self.over = true;
            }
            relay::Piece::Moved => {
                buffer.put_slice(b": resume with Last-Event-ID\nretry: 0\n\n");
                self.over = true;
            }
            relay::Piece::Tokens { offset, tokens } => {
                if let Some(events) = &mut self.events {
                    events.put_tokens(buffer, offset, &tokens);
                }
                self.handed = offset + tokens.len() as u64;
            }
        }
    }
}
