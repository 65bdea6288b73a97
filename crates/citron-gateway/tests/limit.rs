//! Targets that name how many requests a second they take from all gateways together.

mod support;

use std::time::Duration;

use citron_gateway::Gateway;
use support::{
    TestFleet, caller::Caller, eventually, gateway, lookup, order, ready, target::Act,
    target::Target,
};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// The time from the first response with a limit to its enforcement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The most requests in a window beyond one and a half times what the limit allows.
const WINDOW_SLACK: f64 = 5.0;

/// Starts a fleet of `gateways` gateways before three targets.
async fn fleet_of(gateways: usize) -> (TestFleet, Vec<Gateway>) {
    let fleet = TestFleet::start(3).await;
    let mut others = Vec::new();
    for n in 2..=gateways {
        let other = gateway(&format!("entry-{n}"), &fleet.store).await;
        eventually("the other is ready", async || ready(&other).await == 200).await;
        others.push(other);
    }
    time::sleep(Duration::from_millis(1500)).await;
    (fleet, others)
}

/// Sends lookups and orders to a gateway every `interval`, for `span`.
async fn send_steadily(
    callers: std::net::SocketAddr,
    name: String,
    interval: Duration,
    span: Duration,
) {
    let until = Instant::now() + span;
    let mut requests = JoinSet::new();
    let mut n = 0;
    while Instant::now() < until {
        let id = format!("{name}-{n}");
        n += 1;
        requests.spawn(async move {
            let request = if id.len() % 2 == 0 { lookup(&id) } else { order(&id) };
            let mut caller = Caller::connect(callers).await;
            caller.send(&request.text()).await;
            caller.answer().await.status
        });
        time::sleep(interval).await;
    }
    while let Some(status) = requests.join_next().await {
        assert_eq!(status.expect("a response"), 200, "the other targets serve");
    }
}

/// Sends steadily to all gateways at once.
async fn load<'a>(gateways: impl Iterator<Item = &'a Gateway>, interval: Duration, span: Duration) {
    let mut loads = JoinSet::new();
    for (n, gateway) in gateways.enumerate() {
        loads.spawn(send_steadily(gateway.callers(), format!("g{n}"), interval, span));
    }
    while let Some(result) = loads.join_next().await {
        result.expect("the load ends without a panic");
    }
}

/// Returns the most requests that a target got in a window that begins after `from`.
fn worst_window(target: &Target, from: Instant) -> usize {
    let times: Vec<Instant> =
        target.seen().iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let in_window =
        |start: &Instant| times.iter().filter(|at| *at >= start && **at < *start + WINDOW).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

macro_rules! limit_is_kept {
    ($($name:ident: $gateways:literal gateways, $header:literal, $limit_per_s:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (fleet, others) = fleet_of($gateways).await;
            let target = &fleet.targets[0];
            target.set(Act::ServeWith($header));
            let span = SETTLE_TIME + WINDOW * 2;
            let start = Instant::now();
            load([&fleet.gateway].into_iter().chain(&others), Duration::from_millis(50), span).await;
            let from = start + SETTLE_TIME;
            let worst = worst_window(target, from);
            let allowed = 1.5 * $limit_per_s * WINDOW.as_secs_f64() + WINDOW_SLACK;
            assert!(worst as f64 <= allowed, "{worst} requests in a window, allowed {allowed}");
            let used = target.seen().iter().filter(|seen| seen.at >= from).count();
            let usable = $limit_per_s * (WINDOW * 2).as_secs_f64();
            assert!(used as f64 >= usable * 0.5, "{used} requests of {usable} were used");
        }
    )*};
}

limit_is_kept! {
    a_limit_binds_a_single_gateway: 1 gateways, "Server-Limit: 2\r\n", 2.0;
    a_limit_binds_all_gateways_together: 4 gateways, "Server-Limit: 4.6\r\n", 4.6;
    a_limit_below_one_request_a_second_for_each_gateway: 6 gateways, "Server-Limit: 1.1\r\n", 1.1;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_that_is_no_longer_named_ends() {
    let (fleet, others) = fleet_of(3).await;
    let target = &fleet.targets[0];
    target.set(Act::ServeWith("Server-Limit: 1\r\n"));
    let gateways = || [&fleet.gateway].into_iter().chain(&others);
    load(gateways(), Duration::from_millis(50), Duration::from_secs(1)).await;
    target.set(Act::Serve);
    load(gateways(), Duration::from_millis(50), Duration::from_secs(4)).await;
    let before = target.seen().len();
    load(gateways(), Duration::from_millis(50), Duration::from_secs(2)).await;
    let served = target.seen().len() - before;
    assert!(served >= 20, "{served} of 120 requests");
}

#[tokio::test]
async fn a_limit_of_zero_leaves_only_what_shows_its_end() {
    let fleet = TestFleet::start(2).await;
    let target = &fleet.targets[0];
    target.set(Act::ServeWith("Server-Limit: 0\r\n"));
    load([&fleet.gateway].into_iter(), Duration::from_millis(20), Duration::from_secs(1)).await;
    let before = target.seen().len();
    assert!(before >= 1);
    load([&fleet.gateway].into_iter(), Duration::from_millis(20), Duration::from_secs(3)).await;
    assert!(target.seen().len() <= before + 1, "one request in ten seconds");
}
