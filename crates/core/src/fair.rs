//! Weighted fair shares of tokens among teams.

slotmap::new_key_type! {
    /// Names one team's account.
    pub struct Team;
}

/// Usual requests that an idle team may save up.
const MAX_CREDIT_REQUESTS: f64 = 1.0;
/// Tokens of a request before any was seen.
const FIRST_REQUEST_TOKENS: f64 = 1000.0;
/// Share of a new request in the usual tokens of one.
const SMOOTHING: f64 = 0.02;

/// Shortest expected wait that is learned from, in milliseconds.
const MIN_WAIT_MS: u64 = 100;
/// Largest factor on expected waits.
const MAX_STRETCH: f64 = 8.0;
/// Share of a new wait in the usual one.
const STRETCH_SMOOTHING: f64 = 0.1;

/// What one team has used.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Usual wait against the expected one.
    stretch: f64,
    /// Requests that wait.
    waiting: u32,
    /// Tokens used divided by the weight.
    used: f64,
    weight: f64,
}

/// The accounts of all teams at one upstream.
#[derive(Clone, Debug)]
pub struct Shares {
    accounts: slotmap::SlotMap<Team, Account>,
    /// Use of the team that was served last.
    level: f64,
    /// Usual tokens of a request.
    typical: f64,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares::new()
    }
}

impl Shares {
    /// Returns no accounts.
    #[must_use]
    pub fn new() -> Shares {
        let accounts = slotmap::SlotMap::with_key();
        Shares {
            accounts,
            level: 0.0,
            typical: FIRST_REQUEST_TOKENS,
        }
    }

    /// Opens an account; a weight of 0 counts as 1.
    pub fn open(&mut self, weight: u32) -> Team {
        let weight = f64::from(weight.max(1));
        self.accounts.insert(Account {
            stretch: 1.0,
            waiting: 0,
            used: self.level,
            weight,
        })
    }

    /// Changes a team's weight.
    pub fn set_weight(&mut self, team: Team, weight: u32) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.weight = f64::from(weight.max(1));
        }
    }

    /// Charges a request that starts with the tokens it is expected to use.
    pub fn charge(&mut self, team: Team, tokens: f64) {
        self.typical += (tokens - self.typical) * SMOOTHING;
        self.settle(team, tokens);
    }

    /// Charges what a request used beyond its charge; a negative number gives tokens back.
    pub fn settle(&mut self, team: Team, tokens: f64) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.used += tokens / account.weight;
        }
    }

    /// Notes a request that waits; a team that was idle keeps only a bounded credit.
    pub fn wait(&mut self, team: Team) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        if account.waiting == 0 {
            account.used = account.lift(self.level, self.typical);
        }
        account.waiting += 1;
    }

    /// Notes that a request waits no more.
    pub fn leave(&mut self, team: Team) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Notes that a team was chosen.
    pub fn serve(&mut self, team: Team) {
        if let Some(account) = self.accounts.get(team) {
            self.level = self.level.max(account.used);
        }
    }

    /// Returns a team's weight.
    #[must_use]
    pub fn weight(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(1.0, |account| account.weight)
    }

    /// Returns a team's use by weight; the smallest is served first.
    #[must_use]
    pub fn used(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(f64::MAX, |account| account.used)
    }

    /// Returns how many requests go before a new one of the team, as things stand.
    #[must_use]
    pub fn turns(&self, team: Team) -> f64 {
        let Some(own) = self.accounts.get(team) else {
            return self
                .accounts
                .values()
                .map(|account| f64::from(account.waiting))
                .sum();
        };
        let used = if own.waiting == 0 {
            own.lift(self.level, self.typical)
        } else {
            own.used
        };
        let reach = used + f64::from(own.waiting) * self.typical / own.weight;
        let mut turns = f64::from(own.waiting);
        for (key, account) in &self.accounts {
            let ahead = (reach - account.used) * account.weight / self.typical;
            if key != team && account.waiting > 0 {
                turns += ahead.clamp(0.0, f64::from(account.waiting));
            }
        }
        turns
    }

    /// Learns from a wait how the team's waits differ from what was expected.
    ///
    /// Requests of other teams that come later and go first make them longer.
    pub fn learn_wait(&mut self, team: Team, expected_ms: u64, waited_ms: u64) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        let expected = expected_ms.max(MIN_WAIT_MS) as f64 / account.stretch;
        let ratio = (waited_ms as f64 / expected).clamp(1.0, MAX_STRETCH);
        account.stretch += (ratio - account.stretch) * STRETCH_SMOOTHING;
    }

    /// Returns a team's usual wait against the expected one, at least 1.
    #[must_use]
    pub fn stretch(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(1.0, |account| account.stretch)
    }

    /// Returns a team's requests that wait, divided by its weight.
    #[must_use]
    pub fn backlog(&self, team: Team) -> f64 {
        let account = self.accounts.get(team);
        account.map_or(0.0, |account| f64::from(account.waiting) / account.weight)
    }
}

impl Account {
    /// Returns the use at which an idle team comes back: a bounded credit below `level`.
    fn lift(&self, level: f64, typical: f64) -> f64 {
        self.used
            .max(level - MAX_CREDIT_REQUESTS * typical / self.weight)
    }
}
