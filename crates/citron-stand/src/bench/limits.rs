//! Admitted over plan and usable part of the plan, by loans, full rates and fixed parts.

mod fleet;
mod meter;
mod network;
mod proxy;

use std::time::Duration;

pub use self::fleet::{Demand, Faults, Outcome, Setup, simulate};
pub use self::proxy::Method;
use super::Summary;

const SEED: u64 = 11;
const METHODS: [Method; 3] = [Method::Full, Method::Fixed, Method::Loans];
/// The kinds of demand.
pub const DEMANDS: [Demand; 4] = [Demand::Home, Demand::Elsewhere, Demand::Homes, Demand::Spread];

/// The fault sets by name.
pub const FAULTS: [(&str, Faults); 5] = [
    ("steady", Faults::NONE),
    ("loss-20%", Faults { loss: 0.2, ..Faults::NONE }),
    ("one-way-cuts", Faults { cuts: true, ..Faults::NONE }),
    ("replaced", Faults { replacements: true, ..Faults::NONE }),
    ("all", Faults { loss: 0.1, cuts: true, replacements: true, pauses: true, repeats: true }),
];

/// Runs every method under every fault set and demand; `--seconds N` sets the simulated time.
///
/// # Errors
/// Fails if an argument is not understood.
pub fn run(words: &[String]) -> eyre::Result<Summary> {
    let length = Duration::from_secs(super::number(words, "--seconds", 120)?);
    let mut summary = Summary::default();
    println!(
        "{:<14} {:<10} {:<7} {:>12} {:>9}",
        "faults", "demand_at", "method", "over_bound", "usable_%"
    );
    for (name, faults) in FAULTS {
        for demand in DEMANDS {
            for method in METHODS {
                let setup = Setup { method, demand, faults, length, seed: SEED };
                let outcome = simulate(&setup);
                println!(
                    "{name:<14} {:<10} {:<7} {:>12.1} {:>9.2}",
                    demand.to_string(),
                    method.to_string(),
                    outcome.over,
                    outcome.usable * 100.0
                );
                push(&mut summary, name, &setup, &outcome);
            }
        }
    }
    Ok(summary)
}

fn push(summary: &mut Summary, faults: &str, setup: &Setup, outcome: &Outcome) {
    let key = format!("{faults}_{}_{}", setup.demand, setup.method).replace(['-', '%'], "_");
    if setup.method == Method::Loans {
        summary.push(format!("{key}_over"), outcome.over);
        summary.push(format!("{key}_usable"), outcome.usable);
    } else if faults == "steady" {
        let key = format!("{key}_{}", if setup.method == Method::Full { "over" } else { "usable" });
        let full = setup.method == Method::Full;
        summary.push(key, if full { outcome.over } else { outcome.usable });
    }
}
