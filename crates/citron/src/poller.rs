//! Selects the members of a fleet that poll the store.
//!
//! A watch that returns nothing looks like a store without changes. A few members therefore ask at
//! short intervals, and the others follow them when their own watch delivers nothing. The number of
//! pollers does not grow with the fleet.

use crate::placement;

/// The number of members that poll, so that the loss of one leaves another.
pub const POLLERS: usize = 2;

/// A member that may poll.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Member<'a> {
    /// Its host.
    pub host: &'a str,
    /// Whether the store responds to it; such members poll before the others.
    pub in_contact: bool,
}

impl Member<'_> {
    fn rank(&self) -> (bool, u64) {
        (self.in_contact, placement::weight(&["poller"], self.host))
    }
}

/// Returns true if `own` polls the store beside the `others` that are alive.
pub fn is_poller<'a>(own: Member<'_>, others: impl Iterator<Item = Member<'a>>) -> bool {
    let rank = own.rank();
    others.filter(|other| other.rank() > rank).take(POLLERS).count() < POLLERS
}
