//! The request path of the citronlanding proxy fleet.
//!
//! A request passes through these stages, one file each: `inbound` reads it, `admit` holds it
//! against the customer's plan, `allowance` counts it, `place` gives it a target, `send` makes one
//! attempt, `forward` repeats attempts as `citron::attempt` decides, `response` forwards the
//! response.

mod admit;
mod allowance;
mod body;
mod forward;
mod header;
mod health;
mod inbound;
mod link;
mod loan;
mod metrics;
mod place;
mod proxy;
mod refusal;
mod response;
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
