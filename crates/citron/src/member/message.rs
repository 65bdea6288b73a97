//! Messages between members and what the state machine asks for.

use super::{Path, Record, State};

/// One datagram between two members.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Message {
    /// The sender's host.
    pub from: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// A probe, its answer, or nothing but news.
    pub body: Option<Body>,
    /// News about members, the sender's own record first.
    pub updates: Vec<Record>,
}

/// A probe or its answer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Body {
    /// Asks the receiver for an acknowledgement.
    Ping {
        /// Numbers the sender's probes.
        sequence: u64,
        /// The member on whose behalf the sender probes.
        origin: Option<Origin>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The number of the probe.
        sequence: u64,
        /// The member that answered; differs from the sender when relayed.
        subject: String,
        /// The subject direct_ping_received the prober's own ping.
        direct_ping_received: bool,
    },
    /// Asks the receiver to probe the subject and to relay its answer.
    PingRequest {
        /// The number of the probe.
        sequence: u64,
        /// The member to probe.
        subject: String,
    },
}

/// The member behind a relayed ping.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Origin {
    /// The member's host.
    pub host: String,
    /// Where it takes datagrams, `ip:port`.
    pub gossip: String,
    /// The number of its probe.
    pub sequence: u64,
}

/// What the state machine asks for.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send {
        /// The receiver, `ip:port`.
        to: String,
        /// The datagram.
        message: Message,
    },
    /// A member's record changed.
    StateChanged {
        /// The member's host.
        host: String,
        /// The state before, `None` for a host not known so far.
        before: Option<State>,
        /// The state now.
        after: State,
    },
    /// The path to a member works in other directions than before.
    PathChanged {
        /// The member's host.
        host: String,
        /// The directions that work now.
        path: Path,
    },
    /// A dead member that is no longer listed was dropped.
    Forgotten {
        /// The member's host.
        host: String,
    },
}
