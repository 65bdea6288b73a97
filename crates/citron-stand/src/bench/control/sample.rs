//! Processor time, memory and bytes of agents, read from `/proc` and their metrics.

use std::{collections::BTreeMap, fs, time::Instant};

use eyre::eyre;

use super::fleet::Fleet;
use crate::{bench::child::Agent, metric, platform::Platform};

/// Clock ticks of `/proc/PID/stat` per second on Linux.
const TICKS_PER_S: f64 = 100.0;

/// The counters of a whole fleet at one time.
#[derive(Debug)]
pub(super) struct Sample {
    at: Instant,
    nodes: BTreeMap<u32, Node>,
    calls: u64,
    waiting: u64,
}

/// The counters of one agent.
#[derive(Debug, Default, Copy, Clone)]
pub(super) struct Node {
    pub(super) cpu_s: f64,
    pub(super) rss_mb: f64,
    pub(super) sent: f64,
    pub(super) peer: f64,
}

/// What a node uses on average, and what the platform is asked in all.
#[derive(Debug, Default, Copy, Clone)]
pub(super) struct Usage {
    pub(super) cpu_percent: f64,
    pub(super) rss_mb: f64,
    pub(super) sent_per_s: f64,
    pub(super) peer_per_s: f64,
    pub(super) calls_per_s: f64,
    pub(super) waiting: u64,
}

impl Sample {
    /// Reads all counters.
    ///
    /// # Errors
    /// Fails if an agent has ended.
    pub(super) async fn take(fleet: &Fleet, platform: &Platform) -> eyre::Result<Self> {
        let mut nodes = BTreeMap::new();
        for agent in &fleet.agents {
            nodes.insert(agent.child.pid(), Node::read(agent).await?);
        }
        let calls = platform.calls();
        Ok(Self { at: Instant::now(), nodes, calls: calls.total(), waiting: calls.waiting_watches })
    }

    /// Returns the usage since an earlier sample, over the agents that are in both.
    pub(super) fn since(&self, before: &Self) -> Usage {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let mut usage = Usage {
            calls_per_s: (self.calls - before.calls) as f64 / seconds,
            waiting: self.waiting,
            ..Usage::default()
        };
        let pairs: Vec<(&Node, &Node)> = self
            .nodes
            .iter()
            .filter_map(|(pid, now)| Some((before.nodes.get(pid)?, now)))
            .collect();
        let share = 1.0 / (pairs.len().max(1) as f64);
        for (then, now) in pairs {
            usage.cpu_percent += (now.cpu_s - then.cpu_s) / seconds * 100.0 * share;
            usage.rss_mb += now.rss_mb * share;
            usage.sent_per_s += (now.sent - then.sent) / seconds * share;
            usage.peer_per_s += (now.peer - then.peer) / seconds * share;
        }
        usage
    }
}

impl Node {
    /// Reads the counters of one agent.
    ///
    /// # Errors
    /// Fails if it has ended.
    pub(super) async fn read(agent: &Agent) -> eyre::Result<Self> {
        let (pid, text) = (agent.child.pid(), agent.metrics().await?);
        let metric = |name: &str| metric::value(&text, name, &[]).unwrap_or(0.0);
        Ok(Self {
            cpu_s: cpu_seconds(pid)?,
            rss_mb: resident_mb(pid)?,
            sent: metric("citron_agent_datagram_bytes_sent_total"),
            peer: metric("citron_agent_peer_bytes_total"),
        })
    }
}

fn cpu_seconds(pid: u32) -> eyre::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name is in parentheses and may hold spaces; user and system time are fields 14 and 15.
    let rest = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / TICKS_PER_S)
}

fn resident_mb(pid: u32) -> eyre::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or_else(|| eyre!("no VmRSS of {pid}"))?;
    let kb: f64 = line.split_whitespace().nth(1).unwrap_or_default().parse()?;
    Ok(kb / 1024.0)
}
