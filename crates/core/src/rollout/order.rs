//! The orders of rollouts, as the replicated log decides them.

use std::collections;

/// The whole of the new requests, in the unit of shares.
pub const WHOLE_PPM: u32 = 1_000_000;
/// Longest time limit of a rollout, in milliseconds.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;
/// Longest name of a service, version or order, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Versions that were rolled back and are kept for each service.
const MAX_BARRED: usize = 16;

/// State of a rollout. The last two are final.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The target serves alone.
    Completed,
    /// Both versions serve.
    InProgress,
    /// The target serves nothing.
    RolledBack,
}

/// A request to move a service's traffic.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Request {
    /// Time limit, in milliseconds.
    pub duration_ms: u64,
    /// Chosen by the operator; empty if it is not known.
    pub id: String,
    /// Service whose traffic moves.
    pub service: String,
    /// Version that it moves to.
    pub target: String,
}

/// A rollout.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Order {
    /// Time since the order, as last committed, in milliseconds.
    pub elapsed_ms: u64,
    /// Log index of the command that gave it.
    pub number: u64,
    /// What was asked for.
    pub request: Request,
    /// Millionths of new requests that go to the target.
    pub share_ppm: u32,
    /// State.
    pub state: State,
}

/// Rollouts of one service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Service {
    /// Versions that were rolled back, the last one last.
    pub barred: collections::VecDeque<String>,
    /// Version that the last completed rollout moved the service to.
    pub base: Option<String>,
    /// The last rollout.
    pub last: Order,
}

/// How a service's upstreams of one version take part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// They were rolled back and get nothing.
    Barred,
    /// They serve.
    Current,
    /// They are in no order, and serve only if there are no others.
    Other,
    /// They get the share of a rollout in progress.
    Target,
}

/// Answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The rollout begins, or the request repeats the last one.
    Accepted,
    /// Another rollout of the service is in progress.
    Conflict,
    /// The time limit or a name is out of bounds.
    Invalid,
}

/// All services that have had a rollout.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Orders {
    /// Log index of the last change; 0 before the first.
    pub revision: u64,
    services: collections::BTreeMap<String, Service>,
}

impl Request {
    /// Returns whether the time limit and the names are within bounds.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let names = [&self.service, &self.target];
        let is_named = names.iter().all(|name| !name.is_empty());
        let mut lengths = [&self.service, &self.target, &self.id].into_iter();
        let is_short = lengths.all(|name| name.len() <= MAX_NAME_BYTES);
        is_named && is_short && (1..=MAX_DURATION_MS).contains(&self.duration_ms)
    }

    /// Returns whether this repeats the last order. One without an id does so also after its end: its
    /// sender may not have received the answer.
    fn repeats(&self, last: &Order) -> bool {
        let is_same = self.id.is_empty() || self.id == last.request.id;
        let is_in_progress = last.state == State::InProgress;
        self.target == last.request.target && (is_same || is_in_progress)
    }
}

impl Service {
    /// Returns how upstreams of a version take part.
    #[must_use]
    pub fn part(&self, version: &str) -> Part {
        let is_target = version == self.last.request.target;
        if is_target && self.last.state == State::InProgress {
            return Part::Target;
        }
        if self.barred.iter().any(|barred| barred == version) {
            return Part::Barred;
        }
        match &self.base {
            Some(base) if base != version => Part::Other,
            Some(_) | None => Part::Current,
        }
    }

    fn bar(&mut self, version: String) {
        self.barred.retain(|barred| *barred != version);
        self.barred.push_back(version);
        if self.barred.len() > MAX_BARRED {
            self.barred.pop_front();
        }
    }

    /// Ends the rollout in progress.
    fn end(&mut self, state: State) {
        let target = self.last.request.target.clone();
        self.last.state = state;
        self.last.share_ppm = match state {
            State::Completed => WHOLE_PPM,
            State::InProgress | State::RolledBack => 0,
        };
        match state {
            State::Completed => {
                self.barred.retain(|barred| *barred != target);
                self.base = Some(target);
            }
            State::RolledBack => self.bar(target),
            State::InProgress => {}
        }
    }
}

impl Orders {
    /// Returns the orders as restored from a snapshot.
    #[must_use]
    pub fn restore(revision: u64, services: impl IntoIterator<Item = Service>) -> Orders {
        let services = services.into_iter();
        Orders {
            revision,
            services: services
                .map(|service| (service.last.request.service.clone(), service))
                .collect(),
        }
    }

    /// Returns the services that have had a rollout.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the rollouts of a service, if it has had any.
    #[must_use]
    pub fn find(&self, service: &str) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns the rollouts in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = &Order> {
        let last = self.services.values().map(|service| &service.last);
        last.filter(|order| order.state == State::InProgress)
    }

    /// Starts a rollout by the command at a log index.
    pub fn start(&mut self, index: u64, request: Request) -> Answer {
        if !request.is_valid() {
            return Answer::Invalid;
        }
        let known = self.services.get_mut(&request.service);
        let is_in_progress = known
            .as_ref()
            .is_some_and(|known| known.last.state == State::InProgress);
        match &known {
            Some(known) if request.repeats(&known.last) => return Answer::Accepted,
            Some(_) if is_in_progress => return Answer::Conflict,
            Some(_) | None => {}
        }
        let name = request.service.clone();
        let base = known.as_ref().and_then(|known| known.base.as_ref());
        let is_in_force = base == Some(&request.target);
        let mut last = Order {
            elapsed_ms: 0,
            number: index,
            request,
            share_ppm: 0,
            state: State::InProgress,
        };
        if is_in_force {
            last.share_ppm = WHOLE_PPM;
            last.state = State::Completed;
        }
        match known {
            Some(known) => known.last = last,
            None => {
                let service = Service {
                    barred: collections::VecDeque::new(),
                    base: None,
                    last,
                };
                self.services.insert(name, service);
            }
        }
        self.revision = index;
        Answer::Accepted
    }

    /// Records the progress of a rollout; returns whether it is in progress.
    pub fn advance(&mut self, index: u64, service: &str, number: u64, progress: Progress) -> bool {
        let Some(known) = self.find_in_progress(service, number) else {
            return false;
        };
        known.last.elapsed_ms = known.last.elapsed_ms.max(progress.elapsed_ms);
        known.last.share_ppm = progress.share_ppm.min(WHOLE_PPM);
        self.revision = index;
        true
    }

    /// Ends the rollout `number` of a service, or whichever is in progress if `number` is 0; returns
    /// whether it was in progress.
    pub fn end(&mut self, index: u64, service: &str, number: u64, state: State) -> bool {
        let Some(known) = self.find_in_progress(service, number) else {
            return false;
        };
        if state == State::InProgress {
            return false;
        }
        known.end(state);
        self.revision = index;
        true
    }

    fn find_in_progress(&mut self, service: &str, number: u64) -> Option<&mut Service> {
        let known = self.services.get_mut(service)?;
        let is_meant = number == 0 || known.last.number == number;
        (is_meant && known.last.state == State::InProgress).then_some(known)
    }
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Progress {
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Millionths of new requests that go to the target.
    pub share_ppm: u32,
}
