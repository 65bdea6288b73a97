//! A target as the host list names it.

/// A listed target of a service.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
}

/// Returns the least number of `listed` targets that must stay in use; `share` is from 0 to 1.
pub fn floor_count(share: f64, listed: usize) -> usize {
    assert!((0.0..=1.0).contains(&share), "a floor must lie between 0 and 1, not {share}");
    // A product such as 0.55 * 20 must not be rounded up because of its last bit.
    ((share * listed as f64) - 1e-9).ceil().max(0.0) as usize
}
