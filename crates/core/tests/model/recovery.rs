//! Recovery once all faults have ended.

use peargap_core::log;
use peargap_core::log::effect;

use super::Action;
use super::Model;

/// Maximum number of messages in transit during recovery.
const RECOVERY_MESSAGES: usize = 200;
/// Number of times that every timer expires during recovery.
const RECOVERY_ROUNDS: usize = 24;

impl Model {
    /// Ends all faults, restarts the hosts that are down, and lets every timer expire repeatedly.
    pub(crate) fn recover(&mut self) {
        self.message_limit = RECOVERY_MESSAGES;
        for round in 0..RECOVERY_ROUNDS {
            for index in 0..self.hosts.len() {
                match &self.hosts[index].log {
                    None => self.perform(Action::Restart(index)),
                    Some(log) if log.role() == log::Role::Leader => {
                        self.perform(Action::Heartbeat(index));
                    }
                    Some(_) => {}
                }
                self.deliver_all();
            }
            self.expire_election_timers(round);
        }
    }

    fn expire_election_timers(&mut self, round: usize) {
        let leader = self.find_leader();
        match leader {
            Some(index) => self.perform(Action::CheckQuorum(index)),
            None => self.perform(Action::Campaign(round % self.hosts.len())),
        }
        // Hosts that are not voters ask to join.
        for index in 0..self.hosts.len() {
            let event = effect::Event::ElectionTimeout;
            let host = &self.hosts[index];
            let is_voter = host
                .log
                .as_ref()
                .is_some_and(|log| log.store().roster().voters.contains(log.me()));
            if !is_voter || host.outdated {
                self.handle(index, event, usize::MAX);
            }
            self.deliver_all();
        }
    }

    /// Returns the running leader with the highest term.
    pub(crate) fn find_leader(&self) -> Option<usize> {
        let logs = self.hosts.iter().enumerate();
        let logs = logs.filter_map(|(index, host)| Some((index, host.log.as_ref()?)));
        let leaders = logs.filter(|(_index, log)| log.role() == log::Role::Leader);
        let last = leaders.max_by_key(|(_index, log)| log.hard().term);
        last.map(|(index, _log)| index)
    }
}
