//! Counts how often each order ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Runs by order id.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Counts of runs.
    pub runs: BTreeMap<String, u32>,
}

impl Ledger {
    /// Records one run of an order.
    pub fn run(&mut self, order: &str) {
        *self.runs.entry(order.to_owned()).or_default() += 1;
    }

    /// Adds the counts of another ledger.
    pub fn merge(&mut self, other: Self) {
        for (order, count) in other.runs {
            *self.runs.entry(order).or_default() += count;
        }
    }
}
