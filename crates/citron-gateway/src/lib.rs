//! The gateway: one process that carries callers' requests to targets, answers where to connect,
//! and shares what it learns with the other gateways.

mod budget;
mod caller;
mod forward;
mod connection;
mod directory;
mod follow;
mod gateway;
mod http1;
mod link;
mod metrics;
mod peer;
mod refusal;
mod reload;
mod shared;

pub use self::gateway::Gateway;
