//! The gateway: a process that forwards callers' requests to targets, tells callers which gateways
//! to connect to, and shares its observations with the other gateways.

mod access;
mod budget;
mod caller;
mod connection;
mod directory;
mod follow;
mod forward;
mod gateway;
mod http1;
mod load;
mod loans;
mod memory;
mod metrics;
mod outbox;
mod peer;
mod quota;
mod refusal;
mod reload;
mod retry;
mod shared;
mod store_link;
mod targets;
mod waiting;

pub use self::{gateway::Gateway, peer::message};
