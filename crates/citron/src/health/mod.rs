//! Detection and ejection of targets with gray failures.
//!
//! Every proxy has an [`Observer`], which scores targets by the proxy's own requests and reports
//! [`Batch`]es of evidence. One [`Coordinator`] per service runs on an agent, combines the evidence
//! of all proxies and issues [`Verdict`]s. Every proxy has [`TargetWeights`], which apply verdicts
//! and the local observer's suspicions only as long as the service's floor of usable targets holds.

mod attempt;
mod evidence;
mod weights;
mod observer;
mod joint_score;
mod latency;
mod score;
mod coordinator;
mod target;
mod params;
mod verdict;

pub use self::{
    attempt::{HealthSignal, Ticket},
    coordinator::Coordinator,
    evidence::{Batch, Counts, Evidence},
    latency::LatencyDistribution,
    observer::Observer,
    params::DetectionParams,
    score::Score,
    target::{Target, floor_count},
    verdict::Verdict,
    weights::{HealthWeight, TargetWeights, WeightChange},
};
