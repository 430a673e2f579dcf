//! Renders answers as JSON in the format of the OpenAI API.

use std::time;

use bytes::BufMut as _;
use bytes::BytesMut;
use peargap_wire::agent as wire;
use serde_json::json;

use crate::prompt;

/// Fields that all responses to one request share.
#[derive(Clone, Debug)]
pub(crate) struct Renderer {
    created: u64,
    include_usage: bool,
    model: String,
    shape: prompt::Shape,
}

impl Renderer {
    /// Returns the fields for the responses to a request.
    pub(crate) fn new(prompt: &prompt::Prompt) -> Renderer {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Renderer {
            created: since_epoch.map_or(0, |elapsed| elapsed.as_secs()),
            include_usage: prompt.include_usage,
            model: prompt.model.clone(),
            shape: prompt.shape,
        }
    }

    /// Returns the response's id.
    fn id(&self, generation: &str) -> String {
        match self.shape {
            prompt::Shape::Chat => format!("chatcmpl-{generation}"),
            prompt::Shape::Completion => format!("cmpl-{generation}"),
        }
    }

    /// Renders a complete response.
    pub(crate) fn render_response(
        &self,
        generation: &str,
        text: &str,
        finished: &wire::Finished,
    ) -> String {
        let (object, choice) = match self.shape {
            prompt::Shape::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text, "refusal": null},
                    "logprobs": null,
                    "finish_reason": finished.reason,
                }),
            ),
            prompt::Shape::Completion => (
                "text_completion",
                json!({
                    "index": 0,
                    "text": text,
                    "logprobs": null,
                    "finish_reason": finished.reason,
                }),
            ),
        };
        json!({
            "id": self.id(generation),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": render_usage(finished),
        })
        .to_string()
    }

    /// Returns a renderer of the server-sent events of one generation.
    pub(crate) fn event_renderer(&self, generation: &str) -> EventRenderer {
        let object = match self.shape {
            prompt::Shape::Chat => "chat.completion.chunk",
            prompt::Shape::Completion => "text_completion",
        };
        let usage = if self.include_usage {
            ",\"usage\":null"
        } else {
            ""
        };
        let common = format!(
            "{{\"id\":{},\"object\":\"{object}\",\"created\":{},\"model\":{}",
            json!(self.id(generation)),
            self.created,
            json!(self.model),
        );
        let (token_prefix, token_suffix, tail) = match self.shape {
            prompt::Shape::Chat => ("\"delta\":{\"content\":", "}", "\"delta\":{}"),
            prompt::Shape::Completion => ("\"text\":", "", "\"text\":\"\""),
        };
        let none = "\"logprobs\":null,\"finish_reason\":";
        EventRenderer {
            token_suffix: format!("{token_suffix},{none}null}}]{usage}}}\n\n"),
            token_prefix: format!("\ndata: {common},\"choices\":[{{\"index\":0,{token_prefix}"),
            finish_prefix: format!("data: {common},\"choices\":[{{\"index\":0,{tail},{none}"),
            generation: generation.to_owned(),
            common,
            include_usage: self.include_usage,
            role_pending: self.shape == prompt::Shape::Chat,
            usage,
        }
    }
}

/// Renders the server-sent events of one generation.
///
/// The constant parts of the JSON are rendered once, since every token is an event.
#[derive(Clone, Debug)]
pub(crate) struct EventRenderer {
    token_suffix: String,
    token_prefix: String,
    finish_prefix: String,
    generation: String,
    common: String,
    include_usage: bool,
    /// Whether the first event of a chat, which carries the role, is still to be sent.
    role_pending: bool,
    usage: &'static str,
}

impl EventRenderer {
    /// Omits the first event, for a caller that has the beginning of the stream.
    pub(crate) fn resumed(mut self) -> EventRenderer {
        self.role_pending = false;
        self
    }

    /// Appends an event for each token.
    pub(crate) fn put_tokens(
        &mut self,
        buffer: &mut BytesMut,
        offset: u64,
        tokens: &[bytes::Bytes],
    ) {
        if self.role_pending && offset == 0 {
            self.put_role_event(buffer);
        }
        self.role_pending = false;
        let mut next = offset;
        for token in tokens {
            next += 1;
            let size = self.token_prefix.len() + self.token_suffix.len() + self.generation.len();
            buffer.reserve(size + token.len() * 2 + 32);
            buffer.put_slice(b"id: ");
            buffer.put_slice(self.generation.as_bytes());
            buffer.put_u8(b'.');
            put_number(buffer, next);
            buffer.put_slice(self.token_prefix.as_bytes());
            put_text(buffer, token);
            buffer.put_slice(self.token_suffix.as_bytes());
        }
    }

    /// Appends the events that end the stream.
    pub(crate) fn put_finish(&mut self, buffer: &mut BytesMut, finished: &wire::Finished) {
        if self.role_pending {
            self.put_role_event(buffer);
        }
        self.role_pending = false;
        buffer.put_slice(self.finish_prefix.as_bytes());
        buffer.put_slice(json!(finished.reason).to_string().as_bytes());
        buffer.put_slice(b"}]");
        buffer.put_slice(self.usage.as_bytes());
        buffer.put_slice(b"}\n\n");
        if self.include_usage {
            let usage = render_usage(finished);
            let chunk = format!(
                "data: {},\"choices\":[],\"usage\":{usage}}}\n\n",
                self.common
            );
            buffer.put_slice(chunk.as_bytes());
        }
        buffer.put_slice(b"data: [DONE]\n\n");
    }

    fn put_role_event(&self, buffer: &mut BytesMut) {
        let chunk = format!(
            "data: {},\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\"content\":\"\"}},\
             \"logprobs\":null,\"finish_reason\":null}}]{}}}\n\n",
            self.common, self.usage
        );
        buffer.put_slice(chunk.as_bytes());
    }
}

fn render_usage(finished: &wire::Finished) -> serde_json::Value {
    json!({
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.output_tokens,
        "total_tokens": u64::from(finished.prompt_tokens) + u64::from(finished.output_tokens),
        "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
    })
}

/// Appends a token as a JSON string.
fn put_text(buffer: &mut BytesMut, token: &[u8]) {
    let text = String::from_utf8_lossy(token);
    // Writing to memory does not fail.
    let _ = serde_json::to_writer(buffer.writer(), &text);
}

fn put_number(buffer: &mut BytesMut, number: u64) {
    use core::fmt::Write as _;
    // Writing to memory does not fail.
    let _ = write!(buffer, "{number}");
}
