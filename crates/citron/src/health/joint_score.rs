//! The score of one target from the evidence of several observers.

use std::time::Duration;

use super::DetectionParams;

/// The joint score of one target for one kind of evidence.
///
/// It is a cumulative sum (CUSUM), which starts again whenever it falls to zero.
#[derive(Debug, Default, Clone)]
pub(super) struct JointScore {
    contributions: Vec<Contribution>,
    pending: Vec<Contribution>,
    rise_budget: f64,
}

/// What one observer contributed since the joint score was last zero.
#[derive(Debug, Copy, Clone)]
struct Contribution {
    observer: usize,
    domain: usize,
    value: f64,
}

impl JointScore {
    /// Adds `value` from an observer; it counts from the next call of
    /// [`apply_pending`](Self::apply_pending).
    pub(super) fn add(&mut self, observer: usize, domain: usize, value: f64) {
        self.pending.push(Contribution { observer, domain, value });
    }

    /// Applies the evidence added in the last `elapsed`, scaled down to the allowed rise of the
    /// score.
    pub(super) fn apply_pending(&mut self, params: &DetectionParams, elapsed: Duration) {
        let refill = params.rise_per_s * elapsed.as_secs_f64();
        self.rise_budget = (self.rise_budget + refill).min(params.rise_burst);
        let rise: f64 = self.pending.iter().map(|entry| entry.value).sum();
        let fraction = if rise > self.rise_budget { self.rise_budget / rise } else { 1.0 };
        self.rise_budget -= (rise * fraction).max(0.0);
        for entry in std::mem::take(&mut self.pending) {
            self.merge(
                Contribution { value: entry.value * fraction, ..entry },
                params.observer_cap,
            );
        }
        if self.total() <= 0.0 {
            self.contributions.clear();
        }
    }

    fn merge(&mut self, new: Contribution, cap: f64) {
        match self.contributions.iter_mut().find(|entry| entry.observer == new.observer) {
            Some(entry) => {
                entry.domain = new.domain;
                entry.value = (entry.value + new.value).clamp(-cap, cap);
            }
            None => {
                self.contributions.push(Contribution { value: new.value.clamp(-cap, cap), ..new });
            }
        }
    }

    /// Returns the joint score.
    pub(super) fn total(&self) -> f64 {
        self.contributions.iter().map(|entry| entry.value).sum()
    }

    /// Returns the joint score without the failure domain that contributes most.
    pub(super) fn without_top_domain(&self) -> f64 {
        let domain_total = |domain| {
            let contributions =
                self.contributions.iter().filter(move |entry| entry.domain == domain);
            contributions.map(|entry| entry.value).sum::<f64>()
        };
        self.total()
            - self.contributions.iter().map(|entry| domain_total(entry.domain)).fold(0.0, f64::max)
    }

    /// Multiplies all contributions by `factor`.
    pub(super) fn decay(&mut self, factor: f64) {
        for entry in &mut self.contributions {
            entry.value *= factor;
        }
    }

    /// Drops all evidence.
    pub(super) fn clear(&mut self) {
        self.contributions.clear();
        self.pending.clear();
    }
}
