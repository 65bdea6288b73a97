//! Agents as separate processes, started and stopped by the bench.

use std::{
    env,
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    time::Duration,
};

use citron_platform::{Host, Hosts, Role, State};
use eyre::{bail, eyre};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::platform::Platform;

/// The number of failure domains.
const DOMAINS: usize = 11;
/// How long agents may take to join.
const JOIN_LIMIT: Duration = Duration::from_secs(60);

/// Agents before one platform.
#[derive(Debug)]
pub(super) struct Fleet {
    agents: Vec<Agent>,
    started: usize,
}

/// One agent.
#[derive(Debug)]
pub(super) struct Agent {
    child: Child,
    name: String,
    domain: String,
    ready: Value,
}

impl Fleet {
    /// Starts `size` agents and publishes them in the platform's host list.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub(super) async fn spawn(platform: &Platform, size: usize) -> eyre::Result<Self> {
        let mut fleet = Self { agents: Vec::new(), started: 0 };
        for _ in 0..size {
            let agent = fleet.start(&platform.url(), "")?;
            fleet.agents.push(agent);
        }
        fleet.publish(platform);
        Ok(fleet)
    }

    /// Kills one agent and starts another in its place.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub(super) async fn replace(&mut self, platform: &Platform) -> eyre::Result<()> {
        let index = self.started % self.agents.len();
        let agent = self.start(&platform.url(), "")?;
        self.agents[index] = agent;
        self.publish(platform);
        Ok(())
    }

    /// Starts an agent that is not in the host list and knows others by `seeds`.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub(super) fn start(&mut self, platform: &str, seeds: &str) -> eyre::Result<Agent> {
        self.started += 1;
        let (name, domain) =
            (format!("entry-{}", self.started), format!("domain-{}", self.started % DOMAINS));
        let mut args = vec![
            "agent",
            "--host",
            &name,
            "--domain",
            &domain,
            "--platform",
            platform,
            "--log",
            "off",
        ];
        args.extend([
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:0",
            "--gossip",
            "127.0.0.1:0",
        ]);
        args.extend(["--seeds", seeds]);
        let mut child =
            Command::new(env::current_exe()?).args(&args).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("the agent has no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let ready = serde_json::from_str(&line)?;
        Ok(Agent { child, name, domain, ready })
    }

    /// Returns the agents.
    pub(super) fn agents(&self) -> &[Agent] {
        &self.agents
    }

    /// Waits until every agent sees all others.
    ///
    /// # Errors
    /// Fails if that takes too long.
    pub(super) async fn wait_joined(&self) -> eyre::Result<()> {
        let end = Instant::now() + JOIN_LIMIT;
        for agent in &self.agents {
            while members(agent.listen()).await? < self.agents.len() {
                if Instant::now() > end {
                    bail!("{} sees only {} members", agent.name, members(agent.listen()).await?);
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Stops all agents.
    ///
    /// # Errors
    /// Fails if an agent cannot be waited for.
    pub(super) fn stop(&mut self) -> eyre::Result<()> {
        self.agents.clear();
        Ok(())
    }

    fn publish(&self, platform: &Platform) {
        let hosts = self.agents.iter().map(Agent::host).collect();
        platform.set_hosts(Hosts { hosts, ..Hosts::default() });
    }
}

impl Agent {
    /// Returns the process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of the HTTP service.
    pub(super) fn listen(&self) -> &str {
        self.ready["listen"].as_str().unwrap_or_default()
    }

    /// Returns the gossip address.
    pub(super) fn gossip(&self) -> &str {
        self.ready["gossip"].as_str().unwrap_or_default()
    }

    fn host(&self) -> Host {
        Host {
            name: self.name.clone(),
            role: Role::Entry,
            domain: self.domain.clone(),
            state: State::Live,
            gossip: Some(self.gossip().to_owned()),
            control: self.ready["control"].as_str().map(str::to_owned),
            address: None,
            service: None,
            slots: None,
            connections: None,
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        // An agent that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn members(listen: &str) -> eyre::Result<usize> {
    let text = reqwest::get(format!("http://{listen}/metrics")).await?.text().await?;
    let line = text.lines().find(|line| line.starts_with("citron_agent_members "));
    Ok(line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0) as usize)
}
