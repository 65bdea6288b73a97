//! A proxy under test, with its own stand-in agent and raw TCP targets.
#![allow(dead_code, unused_imports)]

mod agent;
mod caller;
mod target;

pub use self::{
    agent::{Agent, ClaimScript, target_entry},
    caller::{Caller, Response, read_response},
    target::{Action, ReceivedRequest, Script, Target, respond},
};

use std::time::Duration;

use citron_daemon::{Clock, Recorder};
use citron_proxy::{Command, Proxy, Settings};

/// For how long the proxy has run, so that it may make retries.
const RUN_TIME: Duration = Duration::from_secs(60);
/// How long a condition may take to become true before a test fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub const CUSTOMERS: &str = "[[customer]]\nname = \"roaster\"\nplan = \"gold\"\n";
pub const GRANTS: &str = r#"
[[service]]
name = "lot-desk"
profile = "careful"
class = "live"
floor = 0.5
deadline_ms = 60000
[[service]]
name = "tec-live"
profile = "fast"
class = "live"
floor = 0.5
deadline_ms = 60000
[[plan]]
name = "gold"
[[plan.use]]
service = "lot-desk"
rate = 100000
burst = 100000
[[route]]
prefix = "/lots/"
service = "lot-desk"
[[route]]
prefix = "/tec/"
service = "tec-live"
[[route]]
prefix = "/lots/search/"
service = "lot-desk"
idempotent = true
"#;

/// A proxy in this process, its agent and its targets.
pub struct Rig {
    pub agent: Agent,
    pub targets: Vec<Target>,
    pub proxy: Proxy,
}

impl Rig {
    /// Starts a proxy with one target per script.
    pub async fn start(scripts: Vec<Script>) -> Self {
        Self::start_with(scripts, &[]).await
    }

    /// Starts a proxy with further flags.
    pub async fn start_with(scripts: Vec<Script>, flags: &[&str]) -> Self {
        Self::start_at(scripts, flags, Clock::started_before(RUN_TIME)).await
    }

    /// Starts a proxy whose process has the age that its clock tells.
    pub async fn start_at(scripts: Vec<Script>, flags: &[&str], clock: Clock) -> Self {
        let mut targets = Vec::new();
        for script in scripts {
            targets.push(Target::spawn(script).await);
        }
        let agent = Agent::spawn().await;
        agent.send_members(&[("h1", "", true)]);
        agent.send_policy(1, CUSTOMERS, GRANTS);
        agent.send_targets(&targets.iter().map(|target| target.addr).collect::<Vec<_>>());
        let proxy = spawn_at("h1", &agent, flags, clock).await;
        let rig = Self { agent, targets, proxy };
        rig.wait_ready().await;
        rig
    }

    /// Waits until the proxy has the policy and the targets.
    pub async fn wait_ready(&self) {
        let count = self.targets.len();
        wait_for(|| async {
            let status = status(&self.proxy).await;
            status["revision"] != 0 && status["services"]["lot-desk"]["listed"] == count
        })
        .await;
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.proxy.addr())
    }

    /// Sends one request and returns the response.
    pub async fn call(&self, request: &str) -> Response {
        self.caller().call(request.as_bytes()).await
    }

    /// Returns the requests that all targets received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.targets.iter().flat_map(Target::received).collect()
    }
}

pub async fn spawn_proxy(agent: &Agent, flags: &[&str]) -> Proxy {
    spawn_named("h1", agent, flags).await
}

pub async fn spawn_named(host: &str, agent: &Agent, flags: &[&str]) -> Proxy {
    spawn_at(host, agent, flags, Clock::start()).await
}

async fn spawn_at(host: &str, agent: &Agent, flags: &[&str], clock: Clock) -> Proxy {
    let addr = agent.addr.to_string();
    let mut words = vec!["--host", host, "--domain", "a", "--agent", &addr];
    words.extend(["--listen", "127.0.0.1:0", "--loans", "127.0.0.1:0", "--admin", "127.0.0.1:0"]);
    words.extend(flags);
    if !flags.contains(&"--handover-ms") {
        // A single proxy need not wait for the shares of other proxies.
        words.extend(["--handover-ms", "0"]);
    }
    let args = words.into_iter().map(Into::into);
    let Ok(Command::Run(settings)) = Settings::read(args, |_| None) else {
        panic!("the settings must be valid");
    };
    let recorder = Recorder::open(host, "citron-proxy", clock);
    Proxy::spawn(*settings, recorder).await.expect("the proxy must start")
}

/// Returns the status from the proxy's admin address.
pub async fn status(proxy: &Proxy) -> serde_json::Value {
    admin(proxy, "/status").await.parse().expect("the status must be JSON")
}

/// Returns the body of a path at the proxy's admin address.
pub async fn admin(proxy: &Proxy, path: &str) -> String {
    let url = format!("http://{}{path}", proxy.admin());
    reqwest::get(url).await.expect("admin must answer").text().await.expect("admin must answer")
}

/// Waits until a condition holds.
pub async fn wait_for<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let start = std::time::Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "the condition did not become true in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
