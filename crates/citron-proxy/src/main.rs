//! The proxy daemon.

use std::process::ExitCode;

use citron_daemon::{Clock, Recorder};
use citron_proxy::{Command, Proxy, Settings};
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let command = Settings::read(std::env::args_os().skip(1), |name| std::env::var(name).ok());
    let settings = match command {
        Ok(Command::Run(settings)) => *settings,
        Ok(Command::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("citron-proxy: {error}");
            return ExitCode::from(2);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("citron-proxy: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> eyre::Result<()> {
    let clock = Clock::start();
    citron_daemon::init_log(settings.log, &settings.host, "citron-proxy", clock)
        .wrap_err("cannot start the log")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    let recorder = Recorder::open(&settings.host, "citron-proxy", clock);
    let proxy = Proxy::spawn(settings, recorder).await?;
    println!("{}", proxy.ready_line());
    let shutdown_handle = proxy.shutdown_handle();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        shutdown_handle.begin();
    });
    proxy.finished().await;
    Ok(())
}
