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
/// Peers that are asked for one newer policy or list before the next hint is waited for.
const MAX_PEERS_PER_PULL: usize = 4;
/// Peers that a starting agent asks.
const BOOTSTRAP_PEERS: usize = 3;
/// How long a starting agent waits before it looks for peers again.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between two comparisons of the member table with a peer's.
const RECONCILE_MIN: Duration = Duration::from_secs(10);
/// The part of that time that each member adds, which keeps bytes per second constant.
const RECONCILE_PER_MEMBER: Duration = Duration::from_millis(60);

/// Pulls whenever another member is known to have something newer, for good.
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

/// Asks several peers, one of another failure domain, until policy and tables are known from one.
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
                // Known from the platform; members are learnt from one peer still.
                if !sender_open || responded || core.with_members(|m| m.live_count()) == 1 {
                    return;
                }
                time::sleep(BOOTSTRAP_INTERVAL).await;
            }
        }
    }
}

/// Waits until the policy is known; returns false if that will not be.
pub async fn wait_synced(synced: &mut watch::Receiver<bool>) -> bool {
    synced.wait_for(|synced| *synced).await.is_ok()
}

/// Compares the member table with that of a random peer now and then, for good.
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

/// Takes a peer's policy if it is newer; returns false if the peer did not answer.
async fn update_policy(core: &Core, peers: &Peers, control: &str) -> bool {
    match fetch_policy(core, peers, control).await {
        Ok(()) => true,
        Err(error) => {
            log::debug!(target: LOG_TARGET, "the agent at {control} gave no policy: {error}");
            peers.forget(control);
            false
        }
    }
}

async fn fetch_policy(core: &Core, peers: &Peers, control: &str) -> Result<(), tonic::Status> {
    let Some(mut client) = peers.client(control) else {
        return Err(tonic::Status::invalid_argument("not an address"));
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

/// Takes a peer's host list, and its members if asked; returns false if the peer did not answer.
async fn update_tables(core: &Core, peers: &Peers, control: &str, members: bool) -> bool {
    let Some(mut client) = peers.client(control) else { return false };
    let hosts_version = core.hosts_version();
    core.metrics.peer_calls.with_label_values(&["tables"]).inc();
    let tables = match client.fetch_tables(TablesRequest { hosts_version, members }).await {
        Ok(tables) => tables.into_inner(),
        Err(error) => {
            log::debug!(target: LOG_TARGET, "the agent at {control} gave no tables: {error}");
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
