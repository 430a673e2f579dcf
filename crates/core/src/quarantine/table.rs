//! Evidence on all suspected parts, and the verdicts on prompts.

use core::time::Duration;
use std::collections;

use crate::prompt;
use crate::quarantine::evidence;
use crate::quarantine::group;
use crate::time::Instant;

/// Parts of which evidence is kept.
const MAX_ENTRIES: usize = 4096;
/// Losses of engines within this time of the first of them may have a cause in common.
const MOMENT: Duration = Duration::from_millis(50);
/// Time without news after which a part that is not in quarantine is forgotten.
const SUSPECT_TIME: Duration = Duration::from_secs(3600);
/// Time without news after which a part in quarantine is forgotten.
const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time from the third loss of an engine to the first trial; each further loss multiplies it by four.
const FIRST_TRIAL: Duration = Duration::from_secs(60);
/// Longest time from a loss of an engine to the next trial.
const MAX_TRIAL: Duration = Duration::from_secs(3600);
/// Time between two trials without a loss.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Losses after which the first trial comes after [`FIRST_TRIAL`].
const FIRST_TRIAL_LOSSES: u32 = 3;
/// Binary logarithm of the growth of the time to a trial with each loss.
const TRIAL_GROWTH_BITS: u32 = 2;

/// Whether a generation may be sent to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Allow,
    /// It may, although its prompt is in quarantine: it shows whether engines still crash on it.
    Trial,
    /// It may not.
    Refuse {
        /// The part because of which it may not.
        part: prompt::Part,
        /// Time to the next trial, in milliseconds; while trials are due elsewhere, the time between two.
        retry_after_ms: u64,
    },
}

/// A part that came into quarantine or out of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// What is known of the part.
    pub evidence: evidence::Evidence,
    /// Whether it is in quarantine.
    pub is_quarantined: bool,
    /// Parts that are in quarantine only together with it, itself among them.
    pub together: Vec<prompt::Part>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Number of the last change.
    change: u64,
    /// When the evidence last changed.
    changed_at: Instant,
    evidence: evidence::Evidence,
    last_loss: Instant,
    last_trial: Option<Instant>,
    /// When the first engine of the last moment was lost.
    moment: Instant,
    /// Number of the last change that this process observed itself; 0 for none.
    own_change: u64,
}

/// Evidence on all suspected parts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<prompt::Part, Entry>,
    groups: Vec<group::Group>,
    last_change: u64,
}

impl Table {
    /// Records that an engine ended as a generation with these parts began; returns what that changed.
    pub fn record_loss(
        &mut self,
        now: Instant,
        parts: &[prompt::Part],
        loss: evidence::Loss,
    ) -> Vec<Change> {
        self.forget(now);
        for part in parts {
            let entry = self.entry(now, *part);
            let is_new_moment = now >= entry.moment + MOMENT;
            let news = entry.evidence.record_loss(loss, is_new_moment);
            self.record_news(now, *part, news, true);
        }
        self.refresh()
    }

    /// Records that a generation with these parts was written. Returns what to tell other processes,
    /// and what it changed.
    pub fn record_write(
        &mut self,
        now: Instant,
        parts: &[prompt::Part],
    ) -> (Vec<evidence::Write>, Vec<Change>) {
        let mut writes = Vec::new();
        for part in parts {
            let entry = self.entries.get(part);
            if let Some(entry) = entry.filter(|entry| !entry.evidence.is_clear()) {
                writes.push(evidence::Write {
                    epoch: entry.evidence.epoch,
                    part: *part,
                });
            }
        }
        for write in &writes {
            self.add_write(now, write, true);
        }
        match writes.is_empty() {
            true => (writes, Vec::new()),
            false => (writes, self.refresh()),
        }
    }

    /// Merges what another process knows, and the generations that it saw written; returns what that
    /// changed.
    pub fn merge(
        &mut self,
        now: Instant,
        told: &[evidence::Evidence],
        writes: &[evidence::Write],
    ) -> Vec<Change> {
        let has_forgotten = self.forget(now);
        let former = self.last_change;
        for evidence in told {
            self.merge_evidence(now, evidence);
        }
        for write in writes {
            self.add_write(now, write, false);
        }
        match has_forgotten || self.last_change != former {
            true => self.refresh(),
            false => Vec::new(),
        }
    }

    /// Returns the verdict on a prompt with these parts. Only one process may run trials for it.
    pub fn admit(&mut self, now: Instant, parts: &[prompt::Part], runs_trials: bool) -> Verdict {
        let Some(part) = self.find_quarantined(parts) else {
            return Verdict::Allow;
        };
        let Some(entry) = self.entries.get_mut(&part) else {
            return Verdict::Allow;
        };
        let due = entry.next_trial();
        if runs_trials && now >= due {
            entry.last_trial = Some(now);
            return Verdict::Trial;
        }
        let retry_at = if now < due { due } else { now + TRIAL_INTERVAL };
        Verdict::Refuse {
            part,
            retry_after_ms: retry_at.millis_since(now),
        }
    }

    /// Returns the part because of which prompts with these parts are in quarantine, if they are.
    #[must_use]
    pub fn find_quarantined(&self, parts: &[prompt::Part]) -> Option<prompt::Part> {
        let mut groups = self.groups.iter();
        let group = groups.find(|group| group.iter().all(|part| parts.contains(part)))?;
        group.first().copied()
    }

    /// Clears a part, for all models, and all parts that were lost together with it, as an operator
    /// wishes; returns the cleared parts, and what that changed.
    pub fn release(&mut self, now: Instant, id: u64) -> (Vec<prompt::Part>, Vec<Change>) {
        let named = self
            .entries
            .values()
            .filter(|one| one.evidence.part.id == id);
        let losses: collections::BTreeSet<evidence::Loss> = named
            .flat_map(|one| one.evidence.losses.iter().copied())
            .collect();
        let is_lost = |one: &&Entry| !one.evidence.losses.is_disjoint(&losses);
        let parts = self.entries.values().filter(is_lost);
        let parts: Vec<_> = parts.map(|one| one.evidence.part).collect();
        for part in &parts {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.evidence.clear();
            }
            self.record_news(now, *part, evidence::News::Other, true);
        }
        let changes = self.refresh();
        (parts, changes)
    }

    /// Returns the parts that something speaks against, each with the group of parts that is in
    /// quarantine with it, if one is.
    pub fn list_suspects(
        &self,
    ) -> impl Iterator<Item = (&evidence::Evidence, Option<&[prompt::Part]>)> {
        let evidence = self.entries.values().map(|entry| &entry.evidence);
        let suspects = evidence.filter(|evidence| !evidence.is_clear());
        suspects.map(|evidence| {
            let mut groups = self.groups.iter();
            let group = groups.find(|group| group.contains(&evidence.part));
            (evidence, group.map(Vec::as_slice))
        })
    }

    /// Returns the number of parts, or groups of them, that are in quarantine.
    #[must_use]
    pub fn count_quarantined(&self) -> usize {
        self.groups.len()
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the evidence that changed after `change`.
    pub fn list_after(&self, change: u64) -> impl Iterator<Item = &evidence::Evidence> {
        let entries = self.entries.values();
        let later = entries.filter(move |entry| entry.change > change);
        later.map(|entry| &entry.evidence)
    }

    /// Returns the evidence that changed after `change` by what this process observed itself.
    pub fn list_own_after(&self, change: u64) -> impl Iterator<Item = &evidence::Evidence> {
        let entries = self.entries.values();
        let later = entries.filter(move |entry| entry.own_change > change);
        later.map(|entry| &entry.evidence)
    }

    fn entry(&mut self, now: Instant, part: prompt::Part) -> &mut Entry {
        self.entries.entry(part).or_insert_with(|| Entry {
            change: 0,
            changed_at: now,
            evidence: evidence::Evidence::new(part),
            last_loss: Instant::default(),
            last_trial: None,
            moment: Instant::default(),
            own_change: 0,
        })
    }

    fn merge_evidence(&mut self, now: Instant, told: &evidence::Evidence) {
        if told.is_clear() && !self.entries.contains_key(&told.part) {
            return;
        }
        let entry = self.entry(now, told.part);
        let is_new_moment = now >= entry.moment + MOMENT;
        let news = entry.evidence.merge(told, is_new_moment);
        self.record_news(now, told.part, news, false);
    }

    fn add_write(&mut self, now: Instant, write: &evidence::Write, is_own: bool) {
        let Some(entry) = self.entries.get_mut(&write.part) else {
            return;
        };
        if entry.evidence.epoch != write.epoch || entry.evidence.is_clear() {
            return;
        }
        entry.evidence.record_write();
        // Others count the writes that they are told, but may have missed some.
        let is_cleared = entry.evidence.is_clear();
        self.record_news(now, write.part, evidence::News::Other, is_own && is_cleared);
    }

    fn record_news(
        &mut self,
        now: Instant,
        part: prompt::Part,
        news: evidence::News,
        is_own: bool,
    ) {
        if news == evidence::News::None {
            return;
        }
        self.last_change += 1;
        let Some(entry) = self.entries.get_mut(&part) else {
            return;
        };
        entry.change = self.last_change;
        entry.changed_at = now;
        if is_own {
            entry.own_change = self.last_change;
        }
        if news == evidence::News::Loss {
            entry.last_loss = now;
            if now >= entry.moment + MOMENT {
                entry.moment = now;
            }
        }
    }

    /// Finds the groups anew; returns the parts that came into quarantine or out of it.
    fn refresh(&mut self) -> Vec<Change> {
        let evidence = self.entries.values().map(|entry| &entry.evidence);
        let former = core::mem::replace(&mut self.groups, group::find(evidence));
        let added = self.groups.iter().filter(|group| !former.contains(group));
        let removed = former.iter().filter(|group| !self.groups.contains(group));
        let added = added.map(|group| (group, true));
        let removed = removed.map(|group| (group, false));
        let changes = removed.chain(added).filter_map(|(group, is_quarantined)| {
            let part = group.first()?;
            let known = self.entries.get(part);
            let evidence = known.map(|entry| entry.evidence.clone());
            Some(Change {
                evidence: evidence.unwrap_or_else(|| evidence::Evidence::new(*part)),
                is_quarantined,
                together: group.clone(),
            })
        });
        changes.collect()
    }

    /// Forgets what has had no news for long, and the least suspected parts if there are too many;
    /// returns whether it forgot any.
    fn forget(&mut self, now: Instant) -> bool {
        let former = self.entries.len();
        let groups = &self.groups;
        self.entries.retain(|part, entry| {
            let is_quarantined = groups.iter().any(|group| group.contains(part));
            let kept_for = if is_quarantined {
                QUARANTINE_TIME
            } else {
                SUSPECT_TIME
            };
            now < entry.changed_at + kept_for
        });
        while self.entries.len() >= MAX_ENTRIES {
            let least = self.entries.iter().min_by_key(|(part, entry)| {
                let is_quarantined = groups.iter().any(|group| group.contains(part));
                (is_quarantined, entry.evidence.moments, entry.change)
            });
            let Some(part) = least.map(|(part, _entry)| *part) else {
                break;
            };
            self.entries.remove(&part);
        }
        self.entries.len() < former
    }
}

impl Entry {
    fn next_trial(&self) -> Instant {
        let further = self.evidence.moments.saturating_sub(FIRST_TRIAL_LOSSES);
        let growth = 1_u32.checked_shl(further.saturating_mul(TRIAL_GROWTH_BITS));
        let wait = FIRST_TRIAL.saturating_mul(growth.unwrap_or(u32::MAX));
        let due = self.last_loss + wait.min(MAX_TRIAL);
        let after_trial = self.last_trial.map(|trial| trial + TRIAL_INTERVAL);
        after_trial.map_or(due, |after| after.max(due))
    }
}
