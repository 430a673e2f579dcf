//! Response of a request that is not streamed.

use std::sync;

use axum::body;
use axum::http;
use axum::http::header;
use axum::response;
use tokio::sync::mpsc;

use crate::piece;
use crate::refusal;
use crate::render;

/// Collects the pieces of a generation into a response; discards those of earlier generations.
pub(crate) async fn collect(
    style: &render::Style,
    mut pieces: mpsc::Receiver<piece::Piece>,
) -> Result<response::Response, refusal::Refusal> {
    let mut generation = sync::Arc::<str>::from("");
    let mut text = Vec::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            piece::Piece::Accepted(accepted) => {
                generation = accepted;
                text.clear();
            }
            piece::Piece::Failed(refusal) => return Err(refusal),
            piece::Piece::Finished(finished) => {
                let text = String::from_utf8_lossy(&text);
                return Ok(respond(style.render_whole(&generation, &text, &finished)));
            }
            piece::Piece::Moved => break,
            piece::Piece::Quiet => {}
            piece::Piece::Tokens { tokens, .. } => text.extend(tokens.iter().flatten()),
        }
    }
    Err(refuse_broken())
}

fn respond(json: String) -> response::Response {
    let mut response = response::Response::new(body::Body::from(json));
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn refuse_broken() -> refusal::Refusal {
    let message = "The answer ended before it was complete.";
    refusal::Refusal::failed(refusal::Ran::Unknown, message)
}
