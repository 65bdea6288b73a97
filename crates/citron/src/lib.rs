//! The decisions of a proxy fleet, as pure state machines without I/O.
//!
//! Every state machine takes events and the current time and returns what to do. Time is a
//! [`std::time::Duration`] since an origin that the caller chooses once per process; randomness
//! comes from a generator that the caller seeds. Equal inputs give equal outputs.

pub mod choice;
pub mod event;
pub mod hlc;
pub mod limit;
pub mod policy;
pub mod queue;
