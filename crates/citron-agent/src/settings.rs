//! The settings of an agent.

use std::{net::SocketAddr, time::Duration};

use citron_daemon::setting::{
    DOMAIN, Error, HOST, Spec, Values,
    check::{address, milliseconds, name},
};
use log::LevelFilter;

/// The settings with their flags and variables.
pub const SPECS: &[Spec] = &[
    HOST,
    DOMAIN,
    Spec {
        flag: "listen",
        variable: "CITRON_LISTEN",
        default: None,
        help: "TCP address for callers and operators (HTTP)",
        valid: "an address of this host such as 10.0.0.5:8081; port 0 lets the system choose",
    },
    Spec {
        flag: "control",
        variable: "CITRON_CONTROL",
        default: None,
        help: "TCP address for the proxy of this host and for other agents",
        valid: "an address of this host such as 10.0.0.5:8082; port 0 lets the system choose",
    },
    Spec {
        flag: "gossip",
        variable: "CITRON_GOSSIP",
        default: None,
        help: "UDP address for probes and gossip between agents",
        valid: "an address of this host such as 10.0.0.5:8083; port 0 lets the system choose",
    },
    Spec {
        flag: "platform",
        variable: "CITRON_PLATFORM",
        default: None,
        help: "the platform's object API",
        valid: "a URL such as http://10.0.0.1:8080",
    },
    Spec {
        flag: "seeds",
        variable: "CITRON_GOSSIP_SEEDS",
        default: Some(""),
        help: "gossip addresses of other agents, asked while the platform's host list is not known",
        valid: "addresses separated by commas, such as 10.0.0.6:8083,10.0.0.7:8083",
    },
    Spec {
        flag: "ttl-ms",
        variable: "CITRON_TTL_MS",
        default: Some("5000"),
        help: "how long a caller may keep a locate answer, milliseconds",
        valid: "100 to 600000",
    },
    Spec {
        flag: "grace-ms",
        variable: "CITRON_GRACE_MS",
        default: Some("15000"),
        help: "the longest wait for this host's proxy to leave before the agent stops, milliseconds",
        valid: "0 to 3600000",
    },
    Spec {
        flag: "log",
        variable: "CITRON_LOG",
        default: Some("info"),
        help: "the least severe log records that are written",
        valid: "off, error, warn, info, debug or trace",
    },
];

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// TCP address of the HTTP server.
    pub listen: SocketAddr,
    /// TCP address of the control service, for this host's proxy and other agents.
    pub control: SocketAddr,
    /// UDP address for gossip.
    pub gossip: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// Gossip addresses of other agents.
    pub seeds: Vec<String>,
    /// How long a caller may cache a locate response.
    pub ttl: Duration,
    /// The longest wait for this host's proxy to leave before the agent stops.
    pub grace: Duration,
    /// The least severe level that is logged.
    pub log: LevelFilter,
}

impl Settings {
    /// Parses and checks the settings.
    ///
    /// # Errors
    /// Fails if a setting is missing or not valid.
    pub fn parse(values: &Values) -> Result<Self, Error> {
        if let Some(word) = values.positional.first() {
            return Err(Error::Usage(format!("the word {word:?} is not expected")));
        }
        Ok(Self {
            host: values.get_with("host", name)?,
            domain: values.get_with("domain", name)?,
            listen: values.get_with("listen", address)?,
            control: values.get_with("control", address)?,
            gossip: values.get_with("gossip", address)?,
            platform: values.get_with("platform", platform)?,
            seeds: values.get_with("seeds", seeds)?,
            ttl: values.get_with("ttl-ms", |text| milliseconds(text, 100, 600_000))?,
            grace: values.get_with("grace-ms", |text| milliseconds(text, 0, 3_600_000))?,
            log: values.get("log")?,
        })
    }
}

fn platform(text: &str) -> Result<String, String> {
    match citron_platform::Client::open(text, Duration::from_secs(1)) {
        Ok(_) => Ok(text.to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn seeds(text: &str) -> Result<Vec<String>, String> {
    text.split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .map(|seed| address(seed).map(|seed| seed.to_string()))
        .collect()
}
