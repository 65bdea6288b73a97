//! The datagrams that gateways exchange.

use citron::{attempt::LoanId, position::Position};
use prost::{Enumeration, Message};

/// The maximum size of a datagram, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 1200;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The host of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The state of the sender, if the datagram reports it.
    #[prost(message, optional, tag = "2")]
    pub state: Option<State>,
    /// Outcomes of attempts at targets, newest last.
    #[prost(message, repeated, tag = "3")]
    pub outcomes: Vec<Outcome>,
    /// What targets stated about themselves.
    #[prost(message, repeated, tag = "7")]
    pub statements: Vec<Statement>,
    /// Other gateways that the sender knows.
    #[prost(message, repeated, tag = "4")]
    pub known: Vec<KnownGateway>,
    /// Whether the receiver should relay the datagram within its failure domain.
    #[prost(bool, tag = "6")]
    pub wants_relay: bool,
    /// Whether the datagram must reach all gateways, also in a failure domain with more of them than
    /// a broadcast reaches.
    #[prost(bool, tag = "8")]
    pub reaches_all: bool,
    /// The part of its failure domain to which the receiver should relay the datagram.
    #[prost(uint32, optional, tag = "9")]
    pub relay_part: Option<u32>,
    /// The sender's requests in flight at targets; replaces its previous report.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
    /// Messages about lent retry tokens.
    #[prost(message, repeated, tag = "10")]
    pub loans: Vec<LoanMessage>,
    /// Messages about tokens of the customers' quotas.
    #[prost(message, repeated, tag = "11")]
    pub quotas: Vec<QuotaMessage>,
}

/// A message about a token of a customer's quota.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaMessage {
    /// What it says.
    #[prost(enumeration = "QuotaStep", tag = "1")]
    pub step: i32,
    /// The customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// The number of the ask at the host that asks, in an ask and the answer to it.
    #[prost(uint64, tag = "3")]
    pub ask: u64,
    /// When the owner's process started, in milliseconds since the Unix epoch by its own clock.
    #[prost(uint64, tag = "4")]
    pub owner_born_ms: u64,
    /// The owner's number of the token.
    #[prost(uint64, tag = "5")]
    pub ticket: u64,
    /// After how long the owner has a token, in microseconds.
    #[prost(uint64, tag = "6")]
    pub wait_us: u64,
}

/// What a message about a token of a quota says.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Enumeration)]
#[repr(i32)]
pub enum QuotaStep {
    /// Something that this version does not know.
    Unknown = 0,
    /// The sender asks for a token.
    Ask = 1,
    /// The sender grants one.
    Grant = 2,
    /// The sender has none now.
    Empty = 3,
    /// The sender may not grant any.
    Unable = 4,
    /// The token was not used, and will not be.
    Returned = 5,
}

impl QuotaMessage {
    /// Asks for a token of a customer.
    pub fn ask(customer: &str, ask: u64) -> Self {
        Self { step: QuotaStep::Ask.into(), customer: customer.to_owned(), ask, ..Self::default() }
    }
}

/// A message about a retry token that one gateway lends another.
#[derive(Clone, PartialEq, Message)]
pub struct LoanMessage {
    /// What it says.
    #[prost(enumeration = "LoanStep", tag = "1")]
    pub step: i32,
    /// The service whose retry budget the token belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The borrower's number of its ask, in an ask and the answer to it.
    #[prost(uint64, tag = "3")]
    pub ask: u64,
    /// When the lender's process started, in milliseconds since the Unix epoch by its own clock.
    #[prost(uint64, tag = "4")]
    pub lender_born_ms: u64,
    /// The lender's number of the token.
    #[prost(uint64, tag = "5")]
    pub ticket: u64,
}

/// What a message about a lent token says.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Enumeration)]
#[repr(i32)]
pub enum LoanStep {
    /// Something that this version does not know.
    Unknown = 0,
    /// The sender asks for a token.
    Ask = 1,
    /// The sender lends one.
    Grant = 2,
    /// The sender has none to lend.
    Denial = 3,
    /// The retry that was paid with it has arrived at its target.
    Arrived = 4,
    /// It was not used, and will not be.
    Returned = 5,
}

impl LoanMessage {
    /// Asks for a token of a service.
    pub fn ask(service: &str, ask: u64) -> Self {
        Self { step: LoanStep::Ask.into(), service: service.to_owned(), ask, ..Self::default() }
    }

    /// Says something about a token.
    pub fn about(step: LoanStep, ask: u64, id: &LoanId) -> Self {
        Self {
            step: step.into(),
            service: id.service.to_string(),
            ask,
            lender_born_ms: id.lender_born_ms,
            ticket: id.ticket.0,
        }
    }
}

/// The requests of a gateway in flight, by target: keys and counts in the same order.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// The targets' keys.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// The number of requests at each target.
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
    /// The address that callers connect to, `ip:port`.
    #[prost(string, tag = "3")]
    pub callers: String,
    /// The address from which peers fetch the current routes and targets, `ip:port`.
    #[prost(string, tag = "4")]
    pub peers: String,
    /// Whether the sender accepts callers.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// The version of the current routes, 0 if none.
    #[prost(uint64, tag = "6")]
    pub routes_version: u64,
    /// The revision of the current target list, 0 if none.
    #[prost(uint64, tag = "7")]
    pub targets_revision: u64,
    /// How long the store has responded to the sender without an outage, in milliseconds; 0 during
    /// one.
    #[prost(uint64, tag = "10")]
    pub store_answers_for_ms: u64,
    /// How long ago the store's latest response to the sender arrived, in milliseconds; absent
    /// during an outage.
    #[prost(uint64, optional, tag = "11")]
    pub store_response_age_ms: Option<u64>,
    /// The address at which the sender receives datagrams, `ip:port`.
    #[prost(string, tag = "9")]
    pub datagrams: String,
    /// The sender's clock, in milliseconds since its process started.
    #[prost(uint64, tag = "12")]
    pub sent_ms: u64,
    /// How long ago the store confirmed to the sender that its routes and targets are current, in
    /// milliseconds; absent if it never did.
    #[prost(uint64, optional, tag = "13")]
    pub confirmed_age_ms: Option<u64>,
    /// The store's era of the current target list.
    #[prost(uint64, tag = "15")]
    pub targets_era: u64,
    /// The store's era in its latest response to the sender.
    #[prost(uint64, tag = "16")]
    pub store_era: u64,
    /// The last silence of the store that the sender noticed.
    #[prost(message, optional, tag = "14")]
    pub store_silence: Option<Silence>,
    /// The number of hosts that the sender knows, 0 if it has not read the platform's list.
    #[prost(uint32, tag = "17")]
    pub fleet_hosts: u32,
    /// What the sender's host offers, absent in reports of earlier builds.
    #[prost(message, optional, tag = "18")]
    pub power: Option<Power>,
    /// How many requests a second the sender receives.
    #[prost(double, tag = "19")]
    pub requests_per_s: f64,
    /// How late the sender's process runs, in milliseconds.
    #[prost(uint32, tag = "20")]
    pub lateness_ms: u32,
    /// The share of the sender's link or memory that is in use, whichever is greater.
    #[prost(double, tag = "21")]
    pub fullness: f64,
    /// Whether the sender accepts no requests with keys, as nothing confirms that they are still
    /// valid.
    #[prost(bool, tag = "22")]
    pub refuses_keys: bool,
    /// The position of the list of members under which the sender grants tokens of quotas, absent if it
    /// grants none.
    #[prost(message, optional, tag = "23")]
    pub granting: Option<ListPosition>,
    /// The position that such lists must reach before the sender becomes active, absent if it waits for
    /// none.
    #[prost(message, optional, tag = "24")]
    pub awaited: Option<ListPosition>,
    /// The position of the object that the current routes were decoded from, absent if none.
    #[prost(message, optional, tag = "25")]
    pub routes_position: Option<ListPosition>,
    /// Whether the version of the current routes could not be read.
    #[prost(bool, tag = "26")]
    pub routes_unversioned: bool,
    /// Whether the sender requests a reply with the gateways that the receiver knows.
    #[prost(bool, tag = "8")]
    pub wants_reply: bool,
}

/// Where a list is in the history of the store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct ListPosition {
    /// The era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// The revision within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

impl From<Position> for ListPosition {
    fn from(Position { era, revision }: Position) -> Self {
        Self { era, revision }
    }
}

impl From<ListPosition> for Position {
    fn from(ListPosition { era, revision }: ListPosition) -> Self {
        Self { era, revision }
    }
}

/// What a host offers to its gateway.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Power {
    /// The processor cores, or the part of one.
    #[prost(double, tag = "1")]
    pub cpu_share: f64,
    /// The bandwidth of the link, in Mbit/s.
    #[prost(double, tag = "2")]
    pub link_mbps: f64,
    /// The memory, in bytes.
    #[prost(uint64, tag = "3")]
    pub memory_bytes: u64,
}

/// A silence of the store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Silence {
    /// How long ago the latest unanswered call was begun, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub unanswered_age_ms: u64,
    /// How long ago the first call was begun that was answered afterwards, in milliseconds; absent
    /// if there was none yet.
    #[prost(uint64, optional, tag = "2")]
    pub returned_age_ms: Option<u64>,
}

/// The outcome of one attempt at a target.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The target's identity.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of the target.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// The verdict, a discriminant of `gray::Verdict`.
    #[prost(uint32, tag = "3")]
    pub verdict: u32,
    /// How long the attempt took, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub took_ms: u32,
}

/// What a target stated about itself beside a response.
#[derive(Clone, PartialEq, Message)]
pub struct Statement {
    /// The target's identity.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of the target.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// How long ago the response arrived, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// How many requests a second it takes from all gateways together, if it names a limit.
    #[prost(double, optional, tag = "5")]
    pub limit_per_s: Option<f64>,
}

/// A gateway that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct KnownGateway {
    /// Its host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The address at which it receives datagrams, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}
