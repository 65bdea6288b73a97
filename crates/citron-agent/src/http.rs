//! HTTP routes: locate for callers, drain for operators, and the body of the status page.

use std::{
    collections::BTreeSet,
    sync::{Arc, OnceLock},
};

use citron::{member::State, placement};
use rocket::{Build, Rocket, get, http::Status, post, routes, serde::json::Json};
use serde::Serialize;
use serde_json::{Value, json};

use crate::core::Core;

/// The largest number of addresses in a locate response.
const MAX_ADDRESSES: usize = 6;

/// The proxies at which a caller reaches a service.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct LocateResponse {
    /// The service.
    pub service: String,
    /// How long the caller may cache the response, in milliseconds.
    pub ttl_ms: u64,
    /// Addresses `ip:port` in the order in which to try them.
    pub addresses: Vec<String>,
}

/// The agent's state; empty until the agent has started, as the HTTP server starts first.
pub type Slot = Arc<OnceLock<Arc<Core>>>;

/// A JSON response with its status: an error, or the result of a drain.
type JsonResponse = (Status, Json<Value>);

/// Mounts the locate and drain routes.
pub fn mount(rocket: Rocket<Build>, slot: Slot) -> Rocket<Build> {
    rocket.manage(slot).mount("/", routes![show_locate, drain])
}

#[get("/locate/<service>?<customer>")]
fn show_locate(
    slot: &rocket::State<Slot>,
    service: &str,
    customer: Option<&str>,
) -> Result<Json<LocateResponse>, JsonResponse> {
    let core = started_core(slot)?;
    let Some(customer) = customer.filter(|customer| !customer.is_empty()) else {
        let message = "name the customer, as in /locate/SERVICE?customer=NAME";
        return Err(error_response(Status::BadRequest, message));
    };
    if core.revision() == 0 {
        return Err(error_response(
            Status::ServiceUnavailable,
            "no policy is known here yet; ask again",
        ));
    }
    if !core.policy().grants.services.contains_key(service) {
        return Err(error_response(Status::NotFound, "the policy names no such service"));
    }
    let addresses = locate(core, customer, service);
    if addresses.is_empty() {
        return Err(error_response(
            Status::ServiceUnavailable,
            "no proxy can be named now; ask again",
        ));
    }
    core.metrics.locates.inc();
    let ttl_ms = core.settings.ttl.as_millis() as u64;
    Ok(Json(LocateResponse { service: service.to_owned(), ttl_ms, addresses }))
}

#[post("/drain")]
fn drain(slot: &rocket::State<Slot>) -> Result<JsonResponse, JsonResponse> {
    let core = started_core(slot)?;
    core.drain();
    Ok((Status::Accepted, Json(json!({ "host": core.settings.host, "state": "leaving" }))))
}

fn started_core(slot: &Slot) -> Result<&Arc<Core>, JsonResponse> {
    slot.get()
        .ok_or_else(|| error_response(Status::ServiceUnavailable, "the agent starts; ask again"))
}

fn error_response(status: Status, message: &str) -> JsonResponse {
    (status, Json(json!({ "error": message })))
}

/// Returns the addresses of proxies for a customer and service, in the order in which to try them.
pub fn locate(core: &Core, customer: &str, service: &str) -> Vec<String> {
    let (entries, leaving): (Vec<(String, String)>, BTreeSet<String>) = core.with_lists(|lists| {
        let entries = lists.entries.iter().map(|(name, e)| (name.to_owned(), e.domain.clone()));
        let leaving = lists
            .entries
            .iter()
            .filter(|(_, entry)| entry.state() == citron_wire::MemberState::Leaving);
        (entries.collect(), leaving.map(|(name, _)| name.to_owned()).collect())
    });
    core.with_members(|members| {
        let listed: Vec<placement::Host<'_>> =
            entries.iter().map(|(name, domain)| placement::Host { name, domain }).collect();
        let records: Vec<_> = std::iter::once(members.me())
            .chain(members.others().map(|member| &member.record))
            .collect();
        let known: Vec<placement::Host<'_>> = records
            .iter()
            .map(|record| placement::Host { name: &record.host, domain: &record.domain })
            .collect();
        let record = |host: &str| records.iter().find(|record| record.host == host);
        let usable = |host: &str| {
            !leaving.contains(host)
                && record(host).is_some_and(|record| {
                    record.state == State::Alive && !record.addresses.proxy.is_empty()
                })
        };
        placement::locate(customer, service, &listed, &known, usable, MAX_ADDRESSES)
            .into_iter()
            .filter_map(record)
            .map(|record| record.addresses.proxy.clone())
            .collect()
    })
}

/// Returns the body of `/status`.
pub fn status(core: &Core) -> Value {
    let (revision, term, holder) = core.with_policy(|copy| {
        let head = copy.applied().map(|applied| applied.head.clone()).unwrap_or_default();
        (head.revision, head.term, head.holder)
    });
    let (hosts_version, targets) =
        core.with_lists(|lists| (lists.targets.version(), lists.targets.len()));
    let listed = core.listed();
    let synced = *core.synced().borrow();
    core.with_members(|members| {
        let me = members.me();
        let others: Vec<Value> = members
            .others()
            .map(|member| {
                let record = &member.record;
                json!({
                    "host": record.host, "domain": record.domain, "state": record.state.to_string(),
                    "incarnation": record.incarnation, "listed": member.listed,
                    "proxy": record.addresses.proxy, "admin": record.addresses.admin,
                    "revision": record.revision,
                    "hears": member.path.inbound, "heard": member.path.outbound,
                })
            })
            .collect();
        json!({
            "program": "citron-agent", "host": me.host, "domain": me.domain,
            "state": me.state.to_string(), "incarnation": me.incarnation,
            "listed": listed.contains(&me.host), "synced": synced,
            "revision": revision, "term": term, "holder": holder,
            "proxy": me.addresses.proxy, "proxy_revision": me.revision,
            "hosts_version": hosts_version, "targets": targets,
            "watcher": core.metrics.watcher.get() == 1,
            "members": others,
        })
    })
}
