//! A proxy's own judgement of its targets, by its own requests.

mod watch;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use self::watch::Watch;
use super::{AttemptEnd, Batch, Target, Ticket, Tuning};
use crate::policy::Profile;

/// How long after its last evidence a target counts as watched.
const WATCHED: Duration = Duration::from_secs(10);
/// The share of watched targets that look sick at which the observer begins to doubt itself.
const PENALTY_MIN_SHARE: f64 = 0.3;
/// The share at which its doubt is complete.
const PENALTY_FULL_SHARE: f64 = 0.6;
/// The doubt in the path to a failure domain whose targets all look sick while others do not.
const MAX_PATH_PENALTY: f64 = 0.5;

/// Judges the targets of all services at one proxy.
#[derive(Debug)]
pub struct Observer {
    host: String,
    domain: String,
    sequence: u64,
    next: u64,
    services: BTreeMap<Arc<str>, Watch>,
    penalty: f64,
}

/// How many targets were watched and how many of them look sick.
#[derive(Debug, Default, Copy, Clone)]
struct Tally {
    watched: u32,
    sick: u32,
}

impl Observer {
    /// Creates an observer for the proxy on `host` in the failure domain `domain`.
    ///
    /// Batches are counted from `first_sequence` on, which must grow from one run of the proxy to the next,
    /// such as milliseconds since the Unix epoch.
    pub fn new(host: impl Into<String>, domain: impl Into<String>, first_sequence: u64) -> Self {
        Self {
            host: host.into(),
            domain: domain.into(),
            sequence: first_sequence,
            next: 0,
            services: BTreeMap::new(),
            penalty: 0.0,
        }
    }

    /// Replaces the targets of a service; evidence about those that are no longer listed is dropped.
    pub fn set_targets(&mut self, service: &str, targets: &[Target], now: Duration) {
        self.watch(service, now).set_targets(targets, now);
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, service: &str, profile: Profile, now: Duration) {
        self.watch(service, now).tuning = Tuning::of(profile);
    }

    /// Notes that an attempt at a target began.
    pub fn attempt_started(&mut self, service: &str, target: &str, now: Duration) -> Ticket {
        let id = self.next;
        self.next += 1;
        let (service, watch) = self.entry(service, now);
        let target = watch.attempt_started(target, id, now);
        Ticket { service, target, id }
    }

    /// Notes how an attempt ended.
    pub fn attempt_ended(&mut self, ticket: Ticket, end: AttemptEnd, now: Duration) {
        let Ticket { service, target, id } = ticket;
        if let Some(watch) = self.services.get_mut(&service) {
            watch.attempt_ended(&target, id, end, now);
        }
    }

    /// Notes the result of a probe; a probe that succeeds proves nothing.
    pub fn probe_finished(&mut self, service: &str, target: &str, succeeded: bool, now: Duration) {
        if !succeeded {
            self.watch(service, now).probe_failed(target, now);
        }
    }

    /// Counts attempts that are overdue, lets old evidence fade and judges the observer itself.
    ///
    /// Call it a few times per second.
    pub fn tick(&mut self, now: Duration) {
        for watch in self.services.values_mut() {
            watch.tick(now);
        }
        self.judge_self(now);
    }

    /// Returns the evidence since the last report, or `None` without any.
    pub fn report(&mut self, now: Duration) -> Option<Batch> {
        self.tick(now);
        let penalty = self.penalty;
        let evidence: Vec<_> = self
            .services
            .iter_mut()
            .flat_map(|(service, watch)| watch.report(service, penalty))
            .collect();
        if evidence.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(Batch {
            host: self.host.clone(),
            domain: self.domain.clone(),
            sequence: self.sequence,
            evidence,
        })
    }

    /// Returns the suspicion of a target by which this proxy lowers its weight, from 0 to 1.
    pub fn suspicion(&self, service: &str, target: &str) -> f64 {
        let raw = self.services.get(service).map_or(0.0, |watch| watch.suspicion(target));
        let suspicion = raw * (1.0 - self.penalty);
        assert!((0.0..=1.0).contains(&suspicion), "a suspicion must lie between 0 and 1");
        suspicion
    }

    /// Returns how far the observer believes that it or its network is at fault, from 0 to 1.
    pub fn local_health_penalty(&self) -> f64 {
        self.penalty
    }

    fn watch(&mut self, service: &str, now: Duration) -> &mut Watch {
        self.entry(service, now).1
    }

    fn entry(&mut self, service: &str, now: Duration) -> (Arc<str>, &mut Watch) {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Watch::new(now));
        }
        let name = self.services.get_key_value(service).expect("was just inserted").0.clone();
        let watch = self.services.get_mut(service).expect("was just inserted");
        (name, watch)
    }

    fn judge_self(&mut self, now: Duration) {
        let mut domains: BTreeMap<String, Tally> = BTreeMap::new();
        for track in self.services.values().flat_map(Watch::tracks) {
            if track.touched + WATCHED >= now {
                let tally = domains.entry(track.domain.clone()).or_default();
                tally.watched += 1;
                tally.sick += u32::from(track.looks_sick);
            }
        }
        let all = domains.values().fold(Tally::default(), |sum, tally| sum.plus(*tally));
        self.penalty = all.penalty(3);
        for track in self.services.values_mut().flat_map(Watch::tracks_mut) {
            let own = domains.get(&track.domain).copied().unwrap_or_default();
            let others_well = all.minus(own).penalty(1) == 0.0;
            track.path_penalty = if others_well { MAX_PATH_PENALTY * own.penalty(2) } else { 0.0 };
        }
    }
}

impl Tally {
    fn plus(self, other: Self) -> Self {
        Self { watched: self.watched + other.watched, sick: self.sick + other.sick }
    }

    fn minus(self, other: Self) -> Self {
        Self { watched: self.watched - other.watched, sick: self.sick - other.sick }
    }

    /// Returns 0 to 1 by the share of sick targets, and 0 when fewer than `least` look sick.
    fn penalty(self, least: u32) -> f64 {
        if self.sick < least {
            return 0.0;
        }
        let share = f64::from(self.sick) / f64::from(self.watched);
        ((share - PENALTY_MIN_SHARE) / (PENALTY_FULL_SHARE - PENALTY_MIN_SHARE)).clamp(0.0, 1.0)
    }
}
