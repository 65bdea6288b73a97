//! Finds the processes of the fleet and asks them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use reqwest::{Method, redirect};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::task::JoinSet;

/// The state of a member that is not asked.
const DEAD: &str = "dead";
/// The calls that are on their way at once.
const CALL_LIMIT: usize = 64;

/// Asks processes over HTTP.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    http: reqwest::Client,
}

/// What a process says of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Process {
    /// Its HTTP address.
    #[serde(default)]
    pub(crate) admin: String,
    /// The program.
    #[serde(default)]
    pub(crate) program: String,
    /// The host.
    #[serde(default)]
    pub(crate) host: String,
    /// The failure domain.
    #[serde(default)]
    pub(crate) domain: String,
    /// The policy revision in force at it.
    #[serde(default)]
    pub(crate) revision: u64,
    /// The other members that an agent knows; other programs give something else here.
    #[serde(default, skip_serializing)]
    members: serde_json::Value,
}

/// Another member, as an agent knows it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Member {
    #[serde(default)]
    admin: String,
    #[serde(default)]
    state: String,
}

/// Processes by address, and what went wrong with the others.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    pub(crate) processes: BTreeMap<SocketAddr, Process>,
    pub(crate) problems: Vec<String>,
}

impl Fleet {
    /// Opens a client whose calls end within `timeout`.
    pub(crate) fn open(timeout: Duration) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .timeout(timeout)
            .build()?;
        Ok(Self { http })
    }

    /// Asks the processes at `first` and all agents that they know for their status.
    pub(crate) async fn survey(&self, first: &[SocketAddr]) -> Survey {
        let mut survey = Survey::default();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut next: BTreeSet<SocketAddr> = first.iter().copied().collect();
        while !next.is_empty() {
            asked.extend(&next);
            let found: Vec<(SocketAddr, Result<Process, String>)> =
                self.ask_all(std::mem::take(&mut next), "/status").await;
            for (addr, result) in found {
                match result {
                    Ok(mut process) => {
                        process.admin = addr.to_string();
                        next.extend(process.known().filter(|addr| !asked.contains(addr)));
                        survey.processes.insert(addr, process);
                    }
                    Err(problem) => survey.problems.push(format!("{addr}: {problem}")),
                }
            }
        }
        survey
    }

    /// Gets one path of several processes.
    pub(crate) async fn ask_all<T: DeserializeOwned + Send + 'static>(
        &self,
        addrs: impl IntoIterator<Item = SocketAddr>,
        path: &'static str,
    ) -> Vec<(SocketAddr, Result<T, String>)> {
        let mut calls = JoinSet::new();
        let mut answers = Vec::new();
        for addr in addrs {
            if calls.len() == CALL_LIMIT {
                answers.extend(calls.join_next().await.and_then(Result::ok));
            }
            let fleet = self.clone();
            calls.spawn(async move { (addr, fleet.call(Method::GET, addr, path).await) });
        }
        answers.extend(calls.join_all().await);
        answers.sort_by_key(|(addr, _)| *addr);
        answers
    }

    /// Calls one process.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let url = format!("http://{addr}{path}");
        let answer = self.http.request(method, url).send().await.map_err(|error| {
            if error.is_connect() {
                "cannot connect".to_owned()
            } else {
                format!("no answer: {error}")
            }
        })?;
        if !answer.status().is_success() {
            return Err(format!("{path} gave status {}", answer.status()));
        }
        answer.json().await.map_err(|error| format!("{path} cannot be understood: {error}"))
    }
}

impl Process {
    /// Returns the addresses of the other members that it knows and does not hold dead.
    fn known(&self) -> impl Iterator<Item = SocketAddr> {
        let members: Vec<Member> = serde_json::from_value(self.members.clone()).unwrap_or_default();
        let asked = members.into_iter().filter(|member| member.state != DEAD);
        asked.filter_map(|member| member.admin.parse().ok())
    }
}
