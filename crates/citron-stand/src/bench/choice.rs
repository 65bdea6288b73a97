//! Target choice at 20 targets of 3 slots and 18 proxies, against random and local choice.

mod chooser;
mod simulation;

use std::time::Duration;

use self::{
    chooser::Method,
    simulation::{Outcome, Setup, simulate},
};
use super::Summary;

/// The distribution of the time a target takes, all with the same mean.
#[derive(Debug, Copy, Clone, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Service {
    /// Within a tenth of the mean.
    Even,
    /// Exponential.
    Exponential,
    /// Nine in ten short, one in ten long.
    Mixed,
}

/// The mean time a target takes.
pub(super) const MEAN_SERVICE: Duration = Duration::from_millis(50);

const LOADS: [f64; 5] = [0.5, 0.7, 0.8, 0.9, 0.95];
const SEED: u64 = 7;
const SERVICES: [Service; 3] = [Service::Even, Service::Exponential, Service::Mixed];
const METHODS: [Method; 3] = [Method::Random, Method::Local, Method::Table];

/// Runs every method at every load; `--seconds N` sets the simulated time of a run.
///
/// # Errors
/// Fails if an argument is not understood.
pub fn run(words: &[String]) -> eyre::Result<Summary> {
    let seconds = super::number(words, "--seconds", 60)?;
    let mut summary = Summary::default();
    println!(
        "{:<12} {:>5} {:<7} {:>9} {:>10} {:>8} {:>8} {:>8}",
        "service", "load", "method", "shed/req", "refused_%", "p50_ms", "p99_ms", "spread"
    );
    for service in SERVICES {
        for load in LOADS {
            for method in METHODS {
                let setup = Setup {
                    service,
                    load,
                    method,
                    length: Duration::from_secs(seconds),
                    seed: SEED,
                };
                let outcome = simulate(&setup);
                print_row(&setup, &outcome);
                push(&mut summary, &setup, &outcome);
            }
        }
    }
    Ok(summary)
}

fn print_row(setup: &Setup, outcome: &Outcome) {
    println!(
        "{:<12} {:>5} {:<7} {:>9.4} {:>10.3} {:>8.1} {:>8.1} {:>8.3}",
        setup.service.to_string(),
        setup.load,
        setup.method.to_string(),
        outcome.sheds_per_request,
        outcome.refused * 100.0,
        outcome.p50_ms,
        outcome.p99_ms,
        outcome.spread
    );
}

/// Puts the exponential runs at 80 and 95% into the summary.
fn push(summary: &mut Summary, setup: &Setup, outcome: &Outcome) {
    if !matches!(setup.service, Service::Exponential) || ![0.8, 0.95].contains(&setup.load) {
        return;
    }
    let key = format!("{}_{}", setup.method, setup.load * 100.0);
    summary.push(format!("{key}_sheds_per_request"), outcome.sheds_per_request);
    summary.push(format!("{key}_refused_percent"), outcome.refused * 100.0);
    summary.push(format!("{key}_p99_ms"), outcome.p99_ms);
    summary.push(format!("{key}_spread"), outcome.spread);
}
