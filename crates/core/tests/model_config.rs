//! Exhaustive model check of configuration leases: the production follower and control hosts that
//! lose and regain their links and their quorum.
//!
//! Every state reachable within the bounds is visited: two control hosts, one node, two versions,
//! and time in steps of half a second. Messages are delayed arbitrarily, lost, duplicated and
//! reordered; the node switches hosts and restarts.

use std::collections;
use std::time;

use pathfinding::directed::bfs;
use peargap_core::config_follower;
use peargap_core::time::Instant;

const HOSTS: usize = 2;
const STEP_MS: u64 = 500;
const STEPS: u64 = 4;
/// How long a host counts as fresh after a quorum has confirmed it.
const LEASE_MS: u64 = 1_000;
const VERSIONS: u64 = 2;
const REPORTS: u8 = 2;
/// Maximum number of answers in flight; losing one allows another.
const IN_FLIGHT: usize = 1;
const RESTARTS: u8 = 1;

/// Fault injected to check that the exploration detects it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    None,
    /// The node starts its lease when it receives the answer instead of when it sent its report.
    LeaseFromAnswer,
    /// A host grants the full lease even if its own freshness ends sooner.
    LeaseBeyondFreshness,
    /// A host without a quorum grants leases for the version that it has.
    StaleHostGrants,
    /// The node accepts a lease for a version that it does not have.
    LeaseAheadOfVersion,
    /// The node applies an older configuration.
    OlderApplies,
}

/// A control host's answer to a report.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Update {
    lease_ms: u64,
    /// Version of the full configuration, if the answer includes it.
    full: Option<u64>,
    report: u8,
    version: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Report {
    applied: u64,
    number: u8,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Host {
    fresh_until: u64,
    version: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    /// When each version was accepted.
    accepted: Vec<u64>,
    fault: Fault,
    /// The production implementation under test.
    follower: config_follower::Follower,
    hosts: [Host; HOSTS],
    now: u64,
    reports: collections::BTreeSet<Report>,
    restarts: u8,
    reverted: bool,
    /// When each report was sent.
    sent: Vec<u64>,
    updates: collections::BTreeSet<Update>,
}

fn start(fault: Fault) -> World {
    World {
        accepted: vec![0],
        fault,
        follower: config_follower::Follower::default(),
        hosts: [Host {
            fresh_until: LEASE_MS,
            version: 1,
        }; HOSTS],
        now: 0,
        reports: collections::BTreeSet::new(),
        restarts: RESTARTS,
        reverted: false,
        sent: Vec::new(),
        updates: collections::BTreeSet::new(),
    }
}

impl World {
    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        if self.now < STEPS * STEP_MS {
            next.push(self.with(|world| world.now += STEP_MS));
        }
        if self.committed() < VERSIONS {
            next.push(self.with(|world| world.accepted.push(world.now)));
        }
        if self.sent.len() < usize::from(REPORTS) {
            next.push(self.with(World::send_report));
        }
        if self.restarts > 0 && self.follower.version() > 0 {
            next.push(self.with(World::restart));
        }
        for host in 0..HOSTS {
            self.add_host_steps(host, &mut next);
        }
        for update in &self.updates {
            next.push(self.with(|world| world.take_update(*update)));
            next.push(self.with(|world| {
                world.updates.remove(update);
            }));
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    fn committed(&self) -> u64 {
        self.accepted.len() as u64
    }

    fn add_host_steps(&self, host: usize, next: &mut Vec<World>) {
        // A quorum confirms the host, which by then has applied every committed version.
        next.push(self.with(|world| {
            world.hosts[host] = Host {
                fresh_until: world.now + LEASE_MS,
                version: world.committed(),
            };
        }));
        // Nothing is committed without a quorum, so the host learns of no newer version.
        if self.fault == Fault::StaleHostGrants {
            next.push(self.with(|world| world.hosts[host].fresh_until = world.now + LEASE_MS));
        }
        // Reports stay in the network, so each may be answered again and by either host.
        let reports = self.reports.iter();
        for report in reports.filter(|_| self.updates.len() < IN_FLIGHT) {
            next.push(self.with(|world| world.answer(host, *report, true)));
            // The host omits what it has sent before, although that may have been lost.
            next.push(self.with(|world| world.answer(host, *report, false)));
        }
    }

    fn send_report(&mut self) {
        let number = u8::try_from(self.sent.len()).unwrap();
        self.sent.push(self.now);
        self.reports.insert(Report {
            applied: self.follower.version(),
            number,
        });
    }

    fn restart(&mut self) {
        self.restarts -= 1;
        self.follower = config_follower::Follower::default();
        self.reports.clear();
        self.updates.clear();
    }

    fn answer(&mut self, host: usize, report: Report, with_full: bool) {
        let host = self.hosts[host];
        let remaining = host.fresh_until.saturating_sub(self.now);
        let lease_ms = match self.fault {
            Fault::LeaseBeyondFreshness if remaining > 0 => LEASE_MS,
            _ => remaining.min(LEASE_MS),
        };
        self.updates.insert(Update {
            lease_ms,
            report: report.number,
            version: host.version,
            full: with_full.then_some(host.version),
        });
    }

    /// Handles an answer in the same way as the follower's adapter.
    fn take_update(&mut self, update: Update) {
        let before = self.follower.version();
        if let Some(version) = update.full {
            match self.follower.offer_full(version) {
                config_follower::Step::Apply => {}
                config_follower::Step::Ignore if self.fault == Fault::OlderApplies => {
                    self.follower = config_follower::Follower::default();
                    self.follower.offer_full(version);
                }
                config_follower::Step::Ignore | config_follower::Step::Refetch => {}
            }
        }
        let from = match self.fault {
            Fault::LeaseFromAnswer => self.now,
            _ => self.sent[usize::from(update.report)],
        };
        if update.lease_ms > 0 {
            let version = match self.fault {
                Fault::LeaseAheadOfVersion => self.follower.version(),
                _ => update.version,
            };
            let length = time::Duration::from_millis(update.lease_ms);
            self.follower.extend_lease(version, Instant(from), length);
        }
        self.reverted |= self.follower.version() < before;
    }

    /// Returns the first property that is violated.
    fn violated_property(&self) -> Option<&'static str> {
        if self.reverted {
            return Some("a version reverted");
        }
        if self.follower.version() > self.committed() {
            return Some("a version that was not accepted is applied");
        }
        let accepts_work = self.follower.is_fresh(Instant(self.now));
        for (index, accepted) in self.accepted.iter().enumerate() {
            let is_late = self.now >= accepted + LEASE_MS;
            if accepts_work && is_late && self.follower.version() <= index as u64 {
                return Some("new work accepted under an older version after the lease");
            }
        }
        None
    }
}

/// Visits every reachable state; returns their number, or the first violated property.
fn explore(fault: Fault) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs::bfs_reach(start(fault), World::successors) {
        states += 1;
        if let Some(violated_property) = world.violated_property() {
            return Err(violated_property);
        }
    }
    Ok(states)
}

#[test]
fn properties_hold_in_every_state() {
    let began = time::Instant::now();
    let states = explore(Fault::None).unwrap();
    println!("configuration: {states} states in {:?}", began.elapsed());
}

#[test]
fn injected_faults_are_detected() {
    let late = "new work accepted under an older version after the lease";
    let faults = [
        (Fault::LeaseFromAnswer, late),
        (Fault::LeaseBeyondFreshness, late),
        (Fault::StaleHostGrants, late),
        (Fault::LeaseAheadOfVersion, late),
        (Fault::OlderApplies, "a version reverted"),
    ];
    for (fault, expected) in faults {
        assert_eq!(explore(fault), Err(expected), "{fault:?}");
    }
}
