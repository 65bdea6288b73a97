//! The health of targets by this proxy's own attempts and the coordinators' verdicts.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use citron::{
    attempt::AttemptResult,
    event::Kind,
    health::{
        self, Batch, HealthSignal, HealthWeight, Observer, TargetWeights, Ticket, Verdict,
        WeightChange,
    },
};
use citron_daemon::Clock;
use parking_lot::Mutex;
use tokio::time;

use crate::{
    service::{Service, Target},
    shared::Shared,
    view::View,
};

/// How often the weights of targets are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The health of all targets as seen by this proxy.
pub struct Health {
    clock: Clock,
    observer: Mutex<Observer>,
    weights: Mutex<TargetWeights>,
    /// The services and names of the targets whose weight was below full at the last update.
    lowered: Mutex<BTreeSet<(String, String)>>,
}

/// An attempt whose result counts towards the health of its target. It counts as cancelled if it is
/// dropped before its end.
pub struct ObservedAttempt {
    shared: Arc<Shared>,
    service: String,
    ticket: Option<Ticket>,
    started: Duration,
}

impl Health {
    /// Creates the state of a proxy that knows no target yet.
    pub fn new(host: &str, domain: &str, clock: Clock) -> Self {
        Self {
            observer: Mutex::new(Observer::new(host, domain, clock.wall_ms())),
            clock,
            weights: Mutex::default(),
            lowered: Mutex::default(),
        }
    }

    /// Applies the lists of targets, and the profiles and floors of the policy.
    pub fn apply_view(&self, view: &View) {
        let now = self.clock.now();
        let mut observer = self.observer.lock();
        let mut weights = self.weights.lock();
        for (name, service) in &view.services {
            let targets: Vec<health::Target> = service
                .targets
                .iter()
                .map(|target| health::Target {
                    name: target.name.to_string(),
                    domain: target.domain.to_string(),
                    leaving: target.leaving,
                })
                .collect();
            observer.set_targets(name, &targets, now);
            weights.set_targets(name, &targets);
        }
        let services = view.policy.iter().flat_map(|policy| &policy.grants.services);
        for (name, service) in services {
            observer.set_profile(name, service.profile, now);
            weights.set_floor(name, service.floor);
        }
    }

    /// Applies a coordinator's verdict.
    pub fn apply_verdict(&self, verdict: &Verdict) {
        self.weights.lock().apply_verdict(verdict);
    }

    /// Returns the evidence since the last report, or `None` without any.
    pub fn report(&self) -> Option<Batch> {
        self.observer.lock().report(self.clock.now())
    }

    /// Returns the number of usable targets of a service and the names of the ejected ones.
    pub fn summary(&self, service: &Service) -> (usize, Vec<String>) {
        let weights = self.weights.lock();
        let weight = |target: &Target| weights.get(&service.name, &target.name);
        let active = || service.targets.iter().filter(|target| !target.leaving);
        let usable = active().filter(|target| weight(target).is_usable()).count();
        let ejected = active().filter(|target| weight(target) == HealthWeight::EJECTED);
        (usable, ejected.map(|target| target.name.to_string()).collect())
    }

    /// Updates the weights of all targets and returns the changes, each with its service.
    fn update_weights(&self, view: &View) -> Vec<(String, WeightChange)> {
        let now = self.clock.now();
        let mut observer = self.observer.lock();
        observer.tick(now);
        let mut weights = self.weights.lock();
        let mut all_changes = Vec::new();
        for name in view.services.keys() {
            let changes = weights.update(name, |target| observer.suspicion(name, target));
            all_changes.extend(changes.into_iter().map(|change| (name.clone(), change)));
        }
        all_changes
    }
}

impl ObservedAttempt {
    /// Records the start of an attempt at a target.
    pub fn start(shared: &Arc<Shared>, service: &str, target: &str) -> Self {
        let started = shared.clock.now();
        let ticket = shared.health.observer.lock().attempt_started(service, target, started);
        let service = service.to_owned();
        Self { shared: Arc::clone(shared), service, ticket: Some(ticket), started }
    }

    /// Records how the attempt ended; `failed` is true if the response was a server error.
    pub fn end(mut self, result: AttemptResult, failed: bool) {
        let timeout_threshold = self.timeout_threshold();
        let took = self.shared.clock.now().saturating_sub(self.started);
        self.record_signal(match result {
            AttemptResult::Answered if failed => HealthSignal::Error,
            AttemptResult::Answered => HealthSignal::Answered(took),
            AttemptResult::NotConnected => HealthSignal::ConnectFailed,
            AttemptResult::Shed => HealthSignal::Shed,
            AttemptResult::Foreign => HealthSignal::Foreign,
            AttemptResult::Broken | AttemptResult::Failed => HealthSignal::Error,
            // A timeout after a caller's short deadline says nothing about the target.
            AttemptResult::TimedOut if took < timeout_threshold => HealthSignal::Cancelled,
            AttemptResult::TimedOut => HealthSignal::TimedOut,
        });
    }

    /// Returns the time without a response after which a timeout counts against the target: half
    /// the longest deadline of the service.
    fn timeout_threshold(&self) -> Duration {
        let view = self.shared.view.load();
        let services = view.policy.as_ref().map(|policy| &policy.grants.services);
        let service = services.and_then(|services| services.get(&self.service));
        service.map_or(Duration::ZERO, |service| Duration::from_millis(service.deadline_ms) / 2)
    }

    fn record_signal(&mut self, signal: HealthSignal) {
        if let Some(ticket) = self.ticket.take() {
            let mut observer = self.shared.health.observer.lock();
            observer.attempt_ended(ticket, signal, self.shared.clock.now());
        }
    }
}

impl Drop for ObservedAttempt {
    fn drop(&mut self) {
        self.record_signal(HealthSignal::Cancelled);
    }
}

/// Updates the weights of targets at intervals and passes them to the dispatcher. Never returns.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = time::interval(UPDATE_INTERVAL);
    loop {
        ticks.tick().await;
        let view = shared.view.load_full();
        for (service, change) in shared.health.update_weights(&view) {
            record_change(&shared, &service, &change);
        }
        apply_weights(&shared, &view);
    }
}

/// Passes lowered weights to the dispatcher, and the full weight of targets that are no longer
/// lowered.
fn apply_weights(shared: &Shared, view: &View) {
    let weights = shared.health.weights.lock();
    let mut lowered = BTreeSet::new();
    for (name, service) in &view.services {
        for target in &service.targets {
            if weights.get(name, &target.name) != HealthWeight::FULL {
                lowered.insert((name.clone(), target.name.to_string()));
            }
        }
    }
    let mut before = shared.health.lowered.lock();
    for (service, target) in before.union(&lowered) {
        let weight = weights.get(service, target);
        shared.dispatcher.set_weight(service, target, weight.weight, weight.trial);
    }
    *before = lowered;
}

fn record_change(shared: &Shared, service: &str, change: &WeightChange) {
    let (kind, target, reason) = match change {
        WeightChange::Suspected(target) => (Kind::TargetSuspected, target, "own requests"),
        WeightChange::Ejected(target, reason) => (Kind::TargetEjected, target, reason.as_str()),
        WeightChange::HeldByFloor(target) => (Kind::FloorHeld, target, "floor"),
        WeightChange::TrialStarted(target) => (Kind::TargetReturned, target, "trial"),
        WeightChange::Returned(target) => (Kind::TargetReturned, target, "in full use"),
    };
    shared.recorder.record(kind, target, &[("service", service), ("reason", reason)]);
}
