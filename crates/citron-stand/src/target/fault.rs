//! The gray failures of a stand-in target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A failure that is in force until another is set.
#[derive(Debug, Default, Copy, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Works as it should.
    #[default]
    None,
    /// Takes `factor` times as long for each request.
    Slow {
        /// Multiplies the service time.
        factor: f64,
    },
    /// Answers a share of the requests with status 500 after running them.
    Errors {
        /// From 0 to 1.
        share: f64,
    },
    /// Answers a share of the requests with the answer to another one.
    Wrong {
        /// From 0 to 1.
        share: f64,
    },
    /// Runs requests but never answers them.
    Stall,
    /// Alternates between healthy and slow.
    Flapping {
        /// Length of each phase, milliseconds.
        period_ms: u64,
        /// Multiplies the service time in the sick phases.
        factor: f64,
    },
    /// Ends the answer's body early.
    Cut,
    /// Sheds a share of the requests although slots are free.
    Shedding {
        /// From 0 to 1.
        share: f64,
    },
}

impl Fault {
    /// Returns the factor on the service time at `since` after the fault was set.
    pub fn factor(&self, since: Duration) -> f64 {
        match *self {
            Self::Slow { factor } => factor,
            Self::Flapping { period_ms, factor } => {
                let phase = since.as_millis() as u64 / period_ms.max(1);
                if phase.is_multiple_of(2) { factor } else { 1.0 }
            }
            _ => 1.0,
        }
    }
}
