//! Requests that a target rejected, or for which none has room, where the configuration has customers.

mod support;

use std::time::Duration;

use citron::attempt::RetryBound;
use serde_json::json;
use support::{
    BOUND, Request, TestFleet,
    caller::Caller,
    config, eventually, gateway_with, lookup, order, running_clock,
    store::Store,
    target::{Act, Target},
};
use tokio::time::{self, Instant};

/// A budget without a token.
const SPENT: RetryBound = RetryBound { ratio: 0.0, slack: 0.0, ..BOUND };
const URGENT: &str = "Api-Key: key-1\r\n";
const PLAIN: &str = "Api-Key: key-2\r\n";

/// Starts a gateway with customers, an urgent and a plain one, and one target with one slot.
async fn fleet(bound: RetryBound) -> TestFleet {
    let store = Store::bind().await;
    let mut config = config("r1", 1.5);
    config["tenants"] = json!([
        {"name": "north", "apiKeys": ["key-1"], "priority": 0},
        {"name": "south", "apiKeys": ["key-2"]},
    ]);
    // Long enough for some requests to wait and still meet it.
    for path in config["hosts"][0]["paths"].as_array_mut().expect("routes") {
        path["targetLatencyS"] = json!(1.4);
    }
    store.put("config", "main", config);
    let target = Target::bind("t0").await;
    let mut entry = target.entry("ready");
    entry["info"]["slots"] = json!(1);
    store.put("servers", &target.id, entry);
    let gateway = gateway_with("entry-1", store.addr(), running_clock(), bound).await;
    let fleet = TestFleet { store, targets: vec![target], gateway };
    fleet.wait_ready().await;
    fleet
}

async fn start(fleet: &TestFleet, request: &Request<'_>) -> Caller {
    let mut caller = fleet.caller().await;
    caller.send(&request.text()).await;
    caller
}

/// Guards against a refusal of an order that could still be served, and against a second run.
#[tokio::test]
async fn a_shed_order_is_served_once_the_target_accepts_again() {
    let fleet = fleet(BOUND).await;
    fleet.targets[0].set(Act::Shed);
    let mut caller = start(&fleet, &Request { extra: PLAIN, ..order("id-1") }).await;
    time::sleep(Duration::from_millis(400)).await;
    fleet.targets[0].set(Act::Serve);
    let answer = caller.answer().await;
    assert_eq!((answer.status, fleet.targets[0].runs("id-1")), (200, 1), "{answer:?}");
}

macro_rules! refused_before_its_deadline {
    ($($name:ident: $bound:expr, sent $least:literal..=$most:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet($bound).await;
            fleet.targets[0].set(Act::Shed);
            let began = Instant::now();
            let answer = fleet.send(&Request { extra: PLAIN, ..order("id-1") }).await;
            let took = began.elapsed();
            assert_eq!(answer.status, 503, "{answer:?}");
            let seconds: f64 =
                answer.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
            assert!(seconds > 0.0, "it may be sent again after {seconds} s");
            assert!(took > Duration::from_millis(600), "it was refused after {took:?}");
            assert!(took < Duration::from_millis(1500), "it was refused after {took:?}");
            let sent = fleet.targets[0].refused().len();
            assert!(($least..=$most).contains(&sent), "it was sent {sent} times");
            assert_eq!(fleet.targets[0].runs("id-1"), 0);
        }
    )*};
}

refused_before_its_deadline! {
    an_order_that_is_always_shed_is_refused_as_not_run: BOUND, sent 2..=6;
    a_request_that_waits_spends_no_token_that_the_budget_does_not_give: SPENT, sent 1..=1;
}

/// Guards against requests that go ahead of more urgent ones while room is short.
#[tokio::test]
async fn a_more_urgent_request_goes_first() {
    let fleet = fleet(BOUND).await;
    fleet.targets[0].set(Act::ServeAfter(400));
    let mut callers = Vec::new();
    for (id, extra) in
        [("filler-1", PLAIN), ("filler-2", PLAIN), ("plain", PLAIN), ("urgent", URGENT)]
    {
        callers.push(start(&fleet, &Request { extra, ..order(id) }).await);
        time::sleep(Duration::from_millis(100)).await;
    }
    for caller in &mut callers {
        let answer = caller.answer().await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let seen = fleet.targets[0].seen();
    let ids: Vec<&str> = seen.iter().map(|seen| seen.id()).collect();
    assert_eq!(ids, ["filler-1", "filler-2", "urgent", "plain"]);
}

/// Guards against a request that runs although its caller has left while it waited.
#[tokio::test]
async fn a_request_whose_caller_left_is_not_sent() {
    let fleet = fleet(BOUND).await;
    fleet.targets[0].set(Act::Shed);
    let caller = start(&fleet, &Request { extra: PLAIN, ..order("id-1") }).await;
    eventually("it is shed", async || !fleet.targets[0].refused().is_empty()).await;
    drop(caller);
    time::sleep(Duration::from_millis(50)).await;
    fleet.targets[0].set(Act::Serve);
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(fleet.targets[0].runs("id-1"), 0);
    let answer = fleet.send(&Request { extra: PLAIN, ..order("id-2") }).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a shutdown that is held up, or that tells callers of an unknown outcome, by requests
/// that wait.
#[tokio::test]
async fn a_gateway_that_shuts_down_refuses_what_waits() {
    let TestFleet { store: _store, targets, gateway } = fleet(SPENT).await;
    let settings =
        support::Settings { grace: Duration::from_millis(1600), ..(*gateway.settings()).clone() };
    gateway.reload(settings);
    targets[0].set(Act::Shed);
    let mut caller = Caller::connect(gateway.callers()).await;
    caller.send(&Request { extra: PLAIN, ..order("id-1") }.text()).await;
    eventually("it is shed", async || !targets[0].refused().is_empty()).await;
    let (answer, ()) = tokio::join!(caller.answer(), gateway.shut_down());
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
}

/// Guards against a change for deployments without customers.
#[tokio::test]
async fn without_customers_a_shed_request_is_refused_at_once() {
    let fleet = TestFleet::start_with(2, BOUND).await;
    fleet.targets.iter().for_each(|target| target.set(Act::Shed));
    let began = Instant::now();
    let answer = fleet.send(&lookup("id-1")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
    let sent: usize = fleet.targets.iter().map(|target| target.refused().len()).sum();
    assert_eq!(sent, 2);
}
