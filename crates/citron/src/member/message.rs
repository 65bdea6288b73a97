//! Messages between members and the actions that the state machine requests.

use super::{Path, Record, State};

/// One datagram between two members.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Message {
    /// The sender's host.
    pub from: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// A probe or its acknowledgement; `None` if the datagram carries only updates.
    pub body: Option<Body>,
    /// Records of members, the sender's own first.
    pub updates: Vec<Record>,
}

/// A probe or its acknowledgement.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Body {
    /// Requests an acknowledgement from the receiver.
    Ping {
        /// The sequence number of the probe, per sender.
        sequence: u64,
        /// The member for which the sender relays the probe, if any.
        origin: Option<Origin>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The sequence number of the probe.
        sequence: u64,
        /// The probed member; differs from the sender if the acknowledgement was relayed.
        subject: String,
        /// Whether the subject received a ping directly from the prober, for this probe or a later
        /// one.
        direct_ping_received: bool,
    },
    /// Requests that the receiver pings the subject and relays its acknowledgement.
    PingRequest {
        /// The sequence number of the probe.
        sequence: u64,
        /// The member to probe.
        subject: String,
    },
}

/// The member that requested a relayed ping.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Origin {
    /// The member's host.
    pub host: String,
    /// The address where it receives datagrams, `ip:port`.
    pub gossip: String,
    /// The sequence number of its probe.
    pub sequence: u64,
}

/// What the state machine requests of its caller.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send {
        /// The receiver, `ip:port`.
        to: String,
        /// The datagram.
        message: Message,
    },
    /// A member is new or changed its state.
    StateChanged {
        /// The member's host.
        host: String,
        /// The previous state, `None` for a host that was unknown or only listed.
        before: Option<State>,
        /// The new state.
        after: State,
    },
    /// The directions in which the path to a member works changed.
    PathChanged {
        /// The member's host.
        host: String,
        /// The directions that work now.
        path: Path,
    },
    /// A dead member that is no longer listed was removed.
    Forgotten {
        /// The member's host.
        host: String,
    },
}
