//! A customer at ten times its plan, with and without the gate and the fair queue.

mod simulation;

use std::time::Duration;

use self::simulation::{Outcome, Setup, simulate};
use super::Summary;

const SEED: u64 = 5;
/// Whether the gate and the fair queue are in use, by name.
const METHODS: [(&str, bool, bool); 4] = [
    ("neither", false, false),
    ("queue", false, true),
    ("gate", true, false),
    ("both", true, true),
];
/// The others' requests as a part of the slots, in percent.
const LOADS: [f64; 2] = [0.6, 0.8];

/// Runs every method with and without the customer; `--seconds N` sets the simulated time.
///
/// # Errors
/// Fails if an argument is not understood.
pub fn run(words: &[String]) -> eyre::Result<Summary> {
    let length = Duration::from_secs(super::number(words, "--seconds", 300)?);
    let mut summary = Summary::default();
    println!(
        "{:<8} {:>11} {:>9} {:>18} {:>15} {:>14}",
        "method", "others_load", "noisy_x", "others_refused_%", "others_p99_ms", "noisy_served/s"
    );
    for load in LOADS {
        for (name, gate, queue) in METHODS {
            let at = |excess| simulate(&Setup { gate, queue, load, excess, length, seed: SEED });
            let (absent, noisy) = (at(0.0), at(10.0));
            for (excess, outcome) in [(0.0, absent), (1.0, at(1.0)), (10.0, noisy)] {
                print_row(name, load, excess, &outcome);
            }
            let key = format!("{name}_{}", load * 100.0);
            summary.push(format!("{key}_p99_ratio"), noisy.p99_ms / absent.p99_ms);
            summary.push(format!("{key}_refused_percent_absent"), absent.refused * 100.0);
            summary.push(format!("{key}_refused_percent"), noisy.refused * 100.0);
        }
    }
    Ok(summary)
}

fn print_row(name: &str, load: f64, excess: f64, outcome: &Outcome) {
    println!(
        "{name:<8} {load:>11} {excess:>9} {:>18.3} {:>15.1} {:>14.1}",
        outcome.refused * 100.0,
        outcome.p99_ms,
        outcome.noisy_per_second
    );
}
