//! The answer of a stand-in target, which a caller can recompute byte by byte.

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What an answer says about the request that it belongs to.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The service of the target.
    pub service: String,
    /// Path and query as the target received them.
    pub path: String,
    /// The method as the target received it.
    pub method: String,
    /// XXH3 hash of the request body.
    pub body_hash: u64,
}

/// Returns the body for an answer: one line of JSON, then `size` bytes that follow from it.
pub fn answer(answer: &Answer, size: usize) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(answer).expect("an answer has only strings and numbers");
    bytes.push(b'\n');
    let seed = xxhash_rust::xxh3::xxh3_64(&bytes);
    let start = bytes.len();
    bytes.resize(start + size, 0);
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes[start..]);
    bytes
}
