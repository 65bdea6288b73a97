//! Harness of the whole-system tests and the demo: a fleet of separate processes on loopback.

mod fleet;
pub mod gateway;
mod load;
mod process;

pub use self::{
    fleet::{Fleet, Host, Service, Settings, Target},
    load::{Load, Summary},
    process::{Process, run, wait_until},
};
