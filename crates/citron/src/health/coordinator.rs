//! Ejection and return of one service's targets, by the evidence of all proxies.

mod record;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::record::{Phase, TargetRecord};
use super::{
    Batch, DetectionParams, Evidence, Score, Target, Verdict, floor_count, score::FailureRate,
};
use crate::policy::Profile;

/// Interval at which current verdicts are sent again, for receivers that missed them.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a verdict that returned a target to use is repeated.
const RETURN_REPEAT_PERIOD: Duration = Duration::from_secs(30);
/// How long the record of a target that is no longer listed is kept, so that its epoch continues.
const UNLISTED_RETENTION: Duration = Duration::from_secs(3600);
/// How long an observer counts as active after its last batch.
const OBSERVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Decides on ejections and returns for one service.
#[derive(Debug)]
pub struct Coordinator {
    host: String,
    service: String,
    params: DetectionParams,
    floor: f64,
    observers: BTreeMap<String, ObserverState>,
    domains: Vec<String>,
    records: BTreeMap<String, TargetRecord>,
    rate: FailureRate,
    last_tick: Duration,
    last_repeat: Duration,
}

/// A proxy that reports evidence.
#[derive(Debug)]
struct ObserverState {
    index: usize,
    domain: usize,
    sequence: u64,
    last_batch: Duration,
}

impl Coordinator {
    /// Creates the coordinator of `service` on the agent of `host`; `floor` is a share from 0 to 1.
    pub fn new(host: &str, service: &str, profile: Profile, floor: f64, now: Duration) -> Self {
        Self {
            host: host.to_owned(),
            service: service.to_owned(),
            params: DetectionParams::for_profile(profile),
            floor,
            observers: BTreeMap::new(),
            domains: Vec::new(),
            records: BTreeMap::new(),
            rate: FailureRate::default(),
            last_tick: now,
            last_repeat: now,
        }
    }

    /// Sets the profile and the floor, a share from 0 to 1.
    pub fn set_policy(&mut self, profile: Profile, floor: f64) {
        self.params = DetectionParams::for_profile(profile);
        self.floor = floor;
    }

    /// Replaces the list of targets; keeps the epochs of those that are no longer listed.
    pub fn set_targets(&mut self, targets: &[Target], now: Duration) {
        for record in self.records.values_mut() {
            record.mark_unlisted();
        }
        for target in targets {
            self.records.entry(target.name.clone()).or_default().mark_listed(target.leaving, now);
        }
    }

    /// Applies a verdict of another coordinator, or of this host before it restarted.
    pub fn apply_verdict(&mut self, verdict: &Verdict, now: Duration) {
        if verdict.service == self.service {
            let record = self.records.entry(verdict.target.clone()).or_default();
            record.apply_verdict(verdict, &self.params, now);
        }
    }

    /// Adds the evidence of a proxy; drops a batch that is not newer than the proxy's last one.
    pub fn add_batch(&mut self, batch: &Batch, now: Duration) {
        let Some((observer, domain)) = self.register_observer(batch, now) else { return };
        for evidence in &batch.evidence {
            if evidence.service == self.service {
                self.add_evidence(evidence, observer, domain);
            }
        }
    }

    /// Updates scores and decides; returns the new and repeated verdicts to broadcast.
    pub fn tick(&mut self, now: Duration) -> Vec<Verdict> {
        self.update_scores(now);
        self.observers.retain(|_, observer| observer.last_batch + OBSERVER_TIMEOUT >= now);
        self.records.retain(|_, record| record.is_retained(now, UNLISTED_RETENTION));
        let mut verdicts = self.advance_ejected(now);
        verdicts.extend(self.eject(now));
        if now >= self.last_repeat + REPEAT_INTERVAL {
            self.last_repeat = now;
            verdicts.extend(self.verdicts_to_repeat(now, &verdicts));
        }
        self.assert_invariants();
        verdicts
    }

    /// Returns the names of the targets that this coordinator keeps ejected.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        let records = self.records.iter();
        records.filter(|(_, record)| record.is_ejected()).map(|(name, _)| name.as_str())
    }

    /// Returns the indices of the observer and its domain, or `None` for a batch that is not newer
    /// than the observer's last one.
    fn register_observer(&mut self, batch: &Batch, now: Duration) -> Option<(usize, usize)> {
        let domain = match self.domains.iter().position(|known| *known == batch.domain) {
            Some(index) => index,
            None => {
                self.domains.push(batch.domain.clone());
                self.domains.len() - 1
            }
        };
        if let Some(observer) = self.observers.get_mut(&batch.host) {
            if observer.sequence >= batch.sequence {
                return None;
            }
            observer.sequence = batch.sequence;
            observer.last_batch = now;
            return Some((observer.index, observer.domain));
        }
        let used: BTreeSet<usize> = self.observers.values().map(|one| one.index).collect();
        let index = (0..).find(|index| !used.contains(index)).expect("indices do not run out");
        let observer = ObserverState { index, domain, sequence: batch.sequence, last_batch: now };
        self.observers.insert(batch.host.clone(), observer);
        Some((index, domain))
    }

    fn add_evidence(&mut self, evidence: &Evidence, observer: usize, domain: usize) {
        let trust = 1.0 - evidence.local_health_penalty.clamp(0.0, 1.0);
        let Some(record) = self.records.get_mut(&evidence.target) else { return };
        self.rate.add(&evidence.counts);
        record.rate.add(&evidence.counts);
        let score = Score::from_counts(&evidence.counts, self.rate.excluding(&record.rate));
        record.add_evidence(score, trust, observer, domain);
    }

    fn update_scores(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.rate.decay(elapsed);
        for record in self.records.values_mut() {
            record.update_scores(&self.params, elapsed);
        }
    }

    /// Starts the trials of ejected targets that are due, and ends trials that passed or failed.
    fn advance_ejected(&mut self, now: Duration) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (name, record) in &mut self.records {
            if let Some(reason) = record.advance(&self.params, now) {
                verdicts.push(record.issue(name, &self.service, &self.host, reason));
            }
        }
        verdicts
    }

    /// Ejects targets whose scores call for it, unless so many are affected that a common cause is
    /// likely.
    fn eject(&mut self, now: Duration) -> Vec<Verdict> {
        let excess_scores = self.excess_scores();
        let suspects = excess_scores
            .iter()
            .filter(|(_, one)| *one >= self.params.ejection_score / 2.0)
            .count();
        let out = self.records.values().filter(|record| record.is_out()).count();
        let listed = excess_scores.len() + out;
        let common_cause =
            (suspects + out) as f64 > (self.params.common_cause_share * listed as f64).max(1.0);
        if common_cause {
            return Vec::new();
        }
        let mut budget = self.ejection_budget();
        let mut verdicts = Vec::new();
        for (name, excess) in excess_scores {
            if budget == 0 {
                break;
            }
            if let Some(reason) = self.ejection_reason(&name, excess) {
                verdicts.push(self.issue_ejection(&name, reason, now));
                budget -= 1;
            }
        }
        verdicts
    }

    /// Returns the targets in use with the excess of their score over the service's median, the
    /// worst first.
    fn excess_scores(&self) -> Vec<(String, f64)> {
        let in_use = || self.records.iter().filter(|(_, record)| record.is_in_use());
        let slow = median(in_use().map(|(_, record)| record.slow.total()).collect());
        let fail = median(in_use().map(|(_, record)| record.fail.total()).collect());
        let excess =
            |record: &TargetRecord| (record.slow.total() - slow).max(record.fail.total() - fail);
        let mut all: Vec<_> =
            in_use().map(|(name, record)| (name.clone(), excess(record))).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        all
    }

    /// Returns the reason to eject a target if its excess reaches the ejection score and, where
    /// observers in several failure domains report, more than one domain corroborates it.
    fn ejection_reason(&self, name: &str, excess: f64) -> Option<&'static str> {
        if excess < self.params.ejection_score {
            return None;
        }
        let record = &self.records[name];
        let failing = record.fail.total() >= record.slow.total();
        let (score, reason) =
            if failing { (&record.fail, "failing") } else { (&record.slow, "slow") };
        let domain_count =
            self.observers.values().map(|one| one.domain).collect::<BTreeSet<_>>().len();
        let corroborated =
            domain_count < 2 || score.without_top_domain() >= self.params.corroboration_score;
        corroborated.then_some(reason)
    }

    fn issue_ejection(&mut self, name: &str, reason: &str, now: Duration) -> Verdict {
        let used: BTreeSet<u32> =
            self.records.values().filter(|one| one.is_out()).map(|one| one.rank).collect();
        let rank = (0..).find(|rank| !used.contains(rank)).expect("ranks do not run out");
        let record = self.records.get_mut(name).expect("only known targets are ejected");
        record.eject(rank, &self.params, now);
        record.issue(name, &self.service, &self.host, reason)
    }

    /// Returns how many more targets may be taken out of use.
    fn ejection_budget(&self) -> usize {
        let listed = self.records.values().filter(|record| record.is_listed()).count();
        let in_use = self.records.values().filter(|record| record.is_in_use()).count();
        in_use.saturating_sub(floor_count(self.floor, listed))
    }

    fn verdicts_to_repeat(&self, now: Duration, fresh: &[Verdict]) -> Vec<Verdict> {
        let records = self.records.values();
        let due = records.filter(|record| record.is_repeated(now, RETURN_REPEAT_PERIOD));
        due.filter_map(|record| record.verdict.clone())
            .filter(|verdict| !fresh.contains(verdict))
            .collect()
    }

    fn assert_invariants(&self) {
        assert!(
            self.params.observer_cap < self.params.ejection_score,
            "one observer alone must not be able to eject a target"
        );
        for (name, record) in &self.records {
            if let (Phase::Ejected { .. }, Some(verdict)) = (&record.phase, &record.verdict) {
                assert!(
                    verdict.ejected,
                    "target {name} is ejected but its last verdict is not an ejection"
                );
            }
        }
    }
}

/// Returns the lower median, or 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
