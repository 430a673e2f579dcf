//! The cases.

mod cut_stream;
mod late_events;
mod left_server;
mod moved_twice;
mod second_copy;

use crate::record::Record;
use crate::Verdict;

/// `contactMs` of the sites.
pub const CONTACT_MS: u64 = 3000;
/// `drainMs` of the sites.
pub const DRAIN_MS: u64 = 2000;

/// Plays a case.
pub fn play(name: &str, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    match name {
        "left-server" => left_server::play(record, has_trouble),
        "second-copy" => second_copy::play(record, has_trouble),
        "moved-twice" => moved_twice::play(record, has_trouble),
        "cut-stream" => cut_stream::play(record, has_trouble),
        "late-events" => late_events::play(record, has_trouble),
        other => Err(format!("there is no case {other}")),
    }
}
