//! Cuts an allowance into shares.

use crate::policy::Allowance;

/// A part of an allowance.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Requests admitted at once.
    pub burst: f64,
}

impl Share {
    /// Returns the share of the owner numbered `rank` among `owners` owners.
    ///
    /// Bursts are whole requests, as part of a request admits nobody. If there are fewer whole
    /// requests than owners, only as many owners as requests hold a share.
    pub fn of(allowance: &Allowance, rank: usize, owners: usize) -> Self {
        let whole = allowance.burst.floor().max(0.0) as u64;
        let holders = whole.min(owners as u64);
        if rank as u64 >= holders {
            return Self::default();
        }
        let extra = u64::from((rank as u64) < whole % holders);
        Self { rate: allowance.rate / holders as f64, burst: (whole / holders + extra) as f64 }
    }

    /// Returns the smaller rate and the smaller burst.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Returns the larger rate and the larger burst.
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }

    /// Returns the sum.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst }
    }

    /// Returns what is left after `other` is taken away, at least nothing.
    pub fn less(self, other: Self) -> Self {
        Self { rate: (self.rate - other.rate).max(0.0), burst: (self.burst - other.burst).max(0.0) }
    }

    /// Returns whether neither part of `self` exceeds that of `other`.
    pub fn within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}
