//! Allowances over real sockets: two proxies that lend shares to each other over UDP.

mod support;

use std::sync::Arc;

use citron_proxy::Proxy;
use support::{Agent, Caller, Script, Target, respond, spawn_named, wait_for};

const GRANTS: &str = r#"
[[service]]
name = "lot-desk"
profile = "careful"
class = "live"
floor = 0.5
deadline_ms = 4000
[[plan]]
name = "gold"
[[plan.use]]
service = "lot-desk"
rate = 0.001
burst = 20
[[route]]
prefix = "/lots/"
service = "lot-desk"
"#;
const REQUEST: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n\r\n";

struct Pair {
    proxies: [Proxy; 2],
    agents: [Agent; 2],
    _target: Target,
}

impl Pair {
    /// Starts two proxies. Only the first is listed, so it alone owns the customer's allowance.
    async fn start() -> Self {
        let script: Script = Arc::new(|_| vec![respond("200 OK", "", "fine")]);
        let target = Target::spawn(script).await;
        let agents = [Agent::spawn().await, Agent::spawn().await];
        let flags = ["--handover-ms", "50"];
        let proxies = [
            spawn_named("h1", &agents[0], &flags).await,
            spawn_named("h2", &agents[1], &flags).await,
        ];
        let loans = proxies.each_ref().map(|proxy| proxy.loans().expect("bound").to_string());
        for agent in &agents {
            agent.send_members(&[("h1", &loans[0], true), ("h2", &loans[1], false)]);
            agent.send_policy(1, support::CUSTOMERS, GRANTS);
            agent.send_targets(&[target.addr]);
        }
        for proxy in &proxies {
            wait_for(|| async {
                let status = support::status(proxy).await;
                status["settled"] == true && status["services"]["lot-desk"]["listed"] == 1
            })
            .await;
        }
        Self { proxies, agents, _target: target }
    }

    /// Sends requests to a proxy and returns the statuses of the responses.
    async fn call(&self, proxy: usize, count: usize) -> Vec<u16> {
        let mut statuses = Vec::new();
        for _ in 0..count {
            let reply = Caller::new(self.proxies[proxy].addr()).call(REQUEST.as_bytes()).await;
            statuses.push(reply.status);
        }
        statuses
    }
}

fn served(statuses: &[u16]) -> usize {
    assert!(statuses.iter().all(|status| [200, 429].contains(status)), "{statuses:?}");
    statuses.iter().filter(|status| **status == 200).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_refuses_requests_over_its_allowance_as_not_run() {
    let pair = Pair::start().await;
    // Tokens accumulate far too slowly for a single request.
    assert_eq!(served(&pair.call(0, 3).await), 0);
    let reply = Caller::new(pair.proxies[0].addr()).call(REQUEST.as_bytes()).await;
    assert_eq!(reply.status, 429);
    assert_eq!(reply.header("citron-outcome"), Some("not-run"));
    assert_eq!(reply.header("citron-reason"), Some("over-allowance"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_is_not_an_owner_borrows_over_udp() {
    let pair = Pair::start().await;
    let grants = GRANTS.replace("rate = 0.001", "rate = 100000");
    for agent in &pair.agents {
        agent.send_policy(2, support::CUSTOMERS, &grants);
    }
    for proxy in &pair.proxies {
        wait_for(|| async { support::status(proxy).await["revision"] == 2 }).await;
    }
    wait_for(|| async { served(&pair.call(1, 1).await) == 1 }).await;
    let events = support::admin(&pair.proxies[1], "/events").await;
    assert!(events.contains("loan-taken"), "{events}");
    let events = support::admin(&pair.proxies[0], "/events").await;
    assert!(events.contains("loan-made"), "{events}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_loan_messages_change_nothing() {
    let pair = Pair::start().await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("bind");
    for bytes in [&b""[..], b"\xff\xff\xff", b"\x0a\x02h9", &[0; 4000]] {
        socket.send_to(bytes, pair.proxies[0].loans().expect("bound")).await.expect("send");
    }
    assert_eq!(served(&pair.call(0, 3).await), 0);
}
