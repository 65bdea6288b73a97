//! Settings, logs, events, metrics and HTTP serving shared by the programs.

mod admin;
mod clock;
mod journal;
mod log;
mod record;
mod serve;

pub mod setting;

pub use self::{
    admin::{Admin, bind as bind_admin, encode as encode_metrics},
    clock::Clock,
    journal::{Journal, dropped as dropped_lines, init as init_journal},
    log::init as init_log,
    record::Recorder,
    serve::{Server, bind, config},
};
