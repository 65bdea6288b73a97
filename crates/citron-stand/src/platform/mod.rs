//! A stand-in for the platform: the object API, the lagging host list and faults to switch.

mod admin;
mod api;
mod front;
mod host;
mod serve;
mod store;

pub use self::{
    host::HostList,
    serve::{Call, Calls, Mode, Platform, bind},
    store::{Fault, Store},
};
