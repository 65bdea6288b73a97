//! The admin HTTP server of a program: metrics, events and status.

use std::{net::SocketAddr, sync::Arc};

use citron::hlc::Stamp;
use prometheus::{Encoder, Registry, TextEncoder};
use rocket::{Build, Rocket, State, get, http::ContentType, routes, serde::json::Json};

use crate::{Recorder, Server, serve};

/// A running admin server.
pub type Admin = Server;

type Status = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Serves `/metrics`, `/events` and `/status` on `addr`, and the routes that `extend` mounts.
///
/// `status` returns the body of `/status`. `GET /events?after_ms=&after_logical=` returns the
/// events later than that stamp as a JSON list.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(
    addr: SocketAddr,
    registry: Registry,
    recorder: Recorder,
    status: impl Fn() -> serde_json::Value + Send + Sync + 'static,
    extend: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> Result<Admin, serve::Error> {
    let status: Status = Arc::new(status);
    let rocket = rocket::custom(serve::config(addr))
        .manage(registry)
        .manage(recorder)
        .manage(status)
        .mount("/", routes![metrics, events, show_status]);
    serve::bind(extend(rocket), addr).await
}

#[get("/metrics")]
fn metrics(registry: &State<Registry>) -> Result<(ContentType, Vec<u8>), String> {
    encode(registry)
}

/// Encodes the metrics of a registry as text, with the content type of the format.
///
/// # Errors
/// Fails if a metric cannot be encoded.
pub fn encode(registry: &Registry) -> Result<(ContentType, Vec<u8>), String> {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text).map_err(|error| error.to_string())?;
    Ok((ContentType::new("text", "plain").with_params(("version", "0.0.4")), text))
}

#[get("/events?<after_ms>&<after_logical>")]
fn events(
    recorder: &State<Recorder>,
    after_ms: Option<u64>,
    after_logical: Option<u32>,
) -> Json<Vec<citron::event::Event>> {
    let after = Stamp { wall_ms: after_ms.unwrap_or(0), logical: after_logical.unwrap_or(0) };
    Json(recorder.since(after))
}

#[get("/status")]
fn show_status(status: &State<Status>) -> Json<serde_json::Value> {
    Json(status())
}
