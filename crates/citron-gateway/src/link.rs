//! Whether the store answers this gateway.

use std::time::Duration;

use parking_lot::Mutex;

/// The gateway's link to the store, over all its followers.
#[derive(Debug, Default)]
pub struct Link(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Followers whose last call failed.
    lost: u32,
    /// When the first of them failed, or when the last of them got an answer again.
    since: Duration,
    answered: bool,
}

impl Link {
    /// Takes that a follower's call failed for the first time.
    pub fn lose(&self, now: Duration) {
        let mut state = self.0.lock();
        if state.lost == 0 {
            state.since = now;
        }
        state.lost += 1;
    }

    /// Takes that a follower is answered again; returns when the link was lost if it is whole now.
    pub fn regain(&self, now: Duration) -> Option<Duration> {
        let mut state = self.0.lock();
        assert!(state.lost > 0, "a link must be lost before it is regained");
        state.lost -= 1;
        if state.lost > 0 {
            return None;
        }
        Some(std::mem::replace(&mut state.since, now))
    }

    /// Takes that the store answered.
    pub fn answer(&self, now: Duration) {
        let mut state = self.0.lock();
        if !state.answered {
            state.answered = true;
            state.since = now;
        }
    }

    /// Returns true if a follower's last call failed.
    pub fn is_lost(&self) -> bool {
        self.0.lock().lost > 0
    }

    /// Returns how long the store has not answered, zero if it does.
    pub fn silent_for(&self, now: Duration) -> Duration {
        let state = self.0.lock();
        if state.lost > 0 { now.saturating_sub(state.since) } else { Duration::ZERO }
    }

    /// Returns how long the store has answered without a break, zero if it does not.
    pub fn answers_for(&self, now: Duration) -> Duration {
        let state = self.0.lock();
        if state.lost > 0 || !state.answered {
            Duration::ZERO
        } else {
            now.saturating_sub(state.since)
        }
    }
}
