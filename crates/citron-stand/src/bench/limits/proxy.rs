//! One proxy under each of the compared methods.

use std::{sync::Arc, time::Duration};

use citron::{
    limit::{HANDOVER, LoanMessage, Outgoing, OwnerLookup, RateLimiter, Verdict},
    policy::Allowance,
};
use strum::Display;

/// How allowances are kept.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Method {
    /// Every proxy admits the whole rate.
    Full,
    /// Every proxy admits an equal, fixed part.
    Fixed,
    /// Shares and loans, `citron::limit`.
    Loans,
}

/// The limiter of one proxy for one customer.
#[derive(Debug)]
pub struct Proxy {
    pub host: Arc<str>,
    gate: Option<RateLimiter>,
    bucket: Bucket,
    allowance: Allowance,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl Proxy {
    pub fn open(
        host: &Arc<str>,
        method: Method,
        allowance: Allowance,
        hosts: usize,
        first_id: u64,
        now: Duration,
    ) -> Self {
        let part = if method == Method::Full { 1.0 } else { 1.0 / hosts as f64 };
        let (rate, burst) = (allowance.rate * part, (allowance.burst * part).max(1.0));
        Self {
            host: Arc::clone(host),
            gate: (method == Method::Loans)
                .then(|| RateLimiter::new(host, first_id, HANDOVER, now)),
            bucket: Bucket { rate, burst, level: 0.0, at: now },
            allowance,
        }
    }

    pub fn set_homes(&mut self, finder: OwnerLookup, now: Duration) {
        if let Some(gate) = &mut self.gate {
            gate.set_owner_lookup(finder, now);
        }
    }

    pub fn admit(&mut self, now: Duration) -> Verdict {
        match &mut self.gate {
            Some(gate) => gate.admit("roaster", "lot-desk", &self.allowance, now),
            None if self.bucket.take(now) => Verdict::Admitted,
            None => Verdict::Refused { after: None },
        }
    }

    pub fn receive(&mut self, from: &str, message: &LoanMessage, now: Duration) {
        if let Some(gate) = &mut self.gate {
            gate.receive(from, message, Some(&self.allowance), now);
        }
    }

    pub fn tick(&mut self, now: Duration) {
        if let Some(gate) = &mut self.gate {
            gate.tick(now);
        }
    }

    pub fn drain(&mut self) -> Vec<Outgoing> {
        self.gate.as_mut().map(RateLimiter::drain).unwrap_or_default()
    }
}

impl Bucket {
    fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.at = now;
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}
