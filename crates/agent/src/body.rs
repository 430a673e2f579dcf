//! Rewrites the request body for the engine.

use bytes::Bytes;
use serde_json::json;

/// Fields that the agent sets in the caller's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Overrides {
    /// Output limit in tokens.
    pub(crate) max_tokens: u32,
    /// Smaller values run first.
    pub(crate) priority: u8,
}

/// Returns the caller's JSON body with the agent's fields set; fails if it is not a JSON object.
pub(crate) fn rewrite(body: &Bytes, overrides: Overrides) -> Result<Bytes, serde_json::Error> {
    let mut fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(overrides.max_tokens));
    fields.insert("priority".to_owned(), json!(overrides.priority));
    fields.insert("stream".to_owned(), json!(true));
    let usage = json!({"include_usage": true});
    fields.insert("stream_options".to_owned(), usage);
    Ok(serde_json::to_vec(&fields)?.into())
}
