//! Routes and targets as the store tells them, and what callers see when it fails.

mod support;

use std::time::Duration;

use support::{
    Request, World, config, eventually, gateway, lookup, order, ready, resolve,
    store::{Mood, Store},
};
use tokio::time;

#[tokio::test]
async fn a_gateway_without_routes_is_not_ready_and_refuses_truthfully() {
    let store = Store::bind().await;
    let gateway = gateway("entry-1", &store).await;
    assert_eq!(ready(&gateway).await, 503);
    assert_eq!(resolve(&gateway).await.0, 503);
    let mut caller = support::caller::Caller::connect(gateway.callers()).await;
    caller.send(&order("id-1").text()).await;
    let answer = caller.answer().await;
    assert_eq!(answer.status, 503, "never 404 while nothing is known");
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_ready_gateway_gives_its_address() {
    let world = World::start(1).await;
    let (status, answer) = resolve(&world.gateway).await;
    assert_eq!(status, 200);
    assert_eq!(answer["addresses"][0], world.gateway.callers().to_string());
    let keep = answer["ttlS"].as_u64().expect("a number");
    assert!((1..=5).contains(&keep));
}

#[tokio::test]
async fn a_new_configuration_is_in_force_within_two_seconds() {
    let world = World::start(1).await;
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    world.store.put("config", "main", spec);
    time::sleep(Duration::from_millis(1500)).await;
    let moved = Request { path: "/moved/1", ..lookup("id-1") };
    assert_eq!(world.ask(&moved).await.status, 200);
    assert_eq!(world.ask(&lookup("id-2")).await.status, 404);
}

#[tokio::test]
async fn an_older_configuration_changes_nothing() {
    let world = World::start(1).await;
    let mut old = config("r0", 1.0);
    old["hosts"] = serde_json::json!([]);
    world.store.put("config", "main", old);
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(world.ask(&lookup("id-1")).await.status, 200);
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_leaves_the_last_one_in_force() {
    let world = World::start(1).await;
    world.store.put("config", "main", serde_json::json!({"version": "r9", "hosts": 7}));
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(world.ask(&lookup("id-1")).await.status, 200);
    world.store.put("config", "main", config("r10", 1.0));
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(world.ask(&lookup("id-2")).await.status, 200);
}

#[tokio::test]
async fn a_draining_target_gets_no_work_within_two_seconds() {
    let world = World::start(2).await;
    let leaving = &world.targets[0];
    world.store.put("servers", &leaving.id, leaving.entry("draining"));
    time::sleep(Duration::from_millis(1200)).await;
    for n in 0..20 {
        let id = format!("id-{n}");
        assert_eq!(world.ask(&lookup(&id)).await.status, 200);
        assert_eq!(leaving.runs(&id), 0);
    }
}

#[tokio::test]
async fn a_target_whose_entry_is_gone_gets_no_work() {
    let world = World::start(2).await;
    world.store.delete("servers", "t0");
    time::sleep(Duration::from_millis(1200)).await;
    for n in 0..20 {
        let id = format!("id-{n}");
        assert_eq!(world.ask(&lookup(&id)).await.status, 200);
        assert_eq!(world.targets[0].runs(&id), 0);
    }
}

#[tokio::test]
async fn foreign_entries_do_not_hide_the_others() {
    let world = World::start(1).await;
    world.store.put("servers", "odd", serde_json::json!({"address": 3}));
    world.store.put("servers", "a-text", serde_json::json!("text"));
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(world.ask(&lookup("id-1")).await.status, 200);
    world.store.forget_history();
    world.store.put("servers", "odd", serde_json::json!({"address": 4}));
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(world.ask(&lookup("id-2")).await.status, 200);
}

#[tokio::test]
async fn a_forgotten_history_is_read_anew() {
    let world = World::start(2).await;
    world.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(400)).await;
    world.store.delete("servers", "t0");
    world.store.forget_history();
    world.store.set(Mood::Well);
    time::sleep(Duration::from_millis(4500)).await;
    for n in 0..10 {
        let id = format!("id-{n}");
        assert_eq!(world.ask(&lookup(&id)).await.status, 200);
        assert_eq!(world.targets[0].runs(&id), 0, "it is gone two seconds after the outage");
    }
}

/// The return of the store must be noticed at once, not with the next change that a watch brings:
/// what vanishes long after the outage did not lapse in it.
#[tokio::test]
async fn a_target_that_vanishes_long_after_an_outage_gets_no_work() {
    let world = World::start(1).await;
    world.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(400)).await;
    world.store.set(Mood::Well);
    time::sleep(Duration::from_millis(3500)).await;
    world.store.delete("servers", "t0");
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(world.ask(&lookup("id-1")).await.status, 503);
    assert_eq!(world.targets[0].runs("id-1"), 0);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_away() {
    for mood in [Mood::Refusing(503), Mood::Refusing(429), Mood::Silent] {
        let world = World::start(2).await;
        world.store.set(mood);
        time::sleep(Duration::from_millis(500)).await;
        assert_eq!(ready(&world.gateway).await, 200);
        for n in 0..5 {
            assert_eq!(world.ask(&lookup(&format!("id-{n}"))).await.status, 200, "{mood:?}");
        }
    }
}

#[tokio::test]
async fn a_store_that_is_away_is_not_flooded() {
    let world = World::start(1).await;
    world.store.set(Mood::Refusing(503));
    let before = world.store.calls();
    time::sleep(Duration::from_secs(3)).await;
    let calls = world.store.calls() - before;
    assert!(calls <= 24, "{calls} calls in three seconds");
}

#[tokio::test]
async fn gateways_find_each_other_by_the_store() {
    let world = World::start(1).await;
    let other = gateway("entry-2", &world.store).await;
    eventually("they know each other", async || {
        let both = [resolve(&world.gateway).await, resolve(&other).await];
        both.iter().all(|(_, answer)| answer["addresses"].as_array().is_some_and(|a| a.len() == 2))
    })
    .await;
}

/// Starts a gateway that knows of the first one of `world`, and whose store turns it away.
async fn turned_away(world: &World) -> (Store, citron_gateway::Gateway) {
    let store = Store::bind().await;
    let first = world.store.get("citron-gateways", "entry-1").expect("an entry");
    store.put("citron-gateways", "entry-1", first);
    let other = gateway("entry-2", &store).await;
    eventually("it is registered", async || store.get("citron-gateways", "entry-2").is_some())
        .await;
    time::sleep(Duration::from_millis(300)).await;
    store.set(Mood::Refusing(429));
    (store, other)
}

#[tokio::test]
async fn a_gateway_that_the_store_turns_away_takes_the_state_from_its_peer() {
    let world = World::start(2).await;
    let (_store, other) = turned_away(&world).await;
    eventually("the other is ready", async || ready(&other).await == 200).await;
    let leaving = &world.targets[0];
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    world.store.put("config", "main", spec);
    world.store.put("servers", &leaving.id, leaving.entry("draining"));
    time::sleep(Duration::from_millis(1600)).await;
    for n in 0..10 {
        let id = format!("id-{n}");
        let request = Request { path: "/moved/1", ..lookup(&id) };
        let mut caller = support::caller::Caller::connect(other.callers()).await;
        caller.send(&request.text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert_eq!(leaving.runs(&id), 0, "the target leaves");
    }
}

#[tokio::test]
async fn orders_avoid_a_target_that_failed_at_another_gateway() {
    let world = World::start(3).await;
    let other = gateway("entry-2", &world.store).await;
    eventually("they know each other", async || {
        resolve(&other).await.1["addresses"].as_array().is_some_and(|all| all.len() == 2)
    })
    .await;
    world.targets[0].set(support::target::Act::Fail);
    let mut failed = 0;
    for n in 0..20 {
        failed += u32::from(world.ask(&order(&format!("id-{n}"))).await.status == 500);
    }
    time::sleep(Duration::from_millis(50)).await;
    world.targets[0].set(support::target::Act::Serve);
    assert!(failed <= 1, "{failed} orders failed at the first gateway");
    for n in 0..20 {
        let id = format!("other-{n}");
        let mut caller = support::caller::Caller::connect(other.callers()).await;
        caller.send(&order(&id).text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert!(failed == 0 || world.targets[0].runs(&id) == 0, "it was told of the failure");
    }
}

#[tokio::test]
async fn a_leaving_gateway_answers_what_it_read_and_closes() {
    let world = World::start(1).await;
    world.targets[0].set(support::target::Act::ServeAfter(950));
    let mut caller = world.caller().await;
    let mut idle = world.caller().await;
    caller.send(&order("id-1").text()).await;
    let target = &world.targets[0];
    eventually("the target runs it", async || target.runs("id-1") == 1).await;
    let addr = world.gateway.callers();
    let leave = tokio::spawn(world.gateway.shut_down());
    assert!(idle.is_closed().await, "an idle connection is closed");
    time::sleep(Duration::from_millis(750)).await;
    assert!(!leave.is_finished(), "it waits for the request, longer than it accepts");
    let answer = caller.answer().await;
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    leave.await.expect("an orderly end");
    assert!(tokio::net::TcpStream::connect(addr).await.is_err(), "nobody listens any more");
}
