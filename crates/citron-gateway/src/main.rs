//! The gateway daemon.

use std::{ffi::OsString, process::ExitCode};

use citron_adapter::settings::{PATH_VARIABLE, Settings};
use citron_daemon::Clock;
use citron_gateway::Gateway;
use eyre::WrapErr;
use lexopt::prelude::*;
use log::LevelFilter;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};

/// The variable that sets the least severe records that are logged.
const LOG_VARIABLE: &str = "CITRON_LOG";

/// What the command line asks for.
enum Command {
    Run(LevelFilter),
    Help,
    Version,
}

fn main() -> ExitCode {
    let level = match command(std::env::args_os().skip(1)) {
        Ok(Command::Run(level)) => level,
        Ok(Command::Help) => {
            println!(
                "citron-gateway [--log LEVEL]\n\nRuns a gateway with the settings file that {PATH_VARIABLE} names.\n\n  --log LEVEL  least severe log records: off, error, warn, info, debug, trace ({LOG_VARIABLE}, info)\n  --help       prints this\n  --version    prints the version"
            );
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("citron-gateway {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(error) => return fail(2, &error),
    };
    let settings = match Settings::read() {
        Ok(settings) => settings,
        Err(error) => return fail(2, &error.into()),
    };
    match run(settings, level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(1, &error),
    }
}

fn fail(code: u8, error: &eyre::Report) -> ExitCode {
    eprintln!("citron-gateway: {error:#}");
    ExitCode::from(code)
}

fn command(args: impl IntoIterator<Item = OsString>) -> eyre::Result<Command> {
    let mut level = std::env::var(LOG_VARIABLE).ok();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("log") => level = Some(parser.value()?.string()?),
            Long("help") => return Ok(Command::Help),
            Long("version") => return Ok(Command::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    let level = level.as_deref().unwrap_or("info");
    let level = level.parse().wrap_err_with(|| {
        format!("{level:?} is not a log level; use off, error, warn, info, debug or trace")
    })?;
    Ok(Command::Run(level))
}

fn run(settings: Settings, level: LevelFilter) -> eyre::Result<()> {
    let runtime = match settings.cores {
        1 => runtime::Builder::new_current_thread().enable_all().build(),
        cores => runtime::Builder::new_multi_thread().worker_threads(cores).enable_all().build(),
    };
    runtime.wrap_err("cannot start the runtime")?.block_on(serve(settings, level))
}

async fn serve(settings: Settings, level: LevelFilter) -> eyre::Result<()> {
    let clock = Clock::start();
    let journal = citron_daemon::init_journal(level, &settings.host, "citron-gateway", clock)
        .wrap_err("cannot start the log")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    log::info!(
        "event=starting version={} domain={} callers={} store={}",
        env!("CARGO_PKG_VERSION"),
        settings.domain,
        settings.callers,
        settings.store
    );
    let gateway = Gateway::bind(settings, clock).await?;
    log::info!("event=started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    gateway.leave().await;
    journal.close();
    Ok(())
}
