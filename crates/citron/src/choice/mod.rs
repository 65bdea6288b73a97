//! Chooses the target of an attempt among a service's targets.
//!
//! A proxy knows only its own requests and the load that targets report in their responses. Each
//! proxy prefers its equal share of the service's slots, which keeps its load estimates of these
//! targets up to date, and picks the least loaded of a few sampled targets when its share is in
//! use. The cost of a pick does not depend on the number of targets.

mod balancer;
mod estimate;
mod pool;
mod share;
mod target;

pub use self::{
    balancer::Balancer,
    pool::{Pick, PickArgs},
    share::Proxy,
    target::{Load, State, Target, TargetReport},
};
