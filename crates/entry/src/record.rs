//! Encoding of the answers that are recorded with claims.

use bytes::Bytes;
use peargap_wire::agent as wire;
use prost::Message as _;

/// Encodes an answer to be recorded.
pub(crate) fn encode_answer(answer: &wire::Response) -> Bytes {
    answer.encode_to_vec().into()
}

/// Decodes a recorded answer; returns nothing if it is malformed.
pub(crate) fn decode_answer(kept: &[u8]) -> Option<wire::Response> {
    wire::Response::decode(kept).ok()
}
