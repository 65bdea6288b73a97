//! Whether the store responds to this gateway.

use std::time::Duration;

use parking_lot::Mutex;

/// The gateway's link to the store, over all its followers.
#[derive(Debug, Default)]
pub struct StoreLink(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// The number of followers whose last call failed.
    failing_followers: u32,
    /// When the first of them failed, or when the last of them received a response again.
    since: Duration,
    /// Whether the store has ever responded.
    has_responded: bool,
}

impl StoreLink {
    /// Records that a follower's call failed after its previous one had not.
    pub fn record_failure(&self, now: Duration) {
        let mut state = self.0.lock();
        if state.failing_followers == 0 {
            state.since = now;
        }
        state.failing_followers += 1;
    }

    /// Records that a failing follower received a response; returns when the link went down if no
    /// follower is failing any more.
    pub fn record_recovery(&self, now: Duration) -> Option<Duration> {
        let mut state = self.0.lock();
        assert!(state.failing_followers > 0, "a follower must fail before it recovers");
        state.failing_followers -= 1;
        if state.failing_followers > 0 {
            return None;
        }
        Some(std::mem::replace(&mut state.since, now))
    }

    /// Records that the store responded.
    pub fn record_response(&self, now: Duration) {
        let mut state = self.0.lock();
        if !state.has_responded {
            state.has_responded = true;
            state.since = now;
        }
    }

    /// Returns true if the last call of any follower failed.
    pub fn is_down(&self) -> bool {
        self.0.lock().failing_followers > 0
    }

    /// Returns how long the link has been down, zero if it is up.
    pub fn down_for(&self, now: Duration) -> Duration {
        let state = self.0.lock();
        if state.failing_followers > 0 { now.saturating_sub(state.since) } else { Duration::ZERO }
    }

    /// Returns how long the store has responded without interruption, zero if it does not.
    pub fn up_for(&self, now: Duration) -> Duration {
        let state = self.0.lock();
        if state.failing_followers > 0 || !state.has_responded {
            Duration::ZERO
        } else {
            now.saturating_sub(state.since)
        }
    }
}
