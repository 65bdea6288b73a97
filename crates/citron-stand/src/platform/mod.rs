//! A stand-in for the platform: the object API, the lagging host list and faults to switch.

mod admin;
mod api;
mod command;
mod front;
mod host;
mod serve;
mod store;

pub use self::{
    command::run,
    host::HostList,
    serve::{Call, Calls, Mode, Platform, bind},
    store::{Fault, Store},
};
