//! Detection and ejection of targets that fail grayly.
//!
//! Every proxy keeps an [`Observer`], which judges targets by the proxy's own requests and reports
//! [`Batch`]es of evidence. One [`Coordinator`] per service, on an agent, joins the evidence of all
//! proxies and issues [`Verdict`]s. Every proxy keeps a [`TargetWeights`], which obeys verdicts and its own
//! observer only as far as enough targets of the service stay in use.

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
    attempt::{AttemptEnd, Ticket},
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
