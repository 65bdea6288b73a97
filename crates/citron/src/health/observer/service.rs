//! Observation of one service's targets at one proxy.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use smallvec::SmallVec;

use super::super::{
    Counts, DetectionParams, Evidence, HealthSignal, LatencyDistribution, Score, Target,
    score::FailureRate,
};
use crate::policy::Profile;

/// Age above which an attempt that has not ended is dropped instead of counted as late.
const MAX_ATTEMPT_AGE: Duration = Duration::from_secs(3600);
/// Fraction of the suspicion score from which a target is suspected at all.
const MIN_SUSPICION_FRACTION: f64 = 1.0 / 3.0;
/// Number of latencies of one target that are kept for one report.
const MAX_LATENCIES: usize = 64;
/// Scores are capped at this multiple of the suspicion score.
const SCORE_CAP_FACTOR: f64 = 1.5;

/// The targets and attempts of one service.
#[derive(Debug)]
pub(super) struct ServiceObserver {
    pub(super) params: DetectionParams,
    latencies: LatencyDistribution,
    rate: FailureRate,
    targets: BTreeMap<Arc<str>, TargetRecord>,
    on_time: BTreeMap<u64, Attempt>,
    overdue: HashMap<u64, Duration>,
    last_tick: Duration,
}

/// An attempt in flight that is not yet late.
#[derive(Debug)]
struct Attempt {
    target: Arc<str>,
    started: Duration,
}

/// The evidence about one target.
#[derive(Debug, Default)]
pub(super) struct TargetRecord {
    pub(super) domain: String,
    pub(super) last_evidence: Duration,
    pub(super) looks_unhealthy: bool,
    pub(super) path_penalty: f64,
    unreported: Counts,
    latencies_us: SmallVec<[u64; 8]>,
    score: Score,
    rate: FailureRate,
}

impl ServiceObserver {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            params: DetectionParams::for_profile(Profile::Careful),
            latencies: LatencyDistribution::new(now),
            rate: FailureRate::default(),
            targets: BTreeMap::new(),
            on_time: BTreeMap::new(),
            overdue: HashMap::new(),
            last_tick: now,
        }
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    pub(super) fn targets_mut(&mut self) -> impl Iterator<Item = &mut TargetRecord> {
        self.targets.values_mut()
    }

    pub(super) fn set_targets(&mut self, targets: &[Target], now: Duration) {
        self.targets.retain(|name, _| targets.iter().any(|target| *target.name == **name));
        for target in targets {
            let name = self.intern_name(&target.name);
            self.target(&name, now).domain.clone_from(&target.domain);
        }
    }

    pub(super) fn attempt_started(&mut self, target: &str, id: u64, now: Duration) -> Arc<str> {
        let target = self.intern_name(target);
        self.on_time.insert(id, Attempt { target: target.clone(), started: now });
        target
    }

    pub(super) fn attempt_ended(
        &mut self,
        target: &Arc<str>,
        id: u64,
        signal: HealthSignal,
        now: Duration,
    ) {
        let overdue_start = self.overdue.remove(&id);
        let started = self.on_time.remove(&id).map(|attempt| attempt.started).or(overdue_start);
        let mut counts = Counts::default();
        counts.count(signal);
        let time = match signal {
            HealthSignal::Answered(time) => Some(time),
            HealthSignal::TimedOut => started.map(|started| now.saturating_sub(started)),
            _ => None,
        };
        if let Some(time) = time {
            if overdue_start.is_none() {
                self.latencies.classify(time, &mut counts);
            }
            self.latencies.record(time, now);
        }
        if let HealthSignal::Answered(time) = signal {
            let latencies_us = &mut self.target(target, now).latencies_us;
            if latencies_us.len() < MAX_LATENCIES {
                latencies_us.push(time.as_micros() as u64);
            }
        }
        self.record(target, counts, now);
    }

    pub(super) fn probe_failed(&mut self, target: &str, now: Duration) {
        let target = self.intern_name(target);
        self.record(&target, Counts { failed_probes: 1, ..Counts::default() }, now);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.count_late(now);
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.rate.decay(elapsed);
        let threshold = self.params.suspicion_score;
        for record in self.targets.values_mut() {
            record.rate.decay(elapsed);
            record.score.decay(elapsed);
            record.looks_unhealthy = record.score.worst() >= threshold * 0.5;
        }
    }

    pub(super) fn report(&mut self, service: &str, penalty: f64) -> Vec<Evidence> {
        let params = self.params;
        self.targets
            .iter_mut()
            .filter(|(_, record)| !record.unreported.is_empty())
            .map(|(name, record)| record.report(name, service, penalty, &params))
            .collect()
    }

    pub(super) fn suspicion(&self, target: &str) -> f64 {
        self.targets.get(target).map_or(0.0, |record| record.suspicion(&self.params))
    }

    /// Counts attempts as late that exceed the threshold while they are still in flight.
    fn count_late(&mut self, now: Duration) {
        let Some(threshold) = self.latencies.late_threshold() else { return };
        while let Some(first) = self.on_time.first_entry() {
            if first.get().started + threshold >= now {
                break;
            }
            let (id, attempt) = first.remove_entry();
            if now.saturating_sub(attempt.started) < MAX_ATTEMPT_AGE {
                self.overdue.insert(id, attempt.started);
                self.record(&attempt.target, Counts { late: 1, ..Counts::default() }, now);
            }
        }
    }

    fn record(&mut self, target: &Arc<str>, counts: Counts, now: Duration) {
        let cap = self.params.suspicion_score * SCORE_CAP_FACTOR;
        self.rate.add(&counts);
        let service_rate = self.rate;
        let record = self.target(target, now);
        record.last_evidence = now;
        record.unreported += counts;
        record.rate.add(&counts);
        let peer_rate = service_rate.excluding(&record.rate);
        record.score.add(Score::from_counts(&counts, peer_rate), cap);
    }

    fn intern_name(&self, target: &str) -> Arc<str> {
        match self.targets.get_key_value(target) {
            Some((name, _)) => name.clone(),
            None => target.into(),
        }
    }

    fn target(&mut self, target: &Arc<str>, now: Duration) -> &mut TargetRecord {
        self.targets
            .entry(target.clone())
            .or_insert_with(|| TargetRecord { last_evidence: now, ..TargetRecord::default() })
    }
}

impl TargetRecord {
    fn suspicion(&self, params: &DetectionParams) -> f64 {
        let min_score = params.suspicion_score * MIN_SUSPICION_FRACTION;
        ((self.score.worst() - min_score) / (params.suspicion_score - min_score)).clamp(0.0, 1.0)
    }

    fn report(
        &mut self,
        name: &str,
        service: &str,
        penalty: f64,
        params: &DetectionParams,
    ) -> Evidence {
        self.latencies_us.sort_unstable();
        let quantile = |share: f64| {
            let last = self.latencies_us.len().saturating_sub(1);
            self.latencies_us.get((last as f64 * share).round() as usize).copied().unwrap_or(0)
        };
        let evidence = Evidence {
            target: name.to_owned(),
            service: service.to_owned(),
            counts: self.unreported,
            p50_us: quantile(0.5),
            p90_us: quantile(0.9),
            suspicion: self.suspicion(params),
            local_health_penalty: penalty.max(self.path_penalty),
        };
        self.unreported = Counts::default();
        self.latencies_us.clear();
        evidence
    }
}
