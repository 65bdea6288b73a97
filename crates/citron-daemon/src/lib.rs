//! Settings, logs, events, metrics and HTTP serving shared by the programs.

mod admin;
mod clock;
mod log;
mod record;
mod serve;

pub mod setting;

pub use self::{
    admin::{Admin, bind as bind_admin},
    clock::Clock,
    log::init as init_log,
    record::Recorder,
    serve::{Server, bind, config},
};
