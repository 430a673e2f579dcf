//! Groups of parts that explain the losses of engines.

use std::collections;

use crate::prompt;
use crate::quarantine::evidence;

/// Parts that the evidence cannot tell apart. A prompt that has all of them is refused.
pub(super) type Group = Vec<prompt::Part>;

/// Losses with one of two parts alone, from which they are told apart: a single one may have another
/// cause, and to refuse a sound part by itself would refuse many sound prompts.
const DISTINCT_LOSSES: usize = 2;
/// Generations written with one of two parts that were lost together, from which they are told apart.
const DISTINCT_WRITES: u32 = 2;

/// Evidence on one part, with the losses that no group explains yet.
struct Suspect<'a> {
    evidence: &'a evidence::Evidence,
    unexplained: collections::BTreeSet<evidence::Loss>,
}

impl Suspect<'_> {
    /// Returns the moments of the unexplained losses: their part of all moments.
    fn moments(&self) -> u32 {
        let all = self.evidence.losses.len().max(1);
        let moments = usize::try_from(self.evidence.moments).unwrap_or(usize::MAX);
        let unexplained = moments.saturating_mul(self.unexplained.len()) / all;
        u32::try_from(unexplained).unwrap_or(u32::MAX)
    }

    /// Returns whether this part may as well be the cause of what the worst one explains.
    fn may_explain(&self, worst: &Suspect<'_>) -> bool {
        let lacking = worst.unexplained.difference(&self.unexplained).count();
        let more_writes = self.evidence.writes.saturating_sub(worst.evidence.writes);
        lacking < DISTINCT_LOSSES && more_writes < DISTINCT_WRITES
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
    let enough = all.filter(|evidence| evidence.is_enough(evidence.moments));
    let mut suspects: Vec<_> = enough
        .map(|evidence| Suspect {
            evidence,
            unexplained: evidence.losses.clone(),
        })
        .collect();
    let mut groups = Vec::new();
    while let Some(worst) = take_worst(&mut suspects) {
        let tied = suspects.extract_if(.., |suspect| suspect.may_explain(&worst));
        let mut group: Group = tied.map(|suspect| suspect.evidence.part).collect();
        group.push(worst.evidence.part);
        group.sort_unstable();
        groups.push(group);
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
