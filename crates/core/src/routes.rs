//! Routing table: routes by host and path prefix, their services, and the teams that may use them.

use std::collections;

/// Index of a service in its [`Table`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(u32);

/// Index of a route in its [`Table`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey(u32);

/// Index of a team in its [`Table`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TeamKey(u32);

/// Times the shortest latency objective of a service's generations from which on another is patient.
const PATIENT_RATIO: u64 = 2;

/// How often a request may run, and the form of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// May run at most once; the response is a stream of events.
    Stream,
}

/// A weighted share of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Service that the requests go to.
    pub service: ServiceKey,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Maximum number of upstreams that one request may be tried on.
    pub attempts: u32,
    /// Whether a generation may be run again from its last event, or from its start.
    pub is_resumable: bool,
    /// Longest gap between two events that counts as on time, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// How often a request may run.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Latency objective for a response, in milliseconds.
    pub objective_ms: u64,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Priority of its requests; 0 is the highest.
    pub rank: u32,
    /// Services among which requests are split.
    pub shares: Vec<Share>,
    /// Time limit for the complete response, in milliseconds.
    pub timeout_ms: u64,
}

/// Capabilities of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Whether a second copy of a running generation's memory is kept on another engine.
    pub keeps_backup: bool,
    /// How long an unused copy is kept, in milliseconds.
    pub copy_retention_ms: u64,
    /// Memory capacity for running requests and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Whether a running generation's memory can be copied to another engine on demand.
    pub can_move: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Tokens per event of a stream.
    pub stride: u64,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Requests per second that an upstream handles during its cold start; `None` if it has none.
    pub cold_per_s: Option<f64>,
    /// Maximum number of connections that one upstream accepts from all gateways together.
    pub connections: u32,
    /// Engine capabilities; set for model engines only.
    pub engine: Option<Engine>,
    /// Name.
    pub name: String,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Keys that authenticate its requests.
    pub keys: Vec<String>,
    /// Name.
    pub name: String,
    /// Priority of its requests, overriding that of the route.
    pub rank: Option<u32>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest body in bytes.
    pub body_bytes: u64,
    /// Longest head in bytes.
    pub head_bytes: u64,
    /// Time limit for receiving a request's head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 << 20,
            head_bytes: 16 << 10,
            head_ms: 3000,
            idle_ms: 15_000,
        }
    }
}

/// A share as written in a document, with the service given by name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// A route as written in a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The route; [`Table::build`] fills in its shares.
    pub route: Route,
    /// Shares of the route.
    pub shares: Vec<NamedShare>,
}

/// Contents of a routing document before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Source {
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Routes.
    pub routes: Vec<Draft>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` if requests need no keys.
    pub teams: Option<Vec<Team>>,
    /// Version of the document.
    pub version: u64,
}

/// A problem found in a routing document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Part of the document, such as `route r1`.
    pub place: String,
    /// Description of the problem.
    pub problem: String,
}

impl core::fmt::Display for Finding {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(formatter, "{}: {}", self.place, self.problem)
    }
}

/// Result of looking up a request's host, path and key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// The key is missing or belongs to no team.
    Denied,
    /// The request may proceed; `team` is set if the route requires a key.
    Granted {
        /// The route.
        route: RouteKey,
        /// The team.
        team: Option<TeamKey>,
    },
    /// No route matches.
    Unknown,
}

/// Prefixes of the routes of each host, while a table is built.
type Prefixes = collections::HashMap<String, collections::HashSet<String>>;
/// Range of the latency objectives of a service's generations, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Objectives {
    least: Option<u64>,
    most: Option<u64>,
}

/// A validated routing document, indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Routes of each host, longest prefix first.
    hosts: collections::HashMap<String, Vec<RouteKey>>,
    keys: collections::HashMap<String, TeamKey>,
    limits: Limits,
    needs_keys: bool,
    routes: Vec<Route>,
    /// Latency objectives of the generations of each service.
    objectives: Vec<Objectives>,
    services: Vec<Service>,
    teams: Vec<Team>,
    version: u64,
}

impl Table {
    /// Builds the table of a document, or returns every problem found in it.
    pub fn build(source: Source) -> Result<Table, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut table = Table {
            limits: source.limits,
            needs_keys: source.teams.is_some(),
            services: source.services,
            teams: source.teams.unwrap_or_default(),
            version: source.version,
            ..Table::default()
        };
        table.index_keys(&mut findings);
        let mut known = Prefixes::default();
        for draft in source.routes {
            table.add_route(draft, &mut known, &mut findings);
        }
        table.sort_hosts();
        table.index_objectives();
        match findings.is_empty() {
            true => Ok(table),
            false => Err(findings),
        }
    }

    fn index_keys(&mut self, findings: &mut Vec<Finding>) {
        for (index, team) in self.teams.iter().enumerate() {
            for key in &team.keys {
                let owner = TeamKey(key_index(index));
                let previous = self.keys.insert(key.clone(), owner);
                if previous.is_some_and(|previous| previous != owner) {
                    findings.push(Finding {
                        place: format!("team {}", team.name),
                        problem: "holds a key of another team".to_owned(),
                    });
                }
            }
        }
    }

    fn add_route(&mut self, draft: Draft, known: &mut Prefixes, findings: &mut Vec<Finding>) {
        let Draft { mut route, shares } = draft;
        let mut report = |problem: String| {
            findings.push(Finding {
                place: format!("route {}", route.name),
                problem,
            });
        };
        if route.timeout_ms == 0 {
            report("has a timeout of 0".to_owned());
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            report(format!(
                "prefix {:?} needs slashes at both ends",
                route.prefix
            ));
        }
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 || shares.iter().any(|share| share.weight < 0.0) {
            report("has no share with a weight above 0".to_owned());
        }
        let prefixes = known.entry(route.host.clone()).or_default();
        if !prefixes.insert(route.prefix.clone()) {
            report("has the host and prefix of another route".to_owned());
        }
        for share in shares {
            let is_named = |service: &Service| service.name == share.service;
            match self.services.iter().position(is_named) {
                Some(index) => route.shares.push(Share {
                    service: ServiceKey(key_index(index)),
                    weight: share.weight,
                }),
                None => report(format!("service {:?} is unknown", share.service)),
            }
        }
        let same_host = self.hosts.entry(route.host.clone()).or_default();
        same_host.push(RouteKey(key_index(self.routes.len())));
        self.routes.push(route);
    }

    fn index_objectives(&mut self) {
        self.objectives = vec![Objectives::default(); self.services.len()];
        let streams = self
            .routes
            .iter()
            .filter(|route| route.kind == Kind::Stream);
        for route in streams {
            for share in route.shares.iter().filter(|share| share.weight > 0.0) {
                let known = &mut self.objectives[share.service.index()];
                let objective = route.objective_ms;
                known.least = Some(known.least.map_or(objective, |least| least.min(objective)));
                known.most = known.most.max(Some(objective));
            }
        }
    }

    fn sort_hosts(&mut self) {
        for keys in self.hosts.values_mut() {
            let routes = &self.routes;
            keys.sort_by_key(|key| core::cmp::Reverse(routes[key.index()].prefix.len()));
        }
    }

    /// Looks up the route with the longest matching path prefix and the team that `key` belongs to.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Access {
        let host = host.to_ascii_lowercase();
        let keys = self.hosts.get(&host).map_or(&[][..], Vec::as_slice);
        let mut matching = keys.iter().copied();
        let found = matching.find(|key| path.starts_with(&self.route(*key).prefix));
        let Some(route) = found else {
            return Access::Unknown;
        };
        if self.route(route).public || !self.needs_keys {
            return Access::Granted { route, team: None };
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => Access::Granted {
                route,
                team: Some(*team),
            },
            None => Access::Denied,
        }
    }

    /// Picks a service of the route by weight; `draw` is a uniform random number from 0 to 1.
    #[must_use]
    pub fn pick_service(&self, route: RouteKey, draw: f64) -> ServiceKey {
        let shares = &self.route(route).shares;
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * total;
        for share in shares {
            remaining -= share.weight;
            if remaining < 0.0 {
                return share.service;
            }
        }
        let last_weighted = shares.iter().rev().find(|share| share.weight > 0.0);
        last_weighted.map_or(ServiceKey(0), |share| share.service)
    }

    /// Returns a route.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.index()]
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.index()]
    }

    /// Returns whether some generations of a service have much more time than others, so that the order
    /// in which they get its engines matters.
    #[must_use]
    pub fn has_patient_generations(&self, key: ServiceKey) -> bool {
        let objectives = self.objectives[key.index()];
        let least = objectives.least.unwrap_or_default();
        objectives.most.unwrap_or_default() >= PATIENT_RATIO * least && least > 0
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns a team.
    #[must_use]
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[key.index()]
    }

    /// Returns the limits on callers' connections and requests.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the document's version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl RouteKey {
    fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl ServiceKey {
    fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl TeamKey {
    fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

fn key_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
