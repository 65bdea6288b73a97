//! Settings, logs, events, metrics and HTTP servers that all programs of the fleet share.

mod admin;
mod buffered_log;
mod clock;
mod log;
mod record;
mod serve;

pub mod setting;
pub mod transfer;

pub use self::{
    admin::{Admin, bind as bind_admin, encode as encode_metrics},
    buffered_log::{LogWriter, dropped as dropped_log_lines, init as init_buffered_log},
    clock::Clock,
    log::init as init_log,
    record::Recorder,
    serve::{Server, bind, config},
};
