//! What a load saw.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    Outcome,
    workload::{Request, Workload},
};

/// The outcomes of all requests, and what the callers were told of each order.
#[derive(Debug, Default)]
pub struct Report {
    /// Counts by workload, as `customer service kind`.
    pub counts: BTreeMap<String, Count>,
    /// What the callers were told of each order.
    pub orders: BTreeMap<String, Told>,
    /// Faults of the system, each a sentence.
    pub faults: Vec<String>,
    times: BTreeMap<String, Histogram<u64>>,
}

/// Counts of outcomes.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Whole right answers.
    pub answered: u64,
    /// Answers of a target with an error status.
    pub target_errors: u64,
    /// Requests that were not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests for which no proxy could be connected to.
    pub unreached: u64,
    /// Wrong answers.
    pub wrong: u64,
}

/// What a caller was told of an order.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Report {
    /// Adds one call.
    pub fn add(
        &mut self,
        workload: &Workload,
        request: &Request,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let name = format!("{} {} {}", workload.customer, workload.service, workload.kind);
        let count = self.counts.entry(name.clone()).or_default();
        let told = match outcome {
            Outcome::Answered => {
                count.answered += 1;
                let times = self.times.entry(name).or_insert_with(new_histogram);
                times.saturating_record(elapsed.as_micros() as u64);
                Told::Ran
            }
            Outcome::TargetError(_) => {
                count.target_errors += 1;
                Told::Ran
            }
            Outcome::Wrong(detail) => {
                count.wrong += 1;
                self.faults.push(format!("{} was answered wrongly: {detail}", request.path));
                Told::Unknown
            }
            Outcome::NotRun(reason) => {
                *count.refused.entry(reason.clone()).or_default() += 1;
                Told::NotRun
            }
            Outcome::Unknown(_) => {
                count.unknown += 1;
                Told::Unknown
            }
            Outcome::Unreached => {
                count.unreached += 1;
                Told::NotRun
            }
        };
        if let Some(order) = &request.order {
            self.orders.insert(order.clone(), told);
        }
    }

    /// Adds another report.
    pub fn merge(&mut self, other: Self) {
        self.counts.extend(other.counts);
        self.orders.extend(other.orders);
        self.faults.extend(other.faults);
        self.times.extend(other.times);
    }

    /// Returns the sum over all workloads.
    pub fn total(&self) -> Count {
        let mut total = Count::default();
        for count in self.counts.values() {
            total.answered += count.answered;
            total.target_errors += count.target_errors;
            total.unknown += count.unknown;
            total.unreached += count.unreached;
            total.wrong += count.wrong;
            for (reason, number) in &count.refused {
                *total.refused.entry(reason.clone()).or_default() += number;
            }
        }
        total
    }

    /// Returns a quantile of the answer times of one workload, microseconds.
    pub fn quantile_us(&self, name: &str, quantile: f64) -> Option<u64> {
        self.times.get(name).map(|times| times.value_at_quantile(quantile))
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (name, count) in &self.counts {
            let p50 = self.quantile_us(name, 0.5).unwrap_or(0) as f64 / 1e3;
            let p99 = self.quantile_us(name, 0.99).unwrap_or(0) as f64 / 1e3;
            writeln!(
                f,
                "{name}: answered {}, target errors {}, refused {:?}, unknown {}, unreached {}, wrong {}, p50 {p50:.1} ms, p99 {p99:.1} ms",
                count.answered,
                count.target_errors,
                count.refused,
                count.unknown,
                count.unreached,
                count.wrong,
            )?;
        }
        Ok(())
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds of the histogram are valid")
}
