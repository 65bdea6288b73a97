//! Processes that a bench starts and stops by pid.

use std::{
    env,
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

use citron_platform::{Host, Role, State};
use eyre::{WrapErr, eyre};
use serde_json::Value;

/// Lets the system choose a port.
const ANY: &str = "127.0.0.1:0";

/// A subcommand of this program in a process of its own.
#[derive(Debug)]
pub(super) struct Child {
    process: std::process::Child,
    ready: Value,
}

impl Child {
    /// Starts a subcommand and waits for its ready line.
    ///
    /// # Errors
    /// Fails if the process ends before it is ready.
    pub(super) fn spawn(args: &[&str]) -> eyre::Result<Self> {
        let mut process =
            Command::new(env::current_exe()?).args(args).stdout(Stdio::piped()).spawn()?;
        let stdout = process.stdout.take().ok_or_else(|| eyre!("the process has no output"))?;
        let mut child = Self { process, ready: Value::Null };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        child.ready = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{} said {line:?}", args.join(" ")))?;
        Ok(child)
    }

    /// Returns the process id.
    pub(super) fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns the ready line.
    pub(super) fn ready(&self) -> &Value {
        &self.ready
    }

    /// Returns a text of the ready line, or an empty one.
    pub(super) fn text(&self, key: &str) -> &str {
        self.ready[key].as_str().unwrap_or_default()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // A process that has ended already needs no kill.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The agent of one host.
#[derive(Debug)]
pub(super) struct Agent {
    /// The process.
    pub(super) child: Child,
    /// The host.
    pub(super) name: String,
    domain: String,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    /// Fails if the process does not become ready.
    pub(super) fn spawn(
        name: &str,
        domain: &str,
        platform: &str,
        seeds: &str,
    ) -> eyre::Result<Self> {
        let mut args = vec!["agent", "--host", name, "--domain", domain, "--platform", platform];
        args.extend([
            "--listen",
            ANY,
            "--control",
            ANY,
            "--gossip",
            ANY,
            "--seeds",
            seeds,
            "--log",
            "off",
        ]);
        Ok(Self { child: Child::spawn(&args)?, name: name.to_owned(), domain: domain.to_owned() })
    }

    /// Starts the proxy of this agent's host.
    ///
    /// # Errors
    /// Fails if the process does not become ready.
    pub(super) fn spawn_proxy(&self) -> eyre::Result<Child> {
        let mut args = vec!["proxy", "--host", &self.name, "--domain", &self.domain];
        args.extend(["--listen", ANY, "--loans", ANY, "--admin", ANY, "--log", "off"]);
        args.extend(["--agent", self.child.text("control")]);
        Child::spawn(&args)
    }

    /// Returns the address of the HTTP service.
    pub(super) fn listen(&self) -> &str {
        self.child.text("listen")
    }

    /// Returns the text of the metrics.
    ///
    /// # Errors
    /// Fails if the agent does not answer.
    pub(super) async fn metrics(&self) -> eyre::Result<String> {
        Ok(reqwest::get(format!("http://{}/metrics", self.listen())).await?.text().await?)
    }

    /// Returns the gossip address.
    pub(super) fn gossip(&self) -> &str {
        self.child.text("gossip")
    }

    /// Returns the entry of this host in the platform's host list.
    pub(super) fn host(&self) -> Host {
        Host {
            name: self.name.clone(),
            role: Role::Entry,
            domain: self.domain.clone(),
            state: State::Live,
            address: None,
            service: None,
            slots: None,
            connections: None,
            gossip: Some(self.gossip().to_owned()),
            control: Some(self.child.text("control").to_owned()),
        }
    }
}

/// Returns the entry of a target in the platform's host list.
pub(super) fn target(name: &str, service: &str, address: &str, domain: &str) -> Host {
    Host {
        name: name.to_owned(),
        role: Role::Target,
        domain: domain.to_owned(),
        state: State::Live,
        address: Some(address.to_owned()),
        service: Some(service.to_owned()),
        slots: Some(3),
        connections: Some(400),
        gossip: None,
        control: None,
    }
}
