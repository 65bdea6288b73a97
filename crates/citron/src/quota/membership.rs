//! Which hosts this host takes for members, and whether it may grant under their list.
//!
//! All times include those in which the host was suspended.

use std::time::Duration;

use super::{
    GrantEligibility, Ineligible, Join, LIST_AGE_MAX, ListReport, Member, Owners, Standing,
};
use crate::position::Position;

/// A list of members, from the store or from a peer.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct MemberList {
    /// The members.
    pub members: Vec<Member>,
    /// Where the list is in the history of the store.
    pub position: Position,
    /// How long ago the call to the store was begun that returned it.
    pub age: Duration,
}

/// This host's list of members, and its standing among them.
#[derive(Debug, Default)]
pub struct Membership {
    join: Join,
    eligibility: GrantEligibility,
    owners: Owners,
    /// The era of the store in which this host is registered.
    registered_era: Option<u64>,
    /// Members that the store may have lost the entries of.
    kept: Vec<Member>,
    position: Option<Position>,
    exported: Option<Export>,
}

/// What peers were given of the list.
#[derive(Debug, Copy, Clone)]
struct Export {
    /// The oldest position among those under which a peer may still grant.
    position: Position,
    /// Until when one may.
    until: Duration,
}

impl Membership {
    /// Creates the membership of a host without a list; `is_first_start` is whether the whole system
    /// starts for the first time.
    pub fn new(is_first_start: bool) -> Self {
        Self { join: Join::new(is_first_start), ..Self::default() }
    }

    /// Returns the members and the owners among them.
    pub fn owners(&mut self) -> &mut Owners {
        &mut self.owners
    }

    /// Returns the members.
    pub fn members(&self) -> &[Member] {
        self.owners.members()
    }

    /// Returns this host's standing, `None` if it is not known.
    pub fn standing(&self) -> Option<Standing> {
        self.eligibility.standing()
    }

    /// Sets this host's standing, as the store or a peer's list had it when its process started.
    pub fn set_standing(&mut self, standing: Standing) {
        self.eligibility.set_standing(standing);
    }

    /// Records that the store, in `era`, has acknowledged this host's entry with its current standing;
    /// `existed` is whether it may have had an entry before. Returns false if the host has to register
    /// again, as joining: the store has lost the entry by which its process took it for active, and may
    /// have lost others.
    pub fn record_registration(&mut self, era: u64, existed: bool, now: Duration) -> bool {
        self.registered_era = Some(era);
        if self.position.is_none() && !existed && self.standing() == Some(Standing::Active) {
            self.set_standing(Standing::Joining);
            return false;
        }
        if self.is_joining() {
            self.join.record_registration(era, existed, now);
        }
        true
    }

    /// Records a current list that was read after the registration of this host, `own`.
    pub fn record_current_list(&mut self, listed: &[Member], own: &str, position: Position) {
        if self.is_joining() {
            self.join.record_list(listed, own, position);
        }
    }

    /// Returns true if this host is joining and may write that it is active, see
    /// [`Join::may_activate`].
    pub fn may_activate<'a>(
        &self,
        granting: impl Iterator<Item = (&'a str, Position)>,
        is_era_old: bool,
        now: Duration,
    ) -> bool {
        self.is_joining() && self.join.may_activate(granting, is_era_old, now)
    }

    /// Records that the store, in `era`, had acknowledged this host's entry as active before the call
    /// for the current list was begun. Returns whether this host is active now: an entry that was
    /// written in an earlier era than that of the list may be lost.
    pub fn activate(&mut self, era: u64) -> bool {
        let is_confirmed = self.position.is_some_and(|position| position.era == era);
        if is_confirmed {
            self.eligibility.set_standing(Standing::Active);
        }
        is_confirmed
    }

    /// Returns true if nobody can have granted tokens of this host's parts before it.
    pub fn is_first_owner(&self) -> bool {
        self.join.is_first_owner()
    }

    /// Replaces the list. Returns how many members it keeps that are not in the new one, or `None`
    /// without a change if that is older than the current one.
    ///
    /// A store that came back from an older copy may have lost entries of hosts that go on granting, so
    /// members that only the list before showed are kept until they are listed again.
    pub fn apply(&mut self, list: MemberList, now: Duration) -> Option<usize> {
        let MemberList { mut members, position, age } = list;
        if self.position.is_some_and(|current| position < current) {
            return None;
        }
        // A first list of a later era than the registration may lack what the store has lost.
        let is_later = self.registered_era.is_some_and(|era| position.era != era);
        if self.position.is_none() && is_later {
            return None;
        }
        if self.position.is_some_and(|current| position.era > current.era) {
            self.kept = self.owners.members().to_vec();
        }
        self.position = Some(position);
        self.eligibility.record_list(age, now);
        self.kept.retain(|kept| !members.iter().any(|member| member.host == kept.host));
        members.extend_from_slice(&self.kept);
        self.owners.set_members(members);
        Some(self.kept.len())
    }

    /// Adds the members that only a peer's list shows, for a host that starts after the store may have
    /// lost their entries. Returns how many members are kept that the store does not list.
    pub fn merge(&mut self, known: &[Member]) -> usize {
        let mut members = self.owners.members().to_vec();
        let is_known = |other: &Member| members.iter().any(|member| member.host == other.host);
        let missing: Vec<Member> = known.iter().filter(|other| !is_known(other)).cloned().collect();
        self.kept.extend_from_slice(&missing);
        members.extend(missing);
        self.owners.set_members(members);
        self.kept.len()
    }

    /// Takes over a peer's list, for a host that starts while the store is unavailable; the entry of
    /// this host, `own`, tells its standing. Returns false without a change if there is a list.
    pub fn import(&mut self, list: MemberList, own: &str, now: Duration) -> bool {
        if self.position.is_some() {
            return false;
        }
        if self.standing().is_none() {
            let entry = list.members.iter().find(|member| *member.host == *own);
            self.set_standing(entry.map_or(Standing::Joining, |member| member.standing));
        }
        self.apply(list, now).is_some()
    }

    /// Records that a peer is given the list, and returns its age. `None` if this host may not grant
    /// under it: then the peer must not either.
    pub fn export(&mut self, others_in_contact: bool, now: Duration) -> Option<Duration> {
        self.check(others_in_contact, now).ok()?;
        let (position, age) = (self.position?, self.list_age(now)?);
        let until = now + LIST_AGE_MAX.saturating_sub(age);
        let earlier = self.exported.filter(|earlier| now < earlier.until);
        self.exported = Some(Export {
            position: earlier.map_or(position, |earlier| earlier.position.min(position)),
            until: earlier.map_or(until, |earlier| earlier.until.max(until)),
        });
        Some(age)
    }

    /// Returns what this host reports to the others.
    pub fn report(&self, now: Duration) -> ListReport {
        if self.standing() != Some(Standing::Active) {
            return ListReport { granting: None, awaited: self.join.awaited() };
        }
        let exported = self.exported.filter(|export| now < export.until);
        let exported = exported.map(|export| export.position);
        ListReport { granting: self.position.into_iter().chain(exported).min(), awaited: None }
    }

    /// Returns true if a host that is joining waits for a newer list than this host grants under;
    /// `awaited` is the newest position that any waits for.
    pub fn is_awaited(&self, awaited: Option<Position>) -> bool {
        let (Some(awaited), Some(position)) = (awaited, self.position) else { return false };
        // A host whose list is of another era reads it as it registers again.
        self.standing() == Some(Standing::Active)
            && awaited.era == position.era
            && awaited > position
    }

    /// Returns where the list is in the history of the store, `None` if there is none.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the age of the list, `None` if there is none.
    pub fn list_age(&self, now: Duration) -> Option<Duration> {
        self.eligibility.list_age(now)
    }

    /// Records that the process runs; called at least once a second.
    pub fn tick(&mut self, now: Duration) {
        self.eligibility.tick(now);
    }

    /// Decides whether this host may grant tokens, see [`GrantEligibility::check`].
    ///
    /// # Errors
    /// Fails with the reason if it may not.
    pub fn check(&self, others_in_contact: bool, now: Duration) -> Result<(), Ineligible> {
        self.eligibility.check(others_in_contact, now)
    }

    fn is_joining(&self) -> bool {
        self.standing() == Some(Standing::Joining)
    }
}
