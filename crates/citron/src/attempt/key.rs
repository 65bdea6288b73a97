//! The digest under which an idempotency key is claimed.

use crate::policy::Digest;

/// Returns the digest of a customer's idempotency key for a service.
///
/// Each part is prefixed with its length, so that no two triples concatenate to the same bytes.
pub fn key_digest(customer: &str, service: &str, key: &str) -> Digest {
    let mut bytes = Vec::with_capacity(24 + customer.len() + service.len() + key.len());
    for part in [customer, service, key] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    Digest::of(&bytes)
}
