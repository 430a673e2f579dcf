//! Exhaustive model check of rollout orders: the production orders on hosts that crash, lose their
//! disks, take over and repeat commands.
//!
//! Every state reachable within the bounds is visited. The log is a list of committed commands; each
//! host applies a prefix of it, from its disk after a crash and from another host's snapshot after
//! the loss of the disk. A leader that is behind may commit a decision that is out of date.

use pathfinding::directed::bfs;
use peargap_core::rollout::order;

const HOSTS: usize = 2;
const COMMANDS: usize = 4;
const SERVICE: &str = "s";
const TARGETS: [&str; 2] = ["v2", "v3"];

/// Fault injected to check that the exploration detects it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    None,
    /// A decision ignores which order it is for.
    AnyOrder,
    /// An order is acknowledged before it is committed.
    EarlyAnswer,
    /// A snapshot omits the orders.
    EmptySnapshot,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Command {
    Start(usize),
    End(u64, order::State),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Host {
    applied: usize,
    orders: order::Orders,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    /// Numbers of acknowledged orders.
    acknowledged: Vec<u64>,
    fault: Fault,
    hosts: Vec<Host>,
    log: Vec<Command>,
    /// Violation found on the way.
    violation: Option<&'static str>,
    wipes: u8,
}

fn request(target: usize) -> order::Request {
    order::Request {
        duration_ms: 6_000,
        id: String::new(),
        service: SERVICE.to_owned(),
        target: TARGETS[target].to_owned(),
    }
}

impl Host {
    fn new() -> Host {
        Host {
            applied: 0,
            orders: order::Orders::default(),
        }
    }

    fn last(&self) -> Option<&order::Order> {
        self.orders.find(SERVICE).map(|service| &service.last)
    }

    /// Applies a command and returns why that violates a property, if it does.
    fn apply(&mut self, command: Command, fault: Fault) -> Option<&'static str> {
        self.applied += 1;
        let index = self.applied as u64;
        let former = self.last().cloned();
        match command {
            Command::Start(target) => {
                self.orders.start(index, request(target));
            }
            Command::End(number, state) => {
                let number = if fault == Fault::AnyOrder { 0 } else { number };
                self.orders.end(index, SERVICE, number, state);
            }
        }
        let (former, last) = (former?, self.last()?);
        if former.number == last.number {
            let is_final = former.state != order::State::InProgress;
            return (is_final && former.state != last.state).then_some("back from a final state");
        }
        match (former.state, command) {
            (order::State::InProgress, _) => Some("an order in progress was forgotten"),
            _ => None,
        }
    }
}

impl World {
    fn start(fault: Fault) -> World {
        World {
            acknowledged: Vec::new(),
            fault,
            hosts: vec![Host::new(); HOSTS],
            log: Vec::new(),
            violation: None,
            wipes: 1,
        }
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        if self.violation.is_some() {
            return next;
        }
        for host in 0..HOSTS {
            if self.hosts[host].applied < self.log.len() {
                next.push(self.with(|world| world.apply_next(host)));
            }
            if self.wipes > 0 && self.hosts[host].applied > 0 {
                next.push(self.with(|world| world.wipe(host)));
            }
            // Each host may have led when it decided, on the orders that it had applied.
            if let (Some(last), true) = (self.hosts[host].last(), self.log.len() < COMMANDS) {
                for state in [order::State::Completed, order::State::RolledBack] {
                    let end = Command::End(last.number, state);
                    next.push(self.with(|world| world.log.push(end)));
                }
            }
        }
        if self.log.len() < COMMANDS {
            for target in 0..TARGETS.len() {
                next.push(self.with(|world| world.order(target)));
            }
        }
        next
    }

    fn order(&mut self, target: usize) {
        if self.fault == Fault::EarlyAnswer {
            self.acknowledged.push(self.log.len() as u64 + 1);
            return;
        }
        self.log.push(Command::Start(target));
        let orders = self.replay();
        let last = orders.find(SERVICE).expect("an order").last.clone();
        if last.request.target == TARGETS[target] {
            self.acknowledged.push(last.number);
        }
    }

    /// Returns the orders after the whole log.
    fn replay(&self) -> order::Orders {
        let mut host = Host::new();
        for command in &self.log {
            host.apply(*command, self.fault);
        }
        host.orders
    }

    fn apply_next(&mut self, host: usize) {
        let command = self.log[self.hosts[host].applied];
        self.violation = self.hosts[host].apply(command, self.fault);
    }

    /// A host loses its disk and gets the snapshot of the other one, by its stored form.
    fn wipe(&mut self, host: usize) {
        self.wipes -= 1;
        let donor = self.hosts[1 - host].clone();
        let services = donor.orders.services().cloned();
        let restored = order::Orders::restore(donor.orders.revision, services);
        self.hosts[host] = Host {
            applied: donor.applied,
            orders: match self.fault {
                Fault::EmptySnapshot => order::Orders::default(),
                Fault::None | Fault::AnyOrder | Fault::EarlyAnswer => restored,
            },
        };
    }

    fn violated_property(&self) -> Option<&'static str> {
        let committed = self.replay();
        let last = committed
            .find(SERVICE)
            .map_or(0, |service| service.last.number);
        if self.acknowledged.iter().any(|number| *number > last) {
            return Some("an acknowledged order is not known");
        }
        let [one, other] = [&self.hosts[0], &self.hosts[1]];
        if one.applied == other.applied && one.orders != other.orders {
            return Some("two states of one order");
        }
        self.violation
    }
}

fn explore(fault: Fault) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs::bfs_reach(World::start(fault), World::successors) {
        states += 1;
        if let Some(violated) = world.violated_property() {
            return Err(violated);
        }
    }
    Ok(states)
}

#[test]
fn properties_hold_in_every_state() {
    let states = explore(Fault::None).expect("no violation");
    println!("rollouts: {states} states");
    assert!(states > 1_000, "{states}");
}

#[test]
fn injected_faults_are_detected() {
    assert!(explore(Fault::EarlyAnswer).is_err());
    assert!(explore(Fault::EmptySnapshot).is_err());
}

#[test]
fn a_decision_on_another_order_changes_nothing() {
    let mut orders = order::Orders::default();
    orders.start(1, request(0));
    assert!(orders.end(2, SERVICE, 1, order::State::RolledBack));
    orders.start(3, request(1));
    assert!(!orders.end(4, SERVICE, 1, order::State::Completed));
    let last = &orders.find(SERVICE).expect("an order").last;
    assert_eq!((last.number, last.state), (3, order::State::InProgress));
}

#[test]
fn each_request_has_a_defined_answer() {
    let mut orders = order::Orders::default();
    let timed = |duration_ms| order::Request {
        duration_ms,
        ..request(0)
    };
    assert_eq!(orders.start(1, timed(0)), order::Answer::Invalid);
    let beyond = timed(order::MAX_DURATION_MS + 1);
    assert_eq!(orders.start(2, beyond), order::Answer::Invalid);
    let day = timed(order::MAX_DURATION_MS);
    assert_eq!(orders.start(3, day), order::Answer::Accepted);
    // A repeat is acknowledged again, also with another time limit, and changes nothing.
    let former = orders.clone();
    assert_eq!(orders.start(4, request(0)), order::Answer::Accepted);
    assert_eq!(orders.start(5, request(1)), order::Answer::Conflict);
    assert_eq!(orders, former);
    // A repeat that arrives after the end changes nothing either; an order with an id of its own does.
    orders.end(6, SERVICE, 3, order::State::RolledBack);
    assert_eq!(orders.start(7, request(0)), order::Answer::Accepted);
    let service = orders.find(SERVICE).expect("an order");
    assert_eq!(service.last.state, order::State::RolledBack);
    assert_eq!(service.part("v2"), order::Part::Barred);
    let again = order::Request {
        id: "again".to_owned(),
        ..request(0)
    };
    assert_eq!(orders.start(8, again), order::Answer::Accepted);
    let service = orders.find(SERVICE).expect("an order");
    assert_eq!(service.part("v2"), order::Part::Target);
    assert_eq!(service.part("v1"), order::Part::Current);
    orders.end(9, SERVICE, 8, order::State::Completed);
    let service = orders.find(SERVICE).expect("an order");
    assert_eq!(service.part("v2"), order::Part::Current);
    assert_eq!(service.part("v1"), order::Part::Other);
}
