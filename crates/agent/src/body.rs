//! The request's body as the engine gets it.

use bytes::Bytes;
use serde_json::json;

/// What the agent sets in a caller's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Additions {
    /// Longest output in tokens.
    pub(crate) max_tokens: u32,
    /// Smaller runs first.
    pub(crate) priority: u8,
}

/// Returns the caller's JSON body with the agent's additions, or what is wrong with it.
pub(crate) fn rewrite(body: &Bytes, additions: Additions) -> Result<Bytes, serde_json::Error> {
    let mut fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(additions.max_tokens));
    fields.insert("priority".to_owned(), json!(additions.priority));
    fields.insert("stream".to_owned(), json!(true));
    let usage = json!({"include_usage": true});
    fields.insert("stream_options".to_owned(), usage);
    Ok(serde_json::to_vec(&fields)?.into())
}
