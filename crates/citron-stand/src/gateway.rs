//! Stand-ins around a gateway that speak the platform's published protocol: the store, targets and
//! callers.

pub mod caller;
pub mod store;
pub mod target;
