//! The baselines: each proxy judges by itself.

use std::time::Duration;

use citron::health::{HealthSignal, floor_count};

use super::setup::{PROXIES, Setup, TARGETS};

/// Consecutive failures that eject a target.
const CONSECUTIVE: u32 = 5;
/// How long a first ejection lasts; the n-th lasts n times as long.
const EJECTION: Duration = Duration::from_secs(30);
/// An answer that takes longer than this many medians counts as a failure.
const SLOW_FACTOR: u32 = 5;
/// How often success rates are compared.
const INTERVAL: Duration = Duration::from_secs(10);
/// Attempts per interval below which a target's rate is not judged.
const ATTEMPTS: u32 = 5;
/// Targets with enough attempts below which no rate is judged.
const JUDGED: usize = 5;
/// Standard deviations below the mean that eject a target.
const DEVIATIONS: f64 = 1.9;

/// Whether an end counts as a failure: `None` if it says nothing about health.
fn failed(end: HealthSignal, slow: Duration) -> Option<bool> {
    match end {
        HealthSignal::Answered(time) => Some(time > slow),
        HealthSignal::Error
        | HealthSignal::TimedOut
        | HealthSignal::Foreign
        | HealthSignal::ConnectFailed => Some(true),
        HealthSignal::Shed | HealthSignal::Cancelled => None,
    }
}

/// Ejections of every target at every proxy.
#[derive(Debug)]
struct Ejections {
    least: usize,
    until: [[Duration; TARGETS]; PROXIES],
    times: [[u32; TARGETS]; PROXIES],
}

impl Ejections {
    fn open(setup: &Setup) -> Self {
        Self {
            least: floor_count(setup.floor, TARGETS),
            until: [[Duration::ZERO; TARGETS]; PROXIES],
            times: [[0; TARGETS]; PROXIES],
        }
    }

    fn is_out(&self, proxy: usize, target: usize, now: Duration) -> bool {
        now < self.until[proxy][target]
    }

    fn eject(&mut self, proxy: usize, target: usize, now: Duration) {
        let out = (0..TARGETS).filter(|other| self.is_out(proxy, *other, now)).count();
        if self.is_out(proxy, target, now) || TARGETS - out <= self.least {
            return;
        }
        self.times[proxy][target] += 1;
        self.until[proxy][target] = now + EJECTION * self.times[proxy][target];
    }

    fn weight(&self, proxy: usize, target: usize, now: Duration) -> f64 {
        if self.is_out(proxy, target, now) { 0.0 } else { 1.0 }
    }
}

/// Ejects a target after failures in a row.
#[derive(Debug)]
pub struct Consecutive {
    slow: Duration,
    rows: [[u32; TARGETS]; PROXIES],
    ejections: Ejections,
}

impl Consecutive {
    /// Starts without any failures.
    pub fn open(setup: &Setup) -> Self {
        Self {
            slow: setup.median * SLOW_FACTOR,
            rows: [[0; TARGETS]; PROXIES],
            ejections: Ejections::open(setup),
        }
    }

    /// Notes how an attempt ended.
    pub fn ended(&mut self, proxy: usize, target: usize, end: HealthSignal, now: Duration) {
        let row = &mut self.rows[proxy][target];
        match failed(end, self.slow) {
            Some(true) => *row += 1,
            Some(false) => *row = 0,
            None => {}
        }
        if *row >= CONSECUTIVE {
            *row = 0;
            self.ejections.eject(proxy, target, now);
        }
    }

    /// Returns 0 for an ejected target, otherwise 1.
    pub fn weight(&self, proxy: usize, target: usize, now: Duration) -> f64 {
        self.ejections.weight(proxy, target, now)
    }
}

/// Ejects targets whose success rate lies far below the mean of all targets.
#[derive(Debug)]
pub struct Outlier {
    slow: Duration,
    counts: [[(u32, u32); TARGETS]; PROXIES],
    judged: Duration,
    ejections: Ejections,
}

impl Outlier {
    /// Starts without any attempts.
    pub fn open(setup: &Setup) -> Self {
        Self {
            slow: setup.median * SLOW_FACTOR,
            counts: [[(0, 0); TARGETS]; PROXIES],
            judged: Duration::ZERO,
            ejections: Ejections::open(setup),
        }
    }

    /// Notes how an attempt ended.
    pub fn ended(&mut self, proxy: usize, target: usize, end: HealthSignal) {
        if let Some(failed) = failed(end, self.slow) {
            let (attempts, good) = &mut self.counts[proxy][target];
            *attempts += 1;
            *good += u32::from(!failed);
        }
    }

    /// Compares the rates at the end of an interval.
    pub fn tick(&mut self, now: Duration) {
        if now < self.judged + INTERVAL {
            return;
        }
        self.judged = now;
        for proxy in 0..PROXIES {
            let counts = std::mem::take(&mut self.counts[proxy]);
            for target in outliers(&counts) {
                self.ejections.eject(proxy, target, now);
            }
        }
    }

    /// Returns 0 for an ejected target, otherwise 1.
    pub fn weight(&self, proxy: usize, target: usize, now: Duration) -> f64 {
        self.ejections.weight(proxy, target, now)
    }
}

fn outliers(counts: &[(u32, u32); TARGETS]) -> Vec<usize> {
    let rates: Vec<(usize, f64)> = counts
        .iter()
        .enumerate()
        .filter(|(_, (attempts, _))| *attempts >= ATTEMPTS)
        .map(|(target, (attempts, good))| (target, f64::from(*good) / f64::from(*attempts)))
        .collect();
    if rates.len() < JUDGED {
        return Vec::new();
    }
    let size = rates.len() as f64;
    let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / size;
    let variance = rates.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / size;
    let least = mean - DEVIATIONS * variance.sqrt();
    rates.into_iter().filter(|(_, rate)| *rate < least).map(|(target, _)| target).collect()
}
