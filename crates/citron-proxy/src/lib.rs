//! The request path of the citronlanding proxy fleet.
//!
//! A request passes through these stages, one file each: `server` receives it and runs the other
//! stages, `inbound` parses its head, `admit` checks it against the customer's plan, `allowance`
//! applies the customer's rate limit, `body` buffers or streams its body, `forward` makes attempts
//! as `citron::attempt` decides, `dispatch` assigns a target to each attempt, `send` makes one
//! attempt, and `response` forwards the target's response.

mod admit;
mod allowance;
mod body;
mod dispatch;
mod forward;
mod header;
mod health;
mod inbound;
mod link;
mod loan;
mod metrics;
mod proxy;
mod refusal;
mod response;
mod retry;
mod send;
mod server;
mod service;
mod settings;
mod shared;
mod shutdown;
mod socket;
mod view;

pub use self::{
    proxy::{Error, Proxy},
    refusal::Reason,
    settings::{Command, Settings},
    shutdown::ShutdownHandle,
};
