//! The customers' quotas over the gateways of a fleet.

mod support;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use citron_gateway::{
    Gateway,
    message::{Datagram, QuotaMessage, QuotaStep},
};
use parking_lot::Mutex;
use prost::Message;
use serde_json::{Value, json};
use support::{
    BOUND, Request, TestFleet,
    caller::{Answer, Caller},
    config, eventually, lookup, ready, running_clock, settings,
    store::{Mood, Store},
    target::{Act, Target},
};
use tokio::{net::UdpSocket, runtime, time};

/// How long a test waits for a datagram.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

fn limited(version: &str, rate_per_s: f64, burst: f64) -> Value {
    let mut config = config(version, 1.0);
    config["tenants"] = json!([
        {"name": "north", "apiKeys": ["key-1"], "ratePerS": rate_per_s, "burst": burst},
        {"name": "south", "apiKeys": ["key-2"]},
    ]);
    // Each of these has one owner.
    for n in 0..SMALL_CUSTOMERS {
        let customer = json!({
            "name": format!("small-{n}"), "apiKeys": [format!("small-key-{n}")],
            "ratePerS": 0.05, "burst": 1,
        });
        config["tenants"].as_array_mut().expect("customers").push(customer);
    }
    config
}

/// The customers with a quota of one request.
const SMALL_CUSTOMERS: usize = 12;

/// Returns the settings of a gateway of a system that starts for the first time.
fn first_start(host: &str, store: &Store) -> support::Settings {
    support::Settings { is_first_start: true, ..settings(host, store.addr(), BOUND) }
}

/// Waits until all hosts in the store are active.
async fn all_active(store: &Store) {
    eventually("all hosts are active", async || {
        let entries = store.objects("citron-gateways");
        entries.values().all(|entry| entry["standing"] == "active")
    })
    .await;
    // Until they have listed each other since, and have reported it.
    time::sleep(Duration::from_millis(700)).await;
}

/// Starts gateways of a system that starts for the first time, each of which knows all others.
async fn gateways(hosts: &[&str], rate_per_s: f64, burst: f64) -> (TestFleet, Vec<Gateway>) {
    let store = Store::bind().await;
    store.put("config", "main", limited("r1", rate_per_s, burst));
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    let mut started = Vec::new();
    for host in hosts {
        let settings = first_start(host, &store);
        let gateway = Gateway::bind(settings, None, running_clock()).await.expect("a gateway");
        eventually("a gateway is ready", async || ready(&gateway).await == 200).await;
        started.push(gateway);
    }
    all_active(&store).await;
    let gateway = started.remove(0);
    (TestFleet { store, targets: vec![target], gateway }, started)
}

async fn answer(gateway: &Gateway, id: &str, key: &str) -> Answer {
    let mut caller = Caller::connect(gateway.callers()).await;
    let extra = format!("Api-Key: {key}\r\n");
    caller.send(&Request { extra: &extra, ..lookup(id) }.text()).await;
    caller.answer().await
}

/// Sends requests until one is refused; returns how many were served, and the refusal.
async fn spend(gateway: &Gateway, prefix: &str) -> (usize, Answer) {
    for count in 0..100 {
        let answer = answer(gateway, &format!("{prefix}-{count}"), "key-1").await;
        if answer.status != 200 {
            return (count, answer);
        }
    }
    panic!("no request is refused")
}

/// A quota that counts each host on its own would serve the burst at each of them.
#[tokio::test]
async fn all_hosts_together_serve_one_burst() {
    let (fleet, others) = gateways(&["entry-1", "entry-2", "entry-3"], 0.05, 9.0).await;
    let (first, refusal) = spend(&fleet.gateway, "first").await;
    assert_eq!(refusal.status, 429);
    assert!((8..=10).contains(&first), "{first} served");
    for other in &others {
        let (count, refusal) = spend(other, "other").await;
        assert_eq!((count, refusal.status), (0, 429));
    }
    assert_eq!(answer(&fleet.gateway, "south", "key-2").await.status, 200, "another customer");
}

/// Guards against a burst that is granted twice: the tokens that a customer had spent were forgotten while
/// a version of the configuration did not name it, or gave it no limit (review/15).
#[tokio::test]
async fn a_customer_that_returns_to_the_configuration_has_no_second_burst() {
    let (fleet, _others) = gateways(&["entry-1"], 0.05, 9.0).await;
    assert_eq!(spend(&fleet.gateway, "first").await.0, 9);
    let mut without = limited("r2", 0.05, 9.0);
    without["tenants"].as_array_mut().expect("customers").remove(0);
    let unlimited = limited("r4", 0.0, 0.0);
    for (n, (config, version)) in [(without, "r3"), (unlimited, "r5")].into_iter().enumerate() {
        fleet.store.put("config", "main", config);
        time::sleep(Duration::from_millis(1200)).await;
        fleet.store.put("config", "main", limited(version, 0.05, 9.0));
        time::sleep(Duration::from_millis(1200)).await;
        assert_eq!(spend(&fleet.gateway, &format!("again-{n}")).await.0, 0);
    }
}

/// Hosts that start together have partial lists, and stale ones after that: each took itself for the
/// owner of the whole quota.
#[tokio::test]
async fn hosts_that_start_with_stale_lists_serve_one_burst() {
    let store = Store::bind().await;
    store.put("config", "main", limited("r1", 0.05, 9.0));
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    store.list_stale(store.copy());
    let mut gateways = Vec::new();
    for host in ["entry-1", "entry-2", "entry-3"] {
        let gateway = Gateway::bind(first_start(host, &store), None, running_clock()).await;
        gateways.push(gateway.expect("a gateway"));
    }
    all_active(&store).await;
    let mut served = 0;
    for gateway in &gateways {
        served += spend(gateway, "id").await.0;
    }
    assert!((8..=10).contains(&served), "{served} served");
}

/// A host that the store turned away at the first start registers late, when others have granted its
/// parts: it must not grant them again.
#[tokio::test]
async fn a_host_that_registers_late_at_the_first_start_serves_no_second_burst() {
    let (fleet, _others) = gateways(&["entry-1"], 0.05, 9.0).await;
    assert_eq!(spend(&fleet.gateway, "first").await.0, 9);
    let settings = first_start("entry-2", &fleet.store);
    let late = Gateway::bind(settings, None, running_clock()).await.expect("a gateway");
    eventually("it is ready", async || ready(&late).await == 200).await;
    assert_eq!(spend(&late, "at once").await.0, 0);
    all_active(&fleet.store).await;
    assert_eq!(spend(&late, "active").await.0, 0);
}

/// A time to retry that is too early would make callers come in vain.
#[tokio::test]
async fn a_request_over_the_quota_is_served_at_the_time_it_is_told() {
    let (fleet, _others) = gateways(&["entry-1"], 2.0, 2.0).await;
    let (_, refusal) = spend(&fleet.gateway, "first").await;
    assert_eq!(refusal.status, 429);
    assert_eq!(fleet.targets[0].runs("first-2"), 0);
    let wait: f64 = refusal.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(wait > 0.0 && wait <= 0.5, "{wait}");
    time::sleep(Duration::from_secs_f64(wait)).await;
    assert_eq!(answer(&fleet.gateway, "again", "key-1").await.status, 200);
}

/// A customer whose owner is gone must not wait for it with each request, nor lose the other part.
#[tokio::test]
async fn the_part_of_the_owner_that_is_left_is_served() {
    let (fleet, _others) = gateways(&["entry-1"], 0.05, 8.0).await;
    // A runtime of its own, whose end ends all tasks of the gateway as a kill does.
    let runtime = runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let settings = first_start("entry-2", &fleet.store);
    let other = runtime.spawn(Gateway::bind(settings, None, running_clock())).await;
    let _other = other.expect("a task").expect("a gateway");
    // Until the first one has listed it.
    time::sleep(Duration::from_secs(9)).await;
    runtime.shutdown_background();
    let (count, refusal) = spend(&fleet.gateway, "first").await;
    assert_eq!((count, refusal.status), (4, 429));
    let begun_at = Instant::now();
    assert_eq!(answer(&fleet.gateway, "late", "key-1").await.status, 429);
    assert!(begun_at.elapsed() < Duration::from_millis(30), "{:?}", begun_at.elapsed());
}

/// A request that no target ran must not count: its token is returned to whichever host granted it.
#[tokio::test]
async fn a_request_that_was_refused_returns_its_token() {
    let (fleet, _others) = gateways(&["entry-1", "entry-2"], 0.05, 4.0).await;
    let refuses = Arc::new(Mutex::new(true));
    let plan = Arc::clone(&refuses);
    fleet.targets[0].set_plan(move |_| if *plan.lock() { Act::Shed } else { Act::Serve });
    for n in 0..12 {
        // It waits for its target, but not for longer than its token may be returned.
        let id = format!("refused-{n}");
        let request = Request { extra: "Api-Key: key-1\r\n", remaining_ms: 250, ..lookup(&id) };
        assert_eq!(fleet.send(&request).await.status, 503, "{n}");
        time::sleep(Duration::from_millis(20)).await;
    }
    *refuses.lock() = false;
    time::sleep(Duration::from_millis(200)).await;
    let (count, _) = spend(&fleet.gateway, "served").await;
    assert_eq!(count, 4);
}

/// One owner numbers the tickets of each customer by itself: a grant to one customer must not be taken
/// for a repeated grant to another.
#[tokio::test]
async fn customers_of_one_owner_get_a_token_each() {
    let (fleet, _others) = gateways(&["entry-1", "entry-2"], 0.05, 4.0).await;
    for n in 0..SMALL_CUSTOMERS {
        let answer = answer(&fleet.gateway, &format!("id-{n}"), &format!("small-key-{n}")).await;
        assert_eq!(answer.status, 200, "small-{n}: {answer:?}");
    }
}

/// Tokens that were saved under a higher quota must not be spent under a lower one.
#[tokio::test]
async fn a_lower_quota_applies_at_once() {
    let (fleet, _others) = gateways(&["entry-1"], 0.05, 50.0).await;
    assert_eq!(answer(&fleet.gateway, "before", "key-1").await.status, 200);
    fleet.store.put("config", "main", limited("r2", 0.05, 3.0));
    time::sleep(Duration::from_millis(1500)).await;
    let (count, refusal) = spend(&fleet.gateway, "after").await;
    assert_eq!((count, refusal.status), (3, 429));
}

/// A host that joins may own a part that another still grants by an older list.
#[tokio::test]
async fn a_host_that_joins_grants_nothing_yet() {
    let (fleet, _others) = gateways(&["entry-1"], 1.0, 4.0).await;
    let joining =
        support::gateway_with("entry-2", fleet.store.addr(), running_clock(), BOUND).await;
    eventually("it is ready", async || ready(&joining).await == 200).await;
    let entry = fleet.store.get("citron-gateways", "entry-2").expect("an entry");
    assert_eq!(entry["standing"], "joining");
    let peer = Peer::bind(&fleet, "entry-2", "entry-1").await;
    let answer = peer.ask("north").await.expect("an answer");
    assert_eq!(answer.step(), QuotaStep::Unable);
}

/// A host that restarts while the store is unavailable cannot read who the owners are.
#[tokio::test]
async fn a_host_that_restarts_without_the_store_takes_the_members_from_a_peer() {
    let (fleet, _others) = gateways(&["entry-1"], 20.0, 4.0).await;
    let entry = fleet.store.get("citron-gateways", "entry-1").expect("an entry");
    let address = entry["datagrams"].as_str().expect("an address");
    let address: SocketAddr = address.parse().expect("an address");
    let ip = IpAddr::from([127, 0, 0, 2]);
    let own = SocketAddr::new(ip, address.port());
    fleet.store.put("citron-gateways", "entry-2", json!({"datagrams": own, "domain": "a"}));
    // Until the first host has listed the entry.
    time::sleep(Duration::from_secs(9)).await;
    fleet.store.set(Mood::Silent);
    let settings = support::Settings {
        ip,
        internal_port: address.port(),
        seeds: vec![address],
        ..settings("entry-2", fleet.store.addr(), BOUND)
    };
    let restarted = Gateway::bind(settings, None, running_clock()).await.expect("a gateway");
    eventually("it is ready", async || ready(&restarted).await == 200).await;
    let spent = spend(&restarted, "first").await;
    assert!(spent.0 >= 2, "{} served", spent.0);
    assert_eq!(spent.1.status, 429);
}

/// A peer that a test plays, registered as a host of the fleet.
struct Peer {
    socket: UdpSocket,
    gateway: SocketAddr,
    host: &'static str,
}

impl Peer {
    async fn bind(fleet: &TestFleet, gateway: &str, host: &'static str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let entry = fleet.store.get("citron-gateways", gateway).expect("an entry");
        let gateway = entry["datagrams"].as_str().expect("an address");
        Self { socket, gateway: gateway.parse().expect("an address"), host }
    }

    async fn send(&self, message: QuotaMessage) {
        let host = self.host.to_owned();
        let datagram = Datagram { host, quotas: vec![message], ..Datagram::default() };
        self.socket.send_to(&datagram.encode_to_vec(), self.gateway).await.expect("a datagram");
    }

    /// Asks for a token and returns the answer, if one comes.
    async fn ask(&self, customer: &str) -> Option<QuotaMessage> {
        self.send(QuotaMessage::ask(customer, 1)).await;
        time::timeout(ANSWER_TIMEOUT, self.receive()).await.ok()
    }

    async fn receive(&self) -> QuotaMessage {
        let mut buffer = vec![0; 2048];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.expect("a datagram");
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram of a gateway");
            if let Some(message) = datagram.quotas.into_iter().next() {
                return message;
            }
        }
    }
}

/// The token of a grant that comes twice may be in use: it must not be returned.
#[tokio::test]
async fn a_grant_that_nobody_waits_for_is_returned_once() {
    let (fleet, _others) = gateways(&["entry-1", "entry-2"], 1.0, 4.0).await;
    let peer = Peer::bind(&fleet, "entry-1", "entry-2").await;
    let late =
        QuotaMessage { step: QuotaStep::Grant.into(), ticket: 7, ..QuotaMessage::ask("north", 99) };
    peer.send(late.clone()).await;
    peer.send(late).await;
    let answer = time::timeout(ANSWER_TIMEOUT, peer.receive()).await.expect("an answer");
    assert_eq!((answer.step(), answer.ticket), (QuotaStep::Returned, 7));
    assert!(time::timeout(ANSWER_TIMEOUT, peer.receive()).await.is_err(), "it is returned once");
}

/// A token that is returned late or twice would exceed the quota.
#[tokio::test]
async fn a_token_is_taken_back_once_and_only_shortly_after_its_grant() {
    let (fleet, _others) = gateways(&["entry-1"], 0.05, 2.0).await;
    // Registered, so that its messages are accepted.
    fleet.store.put("citron-gateways", "entry-9", json!({"datagrams": "127.0.0.1:9"}));
    time::sleep(Duration::from_secs(9)).await;
    let peer = Peer::bind(&fleet, "entry-1", "entry-9").await;
    let Some(first) = peer.ask("north").await else { panic!("no answer") };
    assert_eq!(first.step(), QuotaStep::Grant);
    let returned = QuotaMessage { step: QuotaStep::Returned.into(), ..first };
    peer.send(returned.clone()).await;
    peer.send(returned.clone()).await;
    let mut granted = 0;
    while peer.ask("north").await.expect("an answer").step() == QuotaStep::Grant {
        granted += 1;
    }
    time::sleep(Duration::from_millis(500)).await;
    peer.send(returned).await;
    assert_eq!(peer.ask("north").await.expect("an answer").step(), QuotaStep::Empty);
    // Two hosts own a part of one token each.
    assert_eq!(granted, 1);
}
