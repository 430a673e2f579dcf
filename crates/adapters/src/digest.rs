//! Digests of secrets, so that the secrets themselves are not kept.

use sha2::Digest as _;

/// Returns the SHA-256 digest of a bearer key.
pub fn hash_key(key: &[u8]) -> [u8; 32] {
    sha2::Sha256::digest(key).into()
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
