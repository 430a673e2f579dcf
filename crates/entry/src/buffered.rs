//! Response of a request that is not streamed.

use std::sync;

use axum::body;
use axum::http;
use axum::http::header;
use axum::response;
use tokio::sync::mpsc;

use crate::output;
use crate::refusal;
use crate::render;

/// Collects the outputs of a generation into a response; discards those of earlier generations.
pub(crate) async fn collect(
    renderer: &render::Renderer,
    mut outputs: mpsc::Receiver<output::Output>,
) -> Result<response::Response, refusal::Refusal> {
    let mut generation = sync::Arc::<str>::from("");
    let mut text = Vec::new();
    while let Some(output) = outputs.recv().await {
        match output {
            output::Output::Accepted(accepted) => {
                generation = accepted;
                text.clear();
            }
            output::Output::Failed(refusal) => return Err(refusal),
            output::Output::Finished(finished) => {
                let text = String::from_utf8_lossy(&text);
                return Ok(respond(renderer.render_response(
                    &generation,
                    &text,
                    &finished,
                )));
            }
            output::Output::ResumeElsewhere => break,
            output::Output::KeepAlive => {}
            output::Output::Tokens { tokens, .. } => text.extend(tokens.iter().flatten()),
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
