//! Compares what callers were told of their orders with what the targets ran.

use std::collections::BTreeMap;

use super::report::Told;
use crate::target::Ledger;

/// The orders that were treated wrongly, by what was wrong.
#[derive(Debug, Default, Clone, Eq, PartialEq)]
pub struct Audit {
    /// Orders that ran more than once.
    pub doubled: Vec<String>,
    /// Orders that were answered but did not run.
    pub lost: Vec<String>,
    /// Orders whose callers were told that they did not run, although they did.
    pub denied: Vec<String>,
}

impl Audit {
    /// Returns true if no order was treated wrongly.
    pub fn is_clean(&self) -> bool {
        self.doubled.is_empty() && self.lost.is_empty() && self.denied.is_empty()
    }
}

/// Checks every order against the targets' joint ledger.
pub fn audit(orders: &BTreeMap<String, Told>, ledger: &Ledger) -> Audit {
    let mut audit = Audit::default();
    for (order, told) in orders {
        let runs = ledger.runs.get(order).copied().unwrap_or(0);
        if runs > 1 {
            audit.doubled.push(order.clone());
        }
        match told {
            Told::Ran if runs == 0 => audit.lost.push(order.clone()),
            Told::NotRun if runs > 0 => audit.denied.push(order.clone()),
            _ => {}
        }
    }
    audit
}
