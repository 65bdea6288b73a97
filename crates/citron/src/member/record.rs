//! What members say about one another.

use strum::{Display, EnumString};

/// How a member is seen.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Answers probes.
    Alive,
    /// Said that it leaves; still answers.
    Leaving,
    /// Failed a probe and has not refuted it yet.
    Suspect,
    /// Did not refute the suspicion in time, or is listed and was never heard of.
    Dead,
}

/// The addresses of an entry host, each `ip:port`, empty while not known.
#[derive(Debug, Default, Clone, Eq, PartialEq)]
pub struct Addresses {
    /// UDP, the agent's gossip.
    pub gossip: String,
    /// TCP, the agent's calls from other agents.
    pub control: String,
    /// TCP, the agent's HTTP service.
    pub admin: String,
    /// TCP, the proxy's callers.
    pub proxy: String,
    /// UDP, the proxy's loan messages.
    pub loans: String,
}

/// What is known of one entry host.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Record {
    /// The host's name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Raised by the host itself whenever it has something new to say.
    pub incarnation: u64,
    /// How it is seen.
    pub state: State,
    /// Where it is reached.
    pub addresses: Addresses,
    /// The policy revision in force at its proxy, as last heard from itself.
    pub revision: u64,
}

/// Bytes of a record besides its strings, when encoded.
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
    /// This member hears the other one.
    pub inbound: bool,
    /// The other one hears this member.
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

/// A member with what only this host knows of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What the members say about it.
    pub record: Record,
    /// The platform's entry host list names it.
    pub listed: bool,
    /// The path between this host and the member.
    pub path: Path,
}
