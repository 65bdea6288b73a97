//! `citron-stand agent`: an agent in a process of its own, for the benches.

use std::process::ExitCode;

use citron_agent::{Agent, SPECS, Settings};
use citron_daemon::{Clock, init_log};
use tokio::signal::unix::{SignalKind, signal};

use super::{block_on, read};

/// Runs an agent until SIGTERM.
///
/// # Errors
/// Fails on a bad setting or an address that cannot be bound.
pub fn run(words: &[String]) -> eyre::Result<ExitCode> {
    let Some(values) =
        read("citron-stand agent", "an agent, as the benches start it", SPECS, words)?
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let settings = Settings::parse(&values)?;
    block_on(async {
        let clock = Clock::start();
        init_log(settings.log, &settings.host, "citron-agent", clock)?;
        let mut terminate = signal(SignalKind::terminate())?;
        let agent = Agent::bind(settings, clock).await?;
        println!("{}", agent.ready());
        terminate.recv().await;
        agent.leave().await;
        Ok(ExitCode::SUCCESS)
    })
}
