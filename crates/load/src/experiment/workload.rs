//! Workload generator: the two deployments with their models, teams and requests.

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Number of failure domains in each deployment.
pub const DOMAINS: usize = 4;

/// A deployment to simulate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// 20 engines of the `transcript` model and 4 of the `desk` model.
    Archive,
    /// 12 engines of the `fitting` model and 4 of the `booking` model.
    Lending,
}

/// A model, the engines that serve it and the requests for it.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Deadline for the complete answer, counted from the arrival, in milliseconds.
    pub deadline_ms: u64,
    /// Number of engines.
    pub engines: usize,
    /// Output limit in tokens.
    pub max_tokens: u32,
    /// Memory of each engine, in tokens.
    pub memory_tokens: u32,
    /// Name.
    pub name: &'static str,
    /// Median output length in tokens, before the factors of team and traffic.
    pub output_median: f64,
    /// Standard deviation of the logarithm of the output length.
    pub output_sigma: f64,
    /// Median prompt length in tokens.
    pub prompt_median: f64,
    /// Requests per second for this model, over all its engines, at load 1.
    pub rate: f64,
}

/// A team that sends requests.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Factor on output lengths, which differ by team.
    pub length_factor: f64,
    /// Name.
    pub name: &'static str,
    /// Smaller values go first.
    pub priority: u8,
    /// Share of the requests.
    pub share: f64,
    /// Weight in the fair sharing among teams.
    pub weight: u32,
}

/// A generated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time in microseconds.
    pub arrival: u64,
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
    /// Share of requests whose prompt starts with one of the common prefixes.
    pub prefix_share: f64,
    /// Arrivals end here, in microseconds.
    pub arrivals_end: u64,
    /// Time from which output lengths are multiplied by `shift_factor`, in microseconds.
    pub shift_at: u64,
    /// Factor on output lengths after the shift.
    pub shift_factor: f64,
    /// Whether every second team gets a tenth of the output length.
    pub mixed_lengths: bool,
    /// Whether the arrival rate rises and falls in half a sine wave over the run.
    pub half_sine: bool,
}

/// Teams of both deployments: a few send most of the requests.
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

/// Time scale of the increase from 30 % to 100 % of the rate at the start, in microseconds.
const RAMP_UP_US: f64 = 60e6;
/// Share of output lengths drawn from a Pareto tail.
const TAIL_SHARE: f64 = 0.06;
/// Exponent of the Pareto tail.
const TAIL_EXPONENT: f64 = 1.2;
/// Standard deviation of the logarithm of prompt lengths.
const PROMPT_SIGMA: f64 = 0.5;
/// Number of common prefixes per model.
const PREFIXES: u64 = 40;
/// Blocks of a prompt that are hashed, at most.
const MAX_PREFIX_BLOCKS: u32 = 24;

/// Priority of the teams whose users wait for the answer at a desk.
pub const URGENT: u8 = 1;

const fn team(
    name: &'static str,
    share: f64,
    weight: u32,
    length_factor: f64,
    priority: u8,
) -> Team {
    Team {
        length_factor,
        name,
        priority,
        share,
        weight,
    }
}

impl Deployment {
    /// Returns the models that the deployment serves.
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
        while (at as u64) < traffic.arrivals_end {
            let rate = model.rate * traffic.load * rate_factor(traffic, at as u64);
            at += -random.random::<f64>().max(1e-12).ln() / rate * 1e6;
            requests.push(draw_request(index, model, traffic, at as u64, &mut random));
        }
    }
    requests.sort_by_key(|request| request.arrival);
    requests
}

/// Returns the factor on the arrival rate at a time.
fn rate_factor(traffic: &Traffic, at: u64) -> f64 {
    let ramp_up = (0.3 + at as f64 / RAMP_UP_US).min(1.0);
    if !traffic.half_sine {
        return ramp_up;
    }
    let phase = at as f64 / traffic.arrivals_end as f64 * core::f64::consts::PI;
    ramp_up * (0.7 + 0.6 * phase.sin())
}

fn draw_request(
    index: usize,
    model: &Model,
    traffic: &Traffic,
    arrival: u64,
    random: &mut rand::rngs::SmallRng,
) -> Request {
    let team = draw_team(random);
    let shift = if arrival >= traffic.shift_at {
        traffic.shift_factor
    } else {
        1.0
    };
    let mixed_factor = if traffic.mixed_lengths && team % 2 == 1 {
        0.1
    } else {
        1.0
    };
    let median = model.output_median * TEAMS[team].length_factor * shift * mixed_factor;
    let output = draw_output(model, median, random);
    let prompt = draw_lognormal(model.prompt_median, PROMPT_SIGMA, random);
    let max_prompt = model.memory_tokens / 4;
    let prompt = (prompt as u32).clamp(16, max_prompt);
    let prefix = draw_prefix(index, prompt, traffic, random);
    Request {
        arrival,
        model: index,
        output,
        prefix,
        prompt,
        team,
    }
}

fn draw_team(random: &mut rand::rngs::SmallRng) -> usize {
    let mut remaining: f64 = random.random();
    for (index, team) in TEAMS.iter().enumerate() {
        remaining -= team.share;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}

fn draw_output(model: &Model, median: f64, random: &mut rand::rngs::SmallRng) -> u32 {
    let body_length = draw_lognormal(median, model.output_sigma, random);
    let is_tail = random.random::<f64>() < TAIL_SHARE;
    let tail_length = median * random.random::<f64>().max(1e-9).powf(-1.0 / TAIL_EXPONENT) * 2.0;
    let length = if is_tail { tail_length } else { body_length };
    (length as u32).clamp(1, model.max_tokens)
}

fn draw_lognormal(median: f64, sigma: f64, random: &mut rand::rngs::SmallRng) -> f64 {
    let radius = (-2.0 * random.random::<f64>().max(1e-12).ln()).sqrt();
    let angle = random.random::<f64>() * core::f64::consts::TAU;
    median * (sigma * radius * angle.cos()).exp()
}

/// Returns the hashes of the prompt's leading blocks, of a common or of a unique prefix.
fn draw_prefix(
    model: usize,
    prompt: u32,
    traffic: &Traffic,
    random: &mut rand::rngs::SmallRng,
) -> Vec<u64> {
    let blocks = (prompt / crate::experiment::cache::BLOCK_TOKENS).min(MAX_PREFIX_BLOCKS);
    let is_common = random.random::<f64>() < traffic.prefix_share;
    let family = if is_common {
        random.random_range(0..PREFIXES)
    } else {
        random.random()
    };
    (0..blocks)
        .map(|block| hash(model as u64, family, u64::from(block)))
        .collect()
}

/// Mixes three numbers into a hash, with the finalizer of SplitMix64.
fn hash(a: u64, b: u64, c: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.rotate_left(17) ^ (c << 48);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
