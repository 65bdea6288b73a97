//! The operators' command line of the citronlanding proxy fleet.

mod code;
mod command;
mod explain;
mod fleet;
mod operate;
mod setting;
mod timeline;

pub use self::{
    code::Code,
    command::{Output, run},
    explain::{Line, explain},
    operate::{drive, read_policy},
    setting::{Command, Format, Settings},
};
