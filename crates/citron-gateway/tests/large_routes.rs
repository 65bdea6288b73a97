//! Configurations near the largest size that the store holds, over slow links and in quick
//! succession, from the store and from peers.

mod support;

use std::time::{Duration, Instant};

use citron::position::Position;
use citron_gateway::Gateway;
use citron_stand::relay::{self, Relay};
use serde_json::{Value, json};
use support::{
    OBJECT_BYTES, Request, TestFleet,
    caller::Caller,
    config, eventually, gateway_at, lookup,
    peer::{Act, Peer},
    ready,
    store::{Mood, Store},
    target::Target,
};
use tokio::time;

/// The size that one route adds to a configuration, in bytes.
const ROUTE_BYTES: usize = 200;

/// Returns a configuration of about `bytes` whose lookups have the path `path`.
fn large(version: u64, path: &str, bytes: usize) -> Value {
    let mut spec = config(&format!("r{version}"), 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = path.into();
    let paths: Vec<Value> = (0..bytes / ROUTE_BYTES)
        .map(|n| {
            let name = name_of(version, n);
            json!({"name": format!("r-{name}"), "pathPrefix": format!("/{name}/"),
                "routeType": "safe", "timeoutS": 1.0, "targetLatencyS": 0.2, "priority": 2,
                "maxAttempts": 2, "service": "desk"})
        })
        .collect();
    spec["hosts"]
        .as_array_mut()
        .expect("hosts")
        .push(json!({"host": "bulk.example", "paths": paths}));
    spec
}

/// Returns a name that compresses badly.
fn name_of(version: u64, n: usize) -> String {
    let mixed = (n as u64 + version * 1_000_003).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}{mixed:016x}", mixed.wrapping_mul(0xd6e8_feb8_6659_fd93))
}

async fn status(gateway: &Gateway, path: &str) -> u16 {
    let mut caller = Caller::connect(gateway.callers()).await;
    caller.send(&Request { path, ..lookup("id-1") }.text()).await;
    caller.answer().await.status
}

/// Waits until `path` is served, and returns how long that took.
async fn served(gateway: &Gateway, path: &str) -> Duration {
    let begun = Instant::now();
    eventually("the route is served", async || status(gateway, path).await == 200).await;
    begun.elapsed()
}

async fn slow_link(store: &Store, bytes_per_s: u64) -> Relay {
    let relay = relay::bind("127.0.0.1:0".parse().expect("an address"), store.addr());
    let relay = relay.await.expect("a relay");
    relay.limit_rate(bytes_per_s);
    relay
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_starts_with_routes_that_take_longer_than_a_call_to_arrive() {
    let store = Store::bind().await;
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    store.put("config", "main", large(2, "/moved/", 900_000));
    let link = slow_link(&store, 300_000).await;
    let alone = gateway_at("entry-1", link.addr()).await;
    eventually("it is ready", async || ready(&alone).await == 200).await;
    assert_eq!(status(&alone, "/moved/1").await, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_that_are_arriving_are_not_begun_anew_for_a_peer_that_is_ahead() {
    const BYTES: usize = 600_000;
    let fleet = TestFleet::start(1).await;
    let link = slow_link(&fleet.store, 300_000).await;
    let slow = gateway_at("entry-2", link.addr()).await;
    eventually("it is ready", async || ready(&slow).await == 200).await;
    time::sleep(Duration::from_millis(500)).await;
    let before = link.passed();
    fleet.store.put("config", "main", large(2, "/moved/", BYTES));
    served(&slow, "/moved/1").await;
    time::sleep(Duration::from_secs(5)).await;
    let passed = link.passed() - before;
    assert!(passed < BYTES as u64 * 3 / 2, "{passed} bytes for a configuration of {BYTES}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_configurations_in_quick_succession_are_in_force_in_time() {
    let fleet = TestFleet::start(1).await;
    time::sleep(Duration::from_millis(500)).await;
    let spec = large(2, "/lots/", OBJECT_BYTES - 60_000);
    for version in 2..26 {
        let mut spec = spec.clone();
        spec["version"] = format!("r{version}").into();
        fleet.store.put("config", "main", spec);
    }
    fleet.store.put("config", "main", config("r26", 1.0));
    let mut last = config("r27", 1.0);
    last["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    fleet.store.put("config", "main", last);
    let took = served(&fleet.gateway, "/moved/1").await;
    assert!(took < Duration::from_secs(2), "the last one is in force after {took:?}");
}

/// Starts a gateway whose store refuses it, and a peer that is ahead of it.
async fn with_peer(routes: Act, targets: Act) -> (TestFleet, Peer) {
    let fleet = TestFleet::start(1).await;
    fleet.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(300)).await;
    let peer = Peer::bind(&fleet.store, "entry-1", routes, targets).await;
    (fleet, peer)
}

/// Returns the routes as a gateway sends them to its peers.
fn table(spec: Value) -> Vec<u8> {
    let metadata = json!({"name": "main", "revision": 7});
    let object = citron_adapter::store::Object {
        name: metadata["name"].as_str().expect("a name").to_owned(),
        revision: 7,
        spec,
        status: Value::Null,
    };
    let draft = citron_adapter::routes::decode(&object).expect("a configuration");
    let settled = draft.settle(Position::default(), None, None).expect("a table");
    serde_json::to_vec(&settled.table).expect("an encoded table")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_of_a_peer_are_received_while_they_make_progress() {
    let body = table(large(1_000_000, "/moved/", 500_000));
    let part = body.len() / 20;
    let routes = Act::Send { body, part, pause: Duration::from_millis(120) };
    let (fleet, _peer) = with_peer(routes, Act::Refuse).await;
    let took = served(&fleet.gateway, "/moved/1").await;
    assert!(took < Duration::from_secs(5), "in force after {took:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_refuses_is_asked_less_often() {
    let (_fleet, peer) = with_peer(Act::Refuse, Act::Refuse).await;
    time::sleep(Duration::from_secs(4)).await;
    let calls = peer.calls();
    assert!(calls <= 24, "{calls} pulls of routes and targets in four seconds");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_leaves_is_learned_of_while_routes_are_arriving() {
    let body = table(large(1_000_000, "/moved/", 500_000));
    let routes = Act::Send { body, part: 20_000, pause: Duration::from_millis(500) };
    let changes = json!({"Changes": [1_000_000, [{"Gone": "t0"}]]});
    let body = serde_json::to_vec(&changes).expect("an encoded change");
    let targets = Act::Send { body, part: 4096, pause: Duration::ZERO };
    let (fleet, _peer) = with_peer(routes, targets).await;
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&fleet.gateway, "/lots/1").await, 503, "its only target has left");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_that_a_peer_gave_are_not_sent_once_more_by_the_store() {
    const BYTES: usize = 600_000;
    let fleet = TestFleet::start(1).await;
    let link = slow_link(&fleet.store, 2_000_000).await;
    let other = gateway_at("entry-2", link.addr()).await;
    eventually("it is ready", async || ready(&other).await == 200).await;
    time::sleep(Duration::from_millis(500)).await;
    link.cut(relay::Cut { to_server: true, to_client: true, existing_only: false });
    fleet.store.put("config", "main", large(2, "/moved/", BYTES));
    served(&other, "/moved/1").await;
    let before = link.passed();
    link.cut(relay::Cut::default());
    time::sleep(Duration::from_secs(3)).await;
    let passed = link.passed() - before;
    assert!(passed < BYTES as u64 / 2, "{passed} bytes after the return of the store");
}
