//! The deployment's key, with which its processes authenticate to each other.
//!
//! Each call between processes carries the key in its metadata. A process without a key in its
//! settings neither sends nor requires one.

use std::fs;
use std::sync;

use tonic::metadata;
use tonic::service::interceptor;
use tonic::transport;

use crate::digest;
use crate::settings;

/// Metadata that carries the key.
const HEADER: &str = "x-peargap-deployment-key";

/// Set once at the start, since a process belongs to one deployment.
static KEY: sync::OnceLock<Key> = sync::OnceLock::new();

/// A deployment's key.
#[derive(Clone)]
pub struct Key {
    digest: [u8; 32],
    value: metadata::MetadataValue<metadata::Ascii>,
}

impl core::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.write_str("Key")
    }
}

/// Interceptor that adds the key to a client's request.
type Authenticator = fn(tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status>;

/// A connection whose requests carry the key.
pub type Channel = interceptor::InterceptedService<transport::Channel, Authenticator>;

/// Returns a channel that adds the key to each request.
pub fn authenticate_channel(channel: transport::Channel) -> Channel {
    interceptor::InterceptedService::new(channel, authenticate_request)
}

/// Returns the key in the file that `[deployment] key_file` names, if it names one.
///
/// A file that cannot be read or holds no printable key is a finding.
pub fn read_key(reader: &mut settings::Reader) -> Option<Key> {
    let path: String = reader.optional("deployment", "key_file", String::new(), "a file");
    if path.is_empty() {
        return None;
    }
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            let problem = format!("{path} cannot be read: {error}");
            reader.report("deployment", "key_file", problem);
            return None;
        }
    };
    let key = parse_key(text.trim());
    if key.is_none() {
        let problem = format!("{path} holds no key; give printable ASCII on one line");
        reader.report("deployment", "key_file", problem);
    }
    key
}

/// Sets the key that this process sends and requires. Only the first key counts.
pub fn install_key(key: Option<Key>) {
    if let Some(key) = key {
        let _ = KEY.set(key);
    }
}

/// Adds the key to the request.
fn authenticate_request(
    mut request: tonic::Request<()>,
) -> Result<tonic::Request<()>, tonic::Status> {
    if let Some(key) = KEY.get() {
        request.metadata_mut().insert(HEADER, key.value.clone());
    }
    Ok(request)
}

/// Adds the key to the headers of a request.
pub fn authenticate_headers(headers: &mut http::HeaderMap) {
    if let Some(key) = KEY.get() {
        let value = http::HeaderValue::from_bytes(key.value.as_encoded_bytes());
        if let Ok(value) = value {
            headers.insert(HEADER, value);
        }
    }
}

/// Rejects a request without the key as unauthenticated.
pub fn check_request(request: tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status> {
    let Some(key) = KEY.get() else {
        return Ok(request);
    };
    let sent = request.metadata().get(HEADER);
    let sent = sent.map(|value| digest::hash_key(value.as_encoded_bytes()));
    if sent == Some(key.digest) {
        Ok(request)
    } else {
        Err(tonic::Status::unauthenticated("not this deployment's key"))
    }
}

fn parse_key(text: &str) -> Option<Key> {
    if text.is_empty() {
        return None;
    }
    let value: metadata::MetadataValue<metadata::Ascii> = text.parse().ok()?;
    Some(Key {
        digest: digest::hash_key(value.as_encoded_bytes()),
        value,
    })
}
