//! What gateways tell each other in datagrams.

use prost::Message;

/// The longest datagram, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 1200;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The host that sends it.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Present where the sender tells its own state.
    #[prost(message, optional, tag = "2")]
    pub state: Option<State>,
    /// Outcomes at targets, newest last.
    #[prost(message, repeated, tag = "3")]
    pub outcomes: Vec<Outcome>,
    /// Other gateways that the sender knows.
    #[prost(message, repeated, tag = "4")]
    pub known: Vec<KnownGateway>,
    /// Whether the receiver is to pass the datagram on in its failure domain.
    #[prost(bool, tag = "6")]
    pub wants_relay: bool,
    /// The sender's requests at targets; replaces what it reported before.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
}

/// The requests of a gateway at targets: keys and counts in the same order.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// The targets' keys.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// The requests at each.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// The state of a gateway.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// When the process started, in milliseconds since the Unix epoch by its own clock.
    #[prost(uint64, tag = "1")]
    pub born_ms: u64,
    /// The failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Where callers connect, `ip:port`.
    #[prost(string, tag = "3")]
    pub callers: String,
    /// Where peers ask for the state in force, `ip:port`.
    #[prost(string, tag = "4")]
    pub peers: String,
    /// Whether callers may be sent here.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// The version of the routes in force, 0 if none.
    #[prost(uint64, tag = "6")]
    pub routes_version: u64,
    /// The revision of the target list in force, 0 if none.
    #[prost(uint64, tag = "7")]
    pub targets_revision: u64,
    /// How long the store has answered the sender without a break, in milliseconds; 0 if it does
    /// not answer.
    #[prost(uint64, tag = "10")]
    pub store_answers_for_ms: u64,
    /// Where it receives datagrams, `ip:port`.
    #[prost(string, tag = "9")]
    pub datagrams: String,
    /// Whether the sender asks for an answer with the gateways that the receiver knows.
    #[prost(bool, tag = "8")]
    pub wants_reply: bool,
}

/// What requests said about one target.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The target's identity.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The lifetime of the target.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// The verdict, a number of `gray::Verdict`.
    #[prost(uint32, tag = "3")]
    pub verdict: u32,
    /// How long the attempt took, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub took_ms: u32,
}

/// A gateway that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct KnownGateway {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Where it receives datagrams, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}
