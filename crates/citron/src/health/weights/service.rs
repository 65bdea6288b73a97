//! The target weights of one service at one proxy.

use std::collections::BTreeMap;

use super::{HealthWeight, WeightChange};
use crate::health::{Target, Verdict, floor_count};

/// Reduction of the weight from which a target is reported as suspected.
const MIN_REPORTED_REDUCTION: f64 = 0.5;

/// The targets, verdicts and floor of one service.
#[derive(Debug)]
pub(super) struct ServiceWeights {
    floor: f64,
    targets: BTreeMap<String, TargetEntry>,
    verdicts: BTreeMap<String, Verdict>,
}

/// A listed target.
#[derive(Debug)]
struct TargetEntry {
    leaving: bool,
    health: HealthWeight,
    held_by_floor: bool,
    suspicion: f64,
}

/// A reduced weight that a verdict or a suspicion calls for.
#[derive(Debug)]
struct Restriction {
    target: String,
    health: HealthWeight,
    priority: (u32, u32),
    suspicion: f64,
    reason: String,
}

impl Default for ServiceWeights {
    /// Restricts no target until the policy has set a floor.
    fn default() -> Self {
        Self { floor: 1.0, targets: BTreeMap::new(), verdicts: BTreeMap::new() }
    }
}

impl ServiceWeights {
    pub(super) fn set_targets(&mut self, targets: &[Target]) {
        self.targets.retain(|name, _| targets.iter().any(|target| target.name == *name));
        for target in targets {
            let entry = self.targets.entry(target.name.clone()).or_insert(TargetEntry {
                leaving: target.leaving,
                health: HealthWeight::FULL,
                held_by_floor: false,
                suspicion: 0.0,
            });
            entry.leaving = target.leaving;
        }
        let targets = &self.targets;
        self.verdicts.retain(|name, _| targets.contains_key(name));
        self.update_weights();
    }

    pub(super) fn set_floor(&mut self, floor: f64) {
        assert!((0.0..=1.0).contains(&floor), "a floor must lie between 0 and 1, not {floor}");
        self.floor = floor;
        self.update_weights();
    }

    pub(super) fn apply_verdict(&mut self, verdict: &Verdict) -> bool {
        if self.verdicts.get(&verdict.target).is_some_and(|known| !verdict.replaces(known)) {
            return false;
        }
        self.verdicts.insert(verdict.target.clone(), verdict.clone());
        true
    }

    pub(super) fn get(&self, target: &str) -> Option<HealthWeight> {
        self.targets.get(target).map(|entry| entry.health)
    }

    pub(super) fn update(&mut self, suspicion: impl Fn(&str) -> f64) -> Vec<WeightChange> {
        for (name, entry) in &mut self.targets {
            entry.suspicion = suspicion(name).clamp(0.0, 1.0);
        }
        self.update_weights()
    }

    /// Applies restrictions by priority as long as the floor holds: ejections first, then trials,
    /// both by rank, then suspicions, the strongest first.
    fn update_weights(&mut self) -> Vec<WeightChange> {
        let mut restrictions = self.restrictions();
        let mut budget = self.withhold_budget();
        let mut applied = BTreeMap::new();
        let mut held = BTreeMap::new();
        restrictions
            .sort_by(|a, b| a.priority.cmp(&b.priority).then(b.suspicion.total_cmp(&a.suspicion)));
        for restriction in restrictions {
            let cost =
                if restriction.health.is_usable() { 1.0 - restriction.health.weight } else { 1.0 };
            if cost <= budget {
                budget -= cost;
                applied.insert(restriction.target.clone(), restriction);
            } else {
                held.insert(restriction.target, restriction.health);
            }
        }
        let changes = self.apply(&applied, &held);
        self.assert_floor();
        changes
    }

    /// Returns the weight that may be withheld from all targets together; one target has weight 1.
    fn withhold_budget(&self) -> f64 {
        let staying = self.targets.values().filter(|entry| !entry.leaving).count();
        staying.saturating_sub(self.min_usable()) as f64
    }

    fn min_usable(&self) -> usize {
        floor_count(self.floor, self.targets.len())
    }

    fn restrictions(&self) -> Vec<Restriction> {
        let staying = self.targets.iter().filter(|(_, entry)| !entry.leaving);
        staying.filter_map(|(name, entry)| self.restriction(name, entry)).collect()
    }

    fn restriction(&self, name: &str, entry: &TargetEntry) -> Option<Restriction> {
        let verdict = self.verdicts.get(name);
        let (health, priority, reason) = match verdict {
            Some(verdict) if verdict.ejected => {
                (HealthWeight::EJECTED, (0, verdict.rank), verdict.reason.as_str())
            }
            Some(verdict) if verdict.trial => {
                (HealthWeight::TRIAL, (1, verdict.rank), verdict.reason.as_str())
            }
            _ if entry.suspicion > 0.0 => (HealthWeight::suspected(entry.suspicion), (2, 0), ""),
            _ => return None,
        };
        Some(Restriction {
            target: name.to_owned(),
            health,
            priority,
            suspicion: entry.suspicion,
            reason: reason.to_owned(),
        })
    }

    fn apply(
        &mut self,
        applied: &BTreeMap<String, Restriction>,
        held: &BTreeMap<String, HealthWeight>,
    ) -> Vec<WeightChange> {
        let mut changes = Vec::new();
        for (name, entry) in &mut self.targets {
            let restriction = applied.get(name);
            let next = restriction.map_or(HealthWeight::FULL, |restriction| restriction.health);
            let reason = restriction.map_or("", |restriction| restriction.reason.as_str());
            changes.extend(change(name, entry.health, next, reason));
            // A target that would stay usable under its restriction is not reported as held.
            let is_held = held.get(name).is_some_and(|health| !health.is_usable());
            if is_held && !entry.held_by_floor {
                changes.push(WeightChange::HeldByFloor(name.clone()));
            }
            entry.held_by_floor = is_held;
            entry.health = next;
        }
        changes
    }

    /// Asserts that the floor holds for the number and the total weight of the usable targets, or
    /// that no weight is reduced.
    fn assert_floor(&self) {
        let staying = || self.targets.values().filter(|entry| !entry.leaving);
        let usable = staying().filter(|entry| entry.health.is_usable()).count();
        let weight: f64 = staying().map(|entry| entry.health.weight).sum();
        let untouched = staying().all(|entry| entry.health == HealthWeight::FULL);
        let min_usable = self.min_usable();
        assert!(
            untouched || (usable >= min_usable && weight + 1e-6 >= min_usable as f64),
            "floor violated: {usable} usable targets of weight {weight}, {min_usable} required"
        );
    }
}

fn change(
    name: &str,
    before: HealthWeight,
    after: HealthWeight,
    reason: &str,
) -> Option<WeightChange> {
    let level = |health: HealthWeight| match health {
        HealthWeight::EJECTED => 3,
        HealthWeight::TRIAL => 2,
        HealthWeight { weight, .. } if weight <= 1.0 - MIN_REPORTED_REDUCTION => 1,
        _ => 0,
    };
    if level(before) == level(after) {
        return None;
    }
    let name = name.to_owned();
    Some(match level(after) {
        3 => WeightChange::Ejected(name, reason.to_owned()),
        2 => WeightChange::TrialStarted(name),
        1 => WeightChange::Suspected(name),
        _ => WeightChange::Returned(name),
    })
}
