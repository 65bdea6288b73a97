//! Runs the agent of one entry host.

use std::{env, process::ExitCode};

use citron_agent::{Agent, SPECS, Settings};
use citron_daemon::{
    Clock, init_log,
    setting::{self, Request},
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("citron-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<ExitCode> {
    let about = "control path of one entry host: membership, policy, locate answers";
    let args = env::args_os().skip(1);
    let request = setting::read("citron-agent", about, SPECS, args, |name| env::var(name).ok());
    let settings = match request {
        Ok(Request::Print(text)) => {
            print!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        Ok(Request::Run(values)) => Settings::parse(&values),
        Err(error) => Err(error),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("citron-agent: {error}");
            return Ok(ExitCode::from(2));
        }
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(serve(settings))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let clock = Clock::start();
    init_log(settings.log, &settings.host, "citron-agent", clock)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut agent = Agent::bind(settings, clock).await?;
    println!("{}", agent.ready());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        reason = agent.failed() => eyre::bail!("an invariant was violated: {reason}"),
    }
    agent.leave().await;
    Ok(())
}
