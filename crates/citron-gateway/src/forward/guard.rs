//! Reports the end of an attempt, however it ends.

use std::{sync::Arc, time::Duration};

use citron::gray::{Choice, Verdict};

use crate::shared::Shared;

/// An attempt in flight; dropping it reports its end to the shared state.
#[derive(Debug)]
pub struct AttemptGuard {
    shared: Arc<Shared>,
    choice: Choice,
    started_at: Duration,
    /// When the attempt becomes overdue.
    overdue_at: Duration,
    verdict: Option<Verdict>,
    ended: bool,
}

impl AttemptGuard {
    /// Starts an attempt that is overdue after `overdue_after` without a response.
    pub(super) fn start(shared: &Arc<Shared>, choice: Choice, overdue_after: Duration) -> Self {
        let started_at = shared.clock.now();
        Self {
            shared: Arc::clone(shared),
            choice,
            started_at,
            overdue_at: started_at + overdue_after,
            verdict: None,
            ended: false,
        }
    }

    /// Returns the chosen target with the facts behind the choice.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns how long the attempt has taken so far.
    pub fn elapsed(&self) -> Duration {
        self.shared.clock.now().saturating_sub(self.started_at)
    }

    /// Records how the attempt ended, `None` if its end says nothing about the target; replaces an
    /// earlier verdict.
    pub fn end(&mut self, verdict: Option<Verdict>) {
        self.verdict = verdict;
        self.ended = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let overdue = !self.ended && self.choice.had_free_slot() && now > self.overdue_at;
        let verdict = if overdue { Some(Verdict::Overdue) } else { self.verdict };
        self.shared.end_attempt(&self.choice.target, verdict, now.saturating_sub(self.started_at));
    }
}
