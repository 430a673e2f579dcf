//! The routing document in force and the failure domains out of service.
//!
//! The document is kept as its writer sent it; its meaning is [`crate::routes`].

use std::collections;

use bytes::Bytes;

/// Replicated routing state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Routing {
    /// Failure domains that get no new work.
    pub domains_out: collections::BTreeSet<String>,
    /// Index in the log of the last change of `domains_out`.
    pub revision: u64,
    /// The document; empty before the first.
    pub text: Bytes,
    /// Version of the document; 0 before the first.
    pub version: u64,
}

impl Routing {
    /// Takes a document whose version is higher than the present one; any other changes nothing.
    ///
    /// Returns whether it was taken.
    pub fn publish(&mut self, version: u64, text: Bytes) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.text = text;
        true
    }

    /// Takes a domain out of service or back; `index` is the command's place in the log.
    ///
    /// Returns whether that changed anything.
    pub fn shift(&mut self, index: u64, domain: &str, out: bool) -> bool {
        let changed = match out {
            true => self.domains_out.insert(domain.to_owned()),
            false => self.domains_out.remove(domain),
        };
        if changed {
            self.revision = index;
        }
        changed
    }
}
