//! Claims of idempotency keys, stored on the platform so that a resubmitted request runs once.
//!
//! Keys hash into buckets, each stored as one object. A bucket batches claims into one conditional
//! write. A claim is granted only after a write that contains it was confirmed or a read showed it;
//! any number of members may work on one bucket at a time.

mod bucket;
mod table;

pub use self::{
    bucket::{Action, Bucket, Decision, ReadResult, WriteResult},
    table::{Entry, Table},
};

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The number of buckets.
pub const BUCKET_COUNT: u64 = 256;
/// How long a claim is kept.
pub const RETENTION: Duration = Duration::from_secs(900);
/// The maximum difference between the wall clocks of two members.
pub const CLOCK_SKEW: Duration = Duration::from_secs(60);
/// The maximum number of claims in a bucket, which keeps its object under the platform's size
/// limit.
pub const MAX_BUCKET_CLAIMS: usize = 5000;

/// Returns the name of the bucket that holds the key with this digest.
pub fn bucket_name(digest: &str) -> String {
    format!("{:03}", xxh3_64(digest.as_bytes()) % BUCKET_COUNT)
}
