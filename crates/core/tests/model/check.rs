//! Safety properties, checked after every action.

use peargap_core::log;
use peargap_core::log::store;

use super::Model;

impl Model {
    fn report(&mut self, property: &'static str) {
        if self
            .checked_property
            .is_none_or(|checked_property| checked_property == property)
        {
            self.violated = Some(property);
        }
    }

    pub(crate) fn check_vote(&mut self, index: usize) {
        let Some(log) = &self.hosts[index].log else {
            return;
        };
        let Some(vote) = log.hard().vote.clone() else {
            return;
        };
        let key = (log.hard().term, log.me().clone());
        let history = &mut self.history;
        let given = history.votes.get(&key).cloned();
        match given {
            Some(given) if given != vote => self.report("a member votes once a term"),
            Some(_) => {}
            None => {
                history.change(|history| history.votes.insert(key, vote));
            }
        }
    }

    pub(crate) fn check_leader(&mut self, index: usize) {
        let Some(log) = &self.hosts[index].log else {
            return;
        };
        if log.role() != log::Role::Leader {
            return;
        }
        let term = log.hard().term;
        let me = log.me().clone();
        let known = self.history.leaders.get(&term).cloned();
        let complete = known.is_some() || self.holds_committed(term, log.store());
        if known.as_ref().is_some_and(|leader| *leader != me) {
            self.report("a term has one leader");
        }
        if !complete {
            self.report("a leader holds everything committed");
        }
        if known.is_none() {
            self.history
                .change(|history| history.leaders.insert(term, me));
        }
    }

    /// Returns whether the log of a leader of `term` holds all entries committed in earlier terms.
    fn holds_committed(&self, term: u64, store: &store::Store) -> bool {
        let history = &self.history;
        let terms = history.commit_terms.iter();
        let mut entries = history.committed.iter().zip(terms);
        entries.all(|(entry, committed)| {
            let index = entry.position.index;
            *committed >= term
                || index <= store.snapshot().position.index
                || store.entry(index) == Some(entry)
        })
    }

    pub(crate) fn check_commit(&mut self, index: usize, commit: u64) {
        let Some(log) = self.hosts[index].log.clone() else {
            return;
        };
        let first = log.store().snapshot().position.index + 1;
        for index in first..=commit {
            let Some(entry) = log.store().entry(index) else {
                self.report("a committed entry is stored");
                return;
            };
            let place = usize::try_from(index - 1).expect("a short log");
            match self.history.committed.get(place) {
                Some(known) if known != entry => {
                    self.report("a committed entry never changes");
                }
                Some(_) => {}
                None => {
                    let entry = entry.clone();
                    self.history.change(|history| {
                        history.committed.push(entry);
                        history.commit_terms.push(log.hard().term);
                    });
                }
            }
        }
    }

    /// Checks that two logs with equal positions at an index are identical up to that index.
    pub(crate) fn check_match(&mut self, index: usize) {
        let own = &self.hosts[index].disk.store;
        let others = self.hosts.iter().enumerate();
        let others = others.filter(|(other, _host)| *other != index);
        for (_other, host) in others {
            if !logs_match(own, &host.disk.store) {
                self.report("logs match");
                return;
            }
        }
    }
}

fn logs_match(left: &store::Store, right: &store::Store) -> bool {
    let last = left.last().index.min(right.last().index);
    let mut same = false;
    for index in (1..=last).rev() {
        let (Some(left), Some(right)) = (left.entry(index), right.entry(index)) else {
            return true;
        };
        same |= left.position == right.position;
        if same && left != right {
            return false;
        }
    }
    true
}
