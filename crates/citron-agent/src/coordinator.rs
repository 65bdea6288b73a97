//! Runs the coordinators of the services that are assigned to this agent, and routes evidence to
//! the coordinators on other agents.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use citron::{
    health::{Batch, Coordinator, Target},
    policy::Service,
};
use citron_wire as wire;
use tokio::{
    sync::broadcast::error::RecvError,
    time::{self, MissedTickBehavior},
};

use crate::core::{Core, Notice};

/// The module path that log filters match; it predates the name of this module.
const LOG_TARGET: &str = "citron_agent::steward";
/// How often coordinators decide on ejections.
const DECIDE_INTERVAL: Duration = Duration::from_millis(100);
/// The number of targets whose evidence fits in one datagram.
const MAX_TARGETS_PER_DATAGRAM: usize = 12;
/// The number of sequence numbers reserved for the datagrams of one batch.
const MAX_DATAGRAMS_PER_BATCH: u64 = 1 << 8;

/// The coordinators that this agent runs, by service.
struct Coordinators {
    core: Arc<Core>,
    running: BTreeMap<String, Coordinator>,
    /// The policy, members or targets changed since the coordinators were last refreshed.
    stale: bool,
}

/// Runs the coordinators of this agent and routes evidence, until the task is aborted.
pub async fn run(core: Arc<Core>) {
    let mut evidence = core.evidence();
    let mut notices = core.notices();
    let mut ticks = time::interval(DECIDE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut coordinators = Coordinators { core, running: BTreeMap::new(), stale: true };
    loop {
        tokio::select! {
            batch = evidence.recv() => match batch {
                Ok(batch) => coordinators.route_evidence(batch),
                // Missed evidence is lost: it is not sent again.
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            notice = notices.recv() => match notice {
                Ok(notice) => coordinators.handle_notice(&notice),
                Err(RecvError::Lagged(_)) => coordinators.stale = true,
                Err(RecvError::Closed) => return,
            },
            _ = ticks.tick() => coordinators.decide(),
        }
    }
}

impl Coordinators {
    /// Routes evidence of this host's proxy to the services' coordinators. Evidence from another
    /// host is for the coordinators that run here.
    fn route_evidence(&mut self, batch: wire::EvidenceBatch) {
        if batch.host != self.core.settings.host {
            return self.add_evidence(batch);
        }
        for (host, batch) in self.split_by_coordinator(batch) {
            if host == self.core.settings.host {
                self.add_evidence(batch);
            } else {
                self.core.send_evidence(&host, batch);
            }
        }
    }

    fn add_evidence(&mut self, batch: wire::EvidenceBatch) {
        let batch = Batch::from(batch);
        let services: BTreeSet<&str> =
            batch.evidence.iter().map(|evidence| evidence.service.as_str()).collect();
        let now = self.core.now();
        for service in services {
            if let Some(coordinator) = self.running.get_mut(service) {
                coordinator.add_batch(&batch, now);
            }
        }
    }

    /// Splits a batch into parts that fit in a datagram, each with the host of its coordinator.
    fn split_by_coordinator(
        &self,
        batch: wire::EvidenceBatch,
    ) -> Vec<(String, wire::EvidenceBatch)> {
        let mut by_service: BTreeMap<String, Vec<wire::Evidence>> = BTreeMap::new();
        for evidence in batch.evidence {
            by_service.entry(evidence.service.clone()).or_default().push(evidence);
        }
        let mut parts = Vec::new();
        for (service, evidence) in by_service {
            let Some(host) = self.core.coordinator_of(&service) else { continue };
            for (index, part) in evidence.chunks(MAX_TARGETS_PER_DATAGRAM).enumerate() {
                let index = (index as u64).min(MAX_DATAGRAMS_PER_BATCH - 1);
                parts.push((
                    host.clone(),
                    wire::EvidenceBatch {
                        host: batch.host.clone(),
                        domain: batch.domain.clone(),
                        // Each part of a service needs a higher sequence number than the last.
                        sequence: batch.sequence * MAX_DATAGRAMS_PER_BATCH + index,
                        evidence: part.to_vec(),
                    },
                ));
            }
        }
        parts
    }

    fn handle_notice(&mut self, notice: &Notice) {
        match notice {
            Notice::Verdicts(verdicts) => {
                let now = self.core.now();
                for verdict in verdicts.iter() {
                    if let Some(coordinator) = self.running.get_mut(&verdict.service) {
                        coordinator.apply_verdict(&verdict.clone().into(), now);
                    }
                }
            }
            Notice::Policy | Notice::Members(_) | Notice::Targets(_) => self.stale = true,
            Notice::Leave => {}
        }
    }

    fn decide(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.refresh();
        }
        let now = self.core.now();
        let verdicts: Vec<_> =
            self.running.values_mut().flat_map(|coordinator| coordinator.tick(now)).collect();
        for verdict in verdicts.iter().filter(|verdict| verdict.ejected) {
            log::info!(
                target: LOG_TARGET,
                "ejected target {} of service {}: {}",
                verdict.target,
                verdict.service,
                verdict.reason,
            );
        }
        if !verdicts.is_empty() {
            self.core.merge_verdicts(verdicts.into_iter().map(Into::into).collect());
        }
    }

    /// Starts and ends coordinators, and updates the policy and targets of the running ones.
    fn refresh(&mut self) {
        let policy = self.core.policy();
        let mut targets: BTreeMap<String, Vec<Target>> = BTreeMap::new();
        for target in self.core.target_table().targets {
            targets.entry(target.service).or_default().push(Target {
                name: target.name,
                domain: target.domain,
                leaving: target.leaving,
            });
        }
        let is_local = |service: &str| {
            self.core.coordinator_of(service).is_some_and(|host| host == self.core.settings.host)
        };
        let services: Vec<(&String, &Service)> =
            policy.grants.services.iter().filter(|(name, _)| is_local(name)).collect();
        self.running.retain(|name, _| services.iter().any(|(known, _)| *known == name));
        for (name, service) in services {
            self.start_or_update(name, service, targets.get(name).map_or(&[], Vec::as_slice));
        }
    }

    fn start_or_update(&mut self, name: &str, service: &Service, targets: &[Target]) {
        let now = self.core.now();
        let core = &self.core;
        let coordinator = self.running.entry(name.to_owned()).or_insert_with(|| {
            let host = &core.settings.host;
            let mut coordinator = Coordinator::new(host, name, service.profile, service.floor, now);
            for verdict in core.verdict_table().verdicts {
                coordinator.apply_verdict(&verdict.into(), now);
            }
            coordinator
        });
        coordinator.set_policy(service.profile, service.floor);
        coordinator.set_targets(targets, now);
    }
}
