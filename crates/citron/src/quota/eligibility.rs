//! Whether this host may grant tokens of the parts that it owns.
//!
//! All times include those in which the host was suspended.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::Standing;

/// After this time a host that reports nothing does not grant under a list that it read before. It
/// exceeds [`LIST_AGE_MAX`] by the time that a list may be outdated when it arrives.
pub const JOIN_PERIOD: Duration = Duration::from_secs(30);
/// How old the list of members may be while the store is in use.
pub const LIST_AGE_MAX: Duration = Duration::from_secs(20);
/// The longest time between two ticks of a process that runs.
const TICK_MAX: Duration = Duration::from_secs(2);
/// How long after a standstill this host waits for reports of its peers before it concludes that none
/// is in contact with the store.
const HEARING_TIME: Duration = Duration::from_millis(3500);

/// Why a host may not grant tokens.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Ineligible {
    /// It is not active.
    Joining,
    /// It has no list of the members.
    NoList,
    /// Its list is too old: others may have become owners since.
    ListOld,
}

/// What decides whether this host may grant.
#[derive(Debug, Default)]
pub struct GrantEligibility {
    standing: Option<Standing>,
    list: Option<ListTime>,
    ticked_at: Duration,
    resumed_at: Duration,
}

/// When a list was requested.
#[derive(Debug, Copy, Clone)]
struct ListTime {
    recorded_at: Duration,
    /// How old it was then. It may be older than this process.
    age: Duration,
}

impl ListTime {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.recorded_at)
    }
}

impl GrantEligibility {
    /// Sets this host's standing, as the store or a peer's list has it.
    pub fn set_standing(&mut self, standing: Standing) {
        self.standing = Some(standing);
    }

    /// Returns this host's standing, `None` if it is not known.
    pub fn standing(&self) -> Option<Standing> {
        self.standing
    }

    /// Records a list whose call was begun `age` ago.
    pub fn record_list(&mut self, age: Duration, now: Duration) {
        let age = self.list_age(now).map_or(age, |current| current.min(age));
        self.list = Some(ListTime { recorded_at: now, age });
    }

    /// Returns how long ago the call for the list was begun, `None` if there is none.
    pub fn list_age(&self, now: Duration) -> Option<Duration> {
        self.list.map(|list| list.age(now))
    }

    /// Records that the process runs; called at least once a second.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.ticked_at + TICK_MAX {
            self.resumed_at = now;
        }
        self.ticked_at = self.ticked_at.max(now);
    }

    /// Decides whether this host may grant tokens; `others_in_contact` is whether a live peer reports
    /// contact with the store.
    ///
    /// # Errors
    /// Fails with the reason if it may not.
    pub fn check(&self, others_in_contact: bool, now: Duration) -> Result<(), Ineligible> {
        if self.standing != Some(Standing::Active) {
            return Err(Ineligible::Joining);
        }
        let age = self.list_age(now).ok_or(Ineligible::NoList)?;
        if age < LIST_AGE_MAX {
            return Ok(());
        }
        let has_stood_still = now >= self.ticked_at + TICK_MAX;
        let has_heard = !has_stood_still && now >= self.resumed_at + HEARING_TIME;
        if others_in_contact || !has_heard {
            return Err(Ineligible::ListOld);
        }
        Ok(())
    }
}
