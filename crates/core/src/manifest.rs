//! What operators declare: models, services, failure domains, teams and upstreams.

/// Rate of the weight store when the manifest does not say.
const LOADS_PER_MINUTE: u32 = 6;

/// A whole manifest, checked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Manifest {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Models to serve.
    pub models: Vec<Model>,
    /// Plain services to route to.
    pub services: Vec<Service>,
    /// Teams that may call.
    pub teams: Vec<Team>,
    /// What is known of single upstreams ahead of their announcement.
    pub upstreams: Vec<Upstream>,
    /// What the weight store allows.
    pub weights: Weights,
}

/// A failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Domain {
    /// Name, as hosts' settings give it.
    pub name: String,
    /// Region it lies in.
    pub region: String,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name, as callers give it.
    pub name: String,
    /// Longest output in tokens.
    pub max_output_tokens: u32,
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u32,
    /// Smaller is placed and served first.
    pub priority: u8,
    /// Engines that shall have it loaded.
    pub replicas: u32,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name, as in `/services/{name}/`.
    pub name: String,
    /// Smaller is served first.
    pub priority: u8,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

/// A team of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// SHA-256 digests of its bearer keys.
    pub keys: Vec<[u8; 32]>,
    /// Name.
    pub name: String,
    /// Smaller is served first.
    pub priority: u8,
    /// Share of tokens against other teams of its priority.
    pub weight: u32,
}

/// What is declared of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Whether its engine refuses orders with an old fence.
    pub checks_fences: bool,
    /// Name, as its agent announces it.
    pub name: String,
}

/// Rate of the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weights {
    /// Models that may start to load in a minute, over the whole deployment.
    pub loads_per_minute: u32,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            loads_per_minute: LOADS_PER_MINUTE,
        }
    }
}
