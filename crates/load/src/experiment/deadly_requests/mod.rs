//! Experiment: plain calls that come again and again crash the upstreams that run them.
//!
//! It plays a fleet of gateways with the quarantine of `peargap_core`: how many upstreams crash until the
//! requests are in quarantine everywhere, and what that costs sound requests.

mod fleet;
mod setup;

use core::fmt;

pub use setup::list_setups;
pub use setup::list_sound_setups;
pub use setup::Setup;

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
    /// Most upstreams that one deadly request crashed.
    pub crashes: usize,
    /// Sends of a deadly request later than 3 s after its third crash, at most for one request.
    pub late: usize,
    /// Sound requests that come once.
    pub sound: usize,
    /// Those of them that were refused as in quarantine.
    pub sound_refused: usize,
    /// Repeats of the popular sound request.
    pub popular: usize,
    /// Those of them that were refused as in quarantine.
    pub popular_refused: usize,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} crashes, {} late, {} of {} sound and {} of {} popular refused",
            self.crashes,
            self.late,
            self.sound_refused,
            self.sound,
            self.popular_refused,
            self.popular
        )
    }
}

/// Plays a run.
#[must_use]
pub fn play(setup: Setup, seed: u64) -> Figures {
    fleet::Fleet::new(setup, seed).play()
}

/// Returns a table of all setups, with the median and the most of `seeds` runs.
#[must_use]
pub fn report(seeds: u64) -> String {
    let setups = list_setups().into_iter().chain(list_sound_setups());
    setups.map(|setup| report_setup(setup, seeds)).collect()
}

fn report_setup(setup: Setup, seeds: u64) -> String {
    let runs: Vec<_> = (0..seeds).map(|seed| play(setup, seed)).collect();
    let mut crashes: Vec<_> = runs.iter().map(|run| run.crashes).collect();
    crashes.sort_unstable();
    let median = crashes.get(crashes.len() / 2).copied().unwrap_or_default();
    let sum = Figures {
        crashes: crashes.last().copied().unwrap_or_default(),
        late: runs.iter().map(|run| run.late).max().unwrap_or_default(),
        popular: runs.iter().map(|run| run.popular).sum(),
        popular_refused: runs.iter().map(|run| run.popular_refused).sum(),
        sound: runs.iter().map(|run| run.sound).sum(),
        sound_refused: runs.iter().map(|run| run.sound_refused).sum(),
    };
    format!("{setup:?}: {median} crashes by the median; at most or in all {sum}\n")
}
