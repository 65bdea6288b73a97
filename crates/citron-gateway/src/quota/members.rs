//! The list of members, from the store or from a peer, and this host's standing in it.

use std::{sync::Arc, time::Duration};

use citron::{
    position::Position,
    quota::{JOIN_PERIOD, ListReport, Member, MemberList, Standing},
};
use serde::{Deserialize, Serialize};

use super::{others_in_contact, time_with_suspension};
use crate::shared::Shared;

/// The list of members as one gateway gives it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberExport {
    /// How long ago the store gave it, in milliseconds, absent if the sender may not grant under it.
    #[serde(default)]
    age_ms: Option<u64>,
    position: Position,
    members: Vec<Member>,
}

/// Returns this host's standing, `None` if it is not known.
pub fn standing(shared: &Shared) -> Option<Standing> {
    shared.quotas.state.lock().membership.standing()
}

/// Sets this host's standing, as it was when its process started.
pub fn set_standing(shared: &Shared, standing: Standing) {
    shared.quotas.state.lock().membership.set_standing(standing);
    log::info!("event=quota-standing standing={standing}");
}

/// Records that the store, in `era`, has this host's entry; `existed` is whether it may have had one
/// before. Returns false if this host has to register again.
pub fn record_registration(shared: &Shared, era: u64, existed: bool) -> bool {
    let now = time_with_suspension(shared);
    shared.quotas.state.lock().membership.record_registration(era, existed, now)
}

/// Records a current list that was read after the registration; `listed` are all entries in it.
pub fn record_current_list(shared: &Shared, listed: &[Member], position: Position) {
    let host = &shared.settings().host;
    shared.quotas.state.lock().membership.record_current_list(listed, host, position);
}

/// Returns true if this host is joining and may write that it is active.
pub fn may_activate(shared: &Shared) -> bool {
    let is_era_old = is_era_old(shared);
    let gateways = shared.gateways.lock();
    let granting = gateways.granting(shared.clock.now());
    let state = shared.quotas.state.lock();
    state.membership.may_activate(granting, is_era_old, time_with_suspension(shared))
}

/// Returns true if a peer's list may show members that the store has lost.
pub fn needs_peer_list(shared: &Shared) -> bool {
    list_age(shared).is_none() || !is_era_old(shared)
}

/// Returns true if a peer tells that the store has not come back from an older copy lately.
fn is_era_old(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let era = *shared.store_era.borrow();
    let known = shared.gateways.lock().store_era(now).filter(|(known, _)| *known == era);
    known.is_some_and(|(_, since)| now >= since + JOIN_PERIOD)
}

/// Records that the store, in `era`, has this host's entry as active, and that the list was read
/// since.
pub fn activate(shared: &Shared, era: u64) {
    let starts_full = {
        let state = &mut *shared.quotas.state.lock();
        if !state.membership.activate(era) {
            return log::info!("event=quota-standing-lost era={era}");
        }
        state.owned_since = shared.clock.now();
        state.starts_full = state.membership.is_first_owner();
        state.starts_full
    };
    log::info!("event=quota-standing standing={} full={starts_full}", Standing::Active);
    shared.state_changed.notify_one();
}

/// Returns what this host reports about its list.
pub fn report(shared: &Shared) -> ListReport {
    let now = time_with_suspension(shared);
    shared.quotas.state.lock().membership.report(now)
}

/// Wakes the task that reads the list if a host that is joining waits for a newer one than this host
/// grants under.
pub fn notice_awaited(shared: &Shared) {
    if is_list_awaited(shared) {
        shared.quotas.list_awaited.notify_one();
    }
}

/// Returns true if a host that is joining waits for a newer list than this host grants under.
pub fn is_list_awaited(shared: &Shared) -> bool {
    let awaited = shared.gateways.lock().awaited_list(shared.clock.now());
    awaited.is_some() && shared.quotas.state.lock().membership.is_awaited(awaited)
}

/// Returns the age of the list, `None` if there is none.
pub fn list_age(shared: &Shared) -> Option<Duration> {
    let now = time_with_suspension(shared);
    shared.quotas.state.lock().membership.list_age(now)
}

/// Applies a list that was requested at `begun_at`, by the time with suspension, and has `position`,
/// unless it is older than the current list.
pub fn apply(shared: &Shared, members: Vec<Member>, position: Position, begun_at: Duration) {
    let now = time_with_suspension(shared);
    let list = MemberList { members, position, age: now.saturating_sub(begun_at) };
    match shared.quotas.state.lock().membership.apply(list, now) {
        Some(0) => {}
        Some(kept) => log::info!("event=members-kept count={kept} revision={position}"),
        None => log::info!("event=members-ignored revision={position}"),
    }
}

/// Returns the list for a peer, `None` if there is none.
pub fn export(shared: &Shared) -> Option<MemberExport> {
    let others_in_contact = others_in_contact(shared);
    let now = time_with_suspension(shared);
    let membership = &mut shared.quotas.state.lock().membership;
    let age = membership.export(others_in_contact, now);
    let age_ms = age.map(|age| age.as_millis() as u64);
    let members = membership.members().to_vec();
    Some(MemberExport { age_ms, position: membership.position()?, members })
}

/// Takes over a peer's list, for a host that starts while the store is unavailable, or adds what the
/// store does not list.
pub fn import(shared: &Shared, list: MemberExport) {
    let host = &shared.settings().host;
    let count = list.members.len();
    let now = time_with_suspension(shared);
    let MemberExport { age_ms, position, members } = list;
    let membership = &mut shared.quotas.state.lock().membership;
    match age_ms.filter(|_| membership.list_age(now).is_none()) {
        Some(age_ms) => {
            let age = Duration::from_millis(age_ms);
            membership.import(MemberList { members, position, age }, host, now);
            let standing = membership.standing().unwrap_or(Standing::Joining);
            log::info!("event=members-taken count={count} standing={standing} source=peer");
        }
        None => {
            let kept = membership.merge(&members);
            log::info!("event=members-kept count={kept} source=peer");
        }
    }
}

/// Returns this host as a member.
pub fn own(shared: &Shared, address: std::net::SocketAddr, standing: Standing) -> Member {
    let settings = shared.settings();
    let (host, domain) = (Arc::from(&*settings.host), Arc::from(&*settings.domain));
    Member { host, domain, address, standing }
}
