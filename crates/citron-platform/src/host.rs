//! The platform's list of hosts, which may be stale.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use strum::{Display, EnumString};

/// The list of live and leaving hosts.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Incremented with each change of the list.
    #[serde(default)]
    pub version: u64,
    /// The hosts in no particular order.
    pub hosts: Vec<Host>,
}

/// The list with each entry as it was received.
#[derive(Deserialize)]
struct RawHosts<'a> {
    #[serde(default)]
    version: u64,
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

impl Hosts {
    /// Decodes a list; an entry that cannot be decoded is logged and skipped.
    ///
    /// # Errors
    /// Fails if the text is not a list.
    pub fn decode(text: &str) -> serde_json::Result<Self> {
        let raw: RawHosts<'_> = serde_json::from_str(text)?;
        let decode = |entry: &&RawValue| match serde_json::from_str(entry.get()) {
            Ok(host) => Some(host),
            Err(error) => {
                log::warn!("ignored an entry of the host list that cannot be decoded: {error}");
                None
            }
        };
        Ok(Self { version: raw.version, hosts: raw.hosts.iter().filter_map(decode).collect() })
    }
}

/// One host of the list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name of the host, or of the target if `role` is [`Role::Target`].
    pub name: String,
    /// What the host is for.
    pub role: Role,
    /// The failure domain.
    pub domain: String,
    /// Whether the host is about to leave.
    pub state: State,
    /// Address of a target, `ip:port`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    /// Service of a target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Number of requests that a target serves concurrently.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Number of connections that a target accepts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// UDP address of an entry host's gossip, `ip:port`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gossip: Option<String>,
    /// TCP address of an entry host's control service, `ip:port`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<String>,
}

/// What a host is for.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Runs a proxy and an agent.
    Entry,
    /// Serves requests of a service.
    Target,
}

/// Whether a host is about to leave.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// The host is in use.
    Live,
    /// The host is about to leave.
    Leaving,
}
