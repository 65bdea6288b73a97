//! Pulls policy and host lists from other agents.

use std::{sync::Arc, time::Duration};

use citron::hosts::Changes;
use citron_wire::{self as wire, HeadRequest, ShardRequest, TablesRequest};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{
    core::{Core, PeerVersions},
    peer::Peers,
};

/// The module path that log filters match; it predates the name of this module.
const LOG_TARGET: &str = "citron_agent::spread";
/// The number of peers that are tried for one newer policy or host list.
const MAX_PEERS_PER_PULL: usize = 4;
/// The number of peers from which a starting agent pulls.
const BOOTSTRAP_PEERS: usize = 3;
/// How long a starting agent waits before it pulls again.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest interval between two reconciliations of the member table with a peer's.
const RECONCILE_MIN: Duration = Duration::from_secs(10);
/// The interval that each member adds, so that bytes per second stay constant as the table grows.
const RECONCILE_PER_MEMBER: Duration = Duration::from_millis(60);

/// Pulls the policy or host list whenever another member has a newer one, until the task is
/// aborted.
pub async fn pull_newer(
    core: Arc<Core>,
    peers: Arc<Peers>,
    mut newer_versions: mpsc::Receiver<PeerVersions>,
) {
    while let Some(newer) = newer_versions.recv().await {
        if newer.revision > core.revision() {
            pull_policy(&core, &peers, newer.revision).await;
        }
        if newer.hosts_version > core.hosts_version() {
            pull_hosts(&core, &peers, newer.hosts_version).await;
        }
    }
}

/// Pulls from several peers, one of them in another failure domain, until the policy and the tables
/// are known.
pub async fn bootstrap(core: Arc<Core>, peers: Arc<Peers>) {
    let mut synced = core.synced();
    loop {
        let mut responded = false;
        for control in core.pick_controls(BOOTSTRAP_PEERS) {
            responded |= update_tables(&core, &peers, &control, true).await;
            update_policy(&core, &peers, &control).await;
        }
        if responded && core.revision() > 0 {
            core.set_synced();
            return;
        }
        tokio::select! {
            () = time::sleep(BOOTSTRAP_INTERVAL) => {}
            sender_open = wait_synced(&mut synced) => {
                // The policy came from the platform, but the members still have to come from a
                // peer.
                if !sender_open || responded || core.with_members(|m| m.live_count()) == 1 {
                    return;
                }
                time::sleep(BOOTSTRAP_INTERVAL).await;
            }
        }
    }
}

/// Waits until the policy is known. Returns false if the agent stopped before.
pub async fn wait_synced(synced: &mut watch::Receiver<bool>) -> bool {
    synced.wait_for(|synced| *synced).await.is_ok()
}

/// Merges the tables of a random peer at intervals, until the task is aborted.
pub async fn reconcile(core: Arc<Core>, peers: Arc<Peers>) {
    loop {
        let members = core.with_members(|members| members.live_count()) as u32;
        let interval = RECONCILE_MIN.max(RECONCILE_PER_MEMBER * members);
        let jitter = core.with_rng(|rng| rand::Rng::random_range(rng, 0.8..1.2));
        time::sleep(interval.mul_f64(jitter)).await;
        for control in core.pick_controls(1) {
            update_tables(&core, &peers, &control, true).await;
        }
    }
}

async fn pull_policy(core: &Core, peers: &Peers, revision: u64) {
    for control in
        core.controls_with(|peer| peer.revision >= revision).iter().take(MAX_PEERS_PER_PULL)
    {
        update_policy(core, peers, control).await;
        if core.revision() >= revision {
            return;
        }
    }
}

async fn pull_hosts(core: &Core, peers: &Peers, version: u64) {
    for control in
        core.controls_with(|peer| peer.hosts_version >= version).iter().take(MAX_PEERS_PER_PULL)
    {
        update_tables(core, peers, control, false).await;
        if core.hosts_version() >= version {
            return;
        }
    }
}

/// Pulls a peer's policy if it is newer. Returns false if that failed.
async fn update_policy(core: &Core, peers: &Peers, control: &str) -> bool {
    match fetch_policy(core, peers, control).await {
        Ok(()) => true,
        Err(error) => {
            log::debug!(
                target: LOG_TARGET,
                "could not pull the policy from the agent at {control}: {error}"
            );
            peers.forget(control);
            false
        }
    }
}

async fn fetch_policy(core: &Core, peers: &Peers, control: &str) -> Result<(), tonic::Status> {
    let Some(mut client) = peers.client(control) else {
        return Err(tonic::Status::invalid_argument("the peer's control address is invalid"));
    };
    core.metrics.peer_calls.with_label_values(&["head"]).inc();
    let head = client.fetch_head(HeadRequest {}).await?.into_inner();
    if head.revision <= core.revision() {
        return Ok(());
    }
    core.metrics.peer_bytes.inc_by(head.json.len() as u64);
    let rejected = |reason: String| tonic::Status::data_loss(reason);
    for digest in core.receive_head(&head.json, control).map_err(rejected)? {
        core.metrics.peer_calls.with_label_values(&["shard"]).inc();
        let request = ShardRequest { digest: digest.to_string() };
        let shard = client.fetch_shard(request).await?.into_inner();
        core.metrics.peer_bytes.inc_by(shard.json.len() as u64);
        core.receive_shard(&digest, &shard.json, control).map_err(rejected)?;
    }
    Ok(())
}

/// Pulls a peer's host list and verdicts, and its member table if `members` is set. Returns false
/// if
/// the peer did not respond.
async fn update_tables(core: &Core, peers: &Peers, control: &str, members: bool) -> bool {
    let Some(mut client) = peers.client(control) else { return false };
    let hosts_version = core.hosts_version();
    core.metrics.peer_calls.with_label_values(&["tables"]).inc();
    let tables = match client.fetch_tables(TablesRequest { hosts_version, members }).await {
        Ok(tables) => tables.into_inner(),
        Err(error) => {
            log::debug!(
                target: LOG_TARGET,
                "could not pull the tables from the agent at {control}: {error}"
            );
            peers.forget(control);
            return false;
        }
    };
    core.metrics.peer_bytes.inc_by(prost::Message::encoded_len(&tables) as u64);
    if let (Some(entries), Some(targets)) = (tables.entries, tables.targets) {
        let version = tables.hosts_version;
        core.apply_hosts(&entry_changes(entries, version), &target_changes(targets, version));
    }
    if let Some(members) = tables.members {
        core.merge_members(members);
    }
    core.merge_verdicts(tables.verdicts.unwrap_or_default().verdicts);
    true
}

fn entry_changes(table: wire::MemberTable, version: u64) -> Changes<wire::Member> {
    let entries = table.members.into_iter().map(|entry| (entry.host.clone(), entry)).collect();
    Changes { version, full: table.full, entries, removed: table.removed }
}

fn target_changes(table: wire::TargetTable, version: u64) -> Changes<wire::Target> {
    let entries = table.targets.into_iter().map(|target| (target.name.clone(), target)).collect();
    Changes { version, full: table.full, entries, removed: table.removed }
}
