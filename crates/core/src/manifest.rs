//! The manifest that operators declare: models, services, failure domains, teams and upstreams.

/// Default rate limit of the weight store.
const LOADS_PER_MINUTE: u32 = 6;

/// A complete, validated manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Manifest {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Models to serve.
    pub models: Vec<Model>,
    /// Plain services to which calls are routed.
    pub services: Vec<Service>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
    /// Properties of individual upstreams, known before their agents announce them.
    pub upstreams: Vec<Upstream>,
    /// Rate limit of the weight store.
    pub weights: Weights,
}

/// A failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Domain {
    /// Name, as used in the settings of hosts.
    pub name: String,
    /// Region it lies in.
    pub region: String,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name, as used in requests.
    pub name: String,
    /// Longest output in tokens.
    pub max_output_tokens: u32,
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u32,
    /// Models with a smaller value are placed and served first.
    pub priority: u8,
    /// Number of engines that should have it loaded.
    pub replicas: u32,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name, as in `/services/{name}/`.
    pub name: String,
    /// Requests with a smaller value are served first.
    pub priority: u8,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

/// A team of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// SHA-256 digests of the team's bearer keys.
    pub keys: Vec<[u8; 32]>,
    /// Name.
    pub name: String,
    /// Requests with a smaller value are served first.
    pub priority: u8,
    /// Weight for sharing tokens among teams of equal priority.
    pub weight: u32,
}

/// Declared properties of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Whether its engine refuses orders with a stale fence.
    pub checks_fences: bool,
    /// Name, as its agent announces it.
    pub name: String,
}

/// Rate limit of the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weights {
    /// Maximum number of model loads started per minute in the whole deployment.
    pub loads_per_minute: u32,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            loads_per_minute: LOADS_PER_MINUTE,
        }
    }
}
