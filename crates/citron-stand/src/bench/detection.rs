//! Detection time and false ejections, against two baselines with the same seeds.
//!
//! A seeded simulation in virtual time: 18 proxies in 4 failure domains before 20 targets of 3
//! slots, with heavy-tailed service times, rare errors, load bursts and lossy reports.

mod baseline;
mod detector;
mod fleet;
mod noise;
mod setup;
mod target;
mod trial;
mod world;

use eyre::{Result, bail};
use strum::IntoEnumIterator;

use self::{
    detector::Method,
    setup::{Fault, Network, Setup},
    trial::{Detection, Quiet},
};
use super::Summary;

/// The number of seeds when none is given.
const SEEDS: u64 = 20;
/// Shifts the seeds of quiet runs away from those of faults.
const QUIET_SEED: u64 = 10_000;

/// Runs the bench; the words are `[SEEDS]`.
///
/// # Errors
/// Fails if the number of seeds cannot be read.
pub fn run(words: &[String]) -> Result<Summary> {
    let seeds = match words.first().map(|word| word.parse()) {
        None => SEEDS,
        Some(Ok(seeds)) if seeds > 0 => seeds,
        _ => {
            bail!("bench detection: the number of seeds must be a whole number from 1, such as 20")
        }
    };
    let mut summary = Summary::default();
    detections(seeds, &mut summary);
    quiet(seeds, &mut summary);
    Ok(summary)
}

fn detections(seeds: u64, summary: &mut Summary) {
    println!("detection time, seconds from the fault until no proxy sends more than a trickle");
    println!(
        "{:8} {:9} {:12} {:>7} {:>7} {:>7}",
        "service", "fault", "method", "p50", "p99", "missed"
    );
    for setup in Setup::all() {
        for fault in Fault::iter() {
            for method in Method::iter() {
                let times =
                    trial::over_seeds(seeds, |seed| trial::detect(&setup, fault, method, seed));
                let found = Detection::of(times);
                println!(
                    "{:8} {:9} {:12} {:>7.2} {:>7.2} {:>7}",
                    setup.name,
                    fault.to_string(),
                    method.to_string(),
                    found.p50_s,
                    found.p99_s,
                    found.missed
                );
                let key = format!("{}_{fault}_{method}", setup.name);
                summary.push(format!("{key}_p50_s"), found.p50_s);
                summary.push(format!("{key}_p99_s"), found.p99_s);
            }
        }
    }
}

fn quiet(seeds: u64, summary: &mut Summary) {
    println!("false ejections per target-hour; a target that one proxy of 18 avoids counts 1/18");
    println!(
        "{:8} {:14} {:12} {:>9} {:>9} {:>9}",
        "service", "network", "method", "all", "observer", "others"
    );
    for setup in Setup::all() {
        for network in Network::iter() {
            for method in Method::iter() {
                let runs = trial::over_seeds(seeds, |seed| {
                    trial::quiet(&setup, network, method, QUIET_SEED + seed)
                });
                let found = Quiet::sum(&runs);
                println!(
                    "{:8} {:14} {:12} {:>9.3} {:>9.3} {:>9.3}",
                    setup.name,
                    network.to_string(),
                    method.to_string(),
                    found.all,
                    found.observer,
                    found.others
                );
                let key = format!("{}_{network}_{method}_false", setup.name);
                summary.push(format!("{key}_per_h"), found.all);
                summary.push(format!("{key}_others_per_h"), found.others);
            }
        }
    }
}
