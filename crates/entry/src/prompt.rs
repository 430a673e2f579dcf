//! Parses and validates the JSON body of a generation request.

use bytes::Bytes;
use peargap_wire::agent as wire;
use serde_json::Value;

use crate::refusal;

/// Bytes of prompt text assumed per token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of stop sequences.
const MAX_STOPS: usize = 4;

/// A validated generation request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The body as received.
    pub body: Bytes,
    /// Whether the stream ends with a usage chunk.
    pub include_usage: bool,
    /// Maximum number of output tokens; 0 leaves the limit to the model.
    pub max_tokens: u32,
    /// Name of the model.
    pub model: String,
    /// Field that sets `max_tokens`, for error messages.
    pub limit_field: &'static str,
    /// API of the request.
    pub shape: Shape,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Prompt text: the role and content of each message, or the completion's prompt.
    pub text: Vec<u8>,
}

/// API of a generation request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl Shape {
    /// Converts to the wire format.
    pub(crate) fn to_wire(self) -> wire::Shape {
        match self {
            Shape::Chat => wire::Shape::Chat,
            Shape::Completion => wire::Shape::Completion,
        }
    }

    fn text_field(self) -> &'static str {
        match self {
            Shape::Chat => "messages",
            Shape::Completion => "prompt",
        }
    }
}

impl Prompt {
    /// Returns the prompt's length in tokens, estimated from its bytes.
    pub(crate) fn estimate_tokens(&self) -> u32 {
        u32::try_from(self.text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
    }

    /// Returns the name of the field that holds the prompt text.
    pub(crate) fn text_field(&self) -> &'static str {
        self.shape.text_field()
    }
}

/// A validation error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// The invalid field; empty if the error concerns the whole body.
    pub field: &'static str,
    /// What is wrong; follows the field's name, or is a sentence if `field` is empty.
    pub message: String,
}

impl ValidationError {
    fn new(field: &'static str, message: impl Into<String>) -> ValidationError {
        ValidationError {
            field,
            message: message.into(),
        }
    }

    /// Converts to the refusal for the caller.
    pub(crate) fn into_refusal(self) -> refusal::Refusal {
        if self.field.is_empty() {
            return refusal::Refusal::not_run(refusal::Code::InvalidRequest, self.message);
        }
        refusal::Refusal::invalid(self.field, format!("`{}` {}.", self.field, self.message))
    }
}

/// Parses and validates a body; returns the first error found.
pub fn parse_prompt(shape: Shape, body: Bytes) -> Result<Prompt, ValidationError> {
    let value: Value = serde_json::from_slice(&body).map_err(|error| {
        ValidationError::new("", format!("The body is not valid JSON: {error}."))
    })?;
    if !value.is_object() {
        return Err(ValidationError::new("", "The body must be a JSON object."));
    }
    let model = read_model(&value)?;
    let text = match shape {
        Shape::Chat => read_messages(&value)?,
        Shape::Completion => read_prompt(&value)?,
    };
    let limit_field = match shape {
        Shape::Chat if is_set(&value, "max_completion_tokens") => "max_completion_tokens",
        Shape::Chat | Shape::Completion => "max_tokens",
    };
    let max_tokens = read_limit(&value, limit_field)?;
    let stream = read_flag(&value, "stream")?;
    let include_usage = read_usage_option(&value, stream)?;
    check_sampling(&value)?;
    check_unsupported(&value)?;
    Ok(Prompt {
        body,
        include_usage,
        limit_field,
        max_tokens,
        model,
        shape,
        stream,
        text,
    })
}

fn is_set(value: &Value, field: &str) -> bool {
    value.get(field).is_some_and(|value| !value.is_null())
}

fn read_model(value: &Value) -> Result<String, ValidationError> {
    match value.get("model").and_then(Value::as_str) {
        Some(model) if !model.is_empty() => Ok(model.to_owned()),
        Some(_) | None => Err(ValidationError::new("model", "must be the name of a model")),
    }
}

fn read_messages(value: &Value) -> Result<Vec<u8>, ValidationError> {
    let invalid = || {
        ValidationError::new(
            "messages",
            "must be a non-empty array of objects with role and content",
        )
    };
    let messages = value
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(invalid)?;
    let mut text = Vec::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        text.extend_from_slice(role.ok_or_else(invalid)?.as_bytes());
        text.push(b'\n');
        read_content(message.get("content"), &mut text).ok_or_else(invalid)?;
        text.push(b'\n');
    }
    Ok(text)
}

fn read_content(content: Option<&Value>, text: &mut Vec<u8>) -> Option<()> {
    match content? {
        Value::String(content) => text.extend_from_slice(content.as_bytes()),
        Value::Array(parts) => {
            for part in parts {
                text.extend_from_slice(part.get("text")?.as_str()?.as_bytes());
            }
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::Object(_) => return None,
    }
    Some(())
}

fn read_prompt(value: &Value) -> Result<Vec<u8>, ValidationError> {
    let invalid = || ValidationError::new("prompt", "must be a string or an array of one string");
    let prompt = match value.get("prompt").ok_or_else(invalid)? {
        Value::Array(prompts) if prompts.len() == 1 => &prompts[0],
        other => other,
    };
    let text = prompt.as_str().ok_or_else(invalid)?;
    Ok(text.as_bytes().to_vec())
}

fn read_limit(value: &Value, field: &'static str) -> Result<u32, ValidationError> {
    if !is_set(value, field) {
        return Ok(0);
    }
    let limit = value.get(field).and_then(Value::as_u64);
    match limit.map(u32::try_from) {
        Some(Ok(limit)) if limit > 0 => Ok(limit),
        Some(_) | None => Err(ValidationError::new(
            field,
            "must be an integer from 1 to 4294967295",
        )),
    }
}

fn read_flag(value: &Value, field: &'static str) -> Result<bool, ValidationError> {
    match value.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(ValidationError::new(field, "must be true or false")),
    }
}

fn read_usage_option(value: &Value, stream: bool) -> Result<bool, ValidationError> {
    let options = match value.get("stream_options") {
        None | Some(Value::Null) => return Ok(false),
        Some(options @ Value::Object(_)) => options,
        Some(_) => return Err(ValidationError::new("stream_options", "must be an object")),
    };
    if !stream {
        return Err(ValidationError::new(
            "stream_options",
            "requires `stream` to be true",
        ));
    }
    read_flag(options, "include_usage")
}

fn check_sampling(value: &Value) -> Result<(), ValidationError> {
    check_number(value, "temperature", 0.0, 2.0)?;
    check_number(value, "top_p", 0.0, 1.0)?;
    check_number(value, "presence_penalty", -2.0, 2.0)?;
    check_number(value, "frequency_penalty", -2.0, 2.0)?;
    if is_set(value, "seed") && !value["seed"].is_i64() {
        return Err(ValidationError::new("seed", "must be an integer"));
    }
    check_stop(value)
}

fn check_number(
    value: &Value,
    field: &'static str,
    min: f64,
    max: f64,
) -> Result<(), ValidationError> {
    if !is_set(value, field) {
        return Ok(());
    }
    match value[field].as_f64() {
        Some(number) if (min..=max).contains(&number) => Ok(()),
        Some(_) | None => {
            let message = format!("must be a number from {min} to {max}");
            Err(ValidationError::new(field, message))
        }
    }
}

fn check_stop(value: &Value) -> Result<(), ValidationError> {
    let valid = match value.get("stop") {
        None | Some(Value::Null | Value::String(_)) => true,
        Some(Value::Array(stops)) => stops.len() <= MAX_STOPS && stops.iter().all(Value::is_string),
        Some(Value::Bool(_) | Value::Number(_) | Value::Object(_)) => false,
    };
    if valid {
        return Ok(());
    }
    let message = format!("must be a string or an array of at most {MAX_STOPS} strings");
    Err(ValidationError::new("stop", message))
}

/// Refuses options that are not supported instead of ignoring them silently.
fn check_unsupported(value: &Value) -> Result<(), ValidationError> {
    for field in ["n", "best_of"] {
        if is_set(value, field) && value[field].as_u64() != Some(1) {
            return Err(ValidationError::new(field, "must be 1"));
        }
    }
    for field in ["echo", "logprobs"] {
        if is_set(value, field) && value[field] != Value::Bool(false) {
            return Err(ValidationError::new(field, "is not supported"));
        }
    }
    for field in [
        "audio",
        "function_call",
        "functions",
        "tool_choice",
        "tools",
        "top_logprobs",
    ] {
        let empty = value[field].as_array().is_some_and(Vec::is_empty);
        if is_set(value, field) && !empty {
            return Err(ValidationError::new(field, "is not supported"));
        }
    }
    Ok(())
}
