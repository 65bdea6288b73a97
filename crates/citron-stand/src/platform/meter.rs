//! Counts the calls, for tests and as metrics.

use std::collections::BTreeMap;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// The kinds of calls.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize, Display, EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Call {
    /// Reads an object.
    Get,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Lists a kind.
    List,
    /// Waits for changes.
    Watch,
    /// Reads the host list.
    Hosts,
}

/// How often the platform was called.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls by kind, those during an outage too.
    pub calls: BTreeMap<Call, u64>,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Calls that were ended without effect or answer.
    pub cut: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
}

impl Calls {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}

/// The counters behind [`Calls`].
#[derive(Debug)]
pub(super) struct Meter {
    pub(super) registry: Registry,
    calls: IntCounterVec,
    pub(super) waiting_watches: IntGauge,
    pub(super) cut: IntCounter,
    pub(super) lost_answers: IntCounter,
}

impl Meter {
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let meter = Self {
            calls: IntCounterVec::new(
                Opts::new("citron_platform_calls_total", "Calls of the object API by kind."),
                &["call"],
            )?,
            waiting_watches: IntGauge::new(
                "citron_platform_waiting_watches",
                "Watches that wait now.",
            )?,
            cut: IntCounter::new(
                "citron_platform_cut_total",
                "Calls that were ended without effect or answer.",
            )?,
            lost_answers: IntCounter::new(
                "citron_platform_lost_answers_total",
                "Writes that took effect and whose answer was lost.",
            )?,
            registry,
        };
        meter.registry.register(Box::new(meter.calls.clone()))?;
        meter.registry.register(Box::new(meter.waiting_watches.clone()))?;
        meter.registry.register(Box::new(meter.cut.clone()))?;
        meter.registry.register(Box::new(meter.lost_answers.clone()))?;
        Ok(meter)
    }

    /// Counts a call.
    pub(super) fn count(&self, call: Call) {
        self.calls.with_label_values(&[call.to_string()]).inc();
    }

    /// Returns all counts.
    pub(super) fn read(&self) -> Calls {
        let count = |call: Call| self.calls.with_label_values(&[call.to_string()]).get();
        Calls {
            calls: Call::iter().map(|call| (call, count(call))).collect(),
            waiting_watches: self.waiting_watches.get() as u64,
            cut: self.cut.get(),
            lost_answers: self.lost_answers.get(),
        }
    }
}
