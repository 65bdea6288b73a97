//! What the proxy knows from its agent, as one immutable value that requests read.

use std::{collections::BTreeMap, sync::Arc};

use citron::policy::{self, Digest, Head, Policy};
use citron_wire as wire;

use crate::service::{Service, Target};

/// The policy in force and the services' targets.
#[derive(Debug, Default, Clone)]
pub struct View {
    /// The policy in force, or `None` before one arrived.
    pub policy: Option<Arc<Policy>>,
    /// Its revision; 0 before one arrived.
    pub revision: u64,
    /// Services by name, with their targets.
    pub services: BTreeMap<String, Arc<Service>>,
    /// Members by host.
    pub members: Arc<BTreeMap<String, wire::Member>>,
}

/// Puts policies together from messages.
#[derive(Debug, Default)]
pub struct Assembly {
    copy: policy::Replica,
}

impl Assembly {
    /// Takes in a policy message; returns the revision and the policy that came into force by it.
    pub fn take(&mut self, message: &wire::Policy) -> Option<(u64, Arc<Policy>)> {
        let before = self.copy.revision();
        let head: Head = serde_json::from_slice(&message.head.as_ref()?.json).ok()?;
        log_refusal(self.copy.on_head(&head));
        for shard in &message.shards {
            let digest = Digest::from_hex(shard.digest.clone());
            log_refusal(self.copy.on_shard(&digest, &shard.json));
        }
        let applied = self.copy.applied()?;
        (applied.head.revision > before)
            .then(|| (applied.head.revision, Arc::clone(&applied.policy)))
    }
}

fn log_refusal(result: Result<bool, policy::ReplicaError>) {
    match result {
        Ok(_) | Err(policy::ReplicaError::NotNeeded) => {}
        Err(refusal) => log::warn!("a policy message was not taken in: {refusal}"),
    }
}

impl View {
    /// Returns this view with a newer policy.
    pub fn with_policy(&self, revision: u64, policy: Arc<Policy>) -> Self {
        assert!(revision > self.revision, "a policy must never be replaced by an older one");
        let mut next = Self { policy: Some(policy), revision, ..self.clone() };
        next.add_services();
        next
    }

    /// Returns this view with changed targets.
    pub fn with_targets(&self, table: &wire::TargetTable) -> Self {
        let mut next = self.clone();
        let mut targets: BTreeMap<String, Arc<Target>> = self
            .services
            .values()
            .flat_map(|service| service.targets.iter().cloned())
            .filter(|target| !table.removed.contains(&target.name))
            .map(|target| (target.name.clone(), target))
            .collect();
        if table.full {
            targets.retain(|name, _| table.targets.iter().any(|entry| entry.name == *name));
        }
        for entry in &table.targets {
            match Target::update(targets.get(&entry.name), entry) {
                Some(target) => drop(targets.insert(entry.name.clone(), target)),
                None => log::warn!("target {} has a bad address {:?}", entry.name, entry.address),
            }
        }
        let mut by_service: BTreeMap<&str, Vec<Arc<Target>>> = BTreeMap::new();
        for target in targets.values() {
            by_service.entry(&target.service).or_default().push(Arc::clone(target));
        }
        for (name, service) in &mut next.services {
            if !by_service.contains_key(name.as_str()) {
                *service = Arc::new(service.with_targets(Vec::new()));
            }
        }
        for (name, targets) in by_service {
            let service = match next.services.get(name) {
                Some(service) => service.with_targets(targets),
                None => Service::new(name, targets),
            };
            next.services.insert(name.to_owned(), Arc::new(service));
        }
        next
    }

    /// Returns this view with changed members.
    pub fn with_members(&self, table: &wire::MemberTable) -> Self {
        let mut members = if table.full { BTreeMap::new() } else { (*self.members).clone() };
        for host in &table.removed {
            members.remove(host);
        }
        for member in &table.members {
            members.insert(member.host.clone(), member.clone());
        }
        Self { members: Arc::new(members), ..self.clone() }
    }

    fn add_services(&mut self) {
        let Some(policy) = &self.policy else { return };
        for name in policy.grants.services.keys() {
            if !self.services.contains_key(name) {
                let service = Service::new(name, Vec::new());
                self.services.insert(name.clone(), Arc::new(service));
            }
        }
    }
}
