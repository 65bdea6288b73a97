//! Versions of the configuration of which a part, or all, cannot be read.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Request, TestFleet, config, eventually, lookup, order, running_clock, store::Store,
    target::Target,
};
use tokio::time;

/// How long a removed key may be accepted in these cases.
const REVOKE_WITHIN: Duration = Duration::from_secs(2);
const NORTH: &str = "Api-Key: key-1\r\n";
const SOUTH: &str = "Api-Key: key-2\r\n";

/// Returns a configuration with the customers `north` and `south`; `south` may have no key any more.
fn customers(version: &str, has_south: bool) -> Value {
    let mut config = config(version, 1.0);
    let south = if has_south { vec!["key-2"] } else { Vec::new() };
    config["tenants"] =
        json!([{"name": "north", "apiKeys": ["key-1"]}, {"name": "south", "apiKeys": south}]);
    config["hosts"][0]["paths"][2]["anonymous"] = json!(true);
    config
}

fn settings(store: &Store) -> support::Settings {
    support::Settings {
        revoke_within: Some(REVOKE_WITHIN),
        ..support::settings("entry-1", store.addr(), support::BOUND)
    }
}

/// Starts a gateway under `config`, which accepts the key of `north`.
async fn fleet(config: Value) -> TestFleet {
    fleet_with(config, false).await
}

/// Starts the same as the first process of its host, so that quotas are granted at once.
async fn fleet_of_new_hosts(config: Value) -> TestFleet {
    fleet_with(config, true).await
}

async fn fleet_with(config: Value, is_first_start: bool) -> TestFleet {
    let store = Store::bind().await;
    store.put("config", "main", config);
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    let settings = support::Settings { is_first_start, ..settings(&store) };
    let gateway = support::Gateway::bind(settings, None, running_clock()).await;
    let fleet = TestFleet { store, targets: vec![target], gateway: gateway.expect("a gateway") };
    fleet.wait_ready().await;
    eventually("the keys are confirmed", async || status(&fleet, NORTH).await == 200).await;
    fleet
}

async fn status(fleet: &TestFleet, extra: &str) -> u16 {
    fleet.send(&Request { extra, ..lookup("probe") }).await.status
}

/// Names a version that is odd in one part and takes the key of `south` away: it is dead within its
/// bound, and the key of `north` is served all the while.
macro_rules! odd_version {
    ($($name:ident: $pointer:literal = $value:tt;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet(customers("r1", true)).await;
            assert_eq!(status(&fleet, SOUTH).await, 200);
            let mut config = customers("r2", false);
            *config.pointer_mut($pointer).expect("a field of the case") = json!($value);
            fleet.store.put("config", "main", config);
            let acked_at = time::Instant::now();
            while acked_at.elapsed() < REVOKE_WITHIN {
                assert_eq!(status(&fleet, NORTH).await, 200, "{:?} after the ack", acked_at.elapsed());
                time::sleep(Duration::from_millis(50)).await;
            }
            for n in 0..40 {
                let id = format!("late-{n}");
                let answer = fleet.send(&Request { extra: SOUTH, ..order(&id) }).await;
                assert_ne!(answer.status, 200, "{:?} after the ack", acked_at.elapsed());
                assert_eq!(fleet.targets[0].runs(&id), 0);
                assert_eq!(status(&fleet, NORTH).await, 200, "{:?} after the ack", acked_at.elapsed());
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    )*};
}

// Guards against a version that is rejected as a whole for one value, and confirms the one before all the
// same, so that the keys that it takes away stay valid (review/13).
odd_version! {
    a_weight_with_a_fraction_keeps_no_key_valid:
        "/hosts/0/paths/0" = {"name": "lots", "pathPrefix": "/lots/", "routeType": "safe", "timeoutS": 1,
            "backends": [{"service": "desk", "weight": 99.5}, {"service": "desk", "weight": 0.5}]};
    a_name_with_a_space_keeps_no_key_valid: "/tenants/1/name" = "south west";
    a_customer_of_another_type_keeps_no_key_valid: "/tenants/1" = 7;
    keys_of_another_type_keep_no_key_valid: "/tenants/1/apiKeys" = "key-9";
    a_version_of_another_form_keeps_no_key_valid: "/version" = "2";
    limits_of_another_type_keep_no_key_valid: "/limits" = "none";
    services_of_another_type_keep_no_key_valid: "/services" = null;
    a_route_of_another_type_keeps_no_key_valid: "/hosts/0/paths/1/timeoutS" = "long";
}

/// A gateway that cannot read a version at all does not confirm the one before: it accepts no key after
/// the bound, serves open routes, and goes on with the next version that it can read.
#[tokio::test]
async fn a_version_that_cannot_be_read_at_all_confirms_nothing() {
    let fleet = fleet(customers("r1", true)).await;
    fleet.store.put("config", "main", json!("r2"));
    time::sleep(REVOKE_WITHIN).await;
    for n in 0..20 {
        let id = format!("late-{n}");
        let answer = fleet.send(&Request { extra: SOUTH, ..order(&id) }).await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(fleet.targets[0].runs(&id), 0);
        // A change of something else is a response that shows nothing new of the configuration.
        fleet.store.put("config", "other", json!({ "n": n }));
        time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(fleet.send(&support::download("open")).await.status, 200);
    fleet.store.put("config", "main", customers("r3", false));
    eventually("the next version is in force", async || status(&fleet, NORTH).await == 200).await;
    assert_eq!(status(&fleet, SOUTH).await, 401);
}

/// After a kill of all processes nothing of before is known: what can be read serves.
#[tokio::test]
async fn a_first_start_under_an_odd_version_serves_what_can_be_read() {
    let mut config = customers("r2", true);
    config["tenants"][1]["ratePerS"] = json!("many");
    config["hosts"][0]["paths"][1]["backends"] = json!([{"service": "desk", "weight": "all"}]);
    config["limits"]["maxBodyBytes"] = json!(null);
    let fleet = fleet(config).await;
    assert_eq!(status(&fleet, NORTH).await, 200);
    assert_eq!(status(&fleet, SOUTH).await, 503, "its quota is not known");
    let answer = fleet.send(&Request { extra: NORTH, ..order("id-1") }).await;
    assert_eq!(answer.status, 503, "the services of its route are not known");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(status(&fleet, "Api-Key: key-9\r\n").await, 401, "all keys are known");
}

/// Numbers of any size are allowed: none makes a sum overflow, and requests are served under all of them.
#[tokio::test]
async fn numbers_of_any_size_are_in_force() {
    for (version, number) in [("r2", 1e300), ("r3", 1e-300), ("r4", 1e18), ("r5", 0.5)] {
        let mut config = customers(version, true);
        for limit in ["maxHeaderBytes", "maxBodyBytes", "headerTimeoutS", "idleTimeoutS"] {
            config["limits"][limit] = json!(f64::max(number, 9000.0));
        }
        config["services"][0]["maxConns"] = json!(f64::max(number, 1.0));
        config["tenants"][0]["ratePerS"] = json!(number);
        config["tenants"][0]["burst"] = json!(f64::max(number, 3.0));
        config["tenants"][0]["priority"] = json!(number);
        let route = &mut config["hosts"][0]["paths"][0];
        route["timeoutS"] = json!(f64::max(number, 1.0));
        route["targetLatencyS"] = json!(number);
        route["maxAttempts"] = json!(number);
        route["priority"] = json!(number);
        route["backends"] =
            json!([{"service": "desk", "weight": number}, {"service": "desk", "weight": 1}]);
        let fleet = fleet_of_new_hosts(config).await;
        assert_eq!(status(&fleet, NORTH).await, 200, "{number}");
        assert_eq!(status(&fleet, SOUTH).await, 200, "{number}");
        for _ in 0..4 {
            let answer = fleet.send(&Request { extra: NORTH, ..lookup("more") }).await;
            assert!([200, 429].contains(&answer.status), "{number}: {answer:?}");
        }
        assert_eq!(fleet.send(&support::download("open")).await.status, 200, "{number}");
    }
}
