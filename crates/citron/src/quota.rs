//! The customers' quotas over all hosts: which hosts own the parts of a quota, the token bucket of
//! each part, and which owners a host asks for a token.
//!
//! Each customer has a few owners, selected from the platform's list of gateways. An owner grants
//! tokens from its own bucket, which holds an equal part of the rate and the burst, so that the bound
//! holds however the hosts that ask are cut off from each other.

mod asks;
mod bucket;
mod owners;
mod eligibility;

pub use self::{
    asks::{Asks, Candidate},
    bucket::{Bucket, RETURN_TERM, Share, Ticket},
    eligibility::{GrantEligibility, Ineligible, JOIN_PERIOD},
    owners::{Member, OWNERS_MAX, Owners, Standing},
};
