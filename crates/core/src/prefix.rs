//! Chained hashes of a prompt's leading blocks, by which entries find upstreams that have them in
//! their prefix cache.

use xxhash_rust::xxh3;

/// Bytes of prompt text in one block, about 16 tokens.
pub const BLOCK_BYTES: usize = 64;

/// Limit on the leading blocks that are hashed.
pub const MAX_BLOCKS: usize = 64;

/// Returns the hash of the first block, of the first two, and so on; a partial last block is
/// ignored.
#[must_use]
pub fn hash_blocks(text: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    text.chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3::xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
