//! Agents in separate processes that are paused, killed and restarted.

mod support;

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    time::Duration,
};

use citron::lease::Record;
use citron_platform::Client;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use support::{platform, until};

/// A running agent, killed on drop.
struct Process {
    child: Child,
    ready: Value,
}

impl Process {
    fn start(host: &str, domain: usize, platform: &str, seeds: &[&Self]) -> Self {
        let seeds: Vec<&str> = seeds.iter().map(|seed| seed.address("gossip")).collect();
        let mut child = Command::new(env!("CARGO_BIN_EXE_citron-agent"))
            .env_clear()
            .args(["--host", host, "--domain", &format!("domain-{domain}")])
            .args(["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .args(["--gossip", "127.0.0.1:0", "--platform", platform])
            .args(["--seeds", &seeds.join(","), "--log", "off"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Self { child, ready: serde_json::from_str(&line).unwrap() }
    }

    fn address(&self, name: &str) -> &str {
        self.ready[name].as_str().unwrap()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.address("listen"));
        match reqwest::get(&url).await {
            Ok(response) => response.json().await.unwrap(),
            Err(error) => {
                panic!("{url} of {}: {error:?}; it is {}", self.ready["host"], self.state())
            }
        }
    }

    /// Returns the state of the process as the kernel has it, such as `Z (zombie)`.
    fn state(&self) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let state = |status: String| {
            status.lines().find_map(|line| line.strip_prefix("State:")).map(str::to_owned)
        };
        status.ok().and_then(state).unwrap_or_else(|| "gone".to_owned())
    }

    /// Returns the state of another host in its member list, or an empty string.
    async fn member_state(&self, host: &str) -> String {
        let status = self.get("/status").await;
        let members = status["members"].as_array().unwrap();
        let member = members.iter().find(|member| member["host"] == host);
        member.map_or(String::new(), |member| member["state"].as_str().unwrap().to_owned())
    }

    /// Returns the subjects of its events of one kind.
    async fn events(&self, kind: &str) -> Vec<String> {
        let events = self.get("/events").await;
        let events = events.as_array().unwrap().iter().filter(|event| event["kind"] == kind);
        events.map(|event| event["subject"].as_str().unwrap().to_owned()).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn fleet(platform: &str) -> Vec<Process> {
    let mut agents: Vec<Process> = Vec::new();
    for index in 0..4 {
        let seeds: Vec<&Process> = agents.iter().take(2).collect();
        let agent = Process::start(&format!("host-{index}"), index % 2, platform, &seeds);
        agents.push(agent);
    }
    agents
}

/// Waits until the first agent considers a host to be in this state.
async fn wait_for_state(agents: &[Process], host: &str, state: &str) {
    until(&format!("{host} {state}"), || async { agents[0].member_state(host).await == state })
        .await;
}

#[tokio::test]
async fn a_paused_agent_is_declared_dead_and_declares_no_other_dead_when_it_resumes() {
    let platform = platform().await;
    let agents = fleet(&platform.url());
    for host in ["host-1", "host-2", "host-3"] {
        wait_for_state(&agents, host, "alive").await;
    }
    until("the paused one knows all", || async {
        agents[3].member_state("host-2").await == "alive"
    })
    .await;
    agents[3].signal(Signal::STOP);
    wait_for_state(&agents, "host-3", "dead").await;
    agents[3].signal(Signal::CONT);
    wait_for_state(&agents, "host-3", "alive").await;
    assert_eq!(agents[3].events("member-dead").await, Vec::<String>::new());
}

#[tokio::test]
async fn a_killed_agent_rejoins_under_its_name() {
    let platform = platform().await;
    let mut agents = fleet(&platform.url());
    wait_for_state(&agents, "host-3", "alive").await;
    agents.pop();
    wait_for_state(&agents, "host-3", "dead").await;
    let restarted = Process::start("host-3", 1, &platform.url(), &[&agents[0]]);
    wait_for_state(&agents, "host-3", "alive").await;
    until("it knows the others", || async { restarted.member_state("host-2").await == "alive" })
        .await;
}

#[tokio::test]
async fn a_paused_lease_holder_is_replaced_and_notices() {
    let platform = platform().await;
    let client = Client::open(&platform.url(), Duration::from_secs(5)).unwrap();
    let lease = || async {
        let object = client.get("leases", "claims-sweep").await.unwrap()?;
        serde_json::from_slice::<Record>(&object.value).ok()
    };
    let agents = fleet(&platform.url());
    until("taken", || async { lease().await.is_some() }).await;
    let first = lease().await.unwrap();
    let holder = agents.iter().find(|agent| agent.ready["host"] == first.holder.as_str()).unwrap();
    // The platform may have the lease before its holder has the response.
    until("recorded", || async { !holder.events("lease-taken").await.is_empty() }).await;
    holder.signal(Signal::STOP);
    until("taken over", || async { lease().await.is_some_and(|next| next.term > first.term) })
        .await;
    holder.signal(Signal::CONT);
    until("noticed", || async { !holder.events("lease-lost").await.is_empty() }).await;
    let next = lease().await.unwrap();
    assert!(next.term > first.term && next.holder != first.holder, "{first:?} then {next:?}");
}
