//! Which teams have lately got more than their share of the engines.

use std::collections;

use crate::time::Instant;

/// Time after which served tokens count for half, in milliseconds.
const HALF_LIFE_MS: f64 = 5000.0;
/// Times the mean of the teams that were served lately from which on a team is above its share.
const MAX_RATIO: f64 = 2.5;
/// Times the mean request that a team must have got to be above its share: one or two say nothing.
const MIN_REQUESTS: f64 = 2.5;
/// Weight of a request in the mean size of requests.
const SIZE_WEIGHT: f64 = 0.05;
/// Teams that are kept; those that were served longest ago are dropped.
const MAX_TEAMS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Account {
    at: Instant,
    tokens: f64,
}

impl Account {
    fn read(self, now: Instant) -> f64 {
        let age_ms = f64::from(u32::try_from(now.millis_since(self.at)).unwrap_or(u32::MAX));
        self.tokens * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

/// Tokens that each team was served lately.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: collections::HashMap<String, Account>,
    request_tokens: f64,
}

impl Shares {
    /// Records that a request of a team is served.
    pub fn record(&mut self, now: Instant, team: &str, tokens: u64) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        match self.request_tokens > 0.0 {
            true => self.request_tokens += SIZE_WEIGHT * (tokens - self.request_tokens),
            false => self.request_tokens = tokens,
        }
        if !self.accounts.contains_key(team) {
            self.make_room();
        }
        let account = self.accounts.entry(team.to_owned()).or_insert(Account {
            at: now,
            tokens: 0.0,
        });
        *account = Account {
            at: now,
            tokens: account.read(now) + tokens,
        };
    }

    /// Returns whether a team has got more than its share lately.
    #[must_use]
    pub fn is_above(&self, now: Instant, team: &str) -> bool {
        let Some(own) = self.accounts.get(team).map(|account| account.read(now)) else {
            return false;
        };
        let others = self
            .accounts
            .iter()
            .filter(|(name, _account)| *name != team);
        let active = others.map(|(_name, account)| account.read(now));
        // A team whose last request has half decayed is not served now.
        let active: Vec<f64> = active
            .filter(|tokens| *tokens >= self.request_tokens / 4.0)
            .collect();
        let count = f64::from(u32::try_from(active.len()).unwrap_or(u32::MAX));
        let mean = active.iter().sum::<f64>() / count.max(1.0);
        count > 0.0 && own > MAX_RATIO * mean && own > MIN_REQUESTS * self.request_tokens
    }

    fn make_room(&mut self) {
        if self.accounts.len() < MAX_TEAMS {
            return;
        }
        let accounts = self.accounts.iter();
        let oldest = accounts.min_by_key(|(_name, account)| account.at);
        if let Some(name) = oldest.map(|(name, _account)| name.clone()) {
            self.accounts.remove(&name);
        }
    }
}
