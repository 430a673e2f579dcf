//! Choice of an upstream by an entry, from late reports.
//!
//! An entry's view is late and other entries act on views just as late, so it weighs a few
//! upstreams drawn at random and those that hold the prompt's prefix, not all of them.

use rand::RngExt as _;

use crate::breaker;
use crate::table;
use crate::time;

/// Upstreams drawn at random for one choice.
const SAMPLES: usize = 4;
/// Upstreams that hold the prefix and are weighed for one choice.
const AFFINE: usize = 2;
/// Draws after which fewer samples are accepted.
const MAX_DRAWS: usize = 12;
/// Tokens in a block of a prefix.
pub const BLOCK_TOKENS: u32 = 64;
/// Time to compute one prompt token, in milliseconds.
const PREFILL_MS: f32 = 0.05;
/// Cost of a request that would wait behind the limit, in milliseconds.
const QUEUED_MS: f32 = 300.0;
/// Cost of an upstream whose memory is full, in milliseconds.
const PRESSURE_MS: f32 = 400.0;
/// Shortest time after which a caller is asked to come back, in milliseconds.
const MIN_RETRY_MS: u64 = 250;

/// What is asked of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Upstreams that refused this request or failed it already.
    pub avoid: &'a [table::Upstream],
    /// Time by which the caller wants the answer.
    pub deadline: time::Instant,
    /// Model or service.
    pub group: table::Group,
    /// Hashes of the prompt's leading blocks, longest last.
    pub prefix: &'a [u64],
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
}

/// One upstream as it was weighed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: table::Upstream,
    /// Its failure domain.
    pub domain: table::Domain,
    /// Free memory in tokens after this entry's own sends.
    pub free_tokens: u64,
    /// Streams or calls that run there.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Streams or calls that it may run at once.
    pub limit: u32,
    /// Its expected wait in milliseconds.
    pub wait_ms: u32,
    /// Leading blocks of the prompt that it holds.
    pub matched_blocks: u32,
    /// Requests of this entry that its report does not show yet.
    pub sent: u32,
    /// What decides: expected milliseconds until the first token, with penalties. Smaller is
    /// better.
    pub cost_ms: f32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// It was the only one that could be weighed.
    Only,
    /// It holds the prompt's prefix.
    Prefix,
    /// It costs least among those drawn.
    Room,
}

/// Which upstream gets the request.
#[derive(Clone, Copy, Debug)]
pub enum Choice {
    /// This one.
    Chosen {
        /// The upstream.
        upstream: table::Upstream,
        /// Why.
        why: Why,
    },
    /// None can take it now.
    None {
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// Picks an upstream; `weighed` is filled with the candidates, for the log.
pub fn pick_upstream<R: rand::Rng + ?Sized>(
    table: &table::Table,
    now: time::Instant,
    ask: &Ask<'_>,
    random: &mut R,
    weighed: &mut Vec<Candidate>,
) -> Choice {
    weighed.clear();
    gather_affine(table, now, ask, weighed);
    gather_samples(table, now, ask, random, weighed);
    if weighed.is_empty() {
        gather_all(table, now, ask, weighed);
    }
    let best = weighed
        .iter()
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let Some(best) = best else {
        return Choice::None {
            retry_after_ms: MIN_RETRY_MS,
        };
    };
    let wait_ms = u64::from(best.wait_ms);
    if now.0 + wait_ms > ask.deadline.0 {
        return Choice::None {
            retry_after_ms: wait_ms.max(MIN_RETRY_MS),
        };
    }
    let why = match weighed.len() {
        1 => Why::Only,
        _ if best.matched_blocks > 0 => Why::Prefix,
        _ => Why::Room,
    };
    Choice::Chosen {
        upstream: best.upstream,
        why,
    }
}

/// Weighs upstreams that hold the longest known part of the prefix.
fn gather_affine(
    table: &table::Table,
    now: time::Instant,
    ask: &Ask<'_>,
    weighed: &mut Vec<Candidate>,
) {
    for (index, hash) in ask.prefix.iter().enumerate().rev() {
        let blocks = index as u32 + 1;
        for upstream in table.holders(*hash) {
            if weighed.len() >= AFFINE {
                return;
            }
            if table.is_member(ask.group, *upstream) {
                weigh_upstream(table, now, ask, *upstream, blocks, weighed);
            }
        }
    }
}

/// Weighs a few upstreams drawn at random.
fn gather_samples<R: rand::Rng + ?Sized>(
    table: &table::Table,
    now: time::Instant,
    ask: &Ask<'_>,
    random: &mut R,
    weighed: &mut Vec<Candidate>,
) {
    let members = table.members(ask.group);
    if members.is_empty() {
        return;
    }
    let wanted = weighed.len() + SAMPLES.min(members.len());
    for _ in 0..MAX_DRAWS {
        if weighed.len() >= wanted {
            return;
        }
        let drawn = members[random.random_range(0..members.len())];
        weigh_upstream(table, now, ask, drawn, 0, weighed);
    }
}

/// Weighs all upstreams, for when the draws found none that takes work.
fn gather_all(
    table: &table::Table,
    now: time::Instant,
    ask: &Ask<'_>,
    weighed: &mut Vec<Candidate>,
) {
    for upstream in table.members(ask.group) {
        weigh_upstream(table, now, ask, *upstream, 0, weighed);
        if weighed.len() >= SAMPLES {
            return;
        }
    }
}

fn weigh_upstream(
    table: &table::Table,
    now: time::Instant,
    ask: &Ask<'_>,
    upstream: table::Upstream,
    matched_blocks: u32,
    weighed: &mut Vec<Candidate>,
) {
    let seen = weighed
        .iter()
        .any(|candidate| candidate.upstream == upstream);
    if seen || ask.avoid.contains(&upstream) {
        return;
    }
    let Some(view) = table.view(now, upstream) else {
        return;
    };
    if let breaker::Pass::Shut { .. } = view.pass {
        return;
    }
    let mut candidate = Candidate {
        upstream,
        domain: view.domain,
        free_tokens: view.report.memory_tokens.saturating_sub(view.used_tokens),
        running: view.report.running,
        queued: view.report.queued,
        limit: view.report.limit,
        wait_ms: view.report.wait_ms,
        matched_blocks,
        sent: view.sent,
        cost_ms: 0.0,
    };
    candidate.cost_ms = cost_ms(&candidate, &view, ask);
    weighed.push(candidate);
}

/// Returns the expected milliseconds until the first token, with penalties for fullness.
fn cost_ms(candidate: &Candidate, view: &table::View, ask: &Ask<'_>) -> f32 {
    let matched = (candidate.matched_blocks * BLOCK_TOKENS).min(ask.prompt_tokens);
    let prefill = (ask.prompt_tokens - matched) as f32 * PREFILL_MS;
    let taken = candidate.running + candidate.queued + candidate.sent + 1;
    let over = taken.saturating_sub(candidate.limit) as f32;
    let queued = over * QUEUED_MS + candidate.wait_ms as f32;
    let slots = taken as f32 / candidate.limit.max(1) as f32;
    let memory = memory_share(view, ask.prompt_tokens - matched);
    let fullness = slots.max(memory).min(2.0);
    prefill + queued + fullness * fullness * PRESSURE_MS
}

/// Returns the share of memory in use with this request; 0 for a plain service.
fn memory_share(view: &table::View, tokens: u32) -> f32 {
    if view.report.memory_tokens == 0 {
        return 0.0;
    }
    (view.used_tokens + u64::from(tokens)) as f32 / view.report.memory_tokens as f32
}
