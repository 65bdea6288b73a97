//! What one proxy knows of the targets of one service.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use smallvec::SmallVec;

use super::super::{AttemptEnd, Counts, Evidence, Reference, Score, Target, Tuning, score::Rate};
use crate::policy::Profile;

/// How long an attempt that never ends is kept in mind.
const FLIGHT_LIMIT: Duration = Duration::from_secs(3600);
/// The part of the local threshold at which a target begins to look sick.
const SUSPECT_FROM: f64 = 1.0 / 3.0;
/// Answer times of one target that are kept for one report.
const TIMES_LIMIT: usize = 64;
/// A score is kept up to this multiple of the local threshold.
const SCORE_LIMIT: f64 = 1.5;

/// The targets and attempts of one service.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) tuning: Tuning,
    reference: Reference,
    rate: Rate,
    targets: BTreeMap<Arc<str>, Track>,
    waiting: BTreeMap<u64, Flight>,
    overdue: HashMap<u64, Duration>,
    ticked: Duration,
}

/// An attempt that is not yet late.
#[derive(Debug)]
struct Flight {
    target: Arc<str>,
    began: Duration,
}

/// What is known of one target.
#[derive(Debug, Default)]
pub(super) struct Track {
    pub(super) domain: String,
    pub(super) touched: Duration,
    pub(super) looks_sick: bool,
    pub(super) path_penalty: f64,
    fresh: Counts,
    times: SmallVec<[u64; 8]>,
    score: Score,
    rate: Rate,
}

impl Watch {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            tuning: Tuning::of(Profile::Careful),
            reference: Reference::new(now),
            rate: Rate::default(),
            targets: BTreeMap::new(),
            waiting: BTreeMap::new(),
            overdue: HashMap::new(),
            ticked: now,
        }
    }

    pub(super) fn tracks(&self) -> impl Iterator<Item = &Track> {
        self.targets.values()
    }

    pub(super) fn tracks_mut(&mut self) -> impl Iterator<Item = &mut Track> {
        self.targets.values_mut()
    }

    pub(super) fn set_targets(&mut self, targets: &[Target], now: Duration) {
        self.targets.retain(|name, _| targets.iter().any(|target| *target.name == **name));
        for target in targets {
            let name = self.name(&target.name);
            self.track(&name, now).domain.clone_from(&target.domain);
        }
    }

    pub(super) fn attempt_started(&mut self, target: &str, id: u64, now: Duration) -> Arc<str> {
        let target = self.name(target);
        self.waiting.insert(id, Flight { target: target.clone(), began: now });
        target
    }

    pub(super) fn attempt_ended(
        &mut self,
        target: &Arc<str>,
        id: u64,
        end: AttemptEnd,
        now: Duration,
    ) {
        let late_since = self.overdue.remove(&id);
        let began = self.waiting.remove(&id).map(|flight| flight.began).or(late_since);
        let mut counts = Counts::default();
        counts.count(end);
        let time = match end {
            AttemptEnd::Answered(time) => Some(time),
            AttemptEnd::TimedOut => began.map(|began| now.saturating_sub(began)),
            _ => None,
        };
        if let Some(time) = time {
            if late_since.is_none() {
                self.reference.judge(time, &mut counts);
            }
            self.reference.add(time, now);
        }
        if let AttemptEnd::Answered(time) = end {
            let times = &mut self.track(target, now).times;
            if times.len() < TIMES_LIMIT {
                times.push(time.as_micros() as u64);
            }
        }
        self.note(target, counts, now);
    }

    pub(super) fn probe_failed(&mut self, target: &str, now: Duration) {
        let target = self.name(target);
        self.note(&target, Counts { failed_probes: 1, ..Counts::default() }, now);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.find_late(now);
        let elapsed = now.saturating_sub(self.ticked);
        self.ticked = now;
        self.rate.fade(elapsed);
        let limit = self.tuning.local;
        for track in self.targets.values_mut() {
            track.rate.fade(elapsed);
            track.score.fade(elapsed);
            track.looks_sick = track.score.worst() >= limit * 0.5;
        }
    }

    pub(super) fn report(&mut self, service: &str, penalty: f64) -> Vec<Evidence> {
        let tuning = self.tuning;
        self.targets
            .iter_mut()
            .filter(|(_, track)| !track.fresh.is_empty())
            .map(|(name, track)| track.report(name, service, penalty, &tuning))
            .collect()
    }

    pub(super) fn suspicion(&self, target: &str) -> f64 {
        self.targets.get(target).map_or(0.0, |track| track.suspicion(&self.tuning))
    }

    /// Counts attempts that are late while they are still in flight.
    fn find_late(&mut self, now: Duration) {
        let Some(limit) = self.reference.late_after() else { return };
        while let Some(first) = self.waiting.first_entry() {
            if first.get().began + limit >= now {
                break;
            }
            let (id, flight) = first.remove_entry();
            if now.saturating_sub(flight.began) < FLIGHT_LIMIT {
                self.overdue.insert(id, flight.began);
                self.note(&flight.target, Counts { late: 1, ..Counts::default() }, now);
            }
        }
    }

    fn note(&mut self, target: &Arc<str>, counts: Counts, now: Duration) {
        let limit = self.tuning.local * SCORE_LIMIT;
        self.rate.add(&counts);
        let service = self.rate;
        let track = self.track(target, now);
        track.touched = now;
        track.fresh += counts;
        track.rate.add(&counts);
        let base = service.without(&track.rate);
        track.score.add(Score::of(&counts, base), limit);
    }

    fn name(&self, target: &str) -> Arc<str> {
        match self.targets.get_key_value(target) {
            Some((name, _)) => name.clone(),
            None => target.into(),
        }
    }

    fn track(&mut self, target: &Arc<str>, now: Duration) -> &mut Track {
        self.targets
            .entry(target.clone())
            .or_insert_with(|| Track { touched: now, ..Track::default() })
    }
}

impl Track {
    fn suspicion(&self, tuning: &Tuning) -> f64 {
        let from = tuning.local * SUSPECT_FROM;
        ((self.score.worst() - from) / (tuning.local - from)).clamp(0.0, 1.0)
    }

    fn report(&mut self, name: &str, service: &str, penalty: f64, tuning: &Tuning) -> Evidence {
        self.times.sort_unstable();
        let at = |share: f64| {
            let last = self.times.len().saturating_sub(1);
            self.times.get((last as f64 * share).round() as usize).copied().unwrap_or(0)
        };
        let evidence = Evidence {
            target: name.to_owned(),
            service: service.to_owned(),
            counts: self.fresh,
            p50_us: at(0.5),
            p90_us: at(0.9),
            suspicion: self.suspicion(tuning),
            local_health_penalty: penalty.max(self.path_penalty),
        };
        self.fresh = Counts::default();
        self.times.clear();
        evidence
    }
}
