//! Weighted fair shares of tokens among teams.

slotmap::new_key_type! {
    /// Names one team's account.
    pub struct Team;
}

/// Tokens by weight that an idle team may save up.
const MAX_CREDIT_TOKENS: f64 = 2000.0;

/// What one team has used.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Requests that wait.
    waiting: u32,
    /// Tokens used divided by the weight.
    used: f64,
    weight: f64,
}

/// The accounts of all teams at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: slotmap::SlotMap<Team, Account>,
    /// Use of the team that was served last.
    level: f64,
}

impl Shares {
    /// Returns no accounts.
    #[must_use]
    pub fn new() -> Shares {
        Shares::default()
    }

    /// Opens an account; a weight of 0 counts as 1.
    pub fn open(&mut self, weight: u32) -> Team {
        let weight = f64::from(weight.max(1));
        self.accounts.insert(Account {
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

    /// Charges tokens to a team; a negative number gives back what was charged too much.
    pub fn charge(&mut self, team: Team, tokens: f64) {
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
            let credit = MAX_CREDIT_TOKENS / account.weight;
            account.used = account.used.max(self.level - credit);
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

    /// Returns a team's requests that wait, divided by its weight.
    #[must_use]
    pub fn backlog(&self, team: Team) -> f64 {
        let account = self.accounts.get(team);
        account.map_or(0.0, |account| f64::from(account.waiting) / account.weight)
    }
}
