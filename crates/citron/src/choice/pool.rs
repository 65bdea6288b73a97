//! The targets of one service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::{Proxy, State, Target, TargetReport, estimate::LoadEstimate, share};

/// How long a new or cold target takes to reach its full weight.
const RAMP: Duration = Duration::from_secs(10);
/// The factor on the weight of a cold target at the start of its ramp.
const RAMP_FLOOR: f64 = 0.1;
/// The least time for which a target that shed a request is skipped.
const SHED_HOLD_MIN: Duration = Duration::from_millis(1);
/// The longest time for which a target that shed a request is skipped.
const SHED_HOLD_MAX: Duration = Duration::from_secs(1);
/// The response time assumed before the first response.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// The estimated utilization above which a target is assumed to have no free slot.
const SATURATED: f64 = 0.8;
/// After a shed, targets above [`SATURATED`] are not tried for the mean response time divided by
/// this.
const EXPLORE_INTERVAL_DIVISOR: u32 = 10;
/// The weight of a new sample in the exponential moving averages.
const AVERAGE_GAIN: f64 = 0.05;
/// The score penalty of a target in another failure domain, as a part of its slots, from 0 to 1.
const REMOTE_DOMAIN_PENALTY: f64 = 0.1;
/// The score bonus of a target with a free slot of the own share, as a part of its slots, from 0
/// to 1.
const SHARE_BONUS: f64 = 0.3;
/// The number of targets that responded last and are candidates again.
const MAX_RECENT: usize = 3;
/// The number of targets sampled in the own failure domain, and again among all targets.
const SAMPLES: usize = 2;
/// The number of random draws for one sample before giving up.
const DRAWS_PER_SAMPLE: usize = 3;

/// The requirements of an attempt on its target.
#[derive(Debug, Copy, Clone)]
pub struct PickArgs<'a> {
    /// The service.
    pub service: &'a str,
    /// Targets already tried.
    pub exclude: &'a [&'a str],
    /// Whether the request is idempotent; only such requests go to targets on trial.
    pub idempotent: bool,
}

/// A chosen target.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Pick {
    /// The target's name.
    pub target: Arc<str>,
    /// Where to connect, `ip:port`.
    pub address: Arc<str>,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    weight: f64,
    trial: bool,
    draining: bool,
    ramp_from: Option<Duration>,
    in_flight: u32,
    share: u32,
    estimate: LoadEstimate,
    hold_until: Duration,
    /// Until when the target wants no requests from this proxy.
    paused_until: Duration,
}

#[derive(Debug)]
pub(super) struct Pool {
    domain: Arc<str>,
    entries: Vec<Entry>,
    by_name: HashMap<Arc<str>, usize>,
    /// Targets that may be picked: not leaving, draining or ejected.
    eligible: Vec<usize>,
    /// Those of `eligible` in the own failure domain.
    local: Vec<usize>,
    /// Those of `eligible` with slots in the own share.
    in_share: Vec<usize>,
    recent: SmallVec<[usize; MAX_RECENT]>,
    proxies: u32,
    mean_other_load: f64,
    response_time: Duration,
    explore_at: Duration,
}

impl Pool {
    pub fn new(domain: Arc<str>) -> Self {
        Self {
            domain,
            entries: Vec::new(),
            by_name: HashMap::new(),
            eligible: Vec::new(),
            local: Vec::new(),
            in_share: Vec::new(),
            recent: SmallVec::new(),
            proxies: 1,
            mean_other_load: 0.0,
            response_time: INITIAL_RESPONSE_TIME,
            explore_at: Duration::ZERO,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds or updates a target. A new one ramps up from a low weight if `cold`.
    pub fn upsert(&mut self, target: Target, cold: bool, now: Duration) {
        match self.by_name.get(&target.name) {
            Some(&index) => {
                let entry = &mut self.entries[index];
                if entry.target.address != target.address {
                    entry.ramp_from = Some(now);
                    entry.draining = false;
                }
                entry.target = target;
            }
            None => {
                self.by_name.insert(Arc::clone(&target.name), self.entries.len());
                self.entries.push(Entry {
                    target,
                    weight: 1.0,
                    trial: false,
                    draining: false,
                    ramp_from: cold.then_some(now),
                    in_flight: 0,
                    share: 0,
                    estimate: LoadEstimate::unknown(now),
                    hold_until: Duration::ZERO,
                    paused_until: Duration::ZERO,
                });
            }
        }
    }

    pub fn remove(&mut self, name: &str) {
        let Some(index) = self.by_name.remove(name) else { return };
        self.entries.swap_remove(index);
        if let Some(moved) = self.entries.get(index) {
            self.by_name.insert(Arc::clone(&moved.target.name), index);
        }
        self.recent.clear();
    }

    /// Returns the failure domain of a target.
    pub fn domain(&self, name: &str) -> Option<&str> {
        self.by_name.get(name).map(|&index| &*self.entries[index].target.domain)
    }

    /// Recomputes the shares and index lists after a change of targets, weights or proxies.
    pub fn rebuild(&mut self, me: &str, proxies: &[Proxy]) {
        self.eligible =
            (0..self.entries.len()).filter(|&index| self.entries[index].is_eligible()).collect();
        let slots: Vec<(&str, &str, u32)> = self
            .eligible
            .iter()
            .map(|&index| &self.entries[index].target)
            .map(|target| (&*target.domain, &*target.name, target.slots.max(1)))
            .collect();
        let shares = share::slot_shares(me, proxies, &slots);
        for (&index, share) in self.eligible.iter().zip(shares) {
            self.entries[index].share = share;
        }
        let (entries, domain) = (&self.entries, &self.domain);
        let chosen = |keep: &dyn Fn(&Entry) -> bool| {
            self.eligible.iter().copied().filter(|&index| keep(&entries[index])).collect()
        };
        self.local = chosen(&|entry| entry.target.domain == *domain);
        self.in_share = chosen(&|entry| entry.share > 0);
        self.proxies = proxies.len().max(1) as u32;
    }

    pub fn set_weight(&mut self, name: &str, weight: f64, trial: bool) -> bool {
        assert!((0.0..=1.0).contains(&weight), "a weight must be from 0 to 1");
        let Some(entry) = self.entry(name) else { return false };
        let was_eligible = entry.is_eligible();
        (entry.weight, entry.trial) = (weight, trial);
        was_eligible != entry.is_eligible()
    }

    pub fn pick(
        &mut self,
        args: &PickArgs<'_>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<Pick> {
        let mut best: Option<(f64, usize)> = None;
        for index in self.candidates(args, now, rng) {
            let score = self.score(index, now) + rng.random::<f64>() * 1e-3;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
        }
        let (_, index) = best?;
        // Without a newer load report, another attempt so soon would most likely be shed as well.
        if now < self.explore_at && self.utilization(index, now) > SATURATED {
            return None;
        }
        let entry = &self.entries[index];
        assert!(entry.is_eligible(), "a leaving, draining or ejected target must not be picked");
        assert!(
            entry.in_flight < entry.max_in_flight(self.proxies),
            "a pick must not exceed the limit of requests in flight"
        );
        Some(Pick {
            target: Arc::clone(&entry.target.name),
            address: Arc::clone(&entry.target.address),
        })
    }

    /// Returns usable targets of the own share, those that responded recently, and random ones.
    fn candidates(
        &self,
        args: &PickArgs<'_>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> SmallVec<[usize; 16]> {
        let mut found = SmallVec::new();
        let usable = |index: usize| {
            let entry = &self.entries[index];
            entry.is_usable(args, self.proxies, now)
        };
        let first =
            if self.in_share.is_empty() { 0 } else { rng.random_range(0..self.in_share.len()) };
        let in_share = (0..self.in_share.len().min(MAX_RECENT + 1))
            .map(|step| self.in_share[(first + step) % self.in_share.len()]);
        for index in in_share.chain(self.recent.iter().copied()) {
            if usable(index) && self.passes_weight(index, now, rng) {
                found.push(index);
            }
        }
        for list in [&self.local, &self.eligible] {
            for _ in 0..SAMPLES {
                found.extend(self.sample(list, &usable, now, rng));
            }
        }
        if found.is_empty() {
            // A low weight must not make an attempt fail that no other target can take.
            found.extend(self.any_usable(&usable, rng));
        }
        found
    }

    /// Draws a usable target from a list, with a probability proportional to its weight.
    fn sample(
        &self,
        list: &[usize],
        usable: &impl Fn(usize) -> bool,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        if list.is_empty() {
            return None;
        }
        for _ in 0..DRAWS_PER_SAMPLE {
            let index = list[rng.random_range(0..list.len())];
            if usable(index) && self.passes_weight(index, now, rng) {
                return Some(index);
            }
        }
        None
    }

    /// Returns a usable target, searching from a random position and through at most 64 targets.
    fn any_usable(&self, usable: &impl Fn(usize) -> bool, rng: &mut ChaCha8Rng) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        let first = rng.random_range(0..self.eligible.len());
        (0..self.eligible.len().min(64))
            .map(|step| self.eligible[(first + step) % self.eligible.len()])
            .find(|&index| usable(index))
    }

    fn passes_weight(&self, index: usize, now: Duration, rng: &mut ChaCha8Rng) -> bool {
        let weight = self.entries[index].weight_at(now);
        weight >= 1.0 || rng.random::<f64>() < weight
    }

    /// Returns the estimated utilization with penalty and bonus applied; the lowest score wins.
    fn score(&self, index: usize, now: Duration) -> f64 {
        let entry = &self.entries[index];
        let utilization = self.utilization(index, now);
        let penalty = if entry.target.domain == self.domain { 0.0 } else { REMOTE_DOMAIN_PENALTY };
        let bonus = if entry.in_flight < entry.share { SHARE_BONUS } else { 0.0 };
        utilization + penalty - bonus
    }

    /// Estimates the part of a target's slots that is in use.
    fn utilization(&self, index: usize, now: Duration) -> f64 {
        let entry = &self.entries[index];
        let other_load = entry.estimate.other_load(self.mean_other_load, self.response_time, now);
        (f64::from(entry.in_flight) + other_load) / f64::from(entry.target.slots.max(1))
    }

    pub fn on_start(&mut self, name: &str) {
        if let Some(entry) = self.entry(name) {
            entry.in_flight += 1;
        }
    }

    pub fn on_end(&mut self, name: &str) {
        if let Some(entry) = self.entry(name) {
            // A target that was removed and listed again does not count its earlier requests.
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Applies a response; `in_flight` no longer includes its request. Returns whether the target's
    /// eligibility changed.
    pub fn on_response(
        &mut self,
        name: &str,
        report: TargetReport,
        took: Duration,
        now: Duration,
    ) -> bool {
        let Some(&index) = self.by_name.get(name) else { return false };
        self.response_time = average(self.response_time, took);
        let entry = &mut self.entries[index];
        if let Some(load) = report.load {
            entry.estimate.on_report(load, entry.in_flight, now);
            let other_load = f64::from(load.in_use.saturating_sub(entry.in_flight));
            self.mean_other_load += AVERAGE_GAIN * (other_load - self.mean_other_load);
        }
        let free = report.load.is_none_or(|load| load.in_use < load.slots);
        if free {
            entry.hold_until = Duration::ZERO;
        }
        entry.pause(report, now);
        let changed = entry.set_state(report.state, now);
        if free {
            self.mark_recent(index);
        }
        changed
    }

    /// Applies that a target shed a request because all its slots were in use. Returns whether the
    /// target's eligibility changed.
    pub fn on_shed(&mut self, name: &str, report: TargetReport, now: Duration) -> bool {
        let response_time = self.response_time;
        let Some(&index) = self.by_name.get(name) else { return false };
        self.recent.retain(|&mut recent| recent != index);
        self.explore_at = now + self.response_time / EXPLORE_INTERVAL_DIVISOR;
        let entry = &mut self.entries[index];
        let slots = entry.target.slots.max(1);
        entry.estimate.on_shed(slots, entry.in_flight, now);
        // On average, one of the slots is free again after this time.
        let hold = (response_time / (2 * slots)).clamp(SHED_HOLD_MIN, SHED_HOLD_MAX);
        entry.hold_until = now + hold;
        entry.pause(report, now);
        entry.set_state(report.state, now)
    }

    pub fn response_time(&self, idempotent: bool) -> Option<Duration> {
        let mut eligible = self.eligible.iter().map(|&index| &self.entries[index]);
        eligible.any(|entry| idempotent || !entry.trial).then_some(self.response_time)
    }

    fn mark_recent(&mut self, index: usize) {
        self.recent.retain(|&mut recent| recent != index);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.insert(0, index);
    }

    fn entry(&mut self, name: &str) -> Option<&mut Entry> {
        self.by_name.get(name).map(|&index| &mut self.entries[index])
    }
}

impl Entry {
    fn is_eligible(&self) -> bool {
        !self.target.leaving && !self.draining && self.weight > 0.0
    }

    fn is_usable(&self, args: &PickArgs<'_>, proxies: u32, now: Duration) -> bool {
        self.is_eligible()
            && now >= self.hold_until.max(self.paused_until)
            && self.in_flight < self.max_in_flight(proxies)
            && (args.idempotent || !self.trial)
            && !args.exclude.contains(&&*self.target.name)
    }

    /// Returns how many requests of this proxy the target may have in flight.
    fn max_in_flight(&self, proxies: u32) -> u32 {
        let connections = self.target.connections.max(1) / proxies.max(1);
        self.target.slots.max(1).min(connections.max(1))
    }

    fn pause(&mut self, report: TargetReport, now: Duration) {
        let until = now.saturating_add(report.pause.unwrap_or_default());
        self.paused_until = self.paused_until.max(until);
    }

    fn weight_at(&self, now: Duration) -> f64 {
        let Some(from) = self.ramp_from else { return self.weight };
        let part = now.saturating_sub(from).as_secs_f64() / RAMP.as_secs_f64();
        self.weight * part.clamp(RAMP_FLOOR, 1.0)
    }

    /// Returns whether the target's eligibility changed.
    fn set_state(&mut self, state: State, now: Duration) -> bool {
        let was_eligible = self.is_eligible();
        self.draining = state == State::Draining;
        match state {
            State::Cold => self.ramp_from = Some(now),
            State::Ready | State::Draining => {}
        }
        was_eligible != self.is_eligible()
    }
}

fn average(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - AVERAGE_GAIN) + sample.mul_f64(AVERAGE_GAIN)
}
