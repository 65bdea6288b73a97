//! The records that members exchange about one another.

use strum::{Display, EnumString};

/// The state of a member.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Acknowledges probes.
    Alive,
    /// Announced that it leaves; still acknowledges probes.
    Leaving,
    /// Failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// Did not refute the suspicion in time, or is known only from the host list.
    Dead,
}

/// The addresses of an entry host, each `ip:port`, empty while not known.
#[derive(Debug, Default, Clone, Eq, PartialEq)]
pub struct Addresses {
    /// UDP, gossip between agents.
    pub gossip: String,
    /// TCP, calls from other agents.
    pub control: String,
    /// TCP, the agent's HTTP server.
    pub admin: String,
    /// TCP, requests from the proxy's callers.
    pub proxy: String,
    /// UDP, loan messages between proxies.
    pub loans: String,
}

/// What is known of one entry host.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Record {
    /// The host's name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Raised by the host itself when its addresses or state change, and to refute a suspicion. 0
    /// if the host is known only from the host list.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
    /// Its addresses.
    pub addresses: Addresses,
    /// The policy revision in force at its proxy, as last reported by the host itself.
    pub revision: u64,
}

/// Upper bound of the encoded length of a record without its strings, bytes.
const FIXED_BYTES: usize = 48;

impl Record {
    /// Returns an upper bound of the encoded length, bytes.
    pub fn max_encoded_len(&self) -> usize {
        let addresses = &self.addresses;
        FIXED_BYTES
            + self.host.len()
            + self.domain.len()
            + addresses.gossip.len()
            + addresses.control.len()
            + addresses.admin.len()
            + addresses.proxy.len()
            + addresses.loans.len()
    }

    /// Returns true if this record replaces `other` about the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// The directions in which a path to another member works.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Path {
    /// Datagrams from the other member arrive here.
    pub inbound: bool,
    /// Datagrams from this member arrive at the other one.
    pub outbound: bool,
}

impl Path {
    /// Both directions work.
    pub const OPEN: Self = Self { inbound: true, outbound: true };

    /// Returns true if exactly one direction works.
    pub fn is_one_way(self) -> bool {
        self.inbound != self.outbound
    }
}

/// A member, with the information that is local to this host.
#[derive(Debug, Clone)]
pub struct Member {
    /// The record that the members share.
    pub record: Record,
    /// Whether the platform's entry host list names it.
    pub listed: bool,
    /// The path between this host and the member.
    pub path: Path,
}
