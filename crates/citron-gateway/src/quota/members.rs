//! The list of members, from the store or from a peer, and this host's standing in it.

use std::{sync::Arc, time::Duration};

use citron::{
    position::Position,
    quota::{Member, Standing},
};
use serde::{Deserialize, Serialize};

use super::time_with_suspension;
use crate::shared::Shared;

/// The list of members as one gateway gives it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberList {
    /// How long ago the store gave it, in milliseconds.
    age_ms: u64,
    position: Position,
    members: Vec<Member>,
}

/// Records that no process of this host can have granted tokens before, so that buckets are full.
pub fn start_full(shared: &Shared) {
    shared.quotas.state.lock().starts_full = true;
}

/// Returns this host's standing, `None` if it is not known.
pub fn standing(shared: &Shared) -> Option<Standing> {
    shared.quotas.state.lock().eligibility.standing()
}

/// Sets this host's standing, which the store has confirmed.
pub fn set_standing(shared: &Shared, standing: Standing) {
    shared.quotas.state.lock().eligibility.set_standing(standing);
    log::info!("event=quota-standing standing={standing}");
}

/// Returns the age of the list, `None` if there is none.
pub fn list_age(shared: &Shared) -> Option<Duration> {
    let listed_at = shared.quotas.state.lock().eligibility.listed_at()?;
    Some(time_with_suspension(shared).saturating_sub(listed_at))
}

/// Applies a list that was requested at `begun_at`, by the time with suspension, and has `position`.
/// Returns false without a change if it is older than the current list.
pub fn apply(
    shared: &Shared,
    members: Vec<Member>,
    position: Position,
    begun_at: Duration,
) -> bool {
    let state = &mut *shared.quotas.state.lock();
    if state.position.is_some_and(|current| position < current) {
        log::info!("event=members-ignored revision={position}");
        return false;
    }
    state.position = Some(position);
    state.eligibility.record_list(begun_at);
    state.owners.set_members(members);
    true
}

/// Returns the list for a peer, `None` if there is none.
pub fn export(shared: &Shared) -> Option<MemberList> {
    let age = list_age(shared)?;
    let state = shared.quotas.state.lock();
    let (position, members) = (state.position?, state.owners.members().to_vec());
    Some(MemberList { age_ms: age.as_millis() as u64, position, members })
}

/// Takes over a peer's list, for a host that starts while the store is unavailable. The host's entry
/// in it tells its standing.
pub fn import(shared: &Shared, list: MemberList) {
    let host = shared.settings().host.clone();
    let now = time_with_suspension(shared);
    let own = list.members.iter().find(|member| *member.host == *host);
    let standing = own.map_or(Standing::Joining, |member| member.standing);
    let mut state = shared.quotas.state.lock();
    if state.position.is_some() {
        return;
    }
    if state.eligibility.standing().is_none() {
        state.eligibility.set_standing(standing);
    }
    drop(state);
    log::info!("event=members-taken count={} standing={standing} source=peer", list.members.len());
    let begun_at = now.saturating_sub(Duration::from_millis(list.age_ms));
    apply(shared, list.members, list.position, begun_at);
}

/// Returns this host as a member.
pub fn own(shared: &Shared, address: std::net::SocketAddr, standing: Standing) -> Member {
    let settings = shared.settings();
    let (host, domain) = (Arc::from(&*settings.host), Arc::from(&*settings.domain));
    Member { host, domain, address, standing }
}
