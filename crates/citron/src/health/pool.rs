//! Evidence about one target from several observers.

/// One kind of evidence about one target, by observer.
///
/// The joint score is a cumulative sum that starts anew whenever it falls to zero.
#[derive(Debug, Default, Clone)]
pub(super) struct Pool {
    shares: Vec<Share>,
}

/// What one observer contributed since the joint score was last zero.
#[derive(Debug, Copy, Clone)]
struct Share {
    observer: usize,
    domain: usize,
    value: f64,
}

impl Pool {
    /// Adds `value` from an observer, whose part stays between `-cap` and `cap`.
    pub(super) fn add(&mut self, observer: usize, domain: usize, value: f64, cap: f64) {
        match self.shares.iter_mut().find(|share| share.observer == observer) {
            Some(share) => {
                share.domain = domain;
                share.value = (share.value + value).clamp(-cap, cap);
            }
            None => self.shares.push(Share { observer, domain, value: value.clamp(-cap, cap) }),
        }
        if self.total() <= 0.0 {
            self.shares.clear();
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
    }
}
