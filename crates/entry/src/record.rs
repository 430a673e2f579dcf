//! A service's answer in the form that claims keep.

use bytes::Bytes;
use peargap_wire::agent as wire;
use prost::Message as _;

/// Returns the form to keep.
pub(crate) fn encode_answer(answer: &wire::Response) -> Bytes {
    answer.encode_to_vec().into()
}

/// Returns the answer that was kept, or nothing when it cannot be read.
pub(crate) fn decode_answer(kept: &[u8]) -> Option<wire::Response> {
    wire::Response::decode(kept).ok()
}
