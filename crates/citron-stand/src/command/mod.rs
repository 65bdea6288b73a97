//! The subcommands of `citron-stand`.

mod agent;
mod load;
mod platform;
mod proxy;
mod relay;
mod soak;
mod target;

pub use self::{
    agent::run as run_agent, load::run as run_load, platform::run as run_platform,
    proxy::run as run_proxy, relay::run as run_relay, soak::run as run_soak,
    target::run as run_target,
};

use std::{env, ffi::OsString, future::Future};

use citron_daemon::setting::{self, Request, Spec, Values};
use tokio::signal::unix::{SignalKind, signal};

/// The setting of the log, which every stand-in has.
const LOG: Spec = Spec {
    flag: "log",
    variable: "CITRON_STAND_LOG",
    default: Some("warn"),
    help: "least level of log lines",
    valid: "off, error, warn, info, debug or trace",
};

/// Reads the settings of a subcommand, or prints its help.
///
/// # Errors
/// Fails on a setting that does not exist.
fn read(
    name: &str,
    about: &str,
    specs: &'static [Spec],
    words: &[String],
) -> eyre::Result<Option<Values>> {
    let args = words.iter().map(OsString::from);
    match setting::read(name, about, specs, args, |variable| env::var(variable).ok())? {
        Request::Print(text) => {
            print!("{text}");
            Ok(None)
        }
        Request::Run(values) => Ok(Some(values)),
    }
}

/// Runs a future on a runtime with several threads.
pub(crate) fn block_on<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}

/// Waits until the process is asked to stop.
async fn stopped() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
