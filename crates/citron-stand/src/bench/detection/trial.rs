//! Single runs and their sums over seeds.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use parking_lot::Mutex;

use super::{
    detector::Method,
    setup::{Fault, Network, PROXIES, Setup, TARGETS},
    world::World,
};

/// When the fault begins.
const FAULT_AT: Duration = Duration::from_secs(40);
/// How long a fault waits until no proxy avoids the target by mistake.
const CLEAR: Duration = Duration::from_secs(60);
/// How long a fault is watched.
const WATCHED: Duration = Duration::from_secs(60);
/// How long a quiet run lasts.
const QUIET: Duration = Duration::from_secs(600);
/// The threads that run seeds side by side.
const THREADS: usize = 4;

/// Runs one fault; returns the time until every proxy avoided the target once.
pub fn detect(setup: &Setup, fault: Fault, method: Method, seed: u64) -> Option<Duration> {
    let mut world = World::open(setup, Network::Good, method, seed);
    // Spreads the fault over targets and over the phase of what happens at intervals.
    let target = seed as usize % TARGETS;
    let earliest = FAULT_AT + Duration::from_millis(seed * 1_733 % 10_000);
    let is_avoided = |world: &World| (0..PROXIES).any(|proxy| world.is_avoided(proxy, target));
    // A target that is avoided by mistake when its fault begins would count as found at once. Where
    // some proxy always avoids it, as the outlier baseline does, the fault begins all the same.
    while world.now < earliest || (world.now < earliest + CLEAR && is_avoided(&world)) {
        world.advance();
    }
    let since = world.now;
    world.break_target(target, fault, since);
    let mut found = [false; PROXIES];
    while world.now < since + WATCHED {
        world.advance();
        for (proxy, found) in found.iter_mut().enumerate() {
            *found |= world.is_avoided(proxy, target);
        }
        if found.iter().all(|found| *found) {
            return Some(world.now - since);
        }
    }
    None
}

/// Runs without a fault and counts how often proxies began to avoid targets.
pub fn quiet(setup: &Setup, network: Network, method: Method, seed: u64) -> Quiet {
    let mut world = World::open(setup, network, method, seed);
    while world.now < QUIET {
        world.advance();
    }
    let target_hours = TARGETS as f64 * QUIET.as_secs_f64() / 3600.0;
    let share = |proxies: &[[u32; TARGETS]]| {
        let count: u32 = proxies.iter().flatten().sum();
        f64::from(count) / PROXIES as f64 / target_hours
    };
    let (observer, others) = world.avoided().split_at(1);
    Quiet { all: share(world.avoided()), observer: share(observer), others: share(others) }
}

/// Detection times over seeds.
#[derive(Debug)]
pub struct Detection {
    /// The median, seconds.
    pub p50_s: f64,
    /// The 99th percentile, seconds; a missed fault counts as the time it was watched.
    pub p99_s: f64,
    /// Faults that some proxy did not find.
    pub missed: usize,
}

impl Detection {
    /// Sums up the times of all seeds.
    pub fn of(times: Vec<Option<Duration>>) -> Self {
        let missed = times.iter().filter(|time| time.is_none()).count();
        let mut times: Vec<Duration> =
            times.into_iter().map(|time| time.unwrap_or(WATCHED)).collect();
        times.sort();
        let at = |share: f64| {
            let index = (share * times.len() as f64).ceil() as usize;
            times[index.clamp(1, times.len()) - 1].as_secs_f64()
        };
        Self { p50_s: at(0.5), p99_s: at(0.99), missed }
    }
}

/// False ejections per target-hour.
#[derive(Debug, Default, Copy, Clone)]
pub struct Quiet {
    /// At all proxies.
    pub all: f64,
    /// At proxy 0, whose network may be bad.
    pub observer: f64,
    /// At the other proxies.
    pub others: f64,
}

impl Quiet {
    /// Returns the mean over runs of equal length.
    pub fn sum(runs: &[Self]) -> Self {
        let mean = |part: fn(&Self) -> f64| runs.iter().map(part).sum::<f64>() / runs.len() as f64;
        Self {
            all: mean(|run| run.all),
            observer: mean(|run| run.observer),
            others: mean(|run| run.others),
        }
    }
}

/// Runs `trial` for seeds 0 to `seeds` on a few threads; results are in the order of seeds.
pub fn over_seeds<T: Send>(seeds: u64, trial: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        break;
                    }
                    let result = trial(seed);
                    results.lock().push((seed, result));
                }
            });
        }
    });
    let mut results = results.into_inner();
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
