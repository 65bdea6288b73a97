//! Child processes of the harness; dropping one kills it by its pid.

use std::{
    future::Future,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use eyre::{WrapErr, bail, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout},
};

/// How long a process may take to bind its addresses.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a process may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running program that has bound its addresses.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: Value,
    panicked: Arc<AtomicBool>,
}

impl Process {
    /// Starts a program of this workspace and waits for its ready line.
    ///
    /// # Errors
    /// Fails if the program is not built, ends early or does not become ready.
    pub async fn spawn(program: &str, args: &[&str]) -> eyre::Result<Self> {
        let mut child = command(program, args)?
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{program} cannot be started"))?;
        let stdout =
            child.stdout.take().ok_or_else(|| eyre!("{program} has no standard output"))?;
        let (sender, receiver) = oneshot::channel();
        thread::spawn(move || {
            let mut lines = BufReader::new(stdout).lines();
            // Sending fails only if the start timed out and the receiver was dropped.
            let _ = sender.send(lines.next());
            // Reads the rest of the output so that the process never blocks on a full pipe.
            lines.for_each(drop);
        });
        let stderr = child.stderr.take().ok_or_else(|| eyre!("{program} has no standard error"))?;
        let panicked = Arc::new(AtomicBool::new(false));
        let mut process = Self { child, ready: Value::Null, panicked: Arc::clone(&panicked) };
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if line.contains("panicked at") {
                    panicked.store(true, Ordering::Relaxed);
                }
                eprintln!("{line}");
            }
        });
        let line = timeout(READY_TIMEOUT, receiver)
            .await
            .map_err(|_| eyre!("{program} was not ready within {READY_TIMEOUT:?}"))??
            .ok_or_else(|| eyre!("{program} ended before it was ready"))??;
        process.ready = serde_json::from_str(&line).wrap_err_with(|| {
            format!("{program} printed a ready line that is not JSON: {line:?}")
        })?;
        Ok(process)
    }

    /// Returns the ready line.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Returns a string field of the ready line, such as an address.
    ///
    /// # Errors
    /// Fails if the line has no such string field.
    pub fn text(&self, key: &str) -> eyre::Result<String> {
        let value = self.ready[key].as_str();
        Ok(value
            .ok_or_else(|| eyre!("the ready line {} has no string {key:?}", self.ready))?
            .to_owned())
    }

    /// Returns true if an invariant of the process was violated, which shows as a panic.
    pub fn has_panicked(&self) -> bool {
        self.panicked.load(Ordering::Relaxed)
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails if the process has ended and was waited for.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid =
            Pid::from_raw(self.child.id() as i32).ok_or_else(|| eyre!("the process has no id"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// Fails if the process cannot be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGTERM and returns the exit code.
    ///
    /// # Errors
    /// Fails if the process does not end in time or is ended by a signal.
    pub async fn terminate(&mut self) -> eyre::Result<i32> {
        self.signal(Signal::TERM)?;
        let end = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return status.code().ok_or_else(|| eyre!("the process was ended by a signal"));
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("the process did not end within {STOP_TIMEOUT:?} after SIGTERM")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that a test paused with SIGSTOP is continued first.
        let _ = self.signal(Signal::CONT);
        let _ = self.kill();
    }
}

/// Runs a program of this workspace until it exits.
///
/// # Errors
/// Fails if the program is not built.
pub async fn run(program: &str, args: &[&str]) -> eyre::Result<Output> {
    let mut command = command(program, args)?;
    Ok(tokio::task::spawn_blocking(move || command.stdin(Stdio::null()).output()).await??)
}

/// Polls `check` until it returns a value.
///
/// # Errors
/// Fails after `limit`; the error names `what`.
pub async fn wait_until<T, F>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> eyre::Result<T>
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if let Some(value) = check().await {
            return Ok(value);
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("{what} did not happen within {limit:?}")
}

fn command(program: &str, args: &[&str]) -> eyre::Result<Command> {
    let path = locate(program)?;
    let mut command = Command::new(path);
    command.args(args);
    Ok(command)
}

/// Finds a program beside the running executable or in the folder above it.
fn locate(program: &str) -> eyre::Result<PathBuf> {
    let current = std::env::current_exe()?;
    current
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(program))
        .find(|path| path.is_file())
        .ok_or_else(|| eyre!("{program} is not built; run cargo build --workspace --bins"))
}
