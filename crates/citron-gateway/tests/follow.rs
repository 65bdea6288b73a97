//! Updates of routes and targets from the store, outages of the store, exchange with peer gateways
//! and graceful shutdown.

mod support;

use std::time::Duration;

use citron::poller::{self, Member};
use citron_adapter::settings::Settings;
use citron_gateway::Gateway;
use citron_stand::relay::{self, Cut, Relay};
use support::{
    Request, TestFleet, config, eventually, gateway, gateway_at, lookup, order, ready, resolve,
    store::{Mood, Store},
    target::Target,
};
use tokio::time;

#[tokio::test]
async fn a_gateway_without_routes_is_not_ready_and_returns_503() {
    let store = Store::bind().await;
    let gateway = gateway("entry-1", &store).await;
    assert_eq!(ready(&gateway).await, 503);
    assert_eq!(resolve(&gateway).await.0, 503);
    let mut caller = support::caller::Caller::connect(gateway.callers()).await;
    caller.send(&order("id-1").text()).await;
    let response = caller.answer().await;
    assert_eq!(response.status, 503, "never 404 while nothing is known");
    assert!(response.header("retry-after").is_some());
}

#[tokio::test]
async fn a_ready_gateway_lists_its_address() {
    let fleet = TestFleet::start(1).await;
    let (status, response) = resolve(&fleet.gateway).await;
    assert_eq!(status, 200);
    assert_eq!(response["addresses"][0], fleet.gateway.callers().to_string());
    let ttl_s = response["ttlS"].as_u64().expect("a number");
    assert!((1..=5).contains(&ttl_s));
}

#[tokio::test]
async fn a_new_configuration_is_applied_within_two_seconds() {
    let fleet = TestFleet::start(1).await;
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    fleet.store.put("config", "main", spec);
    time::sleep(Duration::from_millis(1500)).await;
    let moved = Request { path: "/moved/1", ..lookup("id-1") };
    assert_eq!(fleet.send(&moved).await.status, 200);
    assert_eq!(fleet.send(&lookup("id-2")).await.status, 404);
}

/// Lets the store's stale lists show a target that has been replaced since, and returns the new
/// target and the old one.
async fn replace_a_target_behind_a_stale_list(store: &Store) -> (Target, Target) {
    let (old, new) = (Target::bind("old").await, Target::bind("new").await);
    store.put("config", "main", config("r1", 1.0));
    store.put("servers", &old.id, old.entry("ready"));
    store.list_stale(store.copy());
    store.put("servers", &new.id, new.entry("ready"));
    store.delete("servers", &old.id);
    (new, old)
}

async fn assert_that_all_orders_reach(gateway: &Gateway, new: &Target, old: &Target) {
    eventually("the gateway is ready", async || ready(gateway).await == 200).await;
    time::sleep(Duration::from_millis(100)).await;
    for n in 0..10 {
        let mut caller = support::caller::Caller::connect(gateway.callers()).await;
        caller.send(&order(&format!("id-{n}")).text()).await;
        assert_eq!(caller.answer().await.status, 200);
    }
    assert_eq!((new.seen().len(), old.seen().len()), (10, 0));
}

#[tokio::test]
async fn a_gateway_whose_first_list_was_stale_knows_at_once_what_came_since() {
    let store = Store::bind().await;
    let (new, old) = replace_a_target_behind_a_stale_list(&store).await;
    let gateway = gateway("entry-1", &store).await;
    assert_that_all_orders_reach(&gateway, &new, &old).await;
}

#[tokio::test]
async fn a_gateway_lists_again_if_the_history_since_a_stale_list_is_gone() {
    let store = Store::bind().await;
    let (new, old) = replace_a_target_behind_a_stale_list(&store).await;
    store.forget_history();
    let gateway = gateway("entry-1", &store).await;
    assert_that_all_orders_reach(&gateway, &new, &old).await;
}

#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let fleet = TestFleet::start(1).await;
    let mut old = config("r0", 1.0);
    old["hosts"] = serde_json::json!([]);
    fleet.store.put("config", "main", old);
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 200);
}

#[tokio::test]
async fn an_invalid_configuration_keeps_the_current_one() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("config", "main", serde_json::json!({"version": "r9", "hosts": 7}));
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 200);
    fleet.store.put("config", "main", config("r10", 1.0));
    time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(fleet.send(&lookup("id-2")).await.status, 200);
}

#[tokio::test]
async fn a_draining_target_gets_no_requests_within_two_seconds() {
    let fleet = TestFleet::start(2).await;
    let draining = &fleet.targets[0];
    fleet.store.put("servers", &draining.id, draining.entry("draining"));
    time::sleep(Duration::from_millis(1200)).await;
    for n in 0..20 {
        let id = format!("id-{n}");
        assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
        assert_eq!(draining.runs(&id), 0);
    }
}

#[tokio::test]
async fn a_target_whose_entry_is_deleted_gets_no_requests() {
    let fleet = TestFleet::start(2).await;
    fleet.store.delete("servers", "t0");
    time::sleep(Duration::from_millis(1200)).await;
    for n in 0..20 {
        let id = format!("id-{n}");
        assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
        assert_eq!(fleet.targets[0].runs(&id), 0);
    }
}

#[tokio::test]
async fn entries_that_cannot_be_decoded_do_not_hide_the_others() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("servers", "odd", serde_json::json!({"address": 3}));
    fleet.store.put("servers", "a-text", serde_json::json!("text"));
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 200);
    fleet.store.forget_history();
    fleet.store.put("servers", "odd", serde_json::json!({"address": 4}));
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(fleet.send(&lookup("id-2")).await.status, 200);
}

/// Returns arrays nested in each other, deeper than JSON libraries read.
fn nested() -> serde_json::Value {
    (0..300).fold(serde_json::json!(1), |inner, _| serde_json::json!([inner]))
}

macro_rules! odd_entry_hides_no_change {
    ($($name:ident: $entry:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(2).await;
            fleet.store.put("servers", "odd", $entry);
            let draining = &fleet.targets[0];
            fleet.store.put("servers", &draining.id, draining.entry("draining"));
            let late = gateway("entry-2", &fleet.store).await;
            eventually("a gateway that lists it is ready", async || ready(&late).await == 200).await;
            time::sleep(Duration::from_millis(1000)).await;
            for n in 0..10 {
                let id = format!("id-{n}");
                assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
                assert_eq!(draining.runs(&id), 0);
            }
        }
    )*};
}

odd_entry_hides_no_change! {
    a_deeply_nested_entry_hides_no_change: serde_json::json!({"address": nested()});
    a_deeply_nested_spec_hides_no_change: nested();
    an_entry_with_a_port_out_of_range_hides_no_change:
        serde_json::json!({"address": "127.0.0.1:99999", "born": 1,
            "info": {"service": "desk", "zone": "a", "slots": 3}, "status": {"state": "ready"}});
    an_entry_with_a_number_too_large_hides_no_change:
        serde_json::json!({"address": "127.0.0.1:80", "born": 1,
            "info": {"service": "desk", "zone": "a", "slots": 1e300}, "status": {"state": "ready"}});
}

#[tokio::test]
async fn a_store_without_history_is_listed_again() {
    let fleet = TestFleet::start(2).await;
    fleet.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(400)).await;
    fleet.store.delete("servers", "t0");
    fleet.store.forget_history();
    fleet.store.set(Mood::Well);
    time::sleep(Duration::from_millis(4500)).await;
    for n in 0..10 {
        let id = format!("id-{n}");
        assert_eq!(fleet.send(&lookup(&id)).await.status, 200);
        assert_eq!(fleet.targets[0].runs(&id), 0, "its entry expired two seconds after the outage");
    }
}

/// Guards against keeping a deleted target as lapsed: a gateway that notices the store's recovery
/// only with the next change from a watch takes a deletion long after the outage for part of it.
#[tokio::test]
async fn a_target_that_is_deleted_long_after_an_outage_gets_no_requests() {
    let fleet = TestFleet::start(1).await;
    fleet.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(400)).await;
    fleet.store.set(Mood::Well);
    time::sleep(Duration::from_millis(3500)).await;
    fleet.store.delete("servers", "t0");
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 503);
    assert_eq!(fleet.targets[0].runs("id-1"), 0);
}

/// The watches break and are renewed at once, which is no outage in which an entry could lapse.
#[tokio::test]
async fn a_target_that_leaves_while_the_watches_break_gets_no_requests_after_two_seconds() {
    let fleet = TestFleet::start(1).await;
    time::sleep(Duration::from_millis(500)).await;
    fleet.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(100)).await;
    fleet.store.delete("servers", "t0");
    fleet.store.set(Mood::Well);
    time::sleep(Duration::from_millis(1950)).await;
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 503);
    assert_eq!(fleet.targets[0].runs("id-1"), 0);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_down() {
    for mood in [Mood::Refusing(503), Mood::Refusing(429), Mood::Silent] {
        let fleet = TestFleet::start(2).await;
        fleet.store.set(mood);
        time::sleep(Duration::from_millis(500)).await;
        assert_eq!(ready(&fleet.gateway).await, 200);
        for n in 0..5 {
            assert_eq!(fleet.send(&lookup(&format!("id-{n}"))).await.status, 200, "{mood:?}");
        }
    }
}

#[tokio::test]
async fn a_store_that_is_down_is_called_with_backoff() {
    let fleet = TestFleet::start(1).await;
    fleet.store.set(Mood::Refusing(503));
    let before = fleet.store.calls();
    time::sleep(Duration::from_secs(3)).await;
    let calls = fleet.store.calls() - before;
    assert!(calls <= 24, "{calls} calls in three seconds");
}

#[tokio::test]
async fn gateways_discover_each_other_through_the_store() {
    let fleet = TestFleet::start(1).await;
    let other = gateway("entry-2", &fleet.store).await;
    eventually("both gateways know each other", async || {
        let both = [resolve(&fleet.gateway).await, resolve(&other).await];
        both.iter()
            .all(|(_, response)| response["addresses"].as_array().is_some_and(|a| a.len() == 2))
    })
    .await;
}

/// Starts a gateway that knows the gateway of `fleet`, and whose own store then refuses all calls.
async fn gateway_with_refusing_store(fleet: &TestFleet) -> (Store, citron_gateway::Gateway) {
    let store = Store::bind().await;
    let first = fleet.store.get("citron-gateways", "entry-1").expect("an entry");
    store.put("citron-gateways", "entry-1", first);
    let other = gateway("entry-2", &store).await;
    eventually("the gateway is registered", async || {
        store.get("citron-gateways", "entry-2").is_some()
    })
    .await;
    time::sleep(Duration::from_millis(300)).await;
    store.set(Mood::Refusing(429));
    (store, other)
}

#[tokio::test]
async fn a_gateway_whose_store_refuses_calls_pulls_from_its_peer() {
    let fleet = TestFleet::start(2).await;
    let (_store, other) = gateway_with_refusing_store(&fleet).await;
    eventually("the other is ready", async || ready(&other).await == 200).await;
    let draining = &fleet.targets[0];
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    fleet.store.put("config", "main", spec);
    fleet.store.put("servers", &draining.id, draining.entry("draining"));
    time::sleep(Duration::from_millis(1600)).await;
    for n in 0..10 {
        let id = format!("id-{n}");
        let request = Request { path: "/moved/1", ..lookup(&id) };
        let mut caller = support::caller::Caller::connect(other.callers()).await;
        caller.send(&request.text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert_eq!(draining.runs(&id), 0, "the target is draining");
    }
}

#[tokio::test]
async fn a_watch_on_a_silent_connection_is_renewed_once_a_peer_is_ahead() {
    let fleet = TestFleet::start(3).await;
    let relay = relay::bind("127.0.0.1:0".parse().expect("an address"), fleet.store.addr());
    let relay = relay.await.expect("a relay");
    let other = gateway_at("entry-2", relay.addr()).await;
    eventually("both gateways know each other", async || {
        resolve(&other).await.1["addresses"].as_array().is_some_and(|all| all.len() == 2)
    })
    .await;
    time::sleep(Duration::from_millis(500)).await;
    relay.cut(Cut { to_server: true, to_client: true, existing_only: true });
    for (target, wait_ms) in [(&fleet.targets[0], 2500), (&fleet.targets[1], 700)] {
        fleet.store.put("servers", &target.id, target.entry("draining"));
        time::sleep(Duration::from_millis(wait_ms)).await;
    }
    for n in 0..10 {
        let id = format!("id-{n}");
        let mut caller = support::caller::Caller::connect(other.callers()).await;
        caller.send(&lookup(&id).text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert_eq!(fleet.targets[2].runs(&id), 1, "the other targets are draining");
    }
}

/// Makes the store silent while the watches that the last change ended begin anew, and lets it
/// respond again after `silence`.
async fn silence_the_store_as_watches_begin(fleet: &TestFleet, silence: Duration) {
    fleet.store.put("config", "main", config("r2", 1.0));
    let entry = fleet.targets[0].entry("ready");
    fleet.store.put("servers", "new", entry);
    fleet.store.delete("servers", "new");
    time::sleep(Duration::from_millis(100)).await;
    fleet.store.set(Mood::Silent);
    time::sleep(silence).await;
    fleet.store.set(Mood::Well);
}

macro_rules! change_after_a_silence_is_applied_within_a_second {
    ($($name:ident: $silence_ms:literal ms, $delay_ms:literal ms later;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(2).await;
            // More gateways than poll the store.
            let mut others = Vec::new();
            for host in ["entry-2", "entry-3", "entry-4"] {
                let other = gateway(host, &fleet.store).await;
                eventually("the other is ready", async || ready(&other).await == 200).await;
                others.push(other);
            }
            time::sleep(Duration::from_millis(1500)).await;
            silence_the_store_as_watches_begin(&fleet, Duration::from_millis($silence_ms)).await;
            time::sleep(Duration::from_millis($delay_ms)).await;
            let draining = &fleet.targets[0];
            fleet.store.put("servers", &draining.id, draining.entry("draining"));
            let mut spec = config("r9", 1.0);
            spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
            fleet.store.put("config", "main", spec);
            time::sleep(Duration::from_millis(1000)).await;
            let gateways = [&fleet.gateway].into_iter().chain(&others);
            for (gateway, callers) in gateways.map(citron_gateway::Gateway::callers).enumerate() {
                for n in 0..10 {
                    let id = format!("id-{gateway}-{n}");
                    let request = Request { path: "/moved/1", ..lookup(&id) };
                    let mut caller = support::caller::Caller::connect(callers).await;
                    caller.send(&request.text()).await;
                    assert_eq!(caller.answer().await.status, 200, "gateway {gateway}");
                    assert_eq!(draining.runs(&id), 0, "gateway {gateway}");
                }
            }
        }
    )*};
}

change_after_a_silence_is_applied_within_a_second! {
    a_watch_begun_in_a_short_silence_hides_no_change: 600 ms, 0 ms later;
    a_watch_begun_in_a_silence_hides_no_change: 2500 ms, 0 ms later;
    a_watch_begun_in_a_silence_hides_no_later_change: 2500 ms, 2500 ms later;
}

/// The hosts of a fleet with more gateways than poll the store.
const HOSTS: [&str; 5] = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];

/// A gateway with its own path to the store.
struct Linked {
    host: &'static str,
    gateway: Gateway,
    link: Relay,
}

impl Linked {
    async fn start(host: &'static str, store: &Store) -> Self {
        let link = relay::bind("127.0.0.1:0".parse().expect("an address"), store.addr());
        let link = link.await.expect("a relay");
        let gateway = gateway_at(host, link.addr()).await;
        eventually("the gateway is ready", async || ready(&gateway).await == 200).await;
        Self { host, gateway, link }
    }

    /// Returns true if it polls in a fleet of all `HOSTS`.
    fn is_poller(&self) -> bool {
        let member = |host| Member { host, in_contact: true };
        let others = HOSTS.into_iter().filter(|host| *host != self.host).map(member);
        poller::is_poller(member(self.host), others)
    }

    fn cut_off(&self) {
        self.link.cut(Cut { to_server: true, to_client: true, existing_only: false });
    }
}

/// Two gateways ask the store for all others, whose watches hang since a silence of the store. Both
/// lose their path to it just before the change.
#[tokio::test]
async fn a_change_reaches_all_gateways_although_the_pollers_are_cut_off_after_a_silence() {
    let fleet = TestFleet::start(2).await;
    let mut linked = Vec::new();
    for host in &HOSTS[1..] {
        linked.push(Linked::start(host, &fleet.store).await);
    }
    time::sleep(Duration::from_millis(1500)).await;
    silence_the_store_as_watches_begin(&fleet, Duration::from_millis(2500)).await;
    time::sleep(Duration::from_millis(3000)).await;
    let pollers: Vec<_> = linked.iter().filter(|linked| linked.is_poller()).collect();
    assert_eq!(pollers.len(), poller::POLLERS, "choose other hosts, of which the first is none");
    pollers.iter().for_each(|linked| linked.cut_off());
    time::sleep(Duration::from_millis(50)).await;
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    fleet.store.put("config", "main", spec);
    time::sleep(Duration::from_millis(1000)).await;
    let gateways = [("entry-1", &fleet.gateway)].into_iter();
    for (host, gateway) in gateways.chain(linked.iter().map(|l| (l.host, &l.gateway))) {
        let request = Request { path: "/moved/1", ..lookup("id-1") };
        let mut caller = support::caller::Caller::connect(gateway.callers()).await;
        caller.send(&request.text()).await;
        assert_eq!(caller.answer().await.status, 200, "{host}");
    }
}

#[tokio::test]
async fn orders_avoid_a_target_that_failed_for_another_gateway() {
    let fleet = TestFleet::start(3).await;
    let other = gateway("entry-2", &fleet.store).await;
    eventually("both gateways know each other", async || {
        resolve(&other).await.1["addresses"].as_array().is_some_and(|all| all.len() == 2)
    })
    .await;
    fleet.targets[0].set(support::target::Act::Fail);
    let mut failed = 0;
    for n in 0..20 {
        failed += u32::from(fleet.send(&order(&format!("id-{n}"))).await.status == 500);
    }
    time::sleep(Duration::from_millis(50)).await;
    fleet.targets[0].set(support::target::Act::Serve);
    assert!(failed <= 1, "{failed} orders failed at the first gateway");
    for n in 0..20 {
        let id = format!("other-{n}");
        let mut caller = support::caller::Caller::connect(other.callers()).await;
        caller.send(&order(&id).text()).await;
        assert_eq!(caller.answer().await.status, 200);
        assert!(
            failed == 0 || fleet.targets[0].runs(&id) == 0,
            "it received the outcome from its peer"
        );
    }
}

#[tokio::test]
async fn a_gateway_that_shuts_down_responds_to_requests_in_flight_and_closes() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(support::target::Act::ServeAfter(950));
    let mut caller = fleet.caller().await;
    let mut idle = fleet.caller().await;
    caller.send(&order("id-1").text()).await;
    let target = &fleet.targets[0];
    eventually("the target runs it", async || target.runs("id-1") == 1).await;
    let addr = fleet.gateway.callers();
    let shutdown = tokio::spawn(fleet.gateway.shut_down());
    assert!(idle.is_closed().await, "an idle connection is closed");
    time::sleep(Duration::from_millis(750)).await;
    assert!(!shutdown.is_finished(), "it waits for the request, longer than it accepts");
    let response = caller.answer().await;
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    shutdown.await.expect("the shutdown task ends without a panic");
    assert!(tokio::net::TcpStream::connect(addr).await.is_err(), "the port is closed");
}

#[tokio::test]
async fn a_gateway_follows_the_store_to_the_address_of_its_new_settings() {
    let fleet = TestFleet::start(1).await;
    let other = Store::bind().await;
    let mut spec = config("r9", 1.0);
    spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
    other.put("config", "main", spec);
    other.put("servers", "t0", fleet.targets[0].entry("ready"));
    let settings = (*fleet.gateway.settings()).clone();
    fleet.gateway.reload(Settings { store: other.addr(), ..settings });
    let moved = Request { path: "/moved/1", ..lookup("id-1") };
    time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(fleet.send(&moved).await.status, 200);
    assert!(other.get("citron-gateways", "entry-1").is_some(), "it is registered there");
}
