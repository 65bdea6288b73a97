//! Finds the processes of the fleet and calls their HTTP endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use reqwest::{Method, redirect};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::task::JoinSet;

/// The state of a member that is not called.
const DEAD: &str = "dead";
/// The number of calls in flight at a time.
const MAX_CONCURRENT_CALLS: usize = 64;

/// An HTTP client for the processes of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    http: reqwest::Client,
}

/// The status that a process reports.
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
    /// The other members that an agent knows; other programs report values of other types here.
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

/// The processes that responded, by address, and an error message for each of the others.
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

    /// Reads the status of the processes at `first` and of all agents reachable from them.
    pub(crate) async fn survey(&self, first: &[SocketAddr]) -> Survey {
        let mut survey = Survey::default();
        let mut visited: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut pending: BTreeSet<SocketAddr> = first.iter().copied().collect();
        while !pending.is_empty() {
            visited.extend(&pending);
            let found: Vec<(SocketAddr, Result<Process, String>)> =
                self.get_all(std::mem::take(&mut pending), "/status").await;
            for (addr, result) in found {
                match result {
                    Ok(mut process) => {
                        process.admin = addr.to_string();
                        pending
                            .extend(process.live_members().filter(|addr| !visited.contains(addr)));
                        survey.processes.insert(addr, process);
                    }
                    Err(problem) => survey.problems.push(format!("{addr}: {problem}")),
                }
            }
        }
        survey
    }

    /// Sends a GET request for `path` to each process.
    pub(crate) async fn get_all<T: DeserializeOwned + Send + 'static>(
        &self,
        addrs: impl IntoIterator<Item = SocketAddr>,
        path: &'static str,
    ) -> Vec<(SocketAddr, Result<T, String>)> {
        let mut calls = JoinSet::new();
        let mut responses = Vec::new();
        for addr in addrs {
            if calls.len() == MAX_CONCURRENT_CALLS {
                responses.extend(calls.join_next().await.and_then(Result::ok));
            }
            let fleet = self.clone();
            calls.spawn(async move { (addr, fleet.call(Method::GET, addr, path).await) });
        }
        responses.extend(calls.join_all().await);
        responses.sort_by_key(|(addr, _)| *addr);
        responses
    }

    /// Calls one process and decodes its JSON response.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let url = format!("http://{addr}{path}");
        let response = self.http.request(method, url).send().await.map_err(|error| {
            if error.is_connect() {
                "cannot connect".to_owned()
            } else {
                format!("no answer: {error}")
            }
        })?;
        if !response.status().is_success() {
            return Err(format!("{path} gave status {}", response.status()));
        }
        response.json().await.map_err(|error| format!("{path} cannot be understood: {error}"))
    }
}

impl Process {
    /// Returns the addresses of the other members that it knows, without the dead ones.
    fn live_members(&self) -> impl Iterator<Item = SocketAddr> {
        let members: Vec<Member> = serde_json::from_value(self.members.clone()).unwrap_or_default();
        let live = members.into_iter().filter(|member| member.state != DEAD);
        live.filter_map(|member| member.admin.parse().ok())
    }
}
