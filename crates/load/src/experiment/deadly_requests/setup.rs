//! Setups of the experiment.

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setup {
    /// Whether one upstream ends by itself, again and again.
    pub crash_loop: bool,
    /// Number of deadly requests.
    pub deadly: usize,
    /// How often each of them comes, a second.
    pub deadly_per_s: f64,
    /// Number of gateways.
    pub gateways: usize,
    /// Whether requests may be sent to a second upstream.
    pub idempotent: bool,
    /// Ends by other causes, a second.
    pub other_crashes_per_s: f64,
    /// Part of the sound requests that are one and the same.
    pub popular: f64,
    /// When a quarter of the upstreams loses power, and again after as long.
    pub power_loss: bool,
    /// Whether gateways restart one after the other.
    pub restarts: bool,
    /// Sound requests for each upstream, a second.
    pub sound_per_upstream_s: f64,
    /// Number of upstreams.
    pub upstreams: usize,
}

/// Nothing but sound requests.
const CALM: Setup = Setup {
    crash_loop: false,
    deadly: 0,
    deadly_per_s: 0.0,
    gateways: 8,
    idempotent: true,
    other_crashes_per_s: 0.0,
    popular: 0.0,
    power_loss: false,
    restarts: false,
    sound_per_upstream_s: 4.0,
    upstreams: 4,
};

/// Fleets by gateways and upstreams.
const FLEETS: [(usize, usize); 5] = [(1, 3), (8, 4), (25, 12), (105, 100), (370, 500)];

/// Returns setups without deadly requests, in which upstreams end by other causes.
#[must_use]
pub fn list_sound_setups() -> Vec<Setup> {
    let mut setups = Vec::new();
    for (gateways, upstreams) in FLEETS {
        for popular in [0.0, 0.05, 0.5] {
            for crash_loop in [false, true] {
                setups.push(Setup {
                    crash_loop,
                    gateways,
                    other_crashes_per_s: 1.0,
                    popular,
                    power_loss: true,
                    upstreams,
                    ..CALM
                });
            }
        }
    }
    setups
}

/// Returns setups with deadly requests.
#[must_use]
pub fn list_setups() -> Vec<Setup> {
    let mut setups = Vec::new();
    for (gateways, upstreams) in FLEETS {
        for (deadly, deadly_per_s) in [(1, 0.2), (1, 2.0), (1, 20.0), (3, 1.0), (20, 0.2)] {
            for idempotent in [false, true] {
                let setup = Setup {
                    deadly,
                    deadly_per_s,
                    gateways,
                    idempotent,
                    popular: 0.2,
                    upstreams,
                    ..CALM
                };
                setups.push(setup);
                setups.push(Setup {
                    other_crashes_per_s: 1.0,
                    restarts: true,
                    ..setup
                });
            }
        }
    }
    setups
}
