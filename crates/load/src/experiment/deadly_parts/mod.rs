//! Experiment: prompts with some parts crash the engines that begin to write on them.
//!
//! It plays a fleet of gateways with the quarantine of `peargap_core`: how many engines crash until the
//! parts are in quarantine everywhere, and what that costs requests with sound prompts.

mod fleet;
mod setup;

use core::fmt;

pub use setup::list_setups;
pub use setup::list_sound_setups;
pub use setup::Setup;

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
    /// Most engines that one deadly part crashed.
    pub crashes: usize,
    /// Requests with a deadly part that reach engines later than 3 s after its fifth crash, at
    /// most for one part.
    pub late: usize,
    /// Requests with sound prompts.
    pub sound: usize,
    /// Requests with sound prompts that were refused.
    pub sound_refused: usize,
    /// Requests with sound prompts that have the first part of the deadly ones.
    pub sound_alike: usize,
    /// Those of them that were refused.
    pub sound_alike_refused: usize,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} crashes, {} late, {} of {} sound refused",
            self.crashes, self.late, self.sound_refused, self.sound
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
    let mut text = String::new();
    for setup in list_setups().into_iter().chain(list_sound_setups()) {
        let runs: Vec<_> = (0..seeds).map(|seed| play(setup, seed)).collect();
        let mut crashes: Vec<_> = runs.iter().map(|run| run.crashes).collect();
        crashes.sort_unstable();
        let late = runs.iter().map(|run| run.late).max().unwrap_or_default();
        let sound: usize = runs.iter().map(|run| run.sound).sum();
        let refused: usize = runs.iter().map(|run| run.sound_refused).sum();
        let alike: usize = runs.iter().map(|run| run.sound_alike).sum();
        let alike_refused: usize = runs.iter().map(|run| run.sound_alike_refused).sum();
        let median = crashes.get(crashes.len() / 2).copied().unwrap_or_default();
        let most = crashes.last().copied().unwrap_or_default();
        text.push_str(&format!(
            "{setup:?}: crashes {median} by the median, {most} at most; late {late} at most; \
             {refused} of {sound} sound requests refused, {alike_refused} of {alike} alike\n"
        ));
    }
    text
}
