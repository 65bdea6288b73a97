//! A store that comes back from an older copy.

mod support;

use std::time::Duration;

use citron_gateway::Gateway;
use serde_json::Value;
use support::{
    Request, TestFleet,
    caller::Caller,
    config, eventually, gateway, lookup, ready,
    store::{Copy, Mood},
};
use tokio::time;

/// Returns a configuration whose lookups have another path.
fn moved(version: &str) -> Value {
    let mut spec = config(version, 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    spec
}

async fn status(gateway: &Gateway, path: &str) -> u16 {
    let mut caller = Caller::connect(gateway.callers()).await;
    caller.send(&Request { path, ..lookup("id-1") }.text()).await;
    caller.answer().await.status
}

/// Writes other objects so that the store's revision rises by `count`.
fn raise_revision(fleet: &TestFleet, count: usize) {
    for n in 0..count {
        fleet.store.put("others", "one", serde_json::json!(n));
    }
}

/// Lets the store be away for a moment and come back from `copy`.
async fn come_back(fleet: &TestFleet, copy: Copy, away: Duration) {
    fleet.store.set(Mood::Silent);
    time::sleep(away).await;
    fleet.store.restore(copy);
    fleet.store.set(Mood::Well);
}

macro_rules! target_that_leaves_after_the_return_gets_no_requests {
    ($($name:ident: away for $away_ms:literal ms, $written:literal changes at once;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(2).await;
            let mut others = Vec::new();
            for host in ["entry-2", "entry-3", "entry-4"] {
                let other = gateway(host, &fleet.store).await;
                eventually("the other is ready", async || ready(&other).await == 200).await;
                others.push(other);
            }
            let copy = fleet.store.copy();
            raise_revision(&fleet, 20);
            fleet.store.put("servers", "new", fleet.targets[0].entry("draining"));
            time::sleep(Duration::from_millis(1500)).await;
            let draining = &fleet.targets[0];
            come_back(&fleet, copy, Duration::from_millis($away_ms)).await;
            fleet.store.put("servers", &draining.id, draining.entry("draining"));
            raise_revision(&fleet, $written);
            time::sleep(Duration::from_millis(1900)).await;
            let gateways = [&fleet.gateway].into_iter().chain(&others);
            for (index, gateway) in gateways.enumerate() {
                for n in 0..10 {
                    let id = format!("id-{index}-{n}");
                    let mut caller = Caller::connect(gateway.callers()).await;
                    caller.send(&lookup(&id).text()).await;
                    assert_eq!(caller.answer().await.status, 200, "gateway {index}");
                    assert_eq!(draining.runs(&id), 0, "gateway {index}");
                }
            }
        }
    )*};
}

target_that_leaves_after_the_return_gets_no_requests! {
    a_list_of_a_store_that_came_back_older_is_taken: away for 1500 ms, 0 changes at once;
    a_list_of_a_store_that_came_back_older_at_once_is_taken: away for 50 ms, 0 changes at once;
    a_watch_whose_revision_the_store_has_passed_again_skips_no_change:
        away for 50 ms, 60 changes at once;
}

#[tokio::test]
async fn a_change_after_the_store_came_back_older_is_in_force_within_a_second() {
    let fleet = TestFleet::start(1).await;
    let copy = fleet.store.copy();
    raise_revision(&fleet, 20);
    fleet.store.put("config", "main", config("r2", 1.0));
    time::sleep(Duration::from_millis(1000)).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    time::sleep(Duration::from_millis(1000)).await;
    fleet.store.put("config", "main", moved("r3"));
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(status(&fleet.gateway, "/moved/1").await, 200);
}

#[tokio::test]
async fn a_configuration_that_the_store_lost_stays_in_force() {
    let fleet = TestFleet::start(1).await;
    let copy = fleet.store.copy();
    fleet.store.put("config", "main", moved("r2"));
    eventually("it is in force", async || status(&fleet.gateway, "/moved/1").await == 200).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    for _ in 0..20 {
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(status(&fleet.gateway, "/moved/1").await, 200);
    }
}

#[tokio::test]
async fn a_gateway_that_starts_takes_no_configuration_that_came_back_older() {
    let fleet = TestFleet::start(1).await;
    let copy = fleet.store.copy();
    fleet.store.put("config", "main", moved("r2"));
    eventually("it is in force", async || status(&fleet.gateway, "/moved/1").await == 200).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    let late = gateway("entry-2", &fleet.store).await;
    eventually("it is ready", async || ready(&late).await == 200).await;
    assert_eq!(status(&late, "/moved/1").await, 200);
}

#[tokio::test]
async fn a_gateway_that_starts_sends_nothing_to_a_target_whose_leaving_the_store_lost() {
    let fleet = TestFleet::start(2).await;
    let copy = fleet.store.copy();
    let draining = &fleet.targets[0];
    fleet.store.put("servers", &draining.id, draining.entry("draining"));
    time::sleep(Duration::from_millis(1000)).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    let late = gateway("entry-2", &fleet.store).await;
    eventually("it is ready", async || ready(&late).await == 200).await;
    for n in 0..20 {
        let id = format!("id-{n}");
        let mut caller = Caller::connect(late.callers()).await;
        caller.send(&lookup(&id).text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert_eq!(draining.runs(&id), 0);
    }
}

#[tokio::test]
async fn a_registration_that_the_store_lost_is_written_again() {
    let fleet = TestFleet::start(1).await;
    fleet.store.delete("citron-gateways", "entry-1");
    let copy = fleet.store.copy();
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    eventually("it is registered", async || {
        fleet.store.get("citron-gateways", "entry-1").is_some()
    })
    .await;
}

/// A target without an entry may have left; an older copy of its entry says nothing.
#[tokio::test]
async fn a_target_whose_removal_the_store_lost_gets_no_requests() {
    let fleet = TestFleet::start(2).await;
    // A gateway that started lately keeps what vanishes, as after an outage.
    time::sleep(Duration::from_millis(2200)).await;
    let copy = fleet.store.copy();
    let removed = &fleet.targets[0];
    fleet.store.delete("servers", &removed.id);
    time::sleep(Duration::from_millis(1000)).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    for n in 0..40 {
        time::sleep(Duration::from_millis(50)).await;
        let id = format!("id-{n}");
        assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
        assert_eq!(removed.runs(&id), 0);
    }
    let mut entry = removed.entry("ready");
    entry["status"]["sequence"] = 9.into();
    fleet.store.put("servers", &removed.id, entry);
    time::sleep(Duration::from_millis(1000)).await;
    let mut runs = 0;
    for n in 0..20 {
        let id = format!("back-{n}");
        assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
        runs += removed.runs(&id);
    }
    assert!(runs > 0, "a newer entry shows that it is back");
}

/// The entry of a target that registered in the lost span comes back only with its next heartbeat.
#[tokio::test]
async fn a_target_whose_entry_the_store_lost_is_kept_for_two_seconds() {
    let fleet = TestFleet::start(1).await;
    let copy = fleet.store.copy();
    let lost = support::target::Target::bind("t9").await;
    fleet.store.put("servers", &lost.id, lost.entry("ready"));
    fleet.store.delete("servers", "t0");
    time::sleep(Duration::from_millis(1000)).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    fleet.store.delete("servers", "t0");
    for n in 0..8 {
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(fleet.send(&lookup(&format!("id-{n}"))).await.status, 200);
    }
    time::sleep(Duration::from_millis(1400)).await;
    assert_eq!(fleet.send(&lookup("id-9")).await.status, 503, "its entry did not come back");
}

#[tokio::test]
async fn a_store_that_came_back_older_is_not_called_more_than_before() {
    let fleet = TestFleet::start(1).await;
    let copy = fleet.store.copy();
    raise_revision(&fleet, 20);
    time::sleep(Duration::from_millis(1500)).await;
    let before = calls_in_three_seconds(&fleet).await;
    come_back(&fleet, copy, Duration::from_millis(50)).await;
    time::sleep(Duration::from_millis(1500)).await;
    let after = calls_in_three_seconds(&fleet).await;
    assert!(after <= before + 2, "{after} calls of a calm store, {before} before");
}

async fn calls_in_three_seconds(fleet: &TestFleet) -> u64 {
    let before = fleet.store.calls();
    time::sleep(Duration::from_secs(3)).await;
    fleet.store.calls() - before
}
