//! The request path of the citronlanding proxy fleet.
//!
//! A request passes through these stages, one file each: `intake` reads it, `admit` holds it
//! against the customer's plan, `allowance` counts it, `dispatch` assigns a target, `send` makes
//! one attempt, `carry` repeats attempts as `citron::attempt` decides, `answer` passes the answer
//! on.

mod admit;
mod allowance;
mod answer;
mod body;
mod carry;
mod dispatch;
mod door;
mod header;
mod health;
mod intake;
mod leaving;
mod link;
mod loan;
mod metrics;
mod proxy;
mod refusal;
mod send;
mod service;
mod settings;
mod shared;
mod socket;
mod view;

pub use self::{
    leaving::Leaver,
    proxy::{Error, Proxy},
    refusal::Reason,
    settings::{Command, Settings},
};
