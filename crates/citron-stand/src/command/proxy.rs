//! `citron-stand proxy`: a proxy in a process of its own, for the benches.

use std::{env, ffi::OsString, process::ExitCode};

use citron_daemon::{Clock, Recorder, init_log};
use citron_proxy::{Command, Proxy, Settings};

use super::{block_on, stopped};

/// Runs a proxy until it is asked to stop.
///
/// # Errors
/// Fails on a bad setting or an address that cannot be bound.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let settings =
        match Settings::read(words.iter().map(OsString::from), |name| env::var(name).ok())? {
            Command::Run(settings) => *settings,
            Command::Print(text) => {
                print!("{text}");
                return Ok(ExitCode::SUCCESS);
            }
        };
    block_on(async {
        let clock = Clock::start();
        init_log(settings.log, &settings.host, "citron-proxy", clock)?;
        let recorder = Recorder::open(&settings.host, "citron-proxy", clock);
        let proxy = Proxy::spawn(settings, recorder).await?;
        println!("{}", proxy.ready_line());
        stopped().await?;
        proxy.shutdown_handle().begin();
        proxy.finished().await;
        Ok(ExitCode::SUCCESS)
    })
}
