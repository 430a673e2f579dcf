//! Choice of an upstream by an entry, based on load reports.
//!
//! Load reports arrive late, also at the other entries. If each entry took the upstream that looks
//! best, all would take the same one, so an entry compares only a few upstreams drawn at random and
//! those that have the prompt's prefix cached.

use rand::RngExt as _;

use crate::breaker;
use crate::table;
use crate::time;

/// Upstreams drawn at random for one choice.
const SAMPLE_SIZE: usize = 4;
/// Upstreams with a cached prefix that are considered for one choice.
const MAX_PREFIX_CANDIDATES: usize = 2;
/// Draws after which fewer than [`SAMPLE_SIZE`] upstreams are accepted.
const MAX_DRAWS: usize = 12;
/// Tokens in one block of a prefix.
pub const BLOCK_TOKENS: u32 = 64;
/// Prefill time of one prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f32 = 0.05;
/// Cost of each request beyond the upstream's limit, in milliseconds.
const OVER_LIMIT_MS: f32 = 300.0;
/// Cost of an upstream whose slots or memory are full, in milliseconds.
const FULLNESS_MS: f32 = 400.0;
/// Shortest retry time that a caller is given, in milliseconds.
const MIN_RETRY_MS: u64 = 250;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
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

/// An upstream that was considered, with the figures that its cost is based on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: table::Upstream,
    /// Its failure domain.
    pub domain: table::Domain,
    /// Free memory in tokens, with this entry's unreported requests counted as used.
    pub free_tokens: u64,
    /// Streams or calls that run on it.
    pub running: u32,
    /// Requests that wait in its queue.
    pub queued: u32,
    /// Streams or calls that it may run at once.
    pub limit: u32,
    /// Its expected queue wait in milliseconds.
    pub wait_ms: u32,
    /// Leading blocks of the prompt that it has cached.
    pub matched_blocks: u32,
    /// Requests from this entry that its load report does not include yet.
    pub sent: u32,
    /// Expected milliseconds until the first token, with penalties for fullness. The candidate with
    /// the lowest cost is chosen.
    pub cost_ms: f32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It was the only candidate.
    Only,
    /// It costs least and has a part of the prompt's prefix cached.
    Prefix,
    /// It costs least.
    Room,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug)]
pub enum Choice {
    /// An upstream was chosen.
    Chosen {
        /// The chosen upstream.
        upstream: table::Upstream,
        /// Why it was chosen.
        why: Reason,
    },
    /// No upstream accepts work, or the wait for the best one would exceed the deadline.
    None {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Picks an upstream; `candidates` is filled with those that were considered, for the log.
pub fn pick_upstream<R: rand::Rng + ?Sized>(
    table: &table::Table,
    now: time::Instant,
    query: &Query<'_>,
    random: &mut R,
    candidates: &mut Vec<Candidate>,
) -> Choice {
    candidates.clear();
    add_prefix_holders(table, now, query, candidates);
    add_samples(table, now, query, random, candidates);
    if candidates.is_empty() {
        add_available(table, now, query, candidates);
    }
    let best = candidates
        .iter()
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let Some(best) = best else {
        return Choice::None {
            retry_after_ms: MIN_RETRY_MS,
        };
    };
    let wait_ms = u64::from(best.wait_ms);
    if now.0 + wait_ms > query.deadline.0 {
        return Choice::None {
            retry_after_ms: wait_ms.max(MIN_RETRY_MS),
        };
    }
    let why = match candidates.len() {
        1 => Reason::Only,
        _ if best.matched_blocks > 0 => Reason::Prefix,
        _ => Reason::Room,
    };
    Choice::Chosen {
        upstream: best.upstream,
        why,
    }
}

/// Adds the upstreams that have the longest part of the prefix cached.
fn add_prefix_holders(
    table: &table::Table,
    now: time::Instant,
    query: &Query<'_>,
    candidates: &mut Vec<Candidate>,
) {
    for (index, hash) in query.prefix.iter().enumerate().rev() {
        let blocks = index as u32 + 1;
        for upstream in table.holders(*hash) {
            if candidates.len() >= MAX_PREFIX_CANDIDATES {
                return;
            }
            if table.is_member(query.group, *upstream) {
                add_candidate(table, now, query, *upstream, blocks, candidates);
            }
        }
    }
}

/// Adds a few upstreams drawn at random.
fn add_samples<R: rand::Rng + ?Sized>(
    table: &table::Table,
    now: time::Instant,
    query: &Query<'_>,
    random: &mut R,
    candidates: &mut Vec<Candidate>,
) {
    let members = table.members(query.group);
    if members.is_empty() {
        return;
    }
    let wanted = candidates.len() + SAMPLE_SIZE.min(members.len());
    for _ in 0..MAX_DRAWS {
        if candidates.len() >= wanted {
            return;
        }
        let drawn = members[random.random_range(0..members.len())];
        add_candidate(table, now, query, drawn, 0, candidates);
    }
}

/// Adds the first upstreams that accept work, for when none of those drawn does.
fn add_available(
    table: &table::Table,
    now: time::Instant,
    query: &Query<'_>,
    candidates: &mut Vec<Candidate>,
) {
    for upstream in table.members(query.group) {
        add_candidate(table, now, query, *upstream, 0, candidates);
        if candidates.len() >= SAMPLE_SIZE {
            return;
        }
    }
}

/// Adds an upstream unless it was added before, is to be avoided, accepts no work or has an open
/// breaker.
fn add_candidate(
    table: &table::Table,
    now: time::Instant,
    query: &Query<'_>,
    upstream: table::Upstream,
    matched_blocks: u32,
    candidates: &mut Vec<Candidate>,
) {
    let seen = candidates
        .iter()
        .any(|candidate| candidate.upstream == upstream);
    if seen || query.avoid.contains(&upstream) {
        return;
    }
    let Some(view) = table.view(now, upstream) else {
        return;
    };
    if let breaker::Decision::Reject { .. } = view.pass {
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
    candidate.cost_ms = cost_ms(&candidate, &view, query);
    candidates.push(candidate);
}

/// Returns the expected milliseconds until the first token, with penalties for fullness.
fn cost_ms(candidate: &Candidate, view: &table::View, query: &Query<'_>) -> f32 {
    let matched = (candidate.matched_blocks * BLOCK_TOKENS).min(query.prompt_tokens);
    let prefill = (query.prompt_tokens - matched) as f32 * PREFILL_MS_PER_TOKEN;
    let taken = candidate.running + candidate.queued + candidate.sent + 1;
    let over = taken.saturating_sub(candidate.limit) as f32;
    let queued = over * OVER_LIMIT_MS + candidate.wait_ms as f32;
    let slots = taken as f32 / candidate.limit.max(1) as f32;
    let memory = memory_share(view, query.prompt_tokens - matched);
    let fullness = slots.max(memory).min(2.0);
    prefill + queued + fullness * fullness * FULLNESS_MS
}

/// Returns the share of memory in use including `tokens` more; 0 for a plain service.
fn memory_share(view: &table::View, tokens: u32) -> f32 {
    if view.report.memory_tokens == 0 {
        return 0.0;
    }
    (view.used_tokens + u64::from(tokens)) as f32 / view.report.memory_tokens as f32
}
