//! Evidence about targets and verdicts on them.

use std::sync::Arc;

use citron_wire::{self as wire, Verdict};
use prost::Message as _;
use tokio::sync::broadcast;

use super::{Core, Notice};

impl Core {
    /// Follows the evidence of this host's proxy and what other agents forward.
    pub fn evidence(&self) -> broadcast::Receiver<wire::EvidenceBatch> {
        self.evidence.subscribe()
    }

    /// Takes evidence about targets.
    pub fn take_evidence(&self, batch: wire::EvidenceBatch) {
        // Nobody may be listening.
        let _ = self.evidence.send(batch);
    }

    /// Sends evidence to the agent of `host`; lost if the host is not known.
    pub fn post_evidence(&self, host: &str, batch: wire::EvidenceBatch) {
        if host == self.settings.host {
            return self.take_evidence(batch);
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
        self.post(&to, &gossip);
    }

    /// Takes verdicts; a higher epoch replaces a lower one.
    pub fn take_verdicts(&self, verdicts: Vec<Verdict>) {
        let mut fresh = Vec::new();
        let mut known = self.verdicts.lock();
        for verdict in verdicts {
            let newer = known
                .get(&verdict.target)
                .is_none_or(|old| (verdict.epoch, &verdict.steward) > (old.epoch, &old.steward));
            if newer {
                known.insert(verdict.target.clone(), verdict.clone());
                fresh.push(verdict);
            }
        }
        drop(known);
        if fresh.is_empty() {
            return;
        }
        let mut news = self.verdict_news.lock();
        for verdict in &fresh {
            news.put(&verdict.target, verdict.clone(), verdict.encoded_len() + 4);
        }
        drop(news);
        self.notify(Notice::Verdicts(Arc::new(fresh)));
        self.nudge();
    }

    /// Returns all verdicts.
    pub fn verdict_table(&self) -> wire::VerdictTable {
        wire::VerdictTable { verdicts: self.verdicts.lock().values().cloned().collect() }
    }
}
