//! Configuration changes submitted by operators.
//!
//! At most one manifest is accepted on top of each revision, and a resent change gets the answer
//! that was first given to its id.

use std::collections;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync;

use bytes::Bytes;

use crate::config;
use crate::manifest;

/// Maximum number of answered changes kept, so that a resent one gets its first answer.
pub const MAX_CHANGES: usize = 4096;
/// Longest change id or operator name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of findings kept for an invalid manifest.
const MAX_FINDINGS: usize = 32;

/// A change submitted by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The requested change.
    pub change: Change,
    /// Idempotency id chosen by the operator; a resent request carries the same one.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
}

/// A change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Returns the failure domain to service.
    DomainBack(String),
    /// Takes the failure domain out of service.
    DomainOut(String),
    /// Replaces the manifest.
    Manifest(Manifest),
    /// Gives the upstream no new work and lets running work finish.
    UpstreamDrain(String),
    /// Gives the upstream new work again.
    UpstreamResume(String),
}

/// A new manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Manifest {
    /// Revision that it is based on.
    pub base: u64,
    /// The parsed manifest, or the problems found in its text.
    pub parsed: Result<sync::Arc<manifest::Manifest>, Vec<String>>,
    /// Source text of the manifest.
    pub text: Bytes,
}

/// Answer to a submitted change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Answer {
    /// The change is committed.
    Accepted(Accepted),
    /// Another manifest was accepted on the base revision first.
    Conflict(Conflict),
    /// The change is invalid, for these reasons.
    Invalid(Vec<String>),
}

/// Result of an accepted change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Accepted {
    /// Whether this repeats the answer to an earlier request with the same id.
    pub repeated: bool,
    /// Revision of the manifest after the change.
    pub revision: u64,
    /// First configuration version that includes the change.
    pub version: u64,
}

/// The change that a manifest conflicts with.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Conflict {
    /// Current revision of the manifest.
    pub revision: u64,
    /// Id of the change that was accepted on the same base; empty if its record is no longer kept.
    pub winner_id: String,
    /// Operator of that change.
    pub winner_operator: String,
}

/// Record of an answered change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Answer first given to the change.
    pub answer: Answer,
    /// Digest of the change.
    pub digest: u64,
    /// Id of the change.
    pub id: String,
    /// Operator who submitted the change.
    pub operator: String,
    /// One-line description for display.
    pub summary: String,
}

/// Answered changes, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    by_id: collections::BTreeMap<String, u64>,
    first: u64,
    records: collections::VecDeque<Record>,
}

impl Changes {
    /// Adds an answered change, dropping the oldest one if [`MAX_CHANGES`] is reached.
    pub fn push(&mut self, record: Record) {
        if self.records.len() == MAX_CHANGES {
            self.forget_oldest();
        }
        let number = self.first + self.records.len() as u64;
        self.by_id.insert(record.id.clone(), number);
        self.records.push_back(record);
    }

    /// Returns the change with this id.
    pub fn find(&self, id: &str) -> Option<&Record> {
        let number = self.by_id.get(id)?;
        let index = usize::try_from(number - self.first).ok()?;
        self.records.get(index)
    }

    /// Returns the changes, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    fn forget_oldest(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.by_id.remove(&record.id);
            self.first += 1;
        }
    }

    /// Returns the manifest change that created `revision`.
    fn find_winner(&self, revision: u64) -> Option<&Record> {
        let created_revision = |record: &&Record| match &record.answer {
            Answer::Accepted(accepted) => {
                accepted.revision == revision && record.summary.starts_with(MANIFEST_SUMMARY)
            }
            Answer::Conflict(_) | Answer::Invalid(_) => false,
        };
        self.records.iter().rev().find(created_revision)
    }
}

/// Prefix of a manifest change's summary, by which [`Changes`] recognizes manifest changes.
const MANIFEST_SUMMARY: &str = "manifest";

/// Applies a change, or returns the earlier answer if its id has been answered before.
pub fn submit(config: &mut config::Config, changes: &mut Changes, request: Request) -> Answer {
    let digest = digest_change(&request.change);
    if let Some(known) = changes.find(&request.id) {
        return repeat_answer(known, &request, digest);
    }
    if let Some(problem) = check_names(&request) {
        return Answer::Invalid(vec![problem]);
    }
    let summary = summarize(&request.change);
    let answer = apply(config, changes, request.change);
    changes.push(Record {
        answer: answer.clone(),
        digest,
        id: request.id,
        operator: request.operator,
        summary,
    });
    answer
}

fn repeat_answer(known: &Record, request: &Request, digest: u64) -> Answer {
    if known.digest != digest || known.operator != request.operator {
        let problem = format!(
            "id {:?} stands for another change: {} by {}",
            known.id, known.summary, known.operator
        );
        return Answer::Invalid(vec![problem]);
    }
    match &known.answer {
        Answer::Accepted(accepted) => Answer::Accepted(Accepted {
            repeated: true,
            ..*accepted
        }),
        Answer::Conflict(_) | Answer::Invalid(_) => known.answer.clone(),
    }
}

fn check_names(request: &Request) -> Option<String> {
    if request.id.is_empty() || request.id.len() > MAX_NAME_BYTES {
        return Some(format!("the id needs 1 to {MAX_NAME_BYTES} bytes"));
    }
    if request.operator.len() > MAX_NAME_BYTES {
        return Some(format!(
            "the operator's name has over {MAX_NAME_BYTES} bytes"
        ));
    }
    None
}

fn apply(config: &mut config::Config, changes: &Changes, change: Change) -> Answer {
    match change {
        Change::DomainBack(name) => return_to_service(config, Target::Domain, name),
        Change::DomainOut(name) => take_out_of_service(config, Target::Domain, name),
        Change::Manifest(manifest) => replace_manifest(config, changes, manifest),
        Change::UpstreamDrain(name) => take_out_of_service(config, Target::Upstream, name),
        Change::UpstreamResume(name) => return_to_service(config, Target::Upstream, name),
    }
}

/// Kind of object that can be taken out of service.
#[derive(Clone, Copy)]
enum Target {
    Domain,
    Upstream,
}

fn take_out_of_service(config: &mut config::Config, target: Target, name: String) -> Answer {
    if !is_known(config, target, &name) {
        return Answer::Invalid(vec![format!("{name:?} is not known")]);
    }
    let changed = out_of_service(config, target).insert(name);
    accept(config, changed)
}

fn return_to_service(config: &mut config::Config, target: Target, name: String) -> Answer {
    let changed = out_of_service(config, target).remove(&name);
    if !changed && !is_known(config, target, &name) {
        return Answer::Invalid(vec![format!("{name:?} is not known")]);
    }
    accept(config, changed)
}

fn out_of_service(
    config: &mut config::Config,
    target: Target,
) -> &mut collections::BTreeSet<String> {
    match target {
        Target::Domain => &mut config.domains_out,
        Target::Upstream => &mut config.upstreams_out,
    }
}

fn is_known(config: &config::Config, target: Target, name: &str) -> bool {
    match target {
        Target::Domain => {
            let declared = config.manifest.domains.iter();
            let mut members = config.members.values();
            declared.clone().any(|domain| domain.name == name)
                || members.any(|member| member.node.domain == name)
        }
        Target::Upstream => {
            let mut declared = config.manifest.upstreams.iter();
            let announced = config.members.values();
            let mut announced = announced.filter_map(|member| member.announcement.as_ref());
            declared.any(|upstream| upstream.name == name)
                || announced.any(|announcement| announcement.upstream == name)
        }
    }
}

fn replace_manifest(config: &mut config::Config, changes: &Changes, manifest: Manifest) -> Answer {
    if manifest.base > config.revision {
        let problem = format!(
            "revision {} does not exist; the present one is {}",
            manifest.base, config.revision
        );
        return Answer::Invalid(vec![problem]);
    }
    if manifest.base < config.revision {
        return Answer::Conflict(describe_conflict(config, changes, manifest.base + 1));
    }
    match manifest.parsed {
        Ok(parsed) => {
            config.manifest = parsed;
            config.text = manifest.text;
            config.revision += 1;
            accept(config, true)
        }
        Err(mut findings) => {
            findings.truncate(MAX_FINDINGS);
            Answer::Invalid(findings)
        }
    }
}

fn describe_conflict(config: &config::Config, changes: &Changes, revision: u64) -> Conflict {
    let winner = changes.find_winner(revision);
    Conflict {
        revision: config.revision,
        winner_id: winner.map_or_else(String::new, |winner| winner.id.clone()),
        winner_operator: winner.map_or_else(String::new, |winner| winner.operator.clone()),
    }
}

fn accept(config: &mut config::Config, changed: bool) -> Answer {
    if changed {
        config.version += 1;
    }
    Answer::Accepted(Accepted {
        repeated: false,
        revision: config.revision,
        version: config.version,
    })
}

fn summarize(change: &Change) -> String {
    match change {
        Change::DomainBack(name) => format!("domain back {name}"),
        Change::DomainOut(name) => format!("domain out {name}"),
        Change::Manifest(manifest) => {
            format!("{MANIFEST_SUMMARY} on revision {}", manifest.base)
        }
        Change::UpstreamDrain(name) => format!("upstream drain {name}"),
        Change::UpstreamResume(name) => format!("upstream resume {name}"),
    }
}

/// Returns the digest of a change.
///
/// The base revision of a manifest is left out, so that a resent change that names a newer base is
/// still recognized.
fn digest_change(change: &Change) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    match change {
        Change::Manifest(manifest) => {
            MANIFEST_SUMMARY.hash(&mut hasher);
            hasher.write(&manifest.text);
        }
        Change::DomainBack(_)
        | Change::DomainOut(_)
        | Change::UpstreamDrain(_)
        | Change::UpstreamResume(_) => summarize(change).hash(&mut hasher),
    }
    hasher.finish()
}
