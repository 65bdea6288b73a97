//! Divides an allowance into shares.

use crate::policy::Allowance;

/// A part of an allowance.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Requests admitted at once: the size of the token bucket.
    pub burst: f64,
}

impl Share {
    /// Returns the share of the owner numbered `rank` among `owners` owners.
    ///
    /// Bursts are whole requests, as a bucket smaller than one token admits nothing. If the burst
    /// has fewer whole requests than there are owners, only as many owners hold a share.
    pub fn of(allowance: &Allowance, rank: usize, owners: usize) -> Self {
        let whole = allowance.burst.floor().max(0.0) as u64;
        let holders = whole.min(owners as u64);
        if rank as u64 >= holders {
            return Self::default();
        }
        let extra = u64::from((rank as u64) < whole % holders);
        Self { rate: allowance.rate / holders as f64, burst: (whole / holders + extra) as f64 }
    }

    /// Returns the smaller rate and the smaller burst of both shares.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Returns the larger rate and the larger burst of both shares.
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }

    /// Adds `other`.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst }
    }

    /// Subtracts `other`; neither part goes below zero.
    pub fn less(self, other: Self) -> Self {
        Self { rate: (self.rate - other.rate).max(0.0), burst: (self.burst - other.burst).max(0.0) }
    }

    /// Returns whether neither the rate nor the burst exceeds that of `other`.
    pub fn within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}
