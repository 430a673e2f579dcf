//! Long-tailed output lengths, drawn deterministically from the seed and the prompt.

use rand::RngExt as _;
use rand::SeedableRng as _;
use xxhash_rust::xxh3;

/// Standard deviation of the logarithm of the output length.
const SIGMA: f64 = 1.0;
/// Prefix of a marker in the prompt that sets the output length: `[[length=7]]`.
const MARKER: &str = "[[length=";
/// Largest output length that is drawn, in tokens.
const MAX_TOKENS: u64 = 60_000;

/// Returns the output length for `prompt` in tokens: its marker's value or a draw from a log-normal
/// distribution.
pub(crate) fn draw_length(seed: u64, median: f64, prompt: &str) -> u64 {
    if let Some(length) = parse_marker(prompt) {
        return length;
    }
    let seed = xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed);
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    // The sum of twelve uniform samples has variance 1 and is close to a normal distribution.
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    let length = median * ((sum - 6.0) * SIGMA).exp();
    (length as u64).clamp(1, MAX_TOKENS)
}

fn parse_marker(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(MARKER)?;
    let (number, _) = rest.split_once("]]")?;
    number.parse().ok()
}
