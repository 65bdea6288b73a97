//! The customers' quotas over all hosts: which hosts own the parts of a quota, the token bucket of
//! each part, and which owners a host asks for a token.
//!
//! Each customer has a few owners, selected from the platform's list of gateways. An owner grants
//! tokens from its own bucket, which holds an equal part of the rate and the burst, so that the bound
//! holds however the hosts that ask are cut off from each other.

mod asks;
mod bucket;
mod eligibility;
mod join;
mod membership;
mod owners;

pub use self::{
    asks::{Asks, Candidate},
    bucket::{Bucket, RETURN_TERM, Share, Ticket},
    eligibility::{GrantEligibility, Ineligible, JOIN_PERIOD, LIST_AGE_MAX},
    join::{Join, ListReport, SETTLE_TIME},
    membership::{MemberList, Membership},
    owners::{Member, OWNERS_MAX, Owners, Standing},
};
