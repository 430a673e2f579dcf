//! Setups of the experiment.

use crate::experiment::numbers;

/// Engines for each gateway.
const ENGINES_PER_GATEWAY: f64 = 1.4;
const MIN_ENGINES: usize = 12;

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setup {
    /// Whether the control hosts are away when the first engines crash.
    pub control_away: bool,
    /// Number of deadly parts.
    pub deadly_parts: u64,
    /// Different first parts of prompts.
    pub first_parts: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Crashes by other causes, a second.
    pub other_crashes_per_s: f64,
    /// Part of the engines that end in each of these crashes; at least one.
    pub other_crash_part: f64,
    /// Whether gateways restart one after the other.
    pub restarts: bool,
    /// Whether all deadly prompts have the same other parts.
    pub same_companions: bool,
    /// Part of the requests whose prompts have a deadly part.
    pub share: f64,
    /// Generations that begin at an engine, a second.
    pub starts_per_engine_s: f64,
}

impl Setup {
    pub(super) fn count_engines(&self) -> usize {
        numbers::whole(ENGINES_PER_GATEWAY * numbers::number(self.gateways)).max(MIN_ENGINES)
    }

    /// Returns the requests with a deadly part, a second.
    #[must_use]
    pub fn deadly_per_s(&self) -> f64 {
        self.share * self.starts_per_engine_s * numbers::number(self.count_engines())
    }
}

/// Returns setups without deadly parts, in which engines crash by other causes, alone or a sixth at once.
#[must_use]
pub fn list_sound_setups() -> Vec<Setup> {
    let mut setups = Vec::new();
    for gateways in [8, 25, 105, 370] {
        for first_parts in [1, 12] {
            for other_crash_part in [0.0, 1.0 / 6.0] {
                setups.push(Setup {
                    control_away: false,
                    deadly_parts: 0,
                    first_parts,
                    gateways,
                    other_crash_part,
                    other_crashes_per_s: 1.0,
                    restarts: false,
                    same_companions: false,
                    share: 0.0,
                    starts_per_engine_s: 1.0,
                });
            }
        }
    }
    setups
}

/// Returns setups with deadly parts.
#[must_use]
pub fn list_setups() -> Vec<Setup> {
    let mut setups = Vec::new();
    for gateways in [8, 25, 105, 370] {
        for share in [0.01, 0.05, 0.3] {
            for other_crashes_per_s in [0.0, 1.0] {
                for (deadly_parts, same_companions) in [(1, true), (1, false), (3, true)] {
                    setups.push(Setup {
                        control_away: false,
                        deadly_parts,
                        first_parts: 12,
                        gateways,
                        other_crash_part: 0.0,
                        other_crashes_per_s,
                        restarts: false,
                        same_companions,
                        share,
                        starts_per_engine_s: 1.0,
                    });
                }
            }
        }
    }
    let disturbed: Vec<_> = setups
        .iter()
        .filter(|setup| setup.share == 0.05)
        .map(|setup| Setup {
            control_away: true,
            restarts: true,
            ..*setup
        })
        .collect();
    setups.extend(disturbed);
    setups
}
