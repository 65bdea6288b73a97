//! Fetches newer routes and targets from a peer.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{
    catalog::{Source, Update},
    freshness::CONFIRMATION_MAX_AGE,
};
use citron_daemon::transfer::Progress;
use tokio::time;

use crate::shared::Shared;

/// The delay before a gateway that is behind a peer pulls from it while the store responds, so that
/// the store can deliver the update first.
const PULL_DELAY: Duration = Duration::from_millis(400);
/// The delay while the store does not respond, or has not confirmed this gateway's state for long.
const PULL_DELAY_UNCONFIRMED: Duration = Duration::from_millis(50);
/// The timeout of a request to a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches newer routes and targets from a peer if the store does not deliver them in time.
///
/// If the store seems to respond, the watch that should have delivered them may be on a connection
/// that went silent, and its follower is woken.
pub async fn pull(shared: Arc<Shared>, http: reqwest::Client) {
    let was_down = shared.link.is_down();
    let age = shared.confirmation_age(shared.clock.now());
    let is_confirmed = age.is_some_and(|age| age < CONFIRMATION_MAX_AGE);
    let is_store_first = is_confirmed && !was_down;
    time::sleep(if is_store_first { PULL_DELAY } else { PULL_DELAY_UNCONFIRMED }).await;
    shared.pull_scheduled.store(false, Ordering::Relaxed);
    let is_overdue = !was_down && !shared.link.is_down();
    let now = shared.clock.now();
    let domain = shared.settings().domain.clone();
    let version = shared.routes().map_or(0, |routes| routes.version);
    let newer = shared.gateways.lock().peer_with_newer_routes(version, &domain, now);
    if let Some(peer) = newer
        && let Some(table) = fetch(&shared, &http, peer, "routes", "routes").await
    {
        let was_behind = shared.apply_routes(table, Source::Peer);
        if was_behind && is_overdue {
            shared.routes_overdue.notify_waiters();
        }
    }
    let position = shared.targets.lock().catalog.position();
    let newer = shared.gateways.lock().peer_with_newer_targets(position, &domain, now);
    let Some(peer) = newer else { return };
    let path = format!("targets?since={}&era={}", position.revision, position.era);
    let was_behind = match fetch(&shared, &http, peer, "targets", &path).await {
        Some(Update::Whole(snapshot)) => shared.replace_targets(snapshot, Source::Peer),
        Some(Update::Changes(revision, changes)) => {
            shared.apply_target_changes(position.at(revision), changes, Source::Peer)
        }
        None => false,
    };
    if was_behind && is_overdue {
        shared.targets_overdue.notify_waiters();
    }
}

pub(super) async fn fetch<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    http: &reqwest::Client,
    peer: SocketAddr,
    what: &str,
    path: &str,
) -> Option<T> {
    let url = format!("http://{peer}/{path}");
    let begun_at = shared.clock.now();
    let progress = Progress::default();
    let describe = |error: reqwest::Error| error.to_string();
    let result = async {
        let sent = http.get(url).timeout(PULL_TIMEOUT).send().await;
        let mut response = sent.and_then(reqwest::Response::error_for_status).map_err(describe)?;
        let mut body = Vec::new();
        while let Some(part) = response.chunk().await.map_err(describe)? {
            progress.add(part.len());
            body.extend_from_slice(&part);
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    };
    let result = result.await;
    let took_ms = shared.clock.now().saturating_sub(begun_at).as_millis();
    let received = progress.received();
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    shared.metrics.record_state_bytes("peer", what, outcome, received);
    match result {
        Ok(value) => {
            shared.metrics.pulls.with_label_values(&[what, "ok"]).inc();
            log::info!(
                "event=pulled what={what} peer={peer} took_ms={took_ms} received={received}"
            );
            Some(value)
        }
        Err(error) => {
            shared.metrics.pulls.with_label_values(&[what, "failed"]).inc();
            log::warn!(
                "event=pull-failed what={what} peer={peer} took_ms={took_ms} received={received} reason={error:?}"
            );
            None
        }
    }
}
