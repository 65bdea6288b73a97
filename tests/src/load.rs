//! A load of callers in a separate process, and the summary that it reports.

use std::time::Duration;

use eyre::{WrapErr, eyre};
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::{fleet::Fleet, process::run};

/// A running load generator.
#[derive(Debug)]
pub struct Load {
    task: JoinHandle<eyre::Result<Summary>>,
}

/// The report of a finished load.
#[derive(Debug, Clone)]
pub struct Summary {
    /// The figures of the last line, a JSON object.
    pub figures: Value,
    /// The lines before the last one.
    pub text: String,
}

impl Load {
    /// Starts a load of `seconds` on a fleet; its callers retry a request after `call_timeout`.
    ///
    /// # Errors
    /// Fails if a ready line of the fleet lacks an address.
    pub fn spawn(
        fleet: &Fleet,
        name: &str,
        seconds: u64,
        call_timeout: Duration,
        workloads: &[&str],
    ) -> eyre::Result<Self> {
        let (agents, ledgers, workloads) = (fleet.agents()?, fleet.ledgers(), workloads.join(","));
        let (name, seconds) = (name.to_owned(), seconds.to_string());
        let call_timeout_ms = call_timeout.as_millis().to_string();
        let task = tokio::spawn(async move {
            let args =
                ["load", "--agents", &agents, "--workloads", &workloads, "--ledgers", &ledgers];
            let rest =
                ["--seconds", &seconds, "--name", &name, "--call-timeout-ms", &call_timeout_ms];
            let output = run("citron-stand", &[&args[..], &rest[..]].concat()).await?;
            Summary::read(&output.stdout)
                .wrap_err_with(|| String::from_utf8_lossy(&output.stderr).into_owned())
        });
        Ok(Self { task })
    }

    /// Returns true once the load has ended.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Waits for the end of the load.
    ///
    /// # Errors
    /// Fails if the load could not run.
    pub async fn finish(self) -> eyre::Result<Summary> {
        self.task.await?
    }
}

impl Summary {
    /// Returns a figure of the last line.
    pub fn count(&self, key: &str) -> u64 {
        self.figures[key].as_u64().unwrap_or(u64::MAX)
    }

    /// Returns the nonzero counts of violations by name: requests that were run twice, given a
    /// wrong response, lost or denied.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let counts = ["run_twice", "wrong", "lost", "denied"].map(|key| (key, self.count(key)));
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }

    fn read(output: &[u8]) -> eyre::Result<Self> {
        let all = String::from_utf8_lossy(output);
        let last = all.lines().last().ok_or_else(|| eyre!("the load printed nothing"))?;
        let figures =
            serde_json::from_str(last).wrap_err_with(|| format!("the load ended with {last:?}"))?;
        let text = all.lines().filter(|line| *line != last).collect::<Vec<_>>().join("\n");
        Ok(Self { figures, text })
    }
}
