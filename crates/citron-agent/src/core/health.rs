//! Evidence about the health of targets, and ejection verdicts.

use std::sync::Arc;

use citron_wire::{self as wire, Verdict};
use prost::Message as _;
use tokio::sync::broadcast;

use super::{Core, Notice};

impl Core {
    /// Subscribes to evidence from this host's proxy and from other agents.
    pub fn evidence(&self) -> broadcast::Receiver<wire::EvidenceBatch> {
        self.evidence.subscribe()
    }

    /// Publishes evidence about targets to the subscribers.
    pub fn publish_evidence(&self, batch: wire::EvidenceBatch) {
        // Sending fails if there is no subscriber.
        let _ = self.evidence.send(batch);
    }

    /// Sends evidence to the agent of `host`. The evidence is dropped if the host is not a member.
    pub fn send_evidence(&self, host: &str, batch: wire::EvidenceBatch) {
        if host == self.settings.host {
            return self.publish_evidence(batch);
        }
        let to = self.with_members(|members| {
            members.get(host).map(|member| member.record.addresses.gossip.clone())
        });
        let Some(to) = to else { return };
        let gossip = wire::Gossip {
            from: self.settings.host.clone(),
            evidence: vec![batch],
            ..wire::Gossip::default()
        };
        self.send_datagram(&to, &gossip);
    }

    /// Merges verdicts, of which a higher epoch replaces a lower one, and publishes the newer ones.
    pub fn merge_verdicts(&self, verdicts: Vec<Verdict>) {
        let mut newer = Vec::new();
        let mut known = self.verdicts.lock();
        for verdict in verdicts {
            let is_newer = known
                .get(&verdict.target)
                .is_none_or(|old| (verdict.epoch, &verdict.steward) > (old.epoch, &old.steward));
            if is_newer {
                known.insert(verdict.target.clone(), verdict.clone());
                newer.push(verdict);
            }
        }
        drop(known);
        if newer.is_empty() {
            return;
        }
        let mut updates = self.verdict_updates.lock();
        for verdict in &newer {
            updates.put(&verdict.target, verdict.clone(), verdict.encoded_len() + 4);
        }
        drop(updates);
        self.notify(Notice::Verdicts(Arc::new(newer)));
        self.send_updates();
    }

    /// Returns all verdicts.
    pub fn verdict_table(&self) -> wire::VerdictTable {
        wire::VerdictTable { verdicts: self.verdicts.lock().values().cloned().collect() }
    }
}
