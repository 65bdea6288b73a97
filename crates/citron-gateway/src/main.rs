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

/// The environment variable that sets the log level.
const LOG_VARIABLE: &str = "CITRON_LOG";
/// The environment variable that sets the port on which metrics are served.
const METRICS_VARIABLE: &str = "CITRON_METRICS_PORT";

/// The action that the command line selects.
enum Command {
    Run(Options),
    Help,
    Version,
}

/// The options from the command line and the environment.
struct Options {
    level: LevelFilter,
    metrics_port: Option<u16>,
}

fn main() -> ExitCode {
    let options = match parse_args(std::env::args_os().skip(1)) {
        Ok(Command::Run(options)) => options,
        Ok(Command::Help) => {
            print!("{}", help());
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
    match run(settings, &options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(1, &error),
    }
}

fn help() -> String {
    format!(
        "citron-gateway [--log LEVEL] [--metrics-port PORT]

Runs a gateway with the settings file that {PATH_VARIABLE} names.

  --log LEVEL          least severe log records: off, error, warn, info, debug, trace
                       ({LOG_VARIABLE}, info)
  --metrics-port PORT  port of the host's address on which /metrics is served
                       ({METRICS_VARIABLE}, not served)
  --help               prints this
  --version            prints the version
"
    )
}

fn fail(code: u8, error: &eyre::Report) -> ExitCode {
    eprintln!("citron-gateway: {error:#}");
    ExitCode::from(code)
}

fn parse_args(args: impl IntoIterator<Item = OsString>) -> eyre::Result<Command> {
    let mut level = std::env::var(LOG_VARIABLE).ok();
    let mut port = std::env::var(METRICS_VARIABLE).ok();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("log") => level = Some(parser.value()?.string()?),
            Long("metrics-port") => port = Some(parser.value()?.string()?),
            Long("help") => return Ok(Command::Help),
            Long("version") => return Ok(Command::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    let level = level.as_deref().unwrap_or("info");
    let level = level.parse().wrap_err_with(|| {
        format!("{level:?} is not a log level; use off, error, warn, info, debug or trace")
    })?;
    let metrics_port = port
        .map(|port| match port.parse() {
            Ok(port) if port > 0 => Ok(port),
            _ => Err(eyre::eyre!("{port:?} is not a port; use a number from 1 to 65535")),
        })
        .transpose()?;
    Ok(Command::Run(Options { level, metrics_port }))
}

fn run(settings: Settings, options: &Options) -> eyre::Result<()> {
    let runtime = match settings.cores {
        1 => runtime::Builder::new_current_thread().enable_all().build(),
        cores => runtime::Builder::new_multi_thread().worker_threads(cores).enable_all().build(),
    };
    runtime.wrap_err("cannot start the runtime")?.block_on(serve(settings, options))
}

async fn serve(settings: Settings, options: &Options) -> eyre::Result<()> {
    let clock = Clock::start();
    let log_writer =
        citron_daemon::init_buffered_log(options.level, &settings.host, "citron-gateway", clock)
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
    let gateway = Gateway::bind(settings, options.metrics_port, clock).await?;
    log::info!("event=started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    gateway.shut_down().await;
    log_writer.close();
    Ok(())
}
