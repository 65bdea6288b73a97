//! Conversions between the messages and the types of `citron::health`.

use citron::health;

use crate::{Evidence, EvidenceBatch, Verdict};

/// Fractions from 0 to 1 are sent as thousandths.
const MILLI: f64 = 1000.0;

impl From<health::Batch> for EvidenceBatch {
    fn from(batch: health::Batch) -> Self {
        Self {
            host: batch.host,
            evidence: batch.evidence.into_iter().map(Evidence::from).collect(),
            domain: batch.domain,
            sequence: batch.sequence,
        }
    }
}

impl From<EvidenceBatch> for health::Batch {
    fn from(batch: EvidenceBatch) -> Self {
        Self {
            host: batch.host,
            domain: batch.domain,
            sequence: batch.sequence,
            evidence: batch.evidence.into_iter().map(health::Evidence::from).collect(),
        }
    }
}

impl From<health::Evidence> for Evidence {
    fn from(evidence: health::Evidence) -> Self {
        let counts = evidence.counts;
        Self {
            target: evidence.target,
            service: evidence.service,
            answered: counts.answered,
            errors: counts.errors,
            timeouts: counts.timeouts,
            foreign: counts.foreign,
            shed: counts.shed,
            p50_us: evidence.p50_us,
            p90_us: evidence.p90_us,
            suspicion_milli: to_milli(evidence.suspicion),
            self_milli: to_milli(evidence.local_health_penalty),
            brisk: counts.fast,
            usual: counts.typical,
            slow: counts.slow,
            late: counts.late,
            refused: counts.connect_failures,
            probes: counts.failed_probes,
        }
    }
}

impl From<Evidence> for health::Evidence {
    fn from(evidence: Evidence) -> Self {
        Self {
            target: evidence.target,
            service: evidence.service,
            counts: health::Counts {
                answered: evidence.answered,
                errors: evidence.errors,
                timeouts: evidence.timeouts,
                foreign: evidence.foreign,
                shed: evidence.shed,
                connect_failures: evidence.refused,
                failed_probes: evidence.probes,
                fast: evidence.brisk,
                typical: evidence.usual,
                slow: evidence.slow,
                late: evidence.late,
            },
            p50_us: evidence.p50_us,
            p90_us: evidence.p90_us,
            suspicion: from_milli(evidence.suspicion_milli),
            local_health_penalty: from_milli(evidence.self_milli),
        }
    }
}

impl From<health::Verdict> for Verdict {
    fn from(verdict: health::Verdict) -> Self {
        Self {
            target: verdict.target,
            service: verdict.service,
            ejected: verdict.ejected,
            epoch: verdict.epoch,
            steward: verdict.coordinator,
            reason: verdict.reason,
            rank: verdict.rank,
            trial: verdict.trial,
        }
    }
}

impl From<Verdict> for health::Verdict {
    fn from(verdict: Verdict) -> Self {
        Self {
            target: verdict.target,
            service: verdict.service,
            ejected: verdict.ejected,
            trial: verdict.trial,
            epoch: verdict.epoch,
            coordinator: verdict.steward,
            reason: verdict.reason,
            rank: verdict.rank,
        }
    }
}

fn to_milli(fraction: f64) -> u32 {
    (fraction.clamp(0.0, 1.0) * MILLI).round() as u32
}

fn from_milli(milli: u32) -> f64 {
    f64::from(milli.min(1000)) / MILLI
}
