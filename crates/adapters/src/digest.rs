//! Digests of secrets, so that the secrets themselves are not kept, and of requests.

use peargap_core::request;
use sha2::Digest as _;

/// What all repeats of a request have in common.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Complete body.
    pub body: &'a [u8],
    /// Name of the caller's team; empty for a caller without one.
    pub caller: &'a str,
    /// Host that it is for.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
}

/// Returns the SHA-256 digest of a bearer key.
pub fn hash_key(key: &[u8]) -> [u8; 32] {
    sha2::Sha256::digest(key).into()
}

/// Returns the first half of the SHA-256 digest of a request. No caller can make a request with the
/// digest of another caller's.
#[must_use]
pub fn hash_request(request: Request<'_>) -> request::Digest {
    let mut hasher = sha2::Sha256::new();
    for field in [request.caller, request.host, request.method, request.path] {
        // The length keeps neighbouring fields apart.
        hasher.update(field.len().to_be_bytes());
        hasher.update(field);
    }
    hasher.update(request.body);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    request::Digest(u128::from_be_bytes(half))
}

/// Parses 64 hexadecimal digits into 32 bytes; `None` if `text` is anything else.
pub fn parse_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
