//! Measurements, each ending in one line of `key=value` pairs.

mod budget;
mod change;
mod child;
mod choice;
mod control;
mod decision;
mod detection;
mod fairness;
mod latency;
pub mod limits;
mod policy;
pub mod target_limit;

use std::fmt::{self, Display, Formatter};

/// What a bench measured, in the order in which it is printed.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Summary {
    pairs: Vec<(String, f64)>,
}

impl Summary {
    /// Adds a figure; the key names its unit, such as `added_p99_ms`.
    pub fn push(&mut self, key: impl Into<String>, value: f64) {
        self.pairs.push((key.into(), value));
    }

    /// Returns the figures in their order.
    pub fn pairs(&self) -> &[(String, f64)] {
        &self.pairs
    }

    /// Returns a figure by its key.
    pub fn get(&self, key: &str) -> Option<f64> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| *value)
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.pairs.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{key}={}", (value * 1e4).round() / 1e4)?;
        }
        Ok(())
    }
}

/// A bench: prints its tables and returns its summary; the words are the arguments after its name.
pub type Bench = fn(&[String]) -> eyre::Result<Summary>;

/// The benches by name.
pub const BENCHES: &[(&str, Bench)] = &[
    ("budget", budget::run),
    ("change", change::run),
    ("choice", choice::run),
    ("control", control::run),
    ("decision", decision::run),
    ("detection", detection::run),
    ("fairness", fairness::run),
    ("latency", latency::run),
    ("limits", limits::run),
    ("target-limit", target_limit::run),
];

/// Returns the whole number that follows a flag, or `default` if the flag is not given.
fn number(words: &[String], flag: &str, default: u64) -> eyre::Result<u64> {
    let Some(place) = words.iter().position(|word| word == flag) else { return Ok(default) };
    let text = words.get(place + 1).map_or("", String::as_str);
    text.parse().map_err(|_| eyre::eyre!("{flag} {text:?} is not valid; use a whole number"))
}
