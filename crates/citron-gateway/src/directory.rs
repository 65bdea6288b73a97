//! The HTTP endpoints of a gateway besides forwarding: addresses for callers, readiness, the
//! current state for peers, and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{gateways::OwnAddress, position::Position};
use citron_adapter::ingress::{ADDRESSES_LIMIT, ResolveResponse};
use citron_daemon::Server;
use eyre::WrapErr;
use rocket::{
    Build, Rocket, State, get,
    http::{ContentType, Status},
    routes,
    serde::json::Json,
};

use crate::{
    peer::{Coding, Export, Transfer},
    quota::members,
    shared::Shared,
};

/// How long callers may cache the addresses, if the platform's limit is not lower.
const RESOLVE_TTL: Duration = Duration::from_secs(4);

type JsonResult<T> = Result<Json<T>, Status>;

/// Serves the addresses that callers may connect to.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(shared: &Arc<Shared>, addr: SocketAddr) -> eyre::Result<Server> {
    serve(shared, addr, |rocket| rocket.mount("/", routes![resolve])).await
}

/// Serves the platform's readiness checks.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind_ready(shared: &Arc<Shared>, addr: SocketAddr) -> eyre::Result<Server> {
    serve(shared, addr, |rocket| rocket.mount("/", routes![ready])).await
}

/// Serves the current routes and targets to peers.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind_peers(shared: &Arc<Shared>, addr: SocketAddr) -> eyre::Result<Server> {
    serve(shared, addr, |rocket| {
        let rocket = rocket.manage(Export::default());
        rocket.mount("/", routes![peer_routes, peer_targets, peer_departures, peer_members])
    })
    .await
}

/// Serves the metrics.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind_metrics(shared: &Arc<Shared>, addr: SocketAddr) -> eyre::Result<Server> {
    serve(shared, addr, |rocket| rocket.mount("/", routes![metrics])).await
}

async fn serve(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> eyre::Result<Server> {
    let config = rocket::Config { workers: 1, max_blocking: 1, ..citron_daemon::config(addr) };
    let rocket = rocket::custom(config).manage(Arc::clone(shared));
    citron_daemon::bind(mount(rocket), addr).await.wrap_err("cannot start an HTTP server")
}

#[get("/v1/resolve?<zone>")]
fn resolve(shared: &State<Arc<Shared>>, zone: Option<&str>) -> JsonResult<ResolveResponse> {
    let settings = shared.settings();
    let own = shared.is_ready().then(|| OwnAddress {
        domain: &settings.domain,
        callers: settings.callers,
        accepts_keys: shared.accepts_keys(),
    });
    let now = shared.clock.now();
    shared.update_spreads();
    let domain = zone.unwrap_or_default();
    let mut addresses = shared.gateways.lock().answer(own, domain, now, &mut rand::rng());
    addresses.truncate(ADDRESSES_LIMIT);
    if addresses.is_empty() {
        return Err(Status::ServiceUnavailable);
    }
    let ttl_s = RESOLVE_TTL.min(settings.ttl_max).as_secs().max(1);
    Ok(Json(ResolveResponse { addresses, ttl_s }))
}

#[get("/v1/ready")]
fn ready(shared: &State<Arc<Shared>>) -> Status {
    if shared.is_ready() { Status::Ok } else { Status::ServiceUnavailable }
}

#[get("/routes")]
async fn peer_routes(
    shared: &State<Arc<Shared>>,
    export: &State<Export>,
    coding: Coding,
) -> Result<Transfer, Status> {
    let table = shared.routes().ok_or(Status::ServiceUnavailable)?;
    export.routes(&table, coding).await
}

#[get("/targets?<since>&<era>")]
async fn peer_targets(
    shared: &State<Arc<Shared>>,
    export: &State<Export>,
    coding: Coding,
    since: u64,
    era: Option<u64>,
) -> Result<Transfer, Status> {
    let position = Position { era: era.unwrap_or(0), revision: since };
    let update = {
        let targets = shared.targets.lock();
        if targets.catalog.position().revision == 0 {
            return Err(Status::ServiceUnavailable);
        }
        targets.catalog.since(position)
    };
    export.value(&update, coding).await
}

#[get("/departures")]
async fn peer_departures(
    shared: &State<Arc<Shared>>,
    export: &State<Export>,
    coding: Coding,
) -> Result<Transfer, Status> {
    let departures = shared.targets.lock().catalog.departures().clone();
    export.value(&departures, coding).await
}

#[get("/members")]
async fn peer_members(
    shared: &State<Arc<Shared>>,
    export: &State<Export>,
    coding: Coding,
) -> Result<Transfer, Status> {
    let list = members::export(shared).ok_or(Status::ServiceUnavailable)?;
    export.value(&list, coding).await
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<Shared>>) -> Result<(ContentType, Vec<u8>), Status> {
    citron_daemon::encode_metrics(&shared.metrics.registry).map_err(|error| {
        log::error!("event=metrics-failed reason={error:?}");
        Status::InternalServerError
    })
}
