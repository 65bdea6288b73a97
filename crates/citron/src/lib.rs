//! The decisions of a proxy fleet, as pure state machines without I/O.
//!
//! Every state machine takes events and the current time and returns what to do. Time is a
//! [`std::time::Duration`] since an origin that the caller chooses once per process; randomness
//! comes from a generator that the caller seeds. Equal inputs give equal outputs.

pub mod attempt;
pub mod catalog;
pub mod choice;
pub mod claim;
pub mod customer;
pub mod delay;
pub mod dissemination;
pub mod event;
pub mod follower;
pub mod freshness;
pub mod gateways;
pub mod gray;
pub mod health;
pub mod hlc;
pub mod hosts;
pub mod key_lease;
pub mod lease;
pub mod limit;
pub mod member;
pub mod outage;
pub mod placement;
pub mod policy;
pub mod poller;
pub mod position;
pub mod queue;
pub mod quota;
pub mod route;
pub mod shutdown;
pub mod spread;
pub mod statement;
pub mod target_limit;
pub mod watcher;
