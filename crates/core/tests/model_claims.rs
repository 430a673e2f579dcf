//! Exhaustive model check of at-most-once claims: the production claim table, two entries, one
//! agent, and a network that loses, duplicates and reorders messages.
//!
//! Every state reachable within the bounds is visited. A message that is never delivered counts as
//! lost; a delivered message may stay in the network and be delivered again. A connection to an
//! agent ends with the agent's incarnation, as over TCP, so a dispatch reaches only the incarnation
//! that it was sent to.

use std::collections;
use std::time;

use bytes::Bytes;
use pathfinding::directed::bfs;
use peargap_core::claims;

const ENTRIES: usize = 2;
const ATTEMPTS: u8 = 2;
const REPEATS: u8 = 1;
const ENTRY_CRASHES: u8 = 1;
const AGENT_CRASHES: u8 = 1;
const TICKS: u8 = 1;
/// Longer than an attempt may run, and longer than a key that did not run is retained.
const TICK_MS: u64 = claims::FREE_RETENTION_MS + 1_000;
const KEY: &str = "team/loans/1";

/// Fault injected to check that the exploration detects it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    None,
    /// The agent runs a duplicated dispatch again.
    AgentForgetsFence,
    /// The key of an overdue attempt becomes free.
    ExpiryFrees,
    /// An entry that loses its agent reports that the call did not run.
    LossIsNotRun,
    /// A settlement applies to whichever attempt holds the key now.
    SettleIgnoresFence,
    /// An entry records the answer before it has received it.
    SettleTooEarly,
}

/// An attempt: the entry and the number of the attempt at that entry.
type Attempt = (usize, u8);

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    Claim(Attempt),
    Dispatch(Attempt, u64, u8),
    Grant(Attempt, Grant),
    NotRun(Attempt, u64),
    Ran(Attempt, u64),
    Settle(u64, Outcome),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Grant {
    Answer(u64),
    Granted(u64),
    Retry,
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Answer(u64),
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Entry {
    Idle,
    Claiming,
    Dispatched(u64),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Budget {
    agent_crashes: u8,
    entry_crashes: u8,
    repeats: u8,
    ticks: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    agent_incarnation: u8,
    agent_seen: u64,
    attempts: [u8; ENTRIES],
    budget: Budget,
    claims: claims::Claims,
    entries: [Entry; ENTRIES],
    fence: u64,
    fault: Fault,
    network: collections::BTreeSet<Message>,
    now: u64,
    /// Fence of each run of the call.
    ran: Vec<u64>,
    /// Attempts whose call ran.
    ran_attempts: collections::BTreeSet<Attempt>,
    reported_answers: collections::BTreeSet<u64>,
    reported_not_run: collections::BTreeSet<Attempt>,
    /// Whether the key was granted again after it was unknown.
    regranted: bool,
}

fn start(fault: Fault) -> World {
    World {
        agent_incarnation: 0,
        agent_seen: 0,
        attempts: [0; ENTRIES],
        budget: Budget {
            agent_crashes: AGENT_CRASHES,
            entry_crashes: ENTRY_CRASHES,
            repeats: REPEATS,
            ticks: TICKS,
        },
        claims: claims::Claims::new(claims::Limits::default()),
        entries: [Entry::Idle; ENTRIES],
        fault,
        fence: 1,
        network: collections::BTreeSet::new(),
        now: 0,
        ran: Vec::new(),
        ran_attempts: collections::BTreeSet::new(),
        regranted: false,
        reported_answers: collections::BTreeSet::new(),
        reported_not_run: collections::BTreeSet::new(),
    }
}

impl World {
    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        for entry in 0..ENTRIES {
            self.add_entry_steps(entry, &mut next);
        }
        if self.budget.agent_crashes > 0 {
            next.push(self.with(World::crash_agent));
        }
        if self.budget.ticks > 0 {
            next.push(self.with(World::tick));
        }
        for message in &self.network {
            next.push(self.with(|world| {
                world.network.remove(message);
                world.deliver(message.clone());
            }));
            if self.budget.repeats > 0 {
                next.push(self.with(|world| {
                    world.budget.repeats -= 1;
                    world.deliver(message.clone());
                }));
            }
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        change(&mut world);
        world.prune();
        world
    }

    /// Drops messages whose delivery has no effect any more, since an ended attempt never resumes.
    fn prune(&mut self) {
        let network = core::mem::take(&mut self.network);
        let has_effect = |message: &Message| match message {
            Message::Claim(_) | Message::Settle(_, _) => true,
            Message::Dispatch(_, _, incarnation) => *incarnation == self.agent_incarnation,
            Message::Grant(attempt, _) => {
                self.entries[attempt.0] == Entry::Claiming && self.attempt(attempt.0) == *attempt
            }
            Message::NotRun(attempt, fence) | Message::Ran(attempt, fence) => {
                self.entries[attempt.0] == Entry::Dispatched(*fence)
            }
        };
        self.network = network.into_iter().filter(has_effect).collect();
    }

    fn add_entry_steps(&self, entry: usize, next: &mut Vec<World>) {
        match self.entries[entry] {
            Entry::Idle if self.attempts[entry] < ATTEMPTS => next.push(self.with(|world| {
                world.attempts[entry] += 1;
                world.entries[entry] = Entry::Claiming;
                world.send(Message::Claim(world.attempt(entry)));
            })),
            Entry::Idle => {}
            // The entry gives up its claim before any dispatch and tells the caller so.
            Entry::Claiming => next.push(self.with(|world| {
                world.reported_not_run.insert(world.attempt(entry));
                world.entries[entry] = Entry::Idle;
            })),
            Entry::Dispatched(fence) => next.push(self.with(|world| {
                let outcome = if world.fault == Fault::LossIsNotRun {
                    world.reported_not_run.insert(world.attempt(entry));
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                };
                world.send(Message::Settle(fence, outcome));
                world.entries[entry] = Entry::Idle;
            })),
        }
        if self.budget.entry_crashes > 0 && self.entries[entry] != Entry::Idle {
            next.push(self.with(|world| {
                world.budget.entry_crashes -= 1;
                world.entries[entry] = Entry::Idle;
            }));
        }
    }

    fn attempt(&self, entry: usize) -> Attempt {
        (entry, self.attempts[entry])
    }

    fn send(&mut self, message: Message) {
        self.network.insert(message);
    }

    fn crash_agent(&mut self) {
        self.budget.agent_crashes -= 1;
        self.agent_incarnation += 1;
        self.agent_seen = 0;
    }

    fn tick(&mut self) {
        self.budget.ticks -= 1;
        self.now += TICK_MS;
        if self.fault == Fault::ExpiryFrees {
            self.claims = claims::Claims::new(claims::Limits::default());
        }
        self.claims.expire(self.now);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim(attempt) => self.claim(attempt),
            Message::Dispatch(attempt, fence, incarnation) => {
                self.dispatch(attempt, fence, incarnation);
            }
            Message::Grant(attempt, grant) => self.take_grant(attempt, grant),
            Message::NotRun(attempt, fence) => self.finish(attempt, fence, Outcome::NotRun),
            Message::Ran(attempt, fence) => self.finish(attempt, fence, Outcome::Answer(fence)),
            Message::Settle(fence, outcome) => self.settle(fence, outcome),
        }
    }

    fn claim(&mut self, attempt: Attempt) {
        let was_unknown = self.state() == Some(claims::State::Unknown);
        let request = claims::Request {
            attempt: format!("{attempt:?}"),
            deadline_ms: 1_000,
            digest: 1,
            key: KEY.to_owned(),
        };
        let grant = match self.claims.claim(self.now, self.fence, request) {
            claims::Grant::Answer(answer) => Grant::Answer(read_answer(&answer)),
            claims::Grant::Granted(fence) => {
                self.regranted |= was_unknown;
                self.fence = self.fence.max(fence + 1);
                Grant::Granted(fence)
            }
            claims::Grant::InProgress(_) | claims::Grant::Unavailable(_) => Grant::Retry,
            claims::Grant::Unknown => Grant::Unknown,
            claims::Grant::Mismatch | claims::Grant::Ran => unreachable!(),
        };
        self.send(Message::Grant(attempt, grant));
    }

    fn take_grant(&mut self, attempt: Attempt, grant: Grant) {
        let (entry, _) = attempt;
        if self.entries[entry] != Entry::Claiming || self.attempt(entry) != attempt {
            return;
        }
        self.entries[entry] = match grant {
            Grant::Granted(fence) => {
                self.send(Message::Dispatch(attempt, fence, self.agent_incarnation));
                if self.fault == Fault::SettleTooEarly {
                    self.send(Message::Settle(fence, Outcome::Answer(fence)));
                }
                Entry::Dispatched(fence)
            }
            Grant::Answer(answer) => {
                self.reported_answers.insert(answer);
                Entry::Idle
            }
            Grant::Retry => {
                self.reported_not_run.insert(attempt);
                Entry::Idle
            }
            Grant::Unknown => Entry::Idle,
        };
    }

    fn dispatch(&mut self, attempt: Attempt, fence: u64, incarnation: u8) {
        if incarnation != self.agent_incarnation {
            return;
        }
        // A duplicate dispatch carries no information about the first run, so it gets no reply.
        if fence <= self.agent_seen && self.fault != Fault::AgentForgetsFence {
            return;
        }
        self.agent_seen = fence;
        // The agent refuses the first attempt of the second entry, to cover keys that become free.
        if attempt == (1, 1) {
            self.send(Message::NotRun(attempt, fence));
            return;
        }
        self.ran.push(fence);
        self.ran_attempts.insert(attempt);
        self.send(Message::Ran(attempt, fence));
    }

    fn finish(&mut self, attempt: Attempt, fence: u64, outcome: Outcome) {
        let (entry, _) = attempt;
        if self.entries[entry] != Entry::Dispatched(fence) {
            return;
        }
        self.entries[entry] = Entry::Idle;
        self.send(Message::Settle(fence, outcome));
        match outcome {
            Outcome::Answer(answer) => {
                self.reported_answers.insert(answer);
            }
            Outcome::NotRun => {
                self.reported_not_run.insert(attempt);
            }
            Outcome::Unknown => {}
        }
    }

    fn settle(&mut self, fence: u64, outcome: Outcome) {
        let fence = match self.fault {
            Fault::SettleIgnoresFence => self.claims.records().next().map_or(0, |(_, r)| r.fence),
            _ => fence,
        };
        let outcome = match outcome {
            Outcome::Answer(answer) => {
                claims::Outcome::Answer(Bytes::copy_from_slice(&answer.to_be_bytes()))
            }
            Outcome::NotRun => claims::Outcome::NotRun,
            Outcome::Unknown => claims::Outcome::Unknown,
        };
        self.claims.settle(self.now, KEY, fence, outcome);
    }

    fn state(&self) -> Option<claims::State> {
        let record = self.claims.records().next();
        record.map(|(_, record)| record.state.clone())
    }

    /// Returns the first property that is violated.
    fn violated_property(&self) -> Option<&'static str> {
        if self.ran.len() > 1 {
            return Some("ran twice");
        }
        if !self.reported_not_run.is_disjoint(&self.ran_attempts) {
            return Some("reported as not run, but ran");
        }
        if self
            .reported_answers
            .iter()
            .any(|answer| !self.ran.contains(answer))
        {
            return Some("reported an answer that no run produced");
        }
        if self.regranted {
            return Some("granted again after unknown");
        }
        if self.rebuild() != self.claims {
            return Some("state rebuilt from a snapshot differs");
        }
        None
    }

    fn rebuild(&self) -> claims::Claims {
        let mut rebuilt = claims::Claims::new(claims::Limits::default());
        for (key, record) in self.claims.records() {
            rebuilt.insert(key.clone(), record.clone());
        }
        rebuilt
    }
}

fn read_answer(answer: &Bytes) -> u64 {
    u64::from_be_bytes(answer.as_ref().try_into().unwrap())
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
    println!("claims: {states} states in {:?}", began.elapsed());
}

#[test]
fn injected_faults_are_detected() {
    let faults = [
        (Fault::AgentForgetsFence, "ran twice"),
        (Fault::ExpiryFrees, "ran twice"),
        (Fault::LossIsNotRun, "reported as not run, but ran"),
        (Fault::SettleIgnoresFence, "ran twice"),
        (
            Fault::SettleTooEarly,
            "reported an answer that no run produced",
        ),
    ];
    for (fault, expected) in faults {
        assert_eq!(explore(fault), Err(expected), "{fault:?}");
    }
}
