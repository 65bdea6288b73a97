//! Whether the store responds to this gateway.

use std::{collections::BTreeMap, time::Duration};

use citron::outage::{Contact, Link, Silence};
use parking_lot::Mutex;

/// The gateway's link to the store, over all its followers.
#[derive(Debug, Default)]
pub struct StoreLink(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    link: Link,
    /// The number of followers whose last call failed.
    failing_followers: u32,
    /// When the latest response to each follower arrived, by the kind that it follows.
    responded_at: BTreeMap<&'static str, Duration>,
}

impl StoreLink {
    /// Records that a follower's call, whose response was due at `due`, failed; `is_first` tells
    /// whether its previous call had not.
    pub fn record_failure(&self, is_first: bool, due: Duration) {
        let mut state = self.0.lock();
        state.failing_followers += u32::from(is_first);
        state.link.record_failure(due);
    }

    /// Records that the store responded in `era`, before its response is applied.
    pub fn record_era(&self, era: u64, now: Duration) {
        self.0.lock().link.record_era(era, now);
    }

    /// Records a response to the follower of `kind`, and whether its previous call had failed;
    /// returns when the link was lost if the response ends an outage.
    pub fn record_response(
        &self,
        kind: &'static str,
        had_failed: bool,
        now: Duration,
    ) -> Option<Duration> {
        let mut state = self.0.lock();
        state.responded_at.insert(kind, now);
        if had_failed {
            assert!(state.failing_followers > 0, "a follower must fail before it recovers");
            state.failing_followers -= 1;
        }
        state.link.record_response(now)
    }

    /// Records that a follower abandoned a call that returned nothing.
    pub fn record_abandoned(&self) {
        self.0.lock().link.record_abandoned();
    }

    /// Records that the call begun at `begun_at` is overdue and unanswered.
    pub fn record_unanswered(&self, begun_at: Duration) {
        self.0.lock().link.record_unanswered(begun_at);
    }

    /// Records that the call begun at `begun_at` was answered.
    pub fn record_answered(&self, begun_at: Duration) {
        self.0.lock().link.record_answered(begun_at);
    }

    /// Returns the last silence of the store that this gateway noticed.
    pub fn silence(&self) -> Option<Silence> {
        self.0.lock().link.silence()
    }

    /// Returns true if the last call of any follower failed.
    pub fn is_down(&self) -> bool {
        self.0.lock().failing_followers > 0
    }

    /// Returns how long the store has not responded although a response was due.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.0.lock().link.silent_for(now)
    }

    /// Returns the time since the latest response to each follower, by the kind that it follows.
    pub fn response_ages(&self, now: Duration) -> Vec<(&'static str, Duration)> {
        let state = self.0.lock();
        state.responded_at.iter().map(|(kind, at)| (*kind, now.saturating_sub(*at))).collect()
    }

    /// Returns the current contact with the store, `None` during an outage.
    pub fn contact(&self, now: Duration) -> Option<Contact> {
        self.0.lock().link.contact(now)
    }

    /// Returns until when target entries that vanish are kept, given the contacts of the peers.
    pub fn keep_until(&self, peers: impl Iterator<Item = Contact>, now: Duration) -> Duration {
        self.0.lock().link.keep_until(peers, now)
    }
}
