//! A platform, targets and hosts as separate processes on loopback.

use std::{path::Path, time::Duration};

use eyre::{bail, eyre};
use serde_json::{Value, json};

use crate::process::{Process, run, wait_until};

/// How long a new fleet may take until every proxy is ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// The operator who holds the edit right in a new fleet.
const HOLDER: &str = "first-owner";

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The services and their targets.
    pub services: Vec<Service>,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The folder of `customers.toml` and `grants.toml`.
    pub policy: std::path::PathBuf,
    /// The log level of the daemons.
    pub log: String,
    /// Additional flags of every proxy.
    pub proxy_flags: Vec<String>,
    /// Additional flags of every agent.
    pub agent_flags: Vec<String>,
}

/// A service and its targets.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The number of its targets.
    pub targets: usize,
    /// The typical service time, milliseconds.
    pub service_ms: f64,
}

/// One entry host: an agent and a proxy.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The agent.
    pub agent: Process,
    /// The proxy.
    pub proxy: Process,
}

/// A target, served by a process that may serve several.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// Its name in the host list.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Its address.
    pub address: String,
    /// The address of its admin endpoints, which inject faults.
    pub admin: String,
}

/// A running fleet; dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    /// The targets.
    pub targets: Vec<Target>,
    /// A client for the harness's own requests.
    pub client: reqwest::Client,
    settings: Settings,
    stands: Vec<Process>,
}

impl Settings {
    /// Returns three hosts in three failure domains, with five targets for each service of both users.
    pub fn demo() -> Self {
        let service =
            |name: &str, service_ms| Service { name: name.to_owned(), targets: 5, service_ms };
        Self {
            services: vec![
                service("lot-desk", 8.0),
                service("quality-desk", 8.0),
                service("tec-live", 5.0),
                service("tec-archive", 20.0),
            ],
            hosts: 3,
            domains: 3,
            policy: Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/demo"),
            log: "error".to_owned(),
            proxy_flags: Vec::new(),
            agent_flags: Vec::new(),
        }
    }

    /// Keeps only the service `name`, with `targets` targets.
    pub fn only(mut self, name: &str, targets: usize) -> Self {
        self.services.retain(|service| service.name == name);
        for service in &mut self.services {
            service.targets = targets;
        }
        self
    }
}

impl Fleet {
    /// Starts all processes, applies the policy and waits until every proxy is ready.
    ///
    /// # Errors
    /// Fails if a process cannot be started or a proxy does not become ready.
    pub async fn spawn(settings: Settings) -> eyre::Result<Self> {
        let client =
            reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(10)).build()?;
        let platform =
            Process::spawn("citron-stand", &["platform", "--listen", "127.0.0.1:0"]).await?;
        let mut fleet = Self {
            platform,
            hosts: Vec::new(),
            targets: Vec::new(),
            client,
            stands: Vec::new(),
            settings,
        };
        for service in fleet.settings.services.clone() {
            fleet.spawn_targets(&service).await?;
        }
        for index in 0..fleet.settings.hosts {
            let host = fleet.spawn_host(index).await?;
            fleet.hosts.push(host);
        }
        fleet.publish(&[]).await?;
        fleet.apply().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the configuration of the fleet.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the daemons that panicked because an invariant was violated.
    pub fn panicked(&self) -> Vec<String> {
        let daemons = self.hosts.iter().flat_map(|host| {
            [
                (format!("agent of {}", host.name), &host.agent),
                (format!("proxy of {}", host.name), &host.proxy),
            ]
        });
        daemons.filter(|(_, process)| process.has_panicked()).map(|(name, _)| name).collect()
    }

    /// Returns the platform's URL.
    ///
    /// # Errors
    /// Fails if the platform's ready line lacks it.
    pub fn platform_url(&self) -> eyre::Result<String> {
        Ok(format!("http://{}", self.platform.text("listen")?))
    }

    /// Starts the agent and the proxy of one host.
    ///
    /// # Errors
    /// Fails if a process cannot be started.
    pub async fn spawn_host(&self, index: usize) -> eyre::Result<Host> {
        let name = format!("entry-{}", index + 1);
        let domain = self.domain(index);
        let platform = self.platform_url()?;
        let agent = self.spawn_agent(&name, &domain, &platform).await?;
        let proxy = self.spawn_proxy(&name, &domain, &platform, &agent.text("control")?).await?;
        Ok(Host { name, domain, agent, proxy })
    }

    /// Starts an agent that uses the platform at `platform`.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub async fn spawn_agent(
        &self,
        name: &str,
        domain: &str,
        platform: &str,
    ) -> eyre::Result<Process> {
        let mut args = vec!["--host", name, "--domain", domain, "--platform", platform];
        args.extend([
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:0",
            "--gossip",
            "127.0.0.1:0",
        ]);
        args.extend(["--log", &self.settings.log]);
        args.extend(self.settings.agent_flags.iter().map(String::as_str));
        Process::spawn("citron-agent", &args).await
    }

    /// Starts a proxy beside the agent whose control address is `agent`.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub async fn spawn_proxy(
        &self,
        name: &str,
        domain: &str,
        platform: &str,
        agent: &str,
    ) -> eyre::Result<Process> {
        let mut args =
            vec!["--host", name, "--domain", domain, "--platform", platform, "--agent", agent];
        args.extend([
            "--listen",
            "127.0.0.1:0",
            "--loans",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0",
        ]);
        args.extend(["--log", &self.settings.log]);
        args.extend(self.settings.proxy_flags.iter().map(String::as_str));
        Process::spawn("citron-proxy", &args).await
    }

    /// Publishes the host list, with the targets named in `leaving` marked as leaving.
    ///
    /// # Errors
    /// Fails if the platform refuses the list.
    pub async fn publish(&self, leaving: &[&str]) -> eyre::Result<()> {
        let mut hosts = Vec::new();
        for host in &self.hosts {
            hosts.push(json!({
                "name": host.name, "role": "entry", "domain": host.domain, "state": "live",
                "gossip": host.agent.text("gossip")?, "control": host.agent.text("control")?,
            }));
        }
        for (index, target) in self.targets.iter().enumerate() {
            let state = if leaving.contains(&target.name.as_str()) { "leaving" } else { "live" };
            hosts.push(json!({
                "name": target.name, "role": "target", "domain": self.domain(index), "state": state,
                "address": target.address, "service": target.service, "slots": 3, "connections": 400,
            }));
        }
        let url = format!("{}/admin/hosts", self.platform_url()?);
        let body = json!({"version": 0, "hosts": hosts});
        self.client.put(url).json(&body).send().await?.error_for_status()?;
        Ok(())
    }

    /// Posts JSON to an admin endpoint of a stand-in, for instance to inject a fault.
    ///
    /// # Errors
    /// Fails if the stand-in refuses it.
    pub async fn post_admin(&self, address: &str, path: &str, body: &Value) -> eyre::Result<()> {
        self.client
            .post(format!("http://{address}{path}"))
            .json(body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Returns the status of a program by the address of its HTTP service.
    ///
    /// # Errors
    /// Fails if the program does not respond.
    pub async fn status(&self, address: &str) -> eyre::Result<Value> {
        Ok(self.client.get(format!("http://{address}/status")).send().await?.json().await?)
    }

    /// Returns the HTTP addresses of all agents, comma separated.
    ///
    /// # Errors
    /// Fails if a ready line lacks it.
    pub fn agents(&self) -> eyre::Result<String> {
        let agents: eyre::Result<Vec<String>> =
            self.hosts.iter().map(|host| host.agent.text("listen")).collect();
        Ok(agents?.join(","))
    }

    /// Returns the addresses at which all targets serve their ledgers, comma separated.
    pub fn ledgers(&self) -> String {
        self.targets.iter().map(|target| target.admin.as_str()).collect::<Vec<_>>().join(",")
    }

    /// Returns the addresses at which all programs serve their events, comma separated.
    ///
    /// # Errors
    /// Fails if a ready line lacks it.
    pub fn admins(&self) -> eyre::Result<String> {
        let mut admins = Vec::new();
        for host in &self.hosts {
            admins.push(host.agent.text("listen")?);
            admins.push(host.proxy.text("admin")?);
        }
        admins.extend(self.targets.iter().map(|target| target.admin.clone()));
        Ok(admins.join(","))
    }

    /// Runs `citronctl` with the platform's address and returns its output.
    ///
    /// # Errors
    /// Fails if it cannot be run or exits with a code other than 0.
    pub async fn control(&self, args: &[&str]) -> eyre::Result<String> {
        let platform = self.platform_url()?;
        let mut all = args.to_vec();
        all.extend(["--platform", &platform]);
        let output = run("citronctl", &all).await?;
        if !output.status.success() {
            bail!(
                "citronctl {} failed: {}",
                args.join(" "),
                String::from_utf8_lossy(&output.stderr)
            );
        }
        Ok(String::from_utf8(output.stdout)?)
    }

    async fn spawn_targets(&mut self, service: &Service) -> eyre::Result<()> {
        let count = service.targets.to_string();
        let service_ms = service.service_ms.to_string();
        let args =
            ["target", "--service", &service.name, "--count", &count, "--service-ms", &service_ms];
        let stand = Process::spawn("citron-stand", &args).await?;
        let lines = stand.ready()["targets"]
            .as_array()
            .ok_or_else(|| eyre!("the ready line of the targets has no list \"targets\""))?;
        for line in lines {
            let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
            self.targets.push(Target {
                name: text("name"),
                service: service.name.clone(),
                address: text("address"),
                admin: text("admin"),
            });
        }
        self.stands.push(stand);
        Ok(())
    }

    async fn apply(&self) -> eyre::Result<()> {
        let file = |name: &str| self.settings.policy.join(name).display().to_string();
        self.control(&["apply", &file("customers.toml"), &file("grants.toml"), "--as", HOLDER])
            .await?;
        Ok(())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        for host in &self.hosts {
            let proxy = host.proxy.text("admin")?;
            let agent = host.agent.text("listen")?;
            wait_until(&format!("{} serving", host.name), START_LIMIT, || async {
                let status = self.status(&proxy).await.ok()?;
                let ready = status["revision"].as_u64()? > 0 && status["settled"] == true;
                let located =
                    self.locate(&agent, &self.settings.services[0].name, "any").await.ok()?.len();
                (ready && located == self.hosts.len()).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the host that the agent lists first for callers of a customer, an owner host.
    ///
    /// # Errors
    /// Fails if the agent does not respond or lists an address that is not a proxy's.
    pub async fn owner(&self, service: &str, customer: &str) -> eyre::Result<&Host> {
        let agent = self.hosts[0].agent.text("listen")?;
        let addresses = self.locate(&agent, service, customer).await?;
        let first =
            addresses.first().ok_or_else(|| eyre!("the agent lists no address for {service}"))?;
        let mut hosts = self.hosts.iter();
        let owner = hosts.find(|host| host.proxy.ready()["listen"].as_str() == Some(first));
        owner.ok_or_else(|| eyre!("{first} is not the address of a proxy"))
    }

    async fn locate(
        &self,
        agent: &str,
        service: &str,
        customer: &str,
    ) -> eyre::Result<Vec<String>> {
        let url = format!("http://{agent}/locate/{service}?customer={customer}");
        let response: Value = self.client.get(url).send().await?.error_for_status()?.json().await?;
        let addresses = response["addresses"].as_array().map(Vec::as_slice).unwrap_or_default();
        Ok(addresses.iter().filter_map(Value::as_str).map(str::to_owned).collect())
    }

    fn domain(&self, index: usize) -> String {
        format!("domain-{}", index % self.settings.domains + 1)
    }
}
