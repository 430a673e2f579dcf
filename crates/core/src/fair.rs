//! Weighted fair queueing of teams by the tokens they use.

slotmap::new_key_type! {
    /// Key of a team's account.
    pub struct Team;
}

/// Credit that a team may keep over an idle period, in requests of average size.
const MAX_CREDIT_REQUESTS: f64 = 1.0;
/// Assumed tokens of a request until one is charged.
const DEFAULT_REQUEST_TOKENS: f64 = 1000.0;
/// Weight of a new request in the moving average of tokens per request.
const REQUEST_SMOOTHING: f64 = 0.02;

/// Lower bound on the expected wait in a wait ratio, in milliseconds.
const MIN_WAIT_MS: u64 = 100;
/// Upper bound on a measured ratio of actual to expected wait.
const MAX_WAIT_RATIO: f64 = 8.0;
/// Weight of a new wait in the moving average of the ratio of actual to expected waits.
const WAIT_RATIO_SMOOTHING: f64 = 0.1;

/// Usage and queued requests of one team.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Moving average of the ratio of actual to expected waits.
    wait_ratio: f64,
    /// Queued requests.
    waiting: u32,
    /// Tokens used, divided by the weight.
    used: f64,
    weight: f64,
}

/// Weighted fair shares of one upstream: the accounts of its teams.
#[derive(Clone, Debug)]
pub struct Shares {
    accounts: slotmap::SlotMap<Team, Account>,
    /// Virtual time: the highest weighted usage at which a team was served.
    virtual_time: f64,
    /// Moving average of the tokens per request.
    mean_request_tokens: f64,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares::new()
    }
}

impl Shares {
    /// Returns shares without accounts.
    #[must_use]
    pub fn new() -> Shares {
        let accounts = slotmap::SlotMap::with_key();
        Shares {
            accounts,
            virtual_time: 0.0,
            mean_request_tokens: DEFAULT_REQUEST_TOKENS,
        }
    }

    /// Opens an account at the current virtual time; a weight of 0 counts as 1.
    pub fn open(&mut self, weight: u32) -> Team {
        let weight = f64::from(weight.max(1));
        self.accounts.insert(Account {
            wait_ratio: 1.0,
            waiting: 0,
            used: self.virtual_time,
            weight,
        })
    }

    /// Changes a team's weight; 0 counts as 1.
    pub fn set_weight(&mut self, team: Team, weight: u32) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.weight = f64::from(weight.max(1));
        }
    }

    /// Charges a request at its start for the tokens it is expected to use.
    pub fn charge(&mut self, team: Team, tokens: f64) {
        self.mean_request_tokens += (tokens - self.mean_request_tokens) * REQUEST_SMOOTHING;
        self.settle(team, tokens);
    }

    /// Charges the difference between used and expected tokens of a request; a negative number is
    /// a refund.
    pub fn settle(&mut self, team: Team, tokens: f64) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.used += tokens / account.weight;
        }
    }

    /// Counts a queued request; a team that had none keeps only a bounded credit.
    pub fn record_queued(&mut self, team: Team) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        if account.waiting == 0 {
            account.used = account.resumed_usage(self.virtual_time, self.mean_request_tokens);
        }
        account.waiting += 1;
    }

    /// Counts a request that left the queue.
    pub fn record_dequeued(&mut self, team: Team) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Advances the virtual time when a request of the team is taken from the queue.
    pub fn record_served(&mut self, team: Team) {
        if let Some(account) = self.accounts.get(team) {
            self.virtual_time = self.virtual_time.max(account.used);
        }
    }

    /// Returns a team's weight.
    #[must_use]
    pub fn weight(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(1.0, |account| account.weight)
    }

    /// Returns a team's weighted usage; the team with the smallest is served first.
    #[must_use]
    pub fn used(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(f64::MAX, |account| account.used)
    }

    /// Estimates how many of the requests queued now are served before a new one of the team.
    #[must_use]
    pub fn requests_ahead(&self, team: Team) -> f64 {
        let Some(own) = self.accounts.get(team) else {
            return self
                .accounts
                .values()
                .map(|account| f64::from(account.waiting))
                .sum();
        };
        let used = if own.waiting == 0 {
            own.resumed_usage(self.virtual_time, self.mean_request_tokens)
        } else {
            own.used
        };
        let usage_at_turn = used + f64::from(own.waiting) * self.mean_request_tokens / own.weight;
        let mut total = f64::from(own.waiting);
        for (key, account) in &self.accounts {
            let ahead = (usage_at_turn - account.used) * account.weight / self.mean_request_tokens;
            if key != team && account.waiting > 0 {
                total += ahead.clamp(0.0, f64::from(account.waiting));
            }
        }
        total
    }

    /// Updates the team's ratio of actual to expected waits after a request has waited.
    ///
    /// Waits exceed the estimate when later requests of other teams are served first.
    pub fn record_wait(&mut self, team: Team, expected_ms: u64, waited_ms: u64) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        let expected = expected_ms.max(MIN_WAIT_MS) as f64 / account.wait_ratio;
        let ratio = (waited_ms as f64 / expected).clamp(1.0, MAX_WAIT_RATIO);
        account.wait_ratio += (ratio - account.wait_ratio) * WAIT_RATIO_SMOOTHING;
    }

    /// Returns a team's average ratio of actual to expected waits, at least 1.
    #[must_use]
    pub fn wait_ratio(&self, team: Team) -> f64 {
        self.accounts
            .get(team)
            .map_or(1.0, |account| account.wait_ratio)
    }

    /// Returns a team's number of queued requests, divided by its weight.
    #[must_use]
    pub fn backlog(&self, team: Team) -> f64 {
        let account = self.accounts.get(team);
        account.map_or(0.0, |account| f64::from(account.waiting) / account.weight)
    }
}

impl Account {
    /// Returns the weighted usage with which an idle team resumes: at least the virtual time less
    /// the credit.
    fn resumed_usage(&self, virtual_time: f64, mean_request_tokens: f64) -> f64 {
        self.used
            .max(virtual_time - MAX_CREDIT_REQUESTS * mean_request_tokens / self.weight)
    }
}
