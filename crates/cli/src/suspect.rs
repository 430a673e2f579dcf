//! Names of what may crash upstreams, as operators write and read them.

use bytes::Bytes;
use peargap_wire::operator;
use peargap_wire::operator::name;

/// Digits of the digest of a request.
const DIGEST_DIGITS: usize = 32;
const PART_PREFIX: &str = "part:";
const REQUEST_PREFIX: &str = "request:";

/// Parses a name as log lines and lists have it, `part:HEX` or `request:HEX`; without the word, its
/// length tells which.
pub fn parse(text: &str) -> Result<operator::Name, String> {
    let kind = if let Some(digits) = text.strip_prefix(PART_PREFIX) {
        parse_part(digits)?
    } else if let Some(digits) = text.strip_prefix(REQUEST_PREFIX) {
        parse_request(digits)?
    } else if text.len() == DIGEST_DIGITS {
        parse_request(text)?
    } else {
        parse_part(text)?
    };
    Ok(operator::Name { kind: Some(kind) })
}

fn parse_part(digits: &str) -> Result<name::Kind, String> {
    let part = u64::from_str_radix(digits, 16);
    let part = part.map_err(|_error| format!("part {digits:?} is not hexadecimal"))?;
    Ok(name::Kind::Part(part))
}

fn parse_request(digits: &str) -> Result<name::Kind, String> {
    let digest = u128::from_str_radix(digits, 16).ok();
    let digest = digest.filter(|_digest| digits.len() == DIGEST_DIGITS);
    let digest = digest.ok_or_else(|| {
        format!("request {digits:?} does not have {DIGEST_DIGITS} hexadecimal digits")
    })?;
    Ok(name::Kind::Request(Bytes::copy_from_slice(
        &digest.to_be_bytes(),
    )))
}

/// Returns the text of a name.
#[must_use]
pub fn format(name: &operator::Name) -> String {
    match &name.kind {
        Some(name::Kind::Part(part)) => format!("{PART_PREFIX}{part:08x}"),
        Some(name::Kind::Request(digest)) => {
            let digits = digest.iter().map(|byte| format!("{byte:02x}"));
            format!("{REQUEST_PREFIX}{}", digits.collect::<String>())
        }
        None => "unknown".to_owned(),
    }
}
