//! A stand-in for the platform: the object API, the lagging host list and faults to switch.

mod admin;
mod api;
mod front;
mod host;
mod meter;
mod serve;
mod store;

pub use self::{
    host::HostList,
    meter::{Call, Calls},
    serve::{Error, Mode, Platform, bind},
    store::{Fault, Store},
};
