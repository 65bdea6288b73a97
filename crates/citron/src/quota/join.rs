//! How a host that registers comes to grant tokens.
//!
//! A host may grant only under a list of members that shows every host that may be granting: then all
//! hosts that grant agree on who of them owns a part (see [`super::Owners`], where a further member
//! never makes another one an owner). It takes three steps in the store, whose writes and current
//! lists have one order:
//!
//! 1. The host registers as joining, then reads a current list, its first one.
//! 2. It waits until no host that is active in that list can grant under a list without it.
//! 3. It writes that it is active, reads a current list once more, and grants under that.
//!
//! A host that is not active in the first list becomes so later, and by step 3 grants only under lists
//! that show this one. One that is active there reports the position of the list under which it
//! grants; one that reports none has given up its list after [`JOIN_PERIOD`].
//!
//! All times include those in which the host was suspended.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::{JOIN_PERIOD, Member, Standing};
use crate::position::Position;

/// How long after its registration a host of a first start waits, so that the others that start with
/// it are registered before one of them is active.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What a host reports about its list of members.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct ListReport {
    /// The position of the oldest list under which it, or a host that took its list over, may grant;
    /// `None` if it does not grant.
    pub granting: Option<Position>,
    /// The position that the lists of the hosts that grant must reach before it becomes active, `None`
    /// if it waits for none.
    pub awaited: Option<Position>,
}

/// A host's way from its registration to the time from which it may grant.
#[derive(Debug, Default)]
pub struct Join {
    is_first_start: bool,
    /// The era of the store at the first registration.
    first_era: Option<u64>,
    registration: Option<Registration>,
    first_list: Option<FirstList>,
}

#[derive(Debug)]
struct Registration {
    era: u64,
    at: Duration,
    /// Whether an earlier process of this host may have registered.
    existed: bool,
}

/// The first current list after the registration.
#[derive(Debug)]
struct FirstList {
    position: Position,
    /// The other hosts that were active.
    active: SmallVec<[Arc<str>; 8]>,
}

impl Join {
    /// Creates the join of a host; `is_first_start` is whether the whole system starts for the first
    /// time.
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// Records that the store, in `era`, has acknowledged that this host is joining; `existed` is
    /// whether it may have had an entry of this host.
    pub fn record_registration(&mut self, era: u64, existed: bool, now: Duration) {
        self.first_era.get_or_insert(era);
        if self.registration.as_ref().is_none_or(|earlier| earlier.era != era) {
            self.registration = Some(Registration { era, at: now, existed });
            self.first_list = None;
        }
    }

    /// Records a list that shows all that was written before its call, which was begun after the
    /// registration of this host, `own`.
    pub fn record_list(&mut self, members: &[Member], own: &str, position: Position) {
        let era = self.registration.as_ref().map(|registration| registration.era);
        if self.first_list.is_some() || era != Some(position.era) {
            return;
        }
        let active = members.iter().filter(|member| member.standing == Standing::Active);
        let others = active.filter(|member| *member.host != *own);
        let active = others.map(|member| Arc::clone(&member.host)).collect();
        self.first_list = Some(FirstList { position, active });
    }

    /// Returns the position that the lists of the hosts that grant must reach, `None` before the first
    /// list.
    pub fn awaited(&self) -> Option<Position> {
        self.first_list.as_ref().map(|list| list.position)
    }

    /// Returns true if this host may write that it is active.
    ///
    /// `granting` are the live hosts that grant, with the positions that they reported, and
    /// `is_era_old` is whether the store has not come back from an older copy within [`JOIN_PERIOD`]:
    /// entries that it lost may be of hosts that grant.
    pub fn may_activate<'a>(
        &self,
        granting: impl Iterator<Item = (&'a str, Position)>,
        is_era_old: bool,
        now: Duration,
    ) -> bool {
        let Some(registration) = &self.registration else { return false };
        if now >= registration.at + JOIN_PERIOD {
            return true;
        }
        let Some(list) = &self.first_list else { return false };
        let settle_time = if self.is_first_start { SETTLE_TIME } else { Duration::ZERO };
        let is_settled = now >= registration.at + settle_time;
        if !is_settled || !(is_era_old || self.is_first_era()) {
            return false;
        }
        let mut silent = list.active.clone();
        for (host, position) in granting {
            if position < list.position {
                return false;
            }
            silent.retain(|other| **other != *host);
        }
        silent.is_empty()
    }

    /// Returns true if nobody can have granted tokens of the parts of this host before: no process of
    /// this host, as it registered for the first time, and no other one, as none was active.
    pub fn is_first_owner(&self) -> bool {
        let is_new = self.registration.as_ref().is_some_and(|registration| !registration.existed);
        let is_alone = self.first_list.as_ref().is_some_and(|list| list.active.is_empty());
        is_new && is_alone && self.is_first_era()
    }

    /// Returns true if the system started in the era of the store in which this host is registered, so
    /// that the store cannot have lost entries of hosts that grant.
    fn is_first_era(&self) -> bool {
        let era = self.registration.as_ref().map(|registration| registration.era);
        self.is_first_start && era == self.first_era
    }
}
