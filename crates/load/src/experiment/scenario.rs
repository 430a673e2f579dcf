//! Scenarios: a deployment, its traffic, and what goes wrong.

use core::ops;

use crate::experiment::workload;

const SECOND: u64 = 1_000_000;
/// Arrivals before this are not measured, in microseconds.
const WARM_UP: u64 = 90 * SECOND;
/// Arrivals end here, in microseconds.
const UNTIL: u64 = 330 * SECOND;
/// Time for the last answers, in microseconds.
const DRAIN: u64 = 120 * SECOND;
/// Usual age of a report when it arrives, in microseconds.
const LAG: ops::Range<u64> = 100_000..400_000;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An engine dies with its streams and comes back cold.
    Die(usize),
    /// Operators take a domain out or bring it back.
    Domain {
        /// Which.
        domain: usize,
        /// Out or back.
        out: bool,
    },
    /// An engine fails each new request for some time, and reports that all is well.
    Sicken {
        /// Which.
        engine: usize,
        /// End, in microseconds.
        until: u64,
    },
    /// An engine turns cold with no announcement.
    TurnCold(usize),
}

/// One scenario. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Which deployment.
    pub deployment: workload::Deployment,
    /// End of the run.
    pub end: u64,
    /// What goes wrong and when.
    pub faults: Vec<(u64, Fault)>,
    /// Name in tables.
    pub name: &'static str,
    /// Age of reports when they arrive.
    pub report_lag_us: ops::Range<u64>,
    /// What it shows.
    pub title: &'static str,
    /// Requests.
    pub traffic: workload::Traffic,
    /// Arrivals before this are not measured.
    pub warm_up: u64,
}

impl Scenario {
    /// Returns whether an arrival at `at` is measured.
    #[must_use]
    pub fn measures(&self, at: u64) -> bool {
        at >= self.warm_up && at < self.traffic.until
    }

    /// Returns the scenario at a load at which engines are never crowded, without faults.
    #[must_use]
    pub fn uncrowded(&self) -> Scenario {
        let traffic = workload::Traffic {
            load: 0.15,
            shift_at: u64::MAX,
            swell: false,
            ..self.traffic
        };
        Scenario {
            faults: Vec::new(),
            traffic,
            ..self.clone()
        }
    }

    /// Returns the scenario cut to a shorter time, for tests.
    #[must_use]
    pub fn shortened(&self, warm_up: u64, until: u64, end: u64) -> Scenario {
        let traffic = workload::Traffic {
            until,
            ..self.traffic
        };
        Scenario {
            end,
            traffic,
            warm_up,
            ..self.clone()
        }
    }
}

fn steady(
    name: &'static str,
    title: &'static str,
    deployment: workload::Deployment,
    load: f64,
) -> Scenario {
    let traffic = workload::Traffic {
        load,
        prefix_share: 0.2,
        until: UNTIL,
        shift_at: u64::MAX,
        shift_factor: 1.0,
        unlike: false,
        swell: false,
    };
    Scenario {
        deployment,
        end: UNTIL + DRAIN,
        faults: Vec::new(),
        name,
        report_lag_us: LAG,
        title,
        traffic,
        warm_up: WARM_UP,
    }
}

/// Returns all scenarios.
#[must_use]
pub fn list_scenarios() -> Vec<Scenario> {
    use workload::Deployment::Archive;
    use workload::Deployment::Lending;
    let mut list = vec![
        steady("archive-steady", "Archive, crowded", Archive, 1.25),
        steady("lending-steady", "Lending, crowded", Lending, 1.3),
        steady(
            "lending-saturday",
            "Lending, a crowded Saturday",
            Lending,
            1.1,
        ),
        steady("archive-overload", "Archive, twice the load", Archive, 2.0),
        steady(
            "archive-domain",
            "Archive, a domain leaves and returns",
            Archive,
            0.7,
        ),
        steady(
            "lending-domain",
            "Lending, a domain leaves and returns",
            Lending,
            0.7,
        ),
        steady("archive-deaths", "Archive, engines die", Archive, 0.85),
        steady(
            "archive-cold",
            "Archive, engines turn cold unannounced",
            Archive,
            0.85,
        ),
        steady(
            "lending-cold",
            "Lending, engines turn cold unannounced",
            Lending,
            0.85,
        ),
        steady(
            "archive-mixed",
            "Archive, teams of very unlike lengths",
            Archive,
            1.9,
        ),
        steady(
            "archive-sick",
            "Archive, engines fail all new requests",
            Archive,
            0.85,
        ),
        steady(
            "archive-late",
            "Archive, reports 2 to 4 s late",
            Archive,
            1.0,
        ),
        steady(
            "archive-shift",
            "Archive, answers grow twofold at once",
            Archive,
            0.7,
        ),
        steady(
            "archive-prefix",
            "Archive, long common prefixes",
            Archive,
            1.0,
        ),
    ];
    for scenario in &mut list {
        adapt(scenario);
    }
    list
}

/// Returns the scenario of a name.
#[must_use]
pub fn find_scenario(name: &str) -> Option<Scenario> {
    list_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}

/// Adds what a scenario is about.
fn adapt(scenario: &mut Scenario) {
    match scenario.name {
        "lending-saturday" => scenario.traffic.swell = true,
        "archive-domain" | "lending-domain" => {
            let out = Fault::Domain {
                domain: 1,
                out: true,
            };
            let back = Fault::Domain {
                domain: 1,
                out: false,
            };
            scenario.faults = vec![(140 * SECOND, out), (220 * SECOND, back)];
        }
        "archive-deaths" => {
            let deaths = [(120, 3), (150, 7), (151, 8), (200, 3), (240, 12)];
            let faults = deaths
                .iter()
                .map(|(at, engine)| (at * SECOND, Fault::Die(*engine)));
            scenario.faults = faults.collect();
        }
        "archive-cold" => {
            let turns = [(110, 2), (140, 5), (170, 9), (171, 10), (200, 2), (230, 15)];
            let faults = turns
                .iter()
                .map(|(at, engine)| (at * SECOND, Fault::TurnCold(*engine)));
            scenario.faults = faults.collect();
        }
        "lending-cold" => {
            let turns = [
                (110, 2),
                (140, 12),
                (170, 9),
                (171, 14),
                (200, 12),
                (230, 15),
            ];
            let faults = turns
                .iter()
                .map(|(at, engine)| (at * SECOND, Fault::TurnCold(*engine)));
            scenario.faults = faults.collect();
        }
        "archive-sick" => {
            let until = 200 * SECOND;
            let sick = [(110, 4), (120, 9), (121, 22)];
            let faults = sick.iter().map(|(at, engine)| {
                let engine = *engine;
                (at * SECOND, Fault::Sicken { engine, until })
            });
            scenario.faults = faults.collect();
        }
        "archive-mixed" => scenario.traffic.unlike = true,
        "archive-late" => scenario.report_lag_us = 2 * SECOND..4 * SECOND,
        "archive-shift" => {
            scenario.traffic.shift_at = 170 * SECOND;
            scenario.traffic.shift_factor = 2.0;
        }
        "archive-prefix" => scenario.traffic.prefix_share = 0.9,
        _ => {}
    }
}
