//! Whose requests are accepted where the configuration has customers, and what their targets see.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Request, TestFleet, config, eventually, lookup, order, ready, resolve, running_clock,
    store::{Mood, Store},
    target::Target,
};
use tokio::time;

/// How long a removed key may be accepted in these cases.
const REVOKE_WITHIN: Duration = Duration::from_secs(2);

fn customers(version: &str, north: &[&str]) -> Value {
    let mut config = config(version, 1.0);
    config["tenants"] = json!([
        {"name": "north", "apiKeys": north, "priority": 0},
        {"name": "south", "apiKeys": ["key-3"], "ratePerS": 0, "burst": 0},
    ]);
    config["hosts"][0]["paths"][2]["anonymous"] = json!(true);
    config
}

async fn store() -> Store {
    let store = Store::bind().await;
    store.put("config", "main", customers("r1", &["key-1", "key-2"]));
    store
}

async fn fleet() -> TestFleet {
    let store = store().await;
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    let settings = support::Settings {
        revoke_within: Some(REVOKE_WITHIN),
        ..support::settings("entry-1", store.addr(), support::BOUND)
    };
    let gateway = support::Gateway::bind(settings, None, running_clock()).await.expect("a gateway");
    let fleet = TestFleet { store, targets: vec![target], gateway };
    fleet.wait_ready().await;
    eventually("the keys are confirmed", async || {
        let request = Request { extra: "Api-Key: key-3\r\n", ..lookup("warm-up") };
        fleet.send(&request).await.status == 200
    })
    .await;
    fleet
}

macro_rules! rejected {
    ($name:ident, $extra:literal) => {
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            let answer = fleet.send(&Request { extra: $extra, ..order("id-1") }).await;
            assert_eq!(answer.status, 401);
            assert_eq!(fleet.targets[0].runs("id-1"), 0);
        }
    };
}

rejected!(no_key, "");
rejected!(an_empty_key, "Api-Key:\r\n");
rejected!(an_unknown_key, "Api-Key: key-9\r\n");
rejected!(two_keys, "Api-Key: key-1\r\nApi-Key: key-3\r\n");
rejected!(the_same_key_twice, "Api-Key: key-1\r\nApi-Key: key-1\r\n");
rejected!(a_key_with_a_scheme, "Api-Key: Bearer key-1\r\n");
rejected!(only_the_name_of_a_customer, "Tenant: north\r\n");

#[tokio::test]
async fn a_target_sees_the_customer_and_not_the_key() {
    let fleet = fleet().await;
    let extra = "Api-Key: key-2\r\nTenant: south\r\nTenant: west\r\n";
    assert_eq!(fleet.send(&Request { extra, ..order("id-1") }).await.status, 200);
    let seen = fleet.targets[0].seen();
    let seen = seen.iter().find(|seen| seen.headers["attempt-id"] == "id-1").expect("it ran");
    assert_eq!(seen.headers["tenant"], "north");
    assert!(!seen.headers.contains_key("api-key"));
}

#[tokio::test]
async fn an_open_route_takes_requests_without_a_key_and_shows_neither_header() {
    let fleet = fleet().await;
    let extra = "Api-Key: key-1\r\nTenant: north\r\n";
    for (id, extra) in [("id-1", ""), ("id-2", extra)] {
        assert_eq!(fleet.send(&Request { extra, ..support::download(id) }).await.status, 200);
    }
    for seen in fleet.targets[0].seen().iter().filter(|s| s.headers["attempt-id"] != "warm-up") {
        assert!(!seen.headers.contains_key("api-key") && !seen.headers.contains_key("tenant"));
    }
}

#[tokio::test]
async fn pipelined_requests_have_a_customer_each() {
    let fleet = fleet().await;
    let mut caller = fleet.caller().await;
    let keys = ["key-1", "key-3", "key-9", "key-2"];
    let text = |(n, key): (usize, &&str)| {
        let (id, extra) = (format!("id-{n}"), format!("Api-Key: {key}\r\n"));
        Request { extra: &extra, ..lookup(&id) }.text()
    };
    caller.send(&keys.iter().enumerate().map(text).collect::<String>()).await;
    let mut statuses = Vec::new();
    for _ in keys {
        statuses.push(caller.answer().await.status);
    }
    assert_eq!(statuses, [200, 200, 401, 200]);
}

#[tokio::test]
async fn a_removed_key_is_refused_and_the_others_are_not() {
    let fleet = fleet().await;
    fleet.store.put("config", "main", customers("r2", &["key-1"]));
    eventually("the removed key is refused", async || {
        let request = Request { extra: "Api-Key: key-2\r\n", ..lookup("probe") };
        fleet.send(&request).await.status == 401
    })
    .await;
    let request = Request { extra: "Api-Key: key-1\r\n", ..order("id-1") };
    assert_eq!(fleet.send(&request).await.status, 200);
}

/// All gateways start again and nothing changes in the store: its first list may be stale and confirms
/// nothing, and a watch would return nothing for long.
#[tokio::test]
async fn keys_are_accepted_soon_after_a_restart() {
    let store = store().await;
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    let free = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let datagrams = free.local_addr().expect("its address");
    drop(free);
    store.put("citron-gateways", "entry-1", json!({ "datagrams": datagrams }));
    let settings = support::Settings {
        revoke_within: Some(REVOKE_WITHIN),
        internal_port: datagrams.port(),
        ..support::settings("entry-1", store.addr(), support::BOUND)
    };
    let gateway = support::Gateway::bind(settings, None, running_clock()).await.expect("a gateway");
    let targets = vec![target];
    let fleet = TestFleet { store, targets, gateway };
    fleet.wait_ready().await;
    let began = time::Instant::now();
    eventually("keys are accepted", async || {
        fleet.send(&Request { extra: "Api-Key: key-1\r\n", ..lookup("probe") }).await.status == 200
    })
    .await;
    assert!(began.elapsed() < Duration::from_secs(1), "after {:?}", began.elapsed());
}

/// A gateway that has no store may not hear that a key was removed: it stops to accept keys within the
/// bound, keeps open routes, sends callers elsewhere if it can, and goes on once the store is back.
#[tokio::test]
async fn keys_lapse_without_the_store_and_come_back_with_it() {
    let fleet = fleet().await;
    fleet.store.set(Mood::Silent);
    let cut_at = time::Instant::now();
    time::sleep(REVOKE_WITHIN).await;
    let request = Request { extra: "Api-Key: key-1\r\n", ..order("id-1") };
    let answer = fleet.send(&request).await;
    assert_eq!(answer.status, 503, "{:?} after the cut", cut_at.elapsed());
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fleet.targets[0].runs("id-1"), 0);
    assert_eq!(fleet.send(&support::download("id-2")).await.status, 200);
    assert_eq!(ready(&fleet.gateway).await, 200);
    assert_eq!(resolve(&fleet.gateway).await.0, 200, "a lone gateway still names itself");
    fleet.store.set(Mood::Well);
    eventually("keys are accepted again", async || {
        fleet.send(&Request { extra: "Api-Key: key-1\r\n", ..lookup("probe") }).await.status == 200
    })
    .await;
}
