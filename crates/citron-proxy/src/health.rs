//! What this proxy thinks of its targets, and what it obeys of the stewards' verdicts.

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

/// How often standings are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// The health of all targets as this proxy judges it.
pub struct Health {
    clock: Clock,
    observer: Mutex<Observer>,
    floor: Mutex<TargetWeights>,
    /// Targets whose weight was lowered by the last settling, by service.
    lowered: Mutex<BTreeSet<(String, String)>>,
}

/// An attempt that is watched; one that is dropped before it ended counts as cancelled.
pub struct Watched {
    shared: Arc<Shared>,
    service: String,
    ticket: Option<Ticket>,
    began: Duration,
}

impl Health {
    /// Creates the state of a proxy that knows no target yet.
    pub fn new(host: &str, domain: &str, clock: Clock) -> Self {
        Self {
            observer: Mutex::new(Observer::new(host, domain, clock.wall_ms())),
            clock,
            floor: Mutex::default(),
            lowered: Mutex::default(),
        }
    }

    /// Takes in the lists of targets and the policy's profiles and floors.
    pub fn follow(&self, view: &View) {
        let now = self.clock.now();
        let mut observer = self.observer.lock();
        let mut floor = self.floor.lock();
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
            floor.set_targets(name, &targets);
        }
        let services = view.policy.iter().flat_map(|policy| &policy.grants.services);
        for (name, service) in services {
            observer.set_profile(name, service.profile, now);
            floor.set_floor(name, service.floor);
        }
    }

    /// Takes in a steward's verdict.
    pub fn take(&self, verdict: &Verdict) {
        self.floor.lock().apply_verdict(verdict);
    }

    /// Returns the evidence since the last report, or `None` without any.
    pub fn report(&self) -> Option<Batch> {
        self.observer.lock().report(self.clock.now())
    }

    /// Returns the number of usable targets of a service and the names of the ejected ones.
    pub fn summary(&self, service: &Service) -> (usize, Vec<String>) {
        let floor = self.floor.lock();
        let standing = |target: &Target| floor.get(&service.name, &target.name);
        let staying = || service.targets.iter().filter(|target| !target.leaving);
        let usable = staying().filter(|target| standing(target).is_usable()).count();
        let out = staying().filter(|target| standing(target) == HealthWeight::EJECTED);
        (usable, out.map(|target| target.name.to_string()).collect())
    }

    /// Settles the standings of all targets; returns the changes by service.
    fn settle(&self, view: &View) -> Vec<(String, WeightChange)> {
        let now = self.clock.now();
        let mut observer = self.observer.lock();
        observer.tick(now);
        let mut floor = self.floor.lock();
        let mut all = Vec::new();
        for name in view.services.keys() {
            let changes = floor.update(name, |target| observer.suspicion(name, target));
            all.extend(changes.into_iter().map(|change| (name.clone(), change)));
        }
        all
    }
}

impl Watched {
    /// Begins to watch an attempt at a target.
    pub fn begin(shared: &Arc<Shared>, service: &str, target: &str) -> Self {
        let began = shared.clock.now();
        let ticket = shared.health.observer.lock().attempt_started(service, target, began);
        let service = service.to_owned();
        Self { shared: Arc::clone(shared), service, ticket: Some(ticket), began }
    }

    /// Notes how the attempt ended; `failed` tells that the target answered with a failure of its own.
    pub fn end(mut self, ending: AttemptResult, failed: bool) {
        let patience = self.patience();
        let took = self.shared.clock.now().saturating_sub(self.began);
        self.close(match ending {
            AttemptResult::Answered if failed => HealthSignal::Error,
            AttemptResult::Answered => HealthSignal::Answered(took),
            AttemptResult::NotConnected => HealthSignal::ConnectFailed,
            AttemptResult::Shed => HealthSignal::Shed,
            AttemptResult::Foreign => HealthSignal::Foreign,
            AttemptResult::Broken | AttemptResult::Failed => HealthSignal::Error,
            // A caller that waits for a short time only proves nothing about the target.
            AttemptResult::TimedOut if took < patience => HealthSignal::Cancelled,
            AttemptResult::TimedOut => HealthSignal::TimedOut,
        });
    }

    /// Returns the time without an answer that counts against a target.
    fn patience(&self) -> Duration {
        let view = self.shared.view.load();
        let services = view.policy.as_ref().map(|policy| &policy.grants.services);
        let service = services.and_then(|services| services.get(&self.service));
        service.map_or(Duration::ZERO, |service| Duration::from_millis(service.deadline_ms) / 2)
    }

    fn close(&mut self, end: HealthSignal) {
        if let Some(ticket) = self.ticket.take() {
            let mut observer = self.shared.health.observer.lock();
            observer.attempt_ended(ticket, end, self.shared.clock.now());
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.close(HealthSignal::Cancelled);
    }
}

/// Settles standings at intervals and hands them to the choice of targets, for good.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = time::interval(SETTLE_INTERVAL);
    loop {
        ticks.tick().await;
        let view = shared.view.load_full();
        for (service, change) in shared.health.settle(&view) {
            record(&shared, &service, &change);
        }
        hand_over(&shared, &view);
    }
}

/// Sets the weights of lowered targets, and of those that no longer are.
fn hand_over(shared: &Shared, view: &View) {
    let floor = shared.health.floor.lock();
    let mut lowered = BTreeSet::new();
    for (name, service) in &view.services {
        for target in &service.targets {
            if floor.get(name, &target.name) != HealthWeight::FULL {
                lowered.insert((name.clone(), target.name.to_string()));
            }
        }
    }
    let mut before = shared.health.lowered.lock();
    for (service, target) in before.union(&lowered) {
        let standing = floor.get(service, target);
        shared.places.set_weight(service, target, standing.weight, standing.trial);
    }
    *before = lowered;
}

fn record(shared: &Shared, service: &str, change: &WeightChange) {
    let (kind, target, reason) = match change {
        WeightChange::Suspected(target) => (Kind::TargetSuspected, target, "own requests"),
        WeightChange::Ejected(target, reason) => (Kind::TargetEjected, target, reason.as_str()),
        WeightChange::HeldByFloor(target) => (Kind::FloorHeld, target, "floor"),
        WeightChange::TrialStarted(target) => (Kind::TargetReturned, target, "trial"),
        WeightChange::Returned(target) => (Kind::TargetReturned, target, "in full use"),
    };
    shared.recorder.record(kind, target, &[("service", service), ("reason", reason)]);
}
