//! The floor of one service at one proxy.

use std::collections::BTreeMap;

use super::{Change, Standing};
use crate::health::{Target, Verdict, floor_count};

/// The least change of a suspicion that is worth an event.
const SUSPECTED_FROM: f64 = 0.5;

/// The targets of one service and what may be withheld from them.
#[derive(Debug)]
pub(super) struct Share {
    share: f64,
    targets: BTreeMap<String, Entry>,
    verdicts: BTreeMap<String, Verdict>,
}

/// A listed target.
#[derive(Debug)]
struct Entry {
    leaving: bool,
    standing: Standing,
    held: bool,
    suspicion: f64,
}

/// A wish to withhold requests from a target.
#[derive(Debug)]
struct Wish {
    target: String,
    standing: Standing,
    order: (u32, u32),
    suspicion: f64,
    reason: String,
}

impl Default for Share {
    /// Withholds nothing until the policy has given a share.
    fn default() -> Self {
        Self { share: 1.0, targets: BTreeMap::new(), verdicts: BTreeMap::new() }
    }
}

impl Share {
    pub(super) fn list(&mut self, targets: &[Target]) {
        self.targets.retain(|name, _| targets.iter().any(|target| target.name == *name));
        for target in targets {
            let entry = self.targets.entry(target.name.clone()).or_insert(Entry {
                leaving: target.leaving,
                standing: Standing::FULL,
                held: false,
                suspicion: 0.0,
            });
            entry.leaving = target.leaving;
        }
        let targets = &self.targets;
        self.verdicts.retain(|name, _| targets.contains_key(name));
        self.settle_again();
    }

    pub(super) fn set_share(&mut self, share: f64) {
        assert!((0.0..=1.0).contains(&share), "a floor must lie between 0 and 1, not {share}");
        self.share = share;
        self.settle_again();
    }

    pub(super) fn take(&mut self, verdict: &Verdict) -> bool {
        if self.verdicts.get(&verdict.target).is_some_and(|known| !verdict.replaces(known)) {
            return false;
        }
        self.verdicts.insert(verdict.target.clone(), verdict.clone());
        true
    }

    pub(super) fn standing(&self, target: &str) -> Option<Standing> {
        self.targets.get(target).map(|entry| entry.standing)
    }

    pub(super) fn settle(&mut self, suspicion: impl Fn(&str) -> f64) -> Vec<Change> {
        for (name, entry) in &mut self.targets {
            entry.suspicion = suspicion(name).clamp(0.0, 1.0);
        }
        self.settle_again()
    }

    /// Grants wishes in order while enough usable targets remain.
    fn settle_again(&mut self) -> Vec<Change> {
        let mut wishes = self.wishes();
        let mut room = self.room();
        let mut granted = BTreeMap::new();
        let mut held = BTreeMap::new();
        wishes.sort_by(|a, b| a.order.cmp(&b.order).then(b.suspicion.total_cmp(&a.suspicion)));
        for wish in wishes {
            let cost = if wish.standing.is_usable() { 1.0 - wish.standing.weight } else { 1.0 };
            if cost <= room {
                room -= cost;
                granted.insert(wish.target.clone(), wish);
            } else {
                held.insert(wish.target, wish.standing);
            }
        }
        let changes = self.apply(&granted, &held);
        self.check();
        changes
    }

    /// Returns how many targets' worth of capacity may be withheld.
    fn room(&self) -> f64 {
        let staying = self.targets.values().filter(|entry| !entry.leaving).count();
        staying.saturating_sub(self.least()) as f64
    }

    fn least(&self) -> usize {
        floor_count(self.share, self.targets.len())
    }

    fn wishes(&self) -> Vec<Wish> {
        let staying = self.targets.iter().filter(|(_, entry)| !entry.leaving);
        staying.filter_map(|(name, entry)| self.wish(name, entry)).collect()
    }

    fn wish(&self, name: &str, entry: &Entry) -> Option<Wish> {
        let verdict = self.verdicts.get(name);
        let (standing, order, reason) = match verdict {
            Some(verdict) if verdict.ejected => {
                (Standing::EJECTED, (0, verdict.rank), verdict.reason.as_str())
            }
            Some(verdict) if verdict.trial => {
                (Standing::TRIAL, (1, verdict.rank), verdict.reason.as_str())
            }
            _ if entry.suspicion > 0.0 => (Standing::suspected(entry.suspicion), (2, 0), ""),
            _ => return None,
        };
        Some(Wish {
            target: name.to_owned(),
            standing,
            order,
            suspicion: entry.suspicion,
            reason: reason.to_owned(),
        })
    }

    fn apply(
        &mut self,
        granted: &BTreeMap<String, Wish>,
        held: &BTreeMap<String, Standing>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, entry) in &mut self.targets {
            let wish = granted.get(name);
            let next = wish.map_or(Standing::FULL, |wish| wish.standing);
            let reason = wish.map_or("", |wish| wish.reason.as_str());
            changes.extend(change(name, entry.standing, next, reason));
            // A partial loss that does not fit is no news; an ejection or a trickle is.
            let is_held = held.get(name).is_some_and(|standing| !standing.is_usable());
            if is_held && !entry.held {
                changes.push(Change::Held(name.clone()));
            }
            entry.held = is_held;
            entry.standing = next;
        }
        changes
    }

    /// Asserts that enough targets are usable, or that nothing is withheld.
    fn check(&self) {
        let staying = || self.targets.values().filter(|entry| !entry.leaving);
        let usable = staying().filter(|entry| entry.standing.is_usable()).count();
        let weight: f64 = staying().map(|entry| entry.standing.weight).sum();
        let untouched = staying().all(|entry| entry.standing == Standing::FULL);
        let least = self.least();
        assert!(
            untouched || (usable >= least && weight + 1e-6 >= least as f64),
            "the floor is broken: {usable} usable targets of weight {weight}, {least} must stay"
        );
    }
}

fn change(name: &str, before: Standing, after: Standing, reason: &str) -> Option<Change> {
    let level = |standing: Standing| match standing {
        Standing::EJECTED => 3,
        Standing::TRIAL => 2,
        Standing { weight, .. } if weight <= 1.0 - SUSPECTED_FROM => 1,
        _ => 0,
    };
    if level(before) == level(after) {
        return None;
    }
    let name = name.to_owned();
    Some(match level(after) {
        3 => Change::Ejected(name, reason.to_owned()),
        2 => Change::Tried(name),
        1 => Change::Suspected(name),
        _ => Change::Returned(name),
    })
}
