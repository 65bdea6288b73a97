//! The state received from the agent, as one immutable value that requests read.

use std::{collections::BTreeMap, sync::Arc};

use citron::policy::{self, Digest, Head, Policy};
use citron_wire as wire;

use crate::service::{Service, Target};

/// The policy in force, the services with their targets and the members of the fleet.
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

/// Assembles policies from the messages of the agent.
#[derive(Debug, Default)]
pub struct PolicyAssembler {
    replica: policy::Replica,
}

impl PolicyAssembler {
    /// Applies a policy message. Returns the new policy and its revision if the message completes
    /// one.
    pub fn apply(&mut self, message: &wire::Policy) -> Option<(u64, Arc<Policy>)> {
        let before = self.replica.revision();
        let head: Head = serde_json::from_slice(&message.head.as_ref()?.json).ok()?;
        log_replica_error(self.replica.on_head(&head));
        for shard in &message.shards {
            let digest = Digest::from_hex(shard.digest.clone());
            log_replica_error(self.replica.on_shard(&digest, &shard.json));
        }
        let applied = self.replica.applied()?;
        (applied.head.revision > before)
            .then(|| (applied.head.revision, Arc::clone(&applied.policy)))
    }
}

fn log_replica_error(result: Result<bool, policy::ReplicaError>) {
    match result {
        Ok(_) | Err(policy::ReplicaError::NotNeeded) => {}
        Err(error) => log::warn!("cannot apply a policy message: {error}"),
    }
}

impl View {
    /// Returns this view with a newer policy.
    pub fn with_policy(&self, revision: u64, policy: Arc<Policy>) -> Self {
        assert!(revision > self.revision, "a policy is only replaced by a newer one");
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
            match Target::from_entry(targets.get(&entry.name), entry) {
                Some(target) => drop(targets.insert(entry.name.clone(), target)),
                None => {
                    log::warn!(
                        "ignored the entry of target {}: invalid address {:?}",
                        entry.name,
                        entry.address
                    );
                }
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
