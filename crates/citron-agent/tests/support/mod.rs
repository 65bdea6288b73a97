//! A fleet of agents in this process, with the platform stand-in.

// No test file uses all of these helpers.
#![allow(dead_code)]

use std::{future::Future, net::SocketAddr, time::Duration};

use citron::policy::{Head, Policy, Shard, ShardRef};
use citron_agent::{Agent, Settings};
use citron_daemon::Clock;
use citron_platform::{Client, Expect, Host, Hosts, Role, State};
use citron_stand::platform::{self, Platform};
use citron_wire::{Hello, Progress, Report, Update, agent_client::AgentClient, report, update};
use log::LevelFilter;
use tokio::{sync::mpsc, time};
use tokio_stream::wrappers::ReceiverStream;

const CUSTOMERS: &str = "[[customer]]\nname = \"izmir\"\nplan = \"basic\"\n";
const GRANTS: &str = r#"
[[service]]
name = "lot-desk"
profile = "careful"
class = "live"
floor = 0.7
deadline_ms = 2000

[[plan]]
name = "basic"
use = [{ service = "lot-desk", rate = 10.0, burst = 20.0 }]
"#;

/// Returns a loopback address with port 0, so that the system chooses the port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the policy that the tests use.
pub fn policy() -> Policy {
    Policy::parse(CUSTOMERS, GRANTS).unwrap()
}

/// Waits until `holds` returns true.
///
/// # Panics
/// Panics after 60 seconds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let limit = time::Instant::now() + Duration::from_secs(60);
    while !holds().await {
        assert!(time::Instant::now() < limit, "not seen in time: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn platform() -> Platform {
    platform::bind(loopback(), Hosts::default()).await.unwrap()
}

/// Starts the agent of a host.
pub async fn agent(platform: &str, index: usize, domain: usize, seeds: &[&Agent]) -> Agent {
    let settings = Settings {
        host: format!("host-{index}"),
        domain: format!("domain-{domain}"),
        listen: loopback(),
        control: loopback(),
        gossip: loopback(),
        platform: platform.to_owned(),
        seeds: seeds.iter().map(|agent| agent.core().settings.gossip.to_string()).collect(),
        ttl: Duration::from_secs(5),
        grace: Duration::ZERO,
        log: LevelFilter::Off,
    };
    Agent::bind(settings, Clock::start()).await.unwrap()
}

/// Starts `count` agents in three failure domains, each with the first agent as its seed.
pub async fn fleet(platform: &str, count: usize) -> Vec<Agent> {
    let mut agents: Vec<Agent> = Vec::new();
    for index in 0..count {
        let seeds: Vec<&Agent> = agents.first().into_iter().collect();
        let started = agent(platform, index, index % 3, &seeds).await;
        agents.push(started);
    }
    agents
}

/// Writes a policy head of this revision with the shards of [`policy`].
pub async fn write_policy(url: &str, revision: u64) {
    let client = Client::open(url, Duration::from_secs(5)).unwrap();
    let mut head = Head { revision, term: 1, holder: "operator".to_owned(), ..Head::default() };
    for (key, shard) in Shard::split(&policy()) {
        let (digest, bytes) = shard.encode();
        client.put("policy-shards", digest.as_str(), &bytes, Expect::Any).await.unwrap();
        head.shards.insert(key, ShardRef { digest, bytes: bytes.len() as u64 });
    }
    let json = serde_json::to_vec(&head).unwrap();
    client.put("policy", "head", &json, Expect::Any).await.unwrap();
}

/// Returns the host list's entry for an agent.
pub fn entry(agent: &Agent) -> Host {
    let settings = &agent.core().settings;
    Host {
        name: settings.host.clone(),
        role: Role::Entry,
        domain: settings.domain.clone(),
        state: State::Live,
        address: None,
        service: None,
        slots: None,
        connections: None,
        gossip: Some(settings.gossip.to_string()),
        control: Some(settings.control.to_string()),
    }
}

/// Returns the host list's entry for a target.
pub fn target(name: &str, state: State) -> Host {
    Host {
        name: name.to_owned(),
        role: Role::Target,
        domain: "domain-0".to_owned(),
        state,
        address: Some("127.0.0.1:9".to_owned()),
        service: Some("lot-desk".to_owned()),
        slots: Some(3),
        connections: Some(400),
        gossip: None,
        control: None,
    }
}

/// A simulated proxy that is attached to an agent.
pub struct Proxy {
    reports: mpsc::Sender<Report>,
    updates: tonic::Streaming<Update>,
}

impl Proxy {
    pub async fn attach(agent: &Agent, listen: &str) -> Self {
        let url = format!("http://{}", agent.core().settings.control);
        let mut client = AgentClient::connect(url).await.unwrap();
        let (reports, receiver) = mpsc::channel(16);
        let hello = Hello { listen: listen.to_owned(), loans: "127.0.0.1:1".to_owned() };
        let report = Report { stamp: None, body: Some(report::Body::Hello(hello)) };
        reports.send(report).await.unwrap();
        let updates = client.attach(ReceiverStream::new(receiver)).await.unwrap().into_inner();
        Self { reports, updates }
    }

    /// Reports that the proxy is leaving.
    pub async fn report_leaving(&self) {
        let progress = Progress { revision: 1, leaving: true, in_flight: 0 };
        let body = Some(report::Body::Progress(progress));
        self.reports.send(Report { stamp: None, body }).await.unwrap();
    }

    /// Waits for an update for which `wanted` holds.
    pub async fn wait(&mut self, what: &str, wanted: impl Fn(&update::Body) -> bool) {
        let search = async {
            while let Some(update) = self.updates.message().await.unwrap() {
                if update.body.as_ref().is_some_and(&wanted) {
                    return;
                }
            }
            panic!("the stream of updates ended before this was received: {what}");
        };
        time::timeout(Duration::from_secs(60), search).await.expect(what);
    }
}

/// Returns the policy revision in force at an agent.
pub fn revision(agent: &Agent) -> u64 {
    agent.core().revision()
}

/// Returns the names of the members that an agent considers alive, sorted, without itself.
pub fn alive(agent: &Agent) -> Vec<String> {
    agent.core().with_members(|members| {
        members
            .others()
            .filter(|member| member.record.state == citron::member::State::Alive)
            .map(|member| member.record.host.clone())
            .collect()
    })
}
