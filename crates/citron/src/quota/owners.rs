//! Which hosts own the parts of a customer's quota.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::Display;

use super::Share;
use crate::{
    customer::Quota,
    placement::{self, Host},
};

/// The maximum number of owners of a customer's quota.
pub const OWNERS_MAX: usize = 4;

/// Whether a host takes part in granting tokens.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It may be an owner, but grants nothing yet, as hosts with an older list may still grant its
    /// parts.
    Joining,
    /// It grants the parts that it owns, under a list that was read since it is active.
    #[default]
    Active,
}

/// A host in the platform's list of gateways.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub host: Arc<str>,
    /// Its failure domain, empty if its entry does not name it.
    pub domain: Arc<str>,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its standing.
    pub standing: Standing,
}

/// The members, and the owners of the customers that were looked up.
#[derive(Debug, Default)]
pub struct Owners {
    members: Vec<Member>,
    ranked: HashMap<Arc<str>, SmallVec<[usize; OWNERS_MAX]>>,
}

impl Owners {
    /// Replaces the members.
    pub fn set_members(&mut self, members: Vec<Member>) {
        if self.members != members {
            self.members = members;
            self.ranked.clear();
        }
    }

    /// Returns the members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the owners of a customer's quota, the joining ones included: one for each request of
    /// the burst, at least 1 and at most [`OWNERS_MAX`].
    pub fn of(&mut self, customer: &str, quota: &Quota) -> SmallVec<[&Member; OWNERS_MAX]> {
        if !self.ranked.contains_key(customer) {
            let ranked = self.rank(customer);
            self.ranked.insert(Arc::from(customer), ranked);
        }
        let count = (quota.burst as usize).clamp(1, OWNERS_MAX);
        self.ranked[customer].iter().take(count).map(|index| &self.members[*index]).collect()
    }

    /// Returns the part of a customer's quota that `host` owns, `None` if it owns none.
    pub fn share_of(&mut self, host: &str, customer: &str, quota: &Quota) -> Option<Share> {
        let owners = self.of(customer, quota);
        let is_owner = owners.iter().any(|member| &*member.host == host);
        is_owner.then(|| Share::new(quota, owners.len()))
    }

    /// Forgets what was computed for customers for which `is_current` returns false.
    pub fn retain(&mut self, is_current: impl Fn(&str) -> bool) {
        self.ranked.retain(|customer, _| is_current(customer));
    }

    fn rank(&self, customer: &str) -> SmallVec<[usize; OWNERS_MAX]> {
        let hosts: Vec<Host<'_>> =
            self.members.iter().map(|m| Host { name: &m.host, domain: &m.domain }).collect();
        let ranked = placement::rank(&["quota", customer], &hosts);
        let index = |name: &str| self.members.iter().position(|member| &*member.host == name);
        ranked.into_iter().take(OWNERS_MAX).filter_map(index).collect()
    }
}
