//! Evidence on all suspects, and the verdicts on requests.

use core::fmt;
use core::time::Duration;
use std::collections;

use crate::quarantine::evidence;
use crate::quarantine::group;
use crate::quarantine::subject;
use crate::time::Instant;

/// Subjects of which evidence is kept.
const MAX_ENTRIES: usize = 4096;
/// Losses of upstreams with one part of prompts within this time of the first of them may have a cause in
/// common.
const PART_MOMENT: Duration = Duration::from_millis(50);
/// The same for losses with one request: few of its repeats run at a time, so that upstreams that end with
/// it one after the other seldom do so by another cause.
const REQUEST_MOMENT: Duration = Duration::from_millis(10);
/// Time without news after which a subject that is not in quarantine is forgotten.
const SUSPECT_TIME: Duration = Duration::from_secs(3600);
/// Time without news after which a subject in quarantine is forgotten.
const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time from the third loss of an upstream to the first trial; each further loss multiplies it by four.
const FIRST_TRIAL: Duration = Duration::from_secs(60);
/// The same for a request that was answered between the losses: it may be a sound one that comes often.
const FIRST_DOUBTFUL_TRIAL: Duration = Duration::from_secs(5);
/// Longest time from a loss of an upstream to the next trial.
const MAX_TRIAL: Duration = Duration::from_secs(3600);
/// Time between two trials without a loss.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Losses from which what was never answered is the likely cause.
const LIKELY_LOSSES: u32 = 2;
/// Trials without a success after which only an operator ends a quarantine, or the time without news.
const MAX_TRIALS: u32 = 3;
/// Losses after which the first trial comes after [`FIRST_TRIAL`].
const FIRST_TRIAL_LOSSES: u32 = 3;
/// Binary logarithm of the growth of the time to a trial with each loss.
const TRIAL_GROWTH_BITS: u32 = 2;

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Allow,
    /// It may, although this subject is in quarantine: it shows whether upstreams still crash on it.
    Trial(subject::Subject),
    /// It may not.
    Refuse {
        /// The subject because of which it may not.
        subject: subject::Subject,
        /// Time to the next trial, or to the end of the quarantine without one, in milliseconds; while
        /// trials are due elsewhere, the time between two.
        retry_after_ms: u64,
    },
}

/// A subject that came into quarantine or out of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// What is known of the subject.
    pub evidence: evidence::Evidence,
    /// Whether it is in quarantine.
    pub is_quarantined: bool,
    /// Subjects that are in quarantine only together with it, itself among them.
    pub together: Vec<subject::Subject>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evidence = &self.evidence;
        write!(
            formatter,
            "subject={} quarantined={} together={} losses={} moments={} answered={} trials={} \
             cleared={}",
            evidence.subject,
            self.is_quarantined,
            subject::List(&self.together),
            evidence.losses.len(),
            evidence.moments,
            evidence.successes,
            evidence.trials,
            evidence.epoch
        )
    }
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
    /// When the first upstream of the last moment was lost.
    moment: Instant,
    /// Number of the last change that this process observed itself; 0 for none.
    own_change: u64,
}

/// Evidence on all suspects.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<subject::Subject, Entry>,
    groups: Vec<group::Group>,
    last_change: u64,
    /// Requests that something speaks against.
    suspected_requests: usize,
}

impl Table {
    /// Records that an upstream ended while it ran a request with these subjects; returns what that
    /// changed.
    pub fn record_loss(
        &mut self,
        now: Instant,
        subjects: &[subject::Subject],
        loss: evidence::Loss,
    ) -> Vec<Change> {
        self.forget(now);
        for subject in subjects {
            let entry = self.entry(now, *subject);
            let is_new_moment = entry.is_new_moment(now);
            let news = entry.evidence.record_loss(loss, is_new_moment);
            self.record_news(now, *subject, news, true);
        }
        self.refresh()
    }

    /// Records that a request with these subjects was answered. Returns what to tell other processes, and
    /// what it changed.
    pub fn record_success(
        &mut self,
        now: Instant,
        subjects: &[subject::Subject],
    ) -> (Vec<evidence::Success>, Vec<Change>) {
        let mut successes = Vec::new();
        for subject in subjects {
            let entry = self.entries.get(subject);
            if let Some(entry) = entry.filter(|entry| !entry.evidence.is_clear()) {
                successes.push(evidence::Success {
                    epoch: entry.evidence.epoch,
                    subject: *subject,
                });
            }
        }
        for success in &successes {
            self.add_success(now, success, true);
        }
        match successes.is_empty() {
            true => (successes, Vec::new()),
            false => (successes, self.refresh()),
        }
    }

    /// Merges what another process knows, and the requests that it saw answered; returns what that
    /// changed.
    pub fn merge(
        &mut self,
        now: Instant,
        told: &[evidence::Evidence],
        successes: &[evidence::Success],
    ) -> Vec<Change> {
        let has_forgotten = self.forget(now);
        let former = self.last_change;
        for evidence in told {
            self.merge_evidence(now, evidence);
        }
        for success in successes {
            self.add_success(now, success, false);
        }
        match has_forgotten || self.last_change != former {
            true => self.refresh(),
            false => Vec::new(),
        }
    }

    /// Returns the verdict on a request with these subjects. `runs_trials` returns whether this process
    /// runs the trials of a subject; only one may.
    pub fn admit(
        &mut self,
        now: Instant,
        subjects: &[subject::Subject],
        runs_trials: impl FnOnce(subject::Subject) -> bool,
    ) -> Verdict {
        let Some(subject) = self.find_quarantined(subjects) else {
            return Verdict::Allow;
        };
        let Some(entry) = self.entries.get_mut(&subject) else {
            return Verdict::Allow;
        };
        let due = entry.next_trial();
        if entry.has_trials() && now >= due && runs_trials(subject) {
            entry.last_trial = Some(now);
            return Verdict::Trial(subject);
        }
        let retry_at = if now < due { due } else { now + TRIAL_INTERVAL };
        Verdict::Refuse {
            subject,
            retry_after_ms: retry_at.millis_since(now),
        }
    }

    /// Records that a trial of a subject is sent to an upstream.
    pub fn record_trial(&mut self, now: Instant, subject: subject::Subject) {
        if let Some(entry) = self.entries.get_mut(&subject) {
            entry.evidence.record_trial();
            self.record_news(now, subject, evidence::News::Other, true);
        }
    }

    /// Returns the subject because of which requests with these subjects are in quarantine, if they are.
    #[must_use]
    pub fn find_quarantined(&self, subjects: &[subject::Subject]) -> Option<subject::Subject> {
        let mut groups = self.groups.iter();
        let group = groups.find(|group| group.iter().all(|one| subjects.contains(one)))?;
        group.first().copied()
    }

    /// Returns whether a request with these subjects may be sent to another upstream after one ended
    /// with it. Once two have ended with all that was sent of a request, it is the likely cause.
    #[must_use]
    pub fn may_repeat(&self, subjects: &[subject::Subject]) -> bool {
        let known = subjects
            .iter()
            .filter_map(|subject| self.entries.get(subject));
        let mut requests = known.filter(|entry| entry.evidence.subject.is_request());
        requests.all(|entry| {
            entry.evidence.moments < LIKELY_LOSSES || entry.evidence.successes_since_loss > 0
        })
    }

    /// Returns whether something speaks against any whole request. Only then are the digests of requests
    /// needed.
    #[must_use]
    pub fn suspects_requests(&self) -> bool {
        self.suspected_requests > 0
    }

    /// Clears the subjects of a name, and all that were lost together with them, as an operator wishes;
    /// returns the cleared subjects, and what that changed.
    pub fn release(
        &mut self,
        now: Instant,
        name: subject::Name,
    ) -> (Vec<subject::Subject>, Vec<Change>) {
        let entries = self.entries.values();
        let named = entries.filter(|one| one.evidence.subject.has_name(name));
        let losses: collections::BTreeSet<evidence::Loss> = named
            .flat_map(|one| one.evidence.losses.iter().copied())
            .collect();
        let is_lost = |one: &&Entry| !one.evidence.losses.is_disjoint(&losses);
        let lost = self.entries.values().filter(is_lost);
        let subjects: Vec<_> = lost.map(|one| one.evidence.subject).collect();
        for subject in &subjects {
            if let Some(entry) = self.entries.get_mut(subject) {
                entry.evidence.clear();
            }
            self.record_news(now, *subject, evidence::News::Other, true);
        }
        let changes = self.refresh();
        (subjects, changes)
    }

    /// Returns the subjects that something speaks against, each with the group that is in quarantine
    /// with it, if one is.
    pub fn list_suspects(
        &self,
    ) -> impl Iterator<Item = (&evidence::Evidence, Option<&[subject::Subject]>)> {
        let evidence = self.entries.values().map(|entry| &entry.evidence);
        let suspects = evidence.filter(|evidence| !evidence.is_clear());
        suspects.map(|evidence| {
            let mut groups = self.groups.iter();
            let group = groups.find(|group| group.contains(&evidence.subject));
            (evidence, group.map(Vec::as_slice))
        })
    }

    /// Returns the evidence that should outlive all processes: on what is in quarantine or close to it,
    /// and on what was cleared, so that older evidence does not count again.
    pub fn list_lasting(&self) -> impl Iterator<Item = &evidence::Evidence> {
        let evidence = self.entries.values().map(|entry| &entry.evidence);
        evidence.filter(|one| one.moments >= LIKELY_LOSSES || one.epoch > 0)
    }

    /// Returns the number of requests, parts and groups of parts that are in quarantine.
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

    fn entry(&mut self, now: Instant, subject: subject::Subject) -> &mut Entry {
        self.entries.entry(subject).or_insert_with(|| Entry {
            change: 0,
            changed_at: now,
            evidence: evidence::Evidence::new(subject),
            last_loss: Instant::default(),
            last_trial: None,
            moment: Instant::default(),
            own_change: 0,
        })
    }

    fn merge_evidence(&mut self, now: Instant, told: &evidence::Evidence) {
        let is_empty = told.is_clear() && told.epoch == 0;
        if is_empty && !self.entries.contains_key(&told.subject) {
            return;
        }
        let entry = self.entry(now, told.subject);
        let is_new_moment = entry.is_new_moment(now);
        let news = entry.evidence.merge(told, is_new_moment);
        self.record_news(now, told.subject, news, false);
    }

    fn add_success(&mut self, now: Instant, success: &evidence::Success, is_own: bool) {
        let is_quarantined = self.is_in_group(&success.subject);
        let Some(entry) = self.entries.get_mut(&success.subject) else {
            return;
        };
        if entry.evidence.epoch != success.epoch || entry.evidence.is_clear() {
            return;
        }
        entry.evidence.record_success(is_quarantined);
        // Others count the successes that they are told, but may have missed some.
        let is_cleared = entry.evidence.is_clear();
        let is_own = is_own && is_cleared;
        self.record_news(now, success.subject, evidence::News::Other, is_own);
    }

    fn is_in_group(&self, subject: &subject::Subject) -> bool {
        self.groups.iter().any(|group| group.contains(subject))
    }

    fn record_news(
        &mut self,
        now: Instant,
        subject: subject::Subject,
        news: evidence::News,
        is_own: bool,
    ) {
        if news == evidence::News::None {
            return;
        }
        self.last_change += 1;
        let Some(entry) = self.entries.get_mut(&subject) else {
            return;
        };
        entry.change = self.last_change;
        entry.changed_at = now;
        if is_own {
            entry.own_change = self.last_change;
        }
        if news == evidence::News::Loss {
            entry.last_loss = now;
            if entry.is_new_moment(now) {
                entry.moment = now;
            }
        }
    }

    /// Finds the groups anew; returns the subjects that came into quarantine or out of it.
    fn refresh(&mut self) -> Vec<Change> {
        let suspects = self
            .entries
            .values()
            .filter(|entry| !entry.evidence.is_clear());
        self.suspected_requests = suspects
            .filter(|entry| entry.evidence.subject.is_request())
            .count();
        let evidence = self.entries.values().map(|entry| &entry.evidence);
        let former = core::mem::replace(&mut self.groups, group::find(evidence));
        let added = self.groups.iter().filter(|group| !former.contains(group));
        let removed = former.iter().filter(|group| !self.groups.contains(group));
        let added = added.map(|group| (group, true));
        let removed = removed.map(|group| (group, false));
        let changes = removed.chain(added).filter_map(|(group, is_quarantined)| {
            let subject = group.first()?;
            let known = self.entries.get(subject);
            let evidence = known.map(|entry| entry.evidence.clone());
            Some(Change {
                evidence: evidence.unwrap_or_else(|| evidence::Evidence::new(*subject)),
                is_quarantined,
                together: group.clone(),
            })
        });
        changes.collect()
    }

    /// Forgets what has had no news for long, and the least suspected if there are too many;
    /// returns whether it forgot any.
    fn forget(&mut self, now: Instant) -> bool {
        let former = self.entries.len();
        let quarantined: collections::BTreeSet<_> = self.groups.iter().flatten().copied().collect();
        self.entries.retain(|subject, entry| {
            let kept_for = match quarantined.contains(subject) {
                true => QUARANTINE_TIME,
                false => SUSPECT_TIME,
            };
            now < entry.changed_at + kept_for
        });
        while self.entries.len() >= MAX_ENTRIES {
            let least = self.entries.iter().min_by_key(|(subject, entry)| {
                let is_quarantined = quarantined.contains(subject);
                (is_quarantined, entry.evidence.moments, entry.change)
            });
            let Some(subject) = least.map(|(subject, _entry)| *subject) else {
                break;
            };
            self.entries.remove(&subject);
        }
        self.entries.len() < former
    }
}

impl Entry {
    /// Returns whether a loss at this time has no cause in common with the former ones.
    fn is_new_moment(&self, now: Instant) -> bool {
        let moment = match self.evidence.subject {
            subject::Subject::Part(_) => PART_MOMENT,
            subject::Subject::Request(_) => REQUEST_MOMENT,
        };
        now >= self.moment + moment
    }

    fn has_trials(&self) -> bool {
        self.evidence.trials < MAX_TRIALS
    }

    /// Returns when the next trial is due; without another one, when the quarantine ends.
    fn next_trial(&self) -> Instant {
        if !self.has_trials() {
            return self.changed_at + QUARANTINE_TIME;
        }
        let further = self.evidence.moments.saturating_sub(FIRST_TRIAL_LOSSES);
        let growth = 1_u32.checked_shl(further.saturating_mul(TRIAL_GROWTH_BITS));
        let first = match self.evidence.subject.is_request() && self.evidence.successes > 0 {
            true => FIRST_DOUBTFUL_TRIAL,
            false => FIRST_TRIAL,
        };
        let wait = first.saturating_mul(growth.unwrap_or(u32::MAX));
        let due = self.last_loss + wait.min(MAX_TRIAL);
        let after_trial = self.last_trial.map(|trial| trial + TRIAL_INTERVAL);
        after_trial.map_or(due, |after| after.max(due))
    }
}
