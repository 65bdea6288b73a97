//! Switches of the stand-in over HTTP, on the same port as the object API.

use std::{sync::Arc, time::Duration};

use citron_platform::Hosts;
use rocket::{Route, State, get, http::Status, post, put, routes, serde::json::Json};
use serde::Deserialize;

use super::{
    meter::Calls,
    serve::{Mode, Shared},
};

type Stand = State<Arc<Shared>>;

pub(super) fn routes() -> Vec<Route> {
    routes![set_hosts, set_mode, lose_answers, lose_writes, set_lag, calls]
}

#[derive(Deserialize)]
struct Count {
    count: u64,
}

#[derive(Deserialize)]
struct Lag {
    lag_ms: u64,
}

#[put("/hosts", data = "<hosts>")]
fn set_hosts(stand: &Stand, hosts: Json<Hosts>) -> Status {
    stand.hosts.lock().set(stand.clock.now(), hosts.into_inner());
    Status::Ok
}

#[post("/mode", data = "<mode>")]
fn set_mode(stand: &Stand, mode: Json<Mode>) -> Status {
    stand.set_mode(mode.into_inner());
    Status::Ok
}

#[post("/lose-answers", data = "<count>")]
fn lose_answers(stand: &Stand, count: Json<Count>) -> Status {
    *stand.lose_answers.lock() = count.into_inner().count;
    Status::Ok
}

#[post("/lose-writes", data = "<count>")]
fn lose_writes(stand: &Stand, count: Json<Count>) -> Status {
    *stand.lose_writes.lock() = count.into_inner().count;
    Status::Ok
}

#[post("/lag", data = "<lag>")]
fn set_lag(stand: &Stand, lag: Json<Lag>) -> Status {
    let lag = Duration::from_millis(lag.into_inner().lag_ms);
    stand.hosts.lock().set_lag(lag);
    Status::Ok
}

#[get("/calls")]
fn calls(stand: &Stand) -> Json<Calls> {
    Json(stand.meter.read())
}
