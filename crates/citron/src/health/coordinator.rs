//! Ejection and return of the targets of one service, by the evidence of all its proxies.

mod record;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::record::{Phase, Record};
use super::{Batch, Evidence, Score, Target, Tuning, Verdict, floor_count, score::Rate};
use crate::policy::Profile;

/// How often verdicts in force are issued again, for those who missed them.
const REPEAT: Duration = Duration::from_secs(2);
/// How long a verdict that returned a target is repeated.
const REPEAT_RETURN: Duration = Duration::from_secs(30);
/// How long the epoch of a target that is no longer listed is kept.
const UNLISTED_LIMIT: Duration = Duration::from_secs(3600);
/// How long an observer counts after its last batch.
const OBSERVER_LIMIT: Duration = Duration::from_secs(30);

/// Orders ejections and returns for one service.
#[derive(Debug)]
pub struct Coordinator {
    host: String,
    service: String,
    tuning: Tuning,
    share: f64,
    observers: BTreeMap<String, Witness>,
    domains: Vec<String>,
    records: BTreeMap<String, Record>,
    rate: Rate,
    ticked: Duration,
    repeated: Duration,
}

/// A proxy that reports.
#[derive(Debug)]
struct Witness {
    index: usize,
    domain: usize,
    sequence: u64,
    heard: Duration,
}

impl Coordinator {
    /// Creates the coordinator of `service` on the agent of `host`; `floor` is from 0 to 1.
    pub fn new(host: &str, service: &str, profile: Profile, floor: f64, now: Duration) -> Self {
        Self {
            host: host.to_owned(),
            service: service.to_owned(),
            tuning: Tuning::of(profile),
            share: floor,
            observers: BTreeMap::new(),
            domains: Vec::new(),
            records: BTreeMap::new(),
            rate: Rate::default(),
            ticked: now,
            repeated: now,
        }
    }

    /// Sets the profile and the floor, from 0 to 1.
    pub fn set_policy(&mut self, profile: Profile, floor: f64) {
        self.tuning = Tuning::of(profile);
        self.share = floor;
    }

    /// Replaces the list of targets; the epochs of those no longer listed are kept.
    pub fn set_targets(&mut self, targets: &[Target], now: Duration) {
        for record in self.records.values_mut() {
            record.mark_unlisted();
        }
        for target in targets {
            self.records.entry(target.name.clone()).or_default().mark_listed(target.leaving, now);
        }
    }

    /// Takes in a verdict of another coordinator, or of this host before it restarted.
    pub fn apply_verdict(&mut self, verdict: &Verdict, now: Duration) {
        if verdict.service == self.service {
            let record = self.records.entry(verdict.target.clone()).or_default();
            record.apply_verdict(verdict, &self.tuning, now);
        }
    }

    /// Takes in the evidence of a proxy; a batch that is not newer than the last one is dropped.
    pub fn add_batch(&mut self, batch: &Batch, now: Duration) {
        let Some((observer, domain)) = self.witness(batch, now) else { return };
        for evidence in &batch.evidence {
            if evidence.service == self.service {
                self.add_evidence(evidence, observer, domain);
            }
        }
    }

    /// Decides; returns the verdicts to spread, new and repeated ones.
    pub fn tick(&mut self, now: Duration) -> Vec<Verdict> {
        self.settle(now);
        self.observers.retain(|_, witness| witness.heard + OBSERVER_LIMIT >= now);
        self.records.retain(|_, record| record.is_kept(now, UNLISTED_LIMIT));
        let mut verdicts = self.advance_ejected(now);
        verdicts.extend(self.eject(now));
        if now >= self.repeated + REPEAT {
            self.repeated = now;
            verdicts.extend(self.repeat(now, &verdicts));
        }
        self.check();
        verdicts
    }

    /// Returns the names of the targets that this coordinator keeps ejected.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        let records = self.records.iter();
        records.filter(|(_, record)| record.is_ejected()).map(|(name, _)| name.as_str())
    }

    fn witness(&mut self, batch: &Batch, now: Duration) -> Option<(usize, usize)> {
        let domain = match self.domains.iter().position(|known| *known == batch.domain) {
            Some(index) => index,
            None => {
                self.domains.push(batch.domain.clone());
                self.domains.len() - 1
            }
        };
        if let Some(witness) = self.observers.get_mut(&batch.host) {
            if witness.sequence >= batch.sequence {
                return None;
            }
            witness.sequence = batch.sequence;
            witness.heard = now;
            return Some((witness.index, witness.domain));
        }
        let taken: BTreeSet<usize> = self.observers.values().map(|one| one.index).collect();
        let index = (0..).find(|index| !taken.contains(index)).expect("indices do not run out");
        let witness = Witness { index, domain, sequence: batch.sequence, heard: now };
        self.observers.insert(batch.host.clone(), witness);
        Some((index, domain))
    }

    fn add_evidence(&mut self, evidence: &Evidence, observer: usize, domain: usize) {
        let trust = 1.0 - evidence.local_health_penalty.clamp(0.0, 1.0);
        let Some(record) = self.records.get_mut(&evidence.target) else { return };
        self.rate.add(&evidence.counts);
        record.rate.add(&evidence.counts);
        let score = Score::of(&evidence.counts, self.rate.without(&record.rate));
        record.add_evidence(score, trust, observer, domain);
    }

    fn settle(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.ticked);
        self.ticked = now;
        self.rate.fade(elapsed);
        for record in self.records.values_mut() {
            record.settle(&self.tuning, elapsed);
        }
    }

    /// Moves ejected targets to a trial and tried ones back into use or out of it.
    fn advance_ejected(&mut self, now: Duration) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (name, record) in &mut self.records {
            if let Some(reason) = record.advance(&self.tuning, now) {
                verdicts.push(record.issue(name, &self.service, &self.host, reason));
            }
        }
        verdicts
    }

    fn eject(&mut self, now: Duration) -> Vec<Verdict> {
        let excesses = self.excesses();
        let suspects = excesses.iter().filter(|(_, one)| *one >= self.tuning.eject / 2.0).count();
        let out = self.records.values().filter(|record| record.is_out()).count();
        let listed = excesses.len() + out;
        let doubtful = (suspects + out) as f64 > (self.tuning.doubt_share * listed as f64).max(1.0);
        if doubtful {
            return Vec::new();
        }
        let mut room = self.room();
        let mut verdicts = Vec::new();
        for (name, excess) in excesses {
            if room == 0 {
                break;
            }
            if let Some(reason) = self.convict(&name, excess) {
                verdicts.push(self.issue_ejection(&name, reason, now));
                room -= 1;
            }
        }
        verdicts
    }

    /// Returns the targets in use with their score above the service's median, the worst first.
    fn excesses(&self) -> Vec<(String, f64)> {
        let in_use = || self.records.iter().filter(|(_, record)| record.is_in_use());
        let slow = median(in_use().map(|(_, record)| record.slow.total()).collect());
        let fail = median(in_use().map(|(_, record)| record.fail.total()).collect());
        let excess = |record: &Record| (record.slow.total() - slow).max(record.fail.total() - fail);
        let mut all: Vec<_> =
            in_use().map(|(name, record)| (name.clone(), excess(record))).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        all
    }

    /// Returns why a target is to be ejected, if its excess is corroborated.
    fn convict(&self, name: &str, excess: f64) -> Option<&'static str> {
        if excess < self.tuning.eject {
            return None;
        }
        let record = &self.records[name];
        let failing = record.fail.total() >= record.slow.total();
        let (pool, reason) =
            if failing { (&record.fail, "failing") } else { (&record.slow, "slow") };
        let several = self.observers.values().map(|one| one.domain).collect::<BTreeSet<_>>().len();
        let corroborated = several < 2 || pool.without_domain() >= self.tuning.abroad;
        corroborated.then_some(reason)
    }

    fn issue_ejection(&mut self, name: &str, reason: &str, now: Duration) -> Verdict {
        let taken: BTreeSet<u32> =
            self.records.values().filter(|one| one.is_out()).map(|one| one.rank).collect();
        let rank = (0..).find(|rank| !taken.contains(rank)).expect("ranks do not run out");
        let record = self.records.get_mut(name).expect("only known targets are ejected");
        record.eject(rank, &self.tuning, now);
        record.issue(name, &self.service, &self.host, reason)
    }

    /// Returns how many more targets may be taken out of use.
    fn room(&self) -> usize {
        let listed = self.records.values().filter(|record| record.is_listed()).count();
        let in_use = self.records.values().filter(|record| record.is_in_use()).count();
        in_use.saturating_sub(floor_count(self.share, listed))
    }

    fn repeat(&self, now: Duration, fresh: &[Verdict]) -> Vec<Verdict> {
        let records = self.records.values();
        let due = records.filter(|record| record.repeats(now, REPEAT_RETURN));
        due.filter_map(|record| record.verdict.clone())
            .filter(|verdict| !fresh.contains(verdict))
            .collect()
    }

    fn check(&self) {
        assert!(
            self.tuning.observer_cap < self.tuning.eject,
            "one observer alone must not be able to eject a target"
        );
        for (name, record) in &self.records {
            if let (Phase::Ejected { .. }, Some(verdict)) = (&record.phase, &record.verdict) {
                assert!(verdict.ejected, "{name} is ejected but its verdict says otherwise");
            }
        }
    }
}

/// Returns the lower median, or 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
