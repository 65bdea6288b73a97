//! What targets state about themselves in their responses: that they drain, and pauses.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citron_proxy::Proxy;
use support::{
    Action, Agent, Caller, ReceivedRequest, Rig, Script, Target, respond, spawn_named, wait_for,
};
use tokio::time::{self, Instant};

const PAUSE: &str = "HTTP/1.1 503 Busy\r\ncitron-request-id: {id}\r\ncitron-target-outcome: not-run\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n";

fn good() -> Vec<Action> {
    vec![respond("200 OK", "", "fine")]
}

/// Returns the script of a target whose first response is `first`, and all later ones good.
fn first_response(first: Vec<Action>) -> Script {
    let count = AtomicUsize::new(0);
    Arc::new(move |_: &ReceivedRequest| match count.fetch_add(1, Ordering::SeqCst) {
        0 => first.clone(),
        _ => good(),
    })
}

/// Starts a proxy before a target with this first response and a target that always serves, and
/// sends requests until the first target has met one.
async fn meet_first_target(first: Vec<Action>) -> Rig {
    let rig = Rig::start(vec![first_response(first), Arc::new(|_: &ReceivedRequest| good())]).await;
    for _ in 0..200 {
        if !rig.targets[0].received().is_empty() {
            return rig;
        }
        assert_eq!(lookup(&rig).await, 200);
    }
    panic!("the first target met no request");
}

async fn lookup(rig: &Rig) -> u16 {
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n\r\n";
    rig.call(request).await.status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let rig = meet_first_target(vec![Action::Write(PAUSE.to_owned())]).await;
    let until = Instant::now() + Duration::from_millis(1400);
    while Instant::now() < until {
        assert_eq!(lookup(&rig).await, 200);
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(rig.targets[0].received().len(), 1, "requests during the pause");
    time::sleep(Duration::from_millis(200)).await;
    for _ in 0..100 {
        assert_eq!(lookup(&rig).await, 200);
    }
    assert!(rig.targets[0].received().len() > 1, "it serves after the pause");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_whose_response_says_that_it_drains_gets_no_more_requests() {
    let draining = respond("200 OK", "citron-target-state: draining\r\n", "fine");
    let rig = meet_first_target(vec![draining]).await;
    for _ in 0..100 {
        assert_eq!(lookup(&rig).await, 200);
    }
    assert_eq!(rig.targets[0].received().len(), 1);
}

/// Starts two proxies that know of each other, with these targets.
async fn two_proxies(targets: &[Target]) -> [(Proxy, Agent); 2] {
    let agents = [Agent::spawn().await, Agent::spawn().await];
    let flags = ["--handover-ms", "50"];
    let proxies =
        [spawn_named("h1", &agents[0], &flags).await, spawn_named("h2", &agents[1], &flags).await];
    let loans = proxies.each_ref().map(|proxy| proxy.loans().expect("bound").to_string());
    let addrs: Vec<SocketAddr> = targets.iter().map(|target| target.addr).collect();
    for agent in &agents {
        agent.send_members(&[("h1", &loans[0], true), ("h2", &loans[1], true)]);
        agent.send_policy(1, support::CUSTOMERS, support::GRANTS);
        agent.send_targets(&addrs);
    }
    for proxy in &proxies {
        wait_for(|| async {
            let status = support::status(proxy).await;
            status["settled"] == true && status["services"]["lot-desk"]["listed"] == targets.len()
        })
        .await;
    }
    let [first, second] = proxies;
    let [first_agent, second_agent] = agents;
    [(first, first_agent), (second, second_agent)]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_that_a_target_names_binds_two_proxies_together() {
    let limited: Script = Arc::new(|_: &ReceivedRequest| {
        vec![respond("200 OK", "citron-target-limit: 2\r\n", "fine")]
    });
    let unlimited: Script = Arc::new(|_: &ReceivedRequest| good());
    let targets = [Target::spawn(limited).await, Target::spawn(unlimited).await];
    let proxies = two_proxies(&targets).await;
    let request = b"GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n\r\n";
    let send_for = async |span: Duration| {
        let until = Instant::now() + span;
        while Instant::now() < until {
            for (proxy, _) in &proxies {
                assert_eq!(Caller::new(proxy.addr()).call(request).await.status, 200);
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    // A share is used after a handover of five seconds.
    send_for(Duration::from_secs(6)).await;
    let before = targets[0].received().len();
    send_for(Duration::from_secs(4)).await;
    let received = targets[0].received().len() - before;
    assert!(received <= 2 * 4 * 3 / 2 + 5, "{received} requests in four seconds");
    // At this load only the proxy that has the target's slots uses its share.
    assert!(received >= 1, "the target stays in use");
}
