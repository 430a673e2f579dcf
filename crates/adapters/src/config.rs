//! The configuration as entries and agents use it, built from its wire form.

use std::collections;

use peargap_core::manifest;
use peargap_wire::control;

use crate::manifest as parser;
use crate::settings;

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Failure domains out of service.
    pub domains_out: collections::BTreeSet<String>,
    /// The manifest.
    pub manifest: manifest::Manifest,
    /// Known nodes by name.
    pub members: collections::BTreeMap<String, control::Member>,
    /// Orders by upstream.
    pub orders: collections::BTreeMap<String, control::Order>,
    /// Revision of the manifest.
    pub revision: u64,
    /// Upstreams being drained.
    pub upstreams_out: collections::BTreeSet<String>,
    /// Version; never decreases.
    pub version: u64,
}

impl Config {
    /// Converts the wire message; fails with the findings in its manifest.
    pub fn from_wire(wire: control::Config) -> Result<Config, settings::Findings> {
        let mut config = Config {
            version: wire.version,
            ..Config::default()
        };
        config.set_manifest(wire.revision, &wire.manifest)?;
        config.domains_out.extend(wire.domains_out);
        config.upstreams_out.extend(wire.upstreams_out);
        for member in wire.members {
            config.set_member(member);
        }
        for order in wire.orders {
            config.orders.insert(order.upstream.clone(), order);
        }
        Ok(config)
    }

    /// Applies one change; fails with the findings in its manifest.
    pub fn apply(&mut self, change: control::Change) -> Result<(), settings::Findings> {
        use control::change::Kind;
        match change.kind {
            None => {}
            Some(Kind::Manifest(manifest)) => {
                self.set_manifest(manifest.revision, &manifest.text)?;
            }
            Some(Kind::Domain(state)) => set(&mut self.domains_out, state.domain, state.out),
            Some(Kind::Upstream(state)) => set(&mut self.upstreams_out, state.upstream, state.out),
            Some(Kind::Member(member)) => self.set_member(member),
            Some(Kind::Left(name)) => {
                self.members.remove(&name);
            }
            Some(Kind::Order(order)) => {
                self.orders.insert(order.upstream.clone(), order);
            }
        }
        Ok(())
    }

    fn set_manifest(&mut self, revision: u64, text: &[u8]) -> Result<(), settings::Findings> {
        self.revision = revision;
        if text.is_empty() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(text);
        self.manifest = parser::parse_manifest("manifest", &text)?;
        Ok(())
    }

    fn set_member(&mut self, member: control::Member) {
        if let Some(node) = &member.node {
            self.members.insert(node.name.clone(), member);
        }
    }
}

fn set(names: &mut collections::BTreeSet<String>, name: String, out: bool) {
    if out {
        names.insert(name);
    } else {
        names.remove(&name);
    }
}
