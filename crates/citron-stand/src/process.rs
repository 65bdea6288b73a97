//! What the stand-ins' commands have in common.

use std::{env, ffi::OsString, iter, process::ExitCode};

use citron_daemon::setting::{self, Request, Spec, Values};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code of a fault in the settings.
const SETTING_FAULT: u8 = 2;

/// Reads the settings of a command, or returns the exit code if it has nothing to run.
pub(crate) fn read(
    program: &str,
    about: &str,
    specs: &'static [Spec],
    words: &[String],
) -> Result<Values, ExitCode> {
    let args = iter::once(program).chain(words.iter().map(String::as_str)).map(OsString::from);
    match setting::read(program, about, specs, args, |name| env::var(name).ok()) {
        Ok(Request::Run(values)) => Ok(values),
        Ok(Request::Print(text)) => {
            print!("{text}");
            Err(ExitCode::SUCCESS)
        }
        Err(error) => Err(refuse(program, &error)),
    }
}

/// Reports a fault in the settings.
pub(crate) fn refuse(program: &str, error: &setting::Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(SETTING_FAULT)
}

/// Waits until the process is asked to stop.
pub(crate) async fn stopped() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
