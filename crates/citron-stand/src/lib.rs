//! Stand-ins for the platform, targets and callers, and the benches.

pub mod bench;
pub mod canned;
pub mod command;
pub mod endless;
pub mod gateway;
pub mod load;
pub mod metric;
pub mod platform;
pub mod relay;
pub mod soak;
pub mod target;
