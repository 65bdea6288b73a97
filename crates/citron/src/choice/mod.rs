//! Chooses the target of an attempt among a service's targets.
//!
//! A proxy sees only its own requests and the load that targets report in their answers. Each proxy
//! prefers an equal share of the slots of its service, which keeps its picture of these targets
//! fresh, and goes to the least loaded of a few sampled targets when its share is in use. The cost
//! of a choice does not depend on the number of targets.

mod estimate;
mod pool;
mod share;
mod table;
mod target;

pub use self::{
    pool::{Ask, Pick},
    share::Proxy,
    table::Table,
    target::{Answer, Load, State, Target},
};
