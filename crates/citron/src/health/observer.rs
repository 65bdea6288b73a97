//! Detection of unhealthy targets at one proxy, by its own requests.

mod service;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use self::service::ServiceObserver;
use super::{Batch, DetectionParams, HealthSignal, Target, Ticket};
use crate::policy::Profile;

/// How long a target counts as active after its last evidence.
const ACTIVE_WINDOW: Duration = Duration::from_secs(10);
/// Share of active targets that look unhealthy from which the local health penalty rises above 0.
const PENALTY_MIN_SHARE: f64 = 0.3;
/// Share of active targets that look unhealthy at which the penalty reaches 1.
const PENALTY_FULL_SHARE: f64 = 0.6;
/// Greatest penalty for the path to a failure domain whose targets look unhealthy while those of
/// the other domains do not.
const MAX_PATH_PENALTY: f64 = 0.5;

/// Observes the attempts at the targets of all services at one proxy.
#[derive(Debug)]
pub struct Observer {
    host: String,
    domain: String,
    sequence: u64,
    next_attempt_id: u64,
    services: BTreeMap<Arc<str>, ServiceObserver>,
    penalty: f64,
}

/// How many targets were active and how many of these look unhealthy.
#[derive(Debug, Default, Copy, Clone)]
struct TargetCounts {
    active: u32,
    unhealthy: u32,
}

impl Observer {
    /// Creates an observer for the proxy on `host` in the failure domain `domain`.
    ///
    /// The sequence numbers of batches follow `first_sequence`, which must increase from one run of
    /// the proxy to the next, such as milliseconds since the Unix epoch.
    pub fn new(host: impl Into<String>, domain: impl Into<String>, first_sequence: u64) -> Self {
        Self {
            host: host.into(),
            domain: domain.into(),
            sequence: first_sequence,
            next_attempt_id: 0,
            services: BTreeMap::new(),
            penalty: 0.0,
        }
    }

    /// Replaces the targets of a service and drops evidence about those that are no longer listed.
    pub fn set_targets(&mut self, service: &str, targets: &[Target], now: Duration) {
        self.service(service, now).set_targets(targets, now);
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, service: &str, profile: Profile, now: Duration) {
        self.service(service, now).params = DetectionParams::for_profile(profile);
    }

    /// Records the start of an attempt at a target.
    pub fn attempt_started(&mut self, service: &str, target: &str, now: Duration) -> Ticket {
        let id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let (service, observer) = self.entry(service, now);
        let target = observer.attempt_started(target, id, now);
        Ticket { service, target, id }
    }

    /// Records how an attempt ended.
    pub fn attempt_ended(&mut self, ticket: Ticket, signal: HealthSignal, now: Duration) {
        let Ticket { service, target, id } = ticket;
        if let Some(observer) = self.services.get_mut(&service) {
            observer.attempt_ended(&target, id, signal, now);
        }
    }

    /// Records the result of a probe. A success is ignored: a target with a gray failure answers
    /// probes.
    pub fn probe_finished(&mut self, service: &str, target: &str, succeeded: bool, now: Duration) {
        if !succeeded {
            self.service(service, now).probe_failed(target, now);
        }
    }

    /// Counts overdue attempts, decays old evidence and updates the local health.
    ///
    /// Call it a few times per second.
    pub fn tick(&mut self, now: Duration) {
        for observer in self.services.values_mut() {
            observer.tick(now);
        }
        self.update_local_health(now);
    }

    /// Returns the evidence since the last report, or `None` without any.
    pub fn report(&mut self, now: Duration) -> Option<Batch> {
        self.tick(now);
        let penalty = self.penalty;
        let evidence: Vec<_> = self
            .services
            .iter_mut()
            .flat_map(|(service, observer)| observer.report(service, penalty))
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

    /// Returns by how much this proxy suspects a target, from 0 to 1, after the local health
    /// penalty.
    pub fn suspicion(&self, service: &str, target: &str) -> f64 {
        let raw = self.services.get(service).map_or(0.0, |observer| observer.suspicion(target));
        let suspicion = raw * (1.0 - self.penalty);
        assert!((0.0..=1.0).contains(&suspicion), "a suspicion must lie between 0 and 1");
        suspicion
    }

    /// Returns how far the observer believes that its proxy or network is at fault, from 0 to 1.
    pub fn local_health_penalty(&self) -> f64 {
        self.penalty
    }

    fn service(&mut self, service: &str, now: Duration) -> &mut ServiceObserver {
        self.entry(service, now).1
    }

    fn entry(&mut self, service: &str, now: Duration) -> (Arc<str>, &mut ServiceObserver) {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), ServiceObserver::new(now));
        }
        let name = self.services.get_key_value(service).expect("was just inserted").0.clone();
        let observer = self.services.get_mut(service).expect("was just inserted");
        (name, observer)
    }

    fn update_local_health(&mut self, now: Duration) {
        let mut domains: BTreeMap<String, TargetCounts> = BTreeMap::new();
        for target in self.services.values().flat_map(ServiceObserver::targets) {
            if target.last_evidence + ACTIVE_WINDOW >= now {
                let counts = domains.entry(target.domain.clone()).or_default();
                counts.active += 1;
                counts.unhealthy += u32::from(target.looks_unhealthy);
            }
        }
        let all = domains.values().fold(TargetCounts::default(), |sum, counts| sum.plus(*counts));
        self.penalty = all.penalty(3);
        for target in self.services.values_mut().flat_map(ServiceObserver::targets_mut) {
            let own = domains.get(&target.domain).copied().unwrap_or_default();
            let others_healthy = all.minus(own).penalty(1) == 0.0;
            target.path_penalty =
                if others_healthy { MAX_PATH_PENALTY * own.penalty(2) } else { 0.0 };
        }
    }
}

impl TargetCounts {
    fn plus(self, other: Self) -> Self {
        Self { active: self.active + other.active, unhealthy: self.unhealthy + other.unhealthy }
    }

    fn minus(self, other: Self) -> Self {
        Self { active: self.active - other.active, unhealthy: self.unhealthy - other.unhealthy }
    }

    /// Returns a penalty from 0 to 1 by the share of unhealthy targets, 0 for fewer than
    /// `min_unhealthy`.
    fn penalty(self, min_unhealthy: u32) -> f64 {
        if self.unhealthy < min_unhealthy {
            return 0.0;
        }
        let share = f64::from(self.unhealthy) / f64::from(self.active);
        ((share - PENALTY_MIN_SHARE) / (PENALTY_FULL_SHARE - PENALTY_MIN_SHARE)).clamp(0.0, 1.0)
    }
}
