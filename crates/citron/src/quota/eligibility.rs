//! Whether this host may grant tokens of the parts that it owns.
//!
//! All times include those in which the host was suspended.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::Standing;

/// How long a host is joining before it becomes active. It exceeds [`LIST_MAX_AGE`] by the time that
/// a list may be outdated when it arrives.
pub const JOIN_PERIOD: Duration = Duration::from_secs(30);
/// How old the list of members may be while the store is in use.
const LIST_MAX_AGE: Duration = Duration::from_secs(20);
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
    listed_at: Option<Duration>,
    ticked_at: Duration,
    resumed_at: Duration,
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

    /// Records that the call that returned the list was begun at `at`.
    pub fn record_list(&mut self, at: Duration) {
        self.listed_at = self.listed_at.max(Some(at));
    }

    /// Returns when the list was made, `None` if there is none.
    pub fn listed_at(&self) -> Option<Duration> {
        self.listed_at
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
        let listed_at = self.listed_at.ok_or(Ineligible::NoList)?;
        if now < listed_at + LIST_MAX_AGE {
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
