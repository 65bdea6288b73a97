//! Calls to other agents.

use std::{collections::BTreeMap, time::Duration};

use citron_wire::agent_client::AgentClient;
use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

/// The time limit of a call, and of a keep-alive's acknowledgement.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between keep-alives of a connection in use.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The largest response message that is accepted.
const RESPONSE_LIMIT_BYTES: usize = 64 << 20;
/// The largest number of open connections.
const MAX_CONNECTIONS: usize = 16;

/// Connections to other agents by control address.
#[derive(Debug, Default)]
pub struct Peers {
    channels: Mutex<BTreeMap<String, Channel>>,
}

impl Peers {
    /// Returns a client of the agent at `control`, or `None` if the address is invalid.
    pub fn client(&self, control: &str) -> Option<AgentClient<Channel>> {
        let mut channels = self.channels.lock();
        if let Some(channel) = channels.get(control) {
            return Some(Self::client_for(channel.clone()));
        }
        let channel = Endpoint::from_shared(format!("http://{control}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(CALL_TIMEOUT)
            .connect_lazy();
        if channels.len() >= MAX_CONNECTIONS {
            channels.pop_first();
        }
        channels.insert(control.to_owned(), channel.clone());
        Some(Self::client_for(channel))
    }

    /// Drops the connection to an agent that did not respond.
    pub fn forget(&self, control: &str) {
        self.channels.lock().remove(control);
    }

    fn client_for(channel: Channel) -> AgentClient<Channel> {
        AgentClient::new(channel).max_decoding_message_size(RESPONSE_LIMIT_BYTES)
    }
}
