//! Evidence about one target from several observers.

use std::time::Duration;

use super::Tuning;

/// One kind of evidence about one target, by observer.
///
/// The joint score is a cumulative sum that starts anew whenever it falls to zero.
#[derive(Debug, Default, Clone)]
pub(super) struct Pool {
    shares: Vec<Share>,
    pending: Vec<Share>,
    room: f64,
}

/// What one observer contributed since the joint score was last zero.
#[derive(Debug, Copy, Clone)]
struct Share {
    observer: usize,
    domain: usize,
    value: f64,
}

impl Pool {
    /// Adds `value` from an observer; it counts from the next settling on.
    pub(super) fn add(&mut self, observer: usize, domain: usize, value: f64) {
        self.pending.push(Share { observer, domain, value });
    }

    /// Takes in what was added in the last `elapsed`, as far as the score may rise by it.
    pub(super) fn settle(&mut self, tuning: &Tuning, elapsed: Duration) {
        let refill = tuning.rise_per_s * elapsed.as_secs_f64();
        self.room = (self.room + refill).min(tuning.rise_burst);
        let rise: f64 = self.pending.iter().map(|share| share.value).sum();
        let part = if rise > self.room { self.room / rise } else { 1.0 };
        self.room -= (rise * part).max(0.0);
        for share in std::mem::take(&mut self.pending) {
            self.take(Share { value: share.value * part, ..share }, tuning.observer_cap);
        }
        if self.total() <= 0.0 {
            self.shares.clear();
        }
    }

    fn take(&mut self, new: Share, cap: f64) {
        match self.shares.iter_mut().find(|share| share.observer == new.observer) {
            Some(share) => {
                share.domain = new.domain;
                share.value = (share.value + new.value).clamp(-cap, cap);
            }
            None => self.shares.push(Share { value: new.value.clamp(-cap, cap), ..new }),
        }
    }

    /// Returns the joint score.
    pub(super) fn total(&self) -> f64 {
        self.shares.iter().map(|share| share.value).sum()
    }

    /// Returns the joint score without the failure domain that contributes most.
    pub(super) fn without_domain(&self) -> f64 {
        let of = |domain| {
            let shares = self.shares.iter().filter(move |share| share.domain == domain);
            shares.map(|share| share.value).sum::<f64>()
        };
        self.total() - self.shares.iter().map(|share| of(share.domain)).fold(0.0, f64::max)
    }

    /// Multiplies all parts by `factor`.
    pub(super) fn fade(&mut self, factor: f64) {
        for share in &mut self.shares {
            share.value *= factor;
        }
    }

    /// Drops all evidence.
    pub(super) fn clear(&mut self) {
        self.shares.clear();
        self.pending.clear();
    }
}
