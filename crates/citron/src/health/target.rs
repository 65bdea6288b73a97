//! Listed targets and the floor of a service.

/// A listed target of a service.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Whether the target is leaving and must get no new requests.
    pub leaving: bool,
}

/// Returns the least number of `listed` targets that must stay in use; `share` is from 0 to 1.
///
/// # Panics
///
/// Panics if `share` does not lie between 0 and 1.
pub fn floor_count(share: f64, listed: usize) -> usize {
    assert!((0.0..=1.0).contains(&share), "a floor must lie between 0 and 1, not {share}");
    // The rounding error of a product such as 0.55 * 20 must not add a target.
    ((share * listed as f64) - 1e-9).ceil().max(0.0) as usize
}
