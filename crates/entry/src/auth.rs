//! Authenticates callers: each bearer key belongs to a team.

use axum::http;
use axum::http::header;
use peargap_adapters::digest;
use peargap_core::manifest;

use crate::refusal;

/// Returns the team that the request's bearer key belongs to.
pub(crate) fn find_team(
    manifest: &manifest::Manifest,
    headers: &http::HeaderMap,
) -> Result<String, refusal::Refusal> {
    let Some(key) = read_key(headers) else {
        return Err(refuse(
            "The API key is missing; send it as `Authorization: Bearer KEY`.",
        ));
    };
    let digest = digest::hash_key(key);
    let team = manifest
        .teams
        .iter()
        .find(|team| team.keys.contains(&digest));
    match team {
        Some(team) => Ok(team.name.clone()),
        None => Err(refuse("The API key is unknown.")),
    }
}

fn read_key(headers: &http::HeaderMap) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

fn refuse(message: &str) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::InvalidKey, message)
}
