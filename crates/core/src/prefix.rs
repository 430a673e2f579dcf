//! Hashes of a prompt's leading blocks, by which entries find upstreams that have them cached.

use xxhash_rust::xxh3;

/// Bytes of prompt text in one block, about 16 tokens.
pub const BLOCK_BYTES: usize = 64;

/// Leading blocks that are hashed at most.
pub const MAX_BLOCKS: usize = 64;

/// Returns the hash of the first block, of the first two, and so on; a partial block is left out.
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
