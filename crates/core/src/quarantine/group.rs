//! Groups of subjects that explain the losses of upstreams.

use std::collections;

use crate::quarantine::evidence;
use crate::quarantine::subject;

/// Subjects that the evidence cannot tell apart: several parts, or a single request. A request that has
/// all of them is refused.
pub(super) type Group = Vec<subject::Subject>;

/// Losses with one of two parts alone, from which they are told apart: a single one may have another
/// cause, and to refuse a sound part by itself would refuse many sound prompts.
const DISTINCT_LOSSES: usize = 2;
/// Successes with one of two subjects that were lost together, from which they are told apart.
const DISTINCT_SUCCESSES: u32 = 2;

/// How much a loss counts against a request that another one explains as well: two deadly requests may
/// be lost together again and again.
const EXPLAINED_REQUEST_PART: f64 = 0.5;

/// Evidence on one subject, with the losses that no group explains yet.
struct Suspect<'a> {
    evidence: &'a evidence::Evidence,
    unexplained: collections::BTreeSet<evidence::Loss>,
}

impl Suspect<'_> {
    /// Returns the moments that speak against the subject: the part of the unexplained losses in all, and
    /// some of the others.
    fn moments(&self) -> f64 {
        let unexplained = count(self.unexplained.len());
        let all = count(self.evidence.losses.len()).max(1.0);
        let explained_part = match self.evidence.subject {
            subject::Subject::Part(_) => 0.0,
            subject::Subject::Request(_) => EXPLAINED_REQUEST_PART,
        };
        let counted = unexplained + explained_part * (all - unexplained);
        f64::from(self.evidence.moments) * counted / all
    }

    /// Returns whether this subject may as well be the cause of what the worst one explains.
    fn may_explain(&self, worst: &Suspect<'_>) -> bool {
        if self.evidence.subject.is_request() && worst.evidence.subject.is_request() {
            // One more loss with one of two requests is enough to tell them apart: neither is refused
            // in place of many others.
            return self.unexplained == worst.unexplained;
        }
        let lacking = worst.unexplained.difference(&self.unexplained).count();
        let successes = self.evidence.successes;
        let more_successes = successes.saturating_sub(worst.evidence.successes);
        lacking < DISTINCT_LOSSES && more_successes < DISTINCT_SUCCESSES
    }

    fn weight(&self) -> f64 {
        self.evidence.weight(self.moments())
    }

    fn is_enough(&self) -> bool {
        self.evidence.is_enough(self.moments())
    }
}

/// Returns the groups that the evidence puts in quarantine, the one that it speaks against most first.
pub(super) fn find<'a>(all: impl Iterator<Item = &'a evidence::Evidence>) -> Vec<Group> {
    let enough = all.filter(|evidence| evidence.is_enough(f64::from(evidence.moments)));
    let mut suspects: Vec<_> = enough
        .map(|evidence| Suspect {
            evidence,
            unexplained: evidence.losses.clone(),
        })
        .collect();
    let mut groups = Vec::new();
    while let Some(worst) = take_worst(&mut suspects) {
        let tied = suspects.extract_if(.., |suspect| suspect.may_explain(&worst));
        let mut tied: Vec<_> = tied.map(|suspect| suspect.evidence.subject).collect();
        tied.push(worst.evidence.subject);
        groups.extend(group(tied));
        for suspect in &mut suspects {
            suspect
                .unexplained
                .retain(|loss| !worst.unexplained.contains(loss));
        }
    }
    groups
}

/// Removes and returns the suspect of the greatest weight, if that is enough for a quarantine.
fn take_worst<'a>(suspects: &mut Vec<Suspect<'a>>) -> Option<Suspect<'a>> {
    let weights = suspects.iter().map(Suspect::weight).enumerate();
    let (index, _weight) = weights.max_by(|(_, one), (_, other)| one.total_cmp(other))?;
    let is_enough = suspects.get(index).is_some_and(Suspect::is_enough);
    is_enough.then(|| suspects.swap_remove(index))
}

/// Returns the groups of subjects that nothing tells apart. A whole request is refused in place of the
/// parts of its prompt, as that refuses least.
fn group(mut tied: Vec<subject::Subject>) -> Vec<Group> {
    tied.sort_unstable();
    if !tied.iter().any(subject::Subject::is_request) {
        return vec![tied];
    }
    let requests = tied.into_iter().filter(subject::Subject::is_request);
    requests.map(|request| vec![request]).collect()
}

fn count(losses: usize) -> f64 {
    u32::try_from(losses).map_or(f64::MAX, f64::from)
}
