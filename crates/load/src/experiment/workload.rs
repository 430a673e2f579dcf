//! The two deployments: their engines, teams and requests.

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Failure domains of each deployment.
pub const DOMAINS: usize = 4;

/// Which deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// 20 transcript runners and 4 archive-desk runners.
    Archive,
    /// 12 fitting-model runners and 4 booking-desk runners.
    Lending,
}

/// A model and the runners that serve it.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Time until the whole answer is wanted, in milliseconds.
    pub deadline_ms: u64,
    /// Engines.
    pub engines: usize,
    /// Longest output in tokens.
    pub max_tokens: u32,
    /// Memory of each engine in tokens.
    pub memory_tokens: u32,
    /// Name.
    pub name: &'static str,
    /// Median output in tokens.
    pub output_median: f64,
    /// Spread of the logarithm of the output.
    pub output_sigma: f64,
    /// Median prompt in tokens.
    pub prompt_median: f64,
    /// Requests a second of the whole deployment at load 1.
    pub rate: f64,
}

/// A team of callers.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Factor on output lengths: each team asks for other things.
    pub length: f64,
    /// Name.
    pub name: &'static str,
    /// Smaller goes first.
    pub priority: u8,
    /// Share of the requests.
    pub share: f64,
    /// Weight of its fair share.
    pub weight: u32,
}

/// One request to come.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival in microseconds.
    pub at: u64,
    /// Index of the model.
    pub model: usize,
    /// Output tokens.
    pub output: u32,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Index of the team.
    pub team: usize,
}

/// Traffic over time.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Factor on the arrival rates.
    pub load: f64,
    /// Share of requests with a long common prefix.
    pub prefix_share: f64,
    /// Arrivals end here, in microseconds.
    pub until: u64,
    /// Outputs grow by `shift_factor` from here on, in microseconds.
    pub shift_at: u64,
    /// Factor on output lengths after the shift.
    pub shift_factor: f64,
    /// Whether every second team asks for a tenth of the tokens.
    pub unlike: bool,
    /// Whether the rate swells and falls like a crowded morning's.
    pub swell: bool,
}

/// Teams of both deployments: a few large, most small.
pub const TEAMS: [Team; 10] = [
    team("a", 0.34, 3, 1.3, 2),
    team("b", 0.20, 2, 0.8, 2),
    team("c", 0.14, 2, 1.0, 2),
    team("d", 0.08, 1, 1.6, 2),
    team("e", 0.06, 1, 0.6, 2),
    team("f", 0.05, 1, 1.0, 1),
    team("g", 0.05, 1, 0.9, 1),
    team("h", 0.04, 1, 1.2, 2),
    team("i", 0.02, 1, 0.7, 2),
    team("j", 0.02, 1, 1.0, 2),
];

const ARCHIVE: [Model; 2] = [
    Model {
        deadline_ms: 180_000,
        engines: 20,
        max_tokens: 4096,
        memory_tokens: 49_152,
        name: "transcript",
        output_median: 420.0,
        output_sigma: 0.7,
        prompt_median: 1600.0,
        rate: 20.0,
    },
    Model {
        deadline_ms: 15_000,
        engines: 4,
        max_tokens: 256,
        memory_tokens: 16_384,
        name: "desk",
        output_median: 50.0,
        output_sigma: 0.5,
        prompt_median: 400.0,
        rate: 30.0,
    },
];

const LENDING: [Model; 2] = [
    Model {
        deadline_ms: 120_000,
        engines: 12,
        max_tokens: 2048,
        memory_tokens: 32_768,
        name: "fitting",
        output_median: 350.0,
        output_sigma: 0.7,
        prompt_median: 700.0,
        rate: 17.0,
    },
    Model {
        deadline_ms: 15_000,
        engines: 4,
        max_tokens: 256,
        memory_tokens: 24_576,
        name: "booking",
        output_median: 40.0,
        output_sigma: 0.5,
        prompt_median: 120.0,
        rate: 70.0,
    },
];

/// Time in which the first traffic swells, in microseconds.
const BEGIN_US: f64 = 60e6;
/// Share of outputs drawn from the long tail.
const TAIL_SHARE: f64 = 0.06;
/// Exponent of the long tail.
const TAIL_EXPONENT: f64 = 1.2;
/// Spread of the logarithm of prompt lengths.
const PROMPT_SIGMA: f64 = 0.5;
/// Common prefixes in use.
const PREFIXES: u64 = 40;
/// Longest common prefix in blocks.
const MAX_PREFIX_BLOCKS: u32 = 24;

/// Priority of the teams whose callers stand at a desk.
pub const URGENT: u8 = 1;

const fn team(name: &'static str, share: f64, weight: u32, length: f64, priority: u8) -> Team {
    Team {
        length,
        name,
        priority,
        share,
        weight,
    }
}

impl Deployment {
    /// Returns its models.
    #[must_use]
    pub fn models(self) -> &'static [Model] {
        match self {
            Deployment::Archive => &ARCHIVE,
            Deployment::Lending => &LENDING,
        }
    }

    /// Returns its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Deployment::Archive => "archive",
            Deployment::Lending => "lending",
        }
    }
}

/// Returns all requests in order of arrival.
#[must_use]
pub fn generate_requests(deployment: Deployment, traffic: &Traffic, seed: u64) -> Vec<Request> {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, model) in deployment.models().iter().enumerate() {
        let mut at = 0.0;
        while (at as u64) < traffic.until {
            let rate = model.rate * traffic.load * swell(traffic, at as u64);
            at += -random.random::<f64>().max(1e-12).ln() / rate * 1e6;
            requests.push(draw_request(index, model, traffic, at as u64, &mut random));
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the factor on the rate at a time.
fn swell(traffic: &Traffic, at: u64) -> f64 {
    let begin = (0.3 + at as f64 / BEGIN_US).min(1.0);
    if !traffic.swell {
        return begin;
    }
    let turn = at as f64 / traffic.until as f64 * core::f64::consts::PI;
    begin * (0.7 + 0.6 * turn.sin())
}

fn draw_request(
    index: usize,
    model: &Model,
    traffic: &Traffic,
    at: u64,
    random: &mut rand::rngs::SmallRng,
) -> Request {
    let team = draw_team(random);
    let shift = if at >= traffic.shift_at {
        traffic.shift_factor
    } else {
        1.0
    };
    let unlike = if traffic.unlike && team % 2 == 1 {
        0.1
    } else {
        1.0
    };
    let median = model.output_median * TEAMS[team].length * shift * unlike;
    let output = draw_output(model, median, random);
    let prompt = draw_lognormal(model.prompt_median, PROMPT_SIGMA, random);
    let longest = model.memory_tokens / 4;
    let prompt = (prompt as u32).clamp(16, longest);
    let prefix = draw_prefix(index, prompt, traffic, random);
    Request {
        at,
        model: index,
        output,
        prefix,
        prompt,
        team,
    }
}

fn draw_team(random: &mut rand::rngs::SmallRng) -> usize {
    let mut left: f64 = random.random();
    for (index, team) in TEAMS.iter().enumerate() {
        left -= team.share;
        if left < 0.0 {
            return index;
        }
    }
    0
}

fn draw_output(model: &Model, median: f64, random: &mut rand::rngs::SmallRng) -> u32 {
    let body = draw_lognormal(median, model.output_sigma, random);
    let tail = random.random::<f64>() < TAIL_SHARE;
    let long = median * random.random::<f64>().max(1e-9).powf(-1.0 / TAIL_EXPONENT) * 2.0;
    let length = if tail { long } else { body };
    (length as u32).clamp(1, model.max_tokens)
}

fn draw_lognormal(median: f64, sigma: f64, random: &mut rand::rngs::SmallRng) -> f64 {
    let radius = (-2.0 * random.random::<f64>().max(1e-12).ln()).sqrt();
    let angle = random.random::<f64>() * core::f64::consts::TAU;
    median * (sigma * radius * angle.cos()).exp()
}

/// Returns hashes of the leading blocks: a common part, then one of its own.
fn draw_prefix(
    model: usize,
    prompt: u32,
    traffic: &Traffic,
    random: &mut rand::rngs::SmallRng,
) -> Vec<u64> {
    let blocks = (prompt / crate::experiment::cache::BLOCK_TOKENS).min(MAX_PREFIX_BLOCKS);
    let common = random.random::<f64>() < traffic.prefix_share;
    let family = if common {
        random.random_range(0..PREFIXES)
    } else {
        random.random()
    };
    (0..blocks)
        .map(|block| hash(model as u64, family, u64::from(block)))
        .collect()
}

/// Returns a well-mixed number.
fn hash(a: u64, b: u64, c: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.rotate_left(17) ^ (c << 48);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
