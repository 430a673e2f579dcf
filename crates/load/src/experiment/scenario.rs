//! Scenarios: a deployment, its traffic and its faults.

use core::ops;

use crate::experiment::workload;

const SECOND: u64 = 1_000_000;
/// Arrivals before this are not measured, in microseconds.
const WARM_UP_US: u64 = 90 * SECOND;
/// Arrivals end here, in microseconds.
const ARRIVALS_END_US: u64 = 330 * SECOND;
/// Time after the last arrival in which answers may still end, in microseconds.
const DRAIN_US: u64 = 120 * SECOND;
/// Default delay of load reports, in microseconds.
const REPORT_DELAY_US: ops::Range<u64> = 100_000..400_000;

/// A fault, or an operator's action on a domain.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An engine dies, losing its streams, and restarts cold.
    Die(usize),
    /// Operators take a domain out or return it.
    Domain {
        /// Index of the domain.
        domain: usize,
        /// Whether it is taken out.
        out: bool,
    },
    /// An engine fails each new request for some time, while its load reports look healthy.
    FailRequests {
        /// Index of the engine.
        engine: usize,
        /// End of the fault, in microseconds.
        until: u64,
    },
    /// An engine turns cold without an announcement.
    TurnCold(usize),
}

/// One scenario. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Simulated deployment.
    pub deployment: workload::Deployment,
    /// End of the run.
    pub end: u64,
    /// Faults with the times at which they occur.
    pub faults: Vec<(u64, Fault)>,
    /// Name on the command line and in file names.
    pub name: &'static str,
    /// Range of the delay of load reports.
    pub report_delay_us: ops::Range<u64>,
    /// Heading in the report.
    pub title: &'static str,
    /// Traffic.
    pub traffic: workload::Traffic,
    /// Arrivals before this are not measured.
    pub warm_up: u64,
}

impl Scenario {
    /// Returns whether `at` lies in the measured part of the run.
    #[must_use]
    pub fn is_measured(&self, at: u64) -> bool {
        at >= self.warm_up && at < self.traffic.arrivals_end
    }

    /// Returns the scenario without faults, at a load so light that engines are never crowded.
    #[must_use]
    pub fn uncrowded(&self) -> Scenario {
        let traffic = workload::Traffic {
            load: 0.15,
            shift_at: u64::MAX,
            half_sine: false,
            ..self.traffic
        };
        Scenario {
            faults: Vec::new(),
            traffic,
            ..self.clone()
        }
    }

    /// Returns the scenario with other times, for shorter runs in tests.
    #[must_use]
    pub fn shortened(&self, warm_up: u64, arrivals_end: u64, end: u64) -> Scenario {
        let traffic = workload::Traffic {
            arrivals_end,
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

fn build_scenario(
    name: &'static str,
    title: &'static str,
    deployment: workload::Deployment,
    load: f64,
) -> Scenario {
    let traffic = workload::Traffic {
        load,
        prefix_share: 0.2,
        arrivals_end: ARRIVALS_END_US,
        shift_at: u64::MAX,
        shift_factor: 1.0,
        mixed_lengths: false,
        half_sine: false,
    };
    Scenario {
        deployment,
        end: ARRIVALS_END_US + DRAIN_US,
        faults: Vec::new(),
        name,
        report_delay_us: REPORT_DELAY_US,
        title,
        traffic,
        warm_up: WARM_UP_US,
    }
}

/// Returns all scenarios.
#[must_use]
pub fn list_scenarios() -> Vec<Scenario> {
    use workload::Deployment::Archive;
    use workload::Deployment::Lending;
    let mut list = vec![
        build_scenario("archive-steady", "Archive, crowded", Archive, 1.25),
        build_scenario("lending-steady", "Lending, crowded", Lending, 1.3),
        build_scenario(
            "lending-saturday",
            "Lending, a crowded Saturday",
            Lending,
            1.1,
        ),
        build_scenario("archive-overload", "Archive, twice the load", Archive, 2.0),
        build_scenario(
            "archive-domain",
            "Archive, a domain leaves and returns",
            Archive,
            0.7,
        ),
        build_scenario(
            "lending-domain",
            "Lending, a domain leaves and returns",
            Lending,
            0.7,
        ),
        build_scenario("archive-deaths", "Archive, engines die", Archive, 0.85),
        build_scenario(
            "archive-cold",
            "Archive, engines turn cold unannounced",
            Archive,
            0.85,
        ),
        build_scenario(
            "lending-cold",
            "Lending, engines turn cold unannounced",
            Lending,
            0.85,
        ),
        build_scenario(
            "archive-mixed",
            "Archive, teams of very unlike lengths",
            Archive,
            1.9,
        ),
        build_scenario(
            "archive-sick",
            "Archive, engines fail all new requests",
            Archive,
            0.85,
        ),
        build_scenario(
            "archive-late",
            "Archive, reports 2 to 4 s late",
            Archive,
            1.0,
        ),
        build_scenario(
            "archive-shift",
            "Archive, answers grow twofold at once",
            Archive,
            0.7,
        ),
        build_scenario(
            "archive-prefix",
            "Archive, long common prefixes",
            Archive,
            1.0,
        ),
    ];
    for scenario in &mut list {
        specialize(scenario);
    }
    list
}

/// Returns the scenario with a name.
#[must_use]
pub fn find_scenario(name: &str) -> Option<Scenario> {
    list_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}

/// Adds the faults and the traffic that are specific to a scenario.
fn specialize(scenario: &mut Scenario) {
    match scenario.name {
        "lending-saturday" => scenario.traffic.half_sine = true,
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
            let cold_starts = [(110, 2), (140, 5), (170, 9), (171, 10), (200, 2), (230, 15)];
            let faults = cold_starts
                .iter()
                .map(|(at, engine)| (at * SECOND, Fault::TurnCold(*engine)));
            scenario.faults = faults.collect();
        }
        "lending-cold" => {
            let cold_starts = [
                (110, 2),
                (140, 12),
                (170, 9),
                (171, 14),
                (200, 12),
                (230, 15),
            ];
            let faults = cold_starts
                .iter()
                .map(|(at, engine)| (at * SECOND, Fault::TurnCold(*engine)));
            scenario.faults = faults.collect();
        }
        "archive-sick" => {
            let until = 200 * SECOND;
            let failing = [(110, 4), (120, 9), (121, 22)];
            let faults = failing.iter().map(|(at, engine)| {
                let engine = *engine;
                (at * SECOND, Fault::FailRequests { engine, until })
            });
            scenario.faults = faults.collect();
        }
        "archive-mixed" => scenario.traffic.mixed_lengths = true,
        "archive-late" => scenario.report_delay_us = 2 * SECOND..4 * SECOND,
        "archive-shift" => {
            scenario.traffic.shift_at = 170 * SECOND;
            scenario.traffic.shift_factor = 2.0;
        }
        "archive-prefix" => scenario.traffic.prefix_share = 0.9,
        _ => {}
    }
}
