//! Agents before one platform.

use std::time::Duration;

use citron_platform::Hosts;
use eyre::bail;
use tokio::time::{Instant, sleep};

use crate::{bench::child::Agent, metric, platform::Platform};

/// The number of failure domains.
const DOMAINS: usize = 11;
/// How long agents may take to join.
const JOIN_LIMIT: Duration = Duration::from_secs(60);

/// Agents as separate processes.
#[derive(Debug)]
pub(super) struct Fleet {
    /// The agents.
    pub(super) agents: Vec<Agent>,
    started: usize,
}

impl Fleet {
    /// Starts `size` agents and publishes them in the platform's host list.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub(super) fn spawn(platform: &Platform, size: usize) -> eyre::Result<Self> {
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
    pub(super) fn replace(&mut self, platform: &Platform) -> eyre::Result<()> {
        let index = self.started % self.agents.len();
        self.agents[index] = self.start(&platform.url(), "")?;
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
        Agent::spawn(&name, &domain, platform, seeds)
    }

    /// Waits until every agent sees all others.
    ///
    /// # Errors
    /// Fails if that takes too long.
    pub(super) async fn wait_joined(&self) -> eyre::Result<()> {
        let end = Instant::now() + JOIN_LIMIT;
        for agent in &self.agents {
            while members(agent).await? < self.agents.len() {
                if Instant::now() > end {
                    bail!("{} sees only {} members", agent.name, members(agent).await?);
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    fn publish(&self, platform: &Platform) {
        let hosts = self.agents.iter().map(Agent::host).collect();
        platform.set_hosts(Hosts { hosts, ..Hosts::default() });
    }
}

async fn members(agent: &Agent) -> eyre::Result<usize> {
    let text = agent.metrics().await?;
    Ok(metric::value(&text, "citron_agent_members", &[]).unwrap_or(0.0) as usize)
}
