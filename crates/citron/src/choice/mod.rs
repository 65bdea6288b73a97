//! Chooses the target of an attempt among a service's targets.
//!
//! A proxy sees only its own requests and the load that targets report in their answers. Each proxy
//! prefers an equal share of the slots of its service, which keeps its picture of these targets
//! fresh, and goes to the least loaded of a few sampled targets when its share is in use. The cost
//! of a choice does not depend on the number of targets.

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
