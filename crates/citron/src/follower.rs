//! Selects the gateways of a failure domain that follow the store.
//!
//! Each call to the store has a price. In a large failure domain only a few gateways watch the store;
//! the others take changes from them. All gateways compute the selection from the reports that they
//! received, so that no message is needed to agree on it.

use std::time::Duration;

use crate::{placement, position::Position, route::Edition};

/// The number of live gateways of a failure domain up to which all of them follow the store.
pub const FOLLOW_ALL_MAX: usize = 16;
/// The number of followers of a larger failure domain, besides one for each
/// [`GATEWAYS_PER_FOLLOWER`] gateways.
const FOLLOWERS_MIN: usize = 4;
/// The number of gateways of a failure domain for which there is a further follower.
const GATEWAYS_PER_FOLLOWER: usize = 16;
/// For how long a follower that is no longer selected goes on, so that a report that is late does not
/// end a watch that would be opened again.
const STAND_DOWN_DELAY: Duration = Duration::from_secs(3);

/// A gateway that may follow the store.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Member<'a> {
    /// Its host.
    pub host: &'a str,
    /// Whether the store responds to it; such members come first.
    pub in_contact: bool,
    /// How much of a processor core it may use, in thousandths; members with more come first.
    pub cpu_permille: u32,
}

impl<'a> Member<'a> {
    fn rank(&self) -> (bool, u32, u64, &'a str) {
        let weight = placement::weight(&["follower"], self.host);
        (self.in_contact, self.cpu_permille, weight, self.host)
    }
}

/// Returns the number of followers in a failure domain of so many gateways, if it is larger than
/// `follow_all_max`.
pub fn follower_count(gateways: usize, follow_all_max: usize) -> usize {
    if gateways <= follow_all_max {
        return gateways;
    }
    FOLLOWERS_MIN + gateways / GATEWAYS_PER_FOLLOWER
}

/// Returns true if `own` is one of the first `count` members beside the `others` of its failure
/// domain.
pub fn is_follower<'a>(
    own: Member<'_>,
    others: impl Iterator<Item = Member<'a>>,
    count: usize,
) -> bool {
    let rank = own.rank();
    others.filter(|other| other.rank() > rank).take(count).count() < count
}

/// Whether a gateway follows the store now.
#[derive(Debug, Default, Copy, Clone)]
pub struct Role {
    /// Since when it has not been selected, `None` while it is.
    unselected_since: Option<Duration>,
}

impl Role {
    /// Records whether the gateway is selected now; returns true if it should watch the store.
    /// `is_watching` tells whether it does.
    pub fn update(&mut self, is_selected: bool, is_watching: bool, now: Duration) -> bool {
        if is_selected {
            self.unselected_since = None;
            return true;
        }
        let since = *self.unselected_since.get_or_insert(now);
        is_watching && now.saturating_sub(since) < STAND_DOWN_DELAY
    }
}

/// What a peer reported of its own state, and when the store confirmed that to it.
#[derive(Debug, Copy, Clone)]
pub struct Confirmed {
    /// The edition of its routes.
    pub routes: Edition,
    /// The position of its target list.
    pub targets_position: Position,
    /// When the store confirmed both.
    pub at: Duration,
}

/// The latest moments at which peers' reports showed that this gateway's state was current.
///
/// The state of a gateway only advances, so that what was confirmed once stays true. A later report
/// of the same peer may show a newer state, and would hide the confirmation while this gateway takes
/// that state over.
#[derive(Debug, Default, Copy, Clone)]
pub struct PeerConfirmations {
    state: Option<Duration>,
    routes: Option<Duration>,
}

impl PeerConfirmations {
    /// Records what a peer reported, given this gateway's routes and target list.
    pub fn record(&mut self, peer: Confirmed, routes: Edition, targets_position: Position) {
        let is_covered = peer.routes <= routes;
        if !is_covered {
            return;
        }
        self.routes = self.routes.max(Some(peer.at));
        if peer.targets_position <= targets_position {
            self.state = self.state.max(Some(peer.at));
        }
    }

    /// Returns the latest moment at which routes and targets were known to be current.
    pub fn state(&self) -> Option<Duration> {
        self.state
    }

    /// Returns the latest moment at which the routes were known to be current.
    pub fn routes(&self) -> Option<Duration> {
        self.routes
    }
}
