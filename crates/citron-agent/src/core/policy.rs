//! The policy in force, and the versions of policy and host list that other members have.

use std::sync::Arc;

use citron::{
    event::Kind,
    member::State,
    policy::{Digest, Head, Policy, Replica, ReplicaError},
};
use rand::seq::SliceRandom;

use super::{Core, Notice, PeerVersions};

impl Core {
    /// Calls `read` with the replica of the policy.
    pub fn with_policy<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.policy.lock())
    }

    /// Returns the policy revision in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.with_policy(Replica::revision)
    }

    /// Returns the policy in force, which is empty before the first one.
    pub fn policy(&self) -> Arc<Policy> {
        self.with_policy(|copy| copy.applied().map(|applied| applied.policy.clone()))
            .unwrap_or_default()
    }

    /// Handles a policy head in its stored form and returns the digests of the shards that are
    /// still
    /// missing.
    ///
    /// # Errors
    /// Fails if the head cannot be parsed or contradicts the current one.
    pub fn receive_head(&self, json: &[u8], source: &str) -> Result<Vec<Digest>, String> {
        let head: Head = serde_json::from_slice(json)
            .map_err(|error| format!("cannot parse the policy head: {error}"))?;
        let mut copy = self.policy.lock();
        let applied = copy.on_head(&head).map_err(|refusal| refusal.to_string())?;
        let missing = copy.missing().into_iter().cloned().collect();
        drop(copy);
        if applied {
            self.announce_policy(source);
        }
        Ok(missing)
    }

    /// Handles a policy shard in its stored form.
    ///
    /// # Errors
    /// Fails if the shard is corrupt or the policy does not pass its checks.
    pub fn receive_shard(&self, digest: &Digest, bytes: &[u8], source: &str) -> Result<(), String> {
        let applied = match self.policy.lock().on_shard(digest, bytes) {
            Ok(applied) => applied,
            // The shard has already arrived from another source.
            Err(ReplicaError::NotNeeded) => false,
            Err(refusal) => return Err(refusal.to_string()),
        };
        if applied {
            self.announce_policy(source);
        }
        Ok(())
    }

    fn announce_policy(&self, source: &str) {
        let revision = self.revision();
        self.metrics.revision.set(revision as i64);
        self.recorder.record(Kind::PolicyApplied, &revision.to_string(), &[("source", source)]);
        self.notify(Notice::Policy);
        self.send_updates();
    }

    pub(super) fn record_peer_versions(&self, from: &str, revision: u64, hosts_version: u64) {
        let versions = PeerVersions { revision, hosts_version };
        let mut peer_versions = self.peer_versions.lock();
        // Datagrams may be reordered, and those that carry only evidence have no versions.
        let known = peer_versions.entry(from.to_owned()).or_insert(versions);
        known.revision = known.revision.max(revision);
        known.hosts_version = known.hosts_version.max(hosts_version);
        drop(peer_versions);
        let newer =
            revision > self.revision() || hosts_version > self.lists.lock().targets.version();
        if newer {
            // If the queue is full, a pull is already pending.
            let _ = self.newer_versions.try_send(versions);
        }
    }

    /// Returns the control addresses of the members whose versions satisfy `has`, in random order
    /// with
    /// those of this host's failure domain first.
    pub fn controls_with(&self, has: impl Fn(&PeerVersions) -> bool) -> Vec<String> {
        let peer_versions = self.peer_versions.lock();
        let members = self.members.lock();
        let mut found: Vec<(bool, String)> = peer_versions
            .iter()
            .filter(|(_, versions)| has(versions))
            .filter_map(|(host, _)| members.get(host))
            .filter(|member| member.record.state != State::Dead)
            .map(|member| &member.record)
            .map(|record| (record.domain != self.settings.domain, record.addresses.control.clone()))
            .filter(|(_, control)| !control.is_empty())
            .collect();
        drop(members);
        drop(peer_versions);
        self.with_rng(|rng| found.shuffle(rng));
        found.sort_by_key(|(is_other_domain, _)| *is_other_domain);
        found.into_iter().map(|(_, control)| control).collect()
    }
}
