//! Takes over what peers know before a gateway that starts accepts callers.
//!
//! A store that came back from an older copy may show a configuration that was replaced, and
//! targets that have left. The gateways that run know better.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::route::Edition;
use tokio::time;

use super::pull::try_fetch;
use crate::{quota::members, shared::Shared};

/// How long a gateway that has routes and targets waits for the report of a peer that is ready.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval between two looks at what is known.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for a peer that is ready and takes over what it knows, then lets this gateway accept
/// callers.
pub async fn join(shared: Arc<Shared>, http: reqwest::Client) {
    let peer = if shared.settings().is_first_start { None } else { ready_peer(&shared).await };
    if let Some((routes, peer)) = peer {
        take_over(&shared, &http, routes, peer).await;
    }
    let peer = peer.map_or_else(|| "none".to_owned(), |(_, peer)| peer.to_string());
    let version = shared.routes().map_or(0, |routes| routes.version);
    log::info!("event=joined peer={peer} routes={version}");
    shared.end_join();
}

/// Returns the edition of the routes and the address of a peer that is ready, `None` if none reports
/// within [`JOIN_TIMEOUT`] after this gateway has routes and targets.
async fn ready_peer(shared: &Shared) -> Option<(Edition, SocketAddr)> {
    let domain = shared.settings().domain.clone();
    let mut waited = Duration::ZERO;
    while waited < JOIN_TIMEOUT {
        let peer = shared.gateways.lock().ready_peer(&domain, shared.clock.now());
        if peer.is_some() {
            return peer;
        }
        time::sleep(POLL_INTERVAL).await;
        if shared.has_state() {
            waited += POLL_INTERVAL;
        }
    }
    None
}

async fn take_over(shared: &Shared, http: &reqwest::Client, routes: Edition, peer: SocketAddr) {
    if let Some(departures) = try_fetch(shared, http, peer, "departures", "departures").await {
        shared.targets.lock().catalog.merge_departures(departures);
    }
    // A peer may have earlier forms of parts that cannot be read.
    if shared.routes().is_none_or(|own| own.edition() < routes || own.missing > 0)
        && let Some(table) = try_fetch(shared, http, peer, "routes", "routes").await
    {
        shared.apply_routes(table);
    }
    // Quotas need the list; a store that responds gives it, and a newer one, unless it has lately come
    // back from an older copy.
    if members::needs_peer_list(shared)
        && let Some(list) = try_fetch(shared, http, peer, "members", "members").await
    {
        members::import(shared, list);
    }
}
