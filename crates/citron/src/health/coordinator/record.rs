//! What a coordinator knows of one target.

use std::time::Duration;

use super::super::{
    Score, Tuning, Verdict,
    pool::Pool,
    score::{Rate, fading},
};

/// How long a trial without evidence against the target lasts at most.
const TRIAL_LIMIT: Duration = Duration::from_secs(60);
/// How long a target must stay in use before an ejection counts as its first one again.
const FORGIVEN: Duration = Duration::from_secs(600);
/// The part of the ejection threshold at which a trial fails.
const TRIAL_FAILS: f64 = 1.0 / 3.0;

/// The evidence, the phase and the last verdict of a target.
#[derive(Debug, Default)]
pub(super) struct Record {
    listed: bool,
    leaving: bool,
    pub(super) slow: Pool,
    pub(super) fail: Pool,
    pub(super) rate: Rate,
    pub(super) phase: Phase,
    pub(super) verdict: Option<Verdict>,
    pub(super) rank: u32,
    strikes: u32,
    changed: Duration,
}

/// Where a target stands.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub(super) enum Phase {
    /// Gets requests.
    #[default]
    InUse,
    /// Gets none until a time.
    Ejected { until: Duration },
    /// Gets a trickle; holds the evidence of the trial and its end.
    Trial { score: Score, until: Duration },
}

impl Record {
    pub(super) fn mark_unlisted(&mut self) {
        self.listed = false;
    }

    pub(super) fn mark_listed(&mut self, leaving: bool, now: Duration) {
        self.listed = true;
        self.leaving = leaving;
        if self.changed == Duration::ZERO {
            self.changed = now;
        }
    }

    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether the target is listed, not leaving and not ejected or on trial.
    pub(super) fn is_in_use(&self) -> bool {
        self.listed && !self.leaving && self.phase == Phase::InUse
    }

    /// Whether the target is listed, not leaving, and ejected or on trial.
    pub(super) fn is_out(&self) -> bool {
        self.listed && !self.leaving && self.phase != Phase::InUse
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Adds evidence to what counts in the present phase.
    pub(super) fn add_evidence(
        &mut self,
        score: Score,
        trust: f64,
        observer: usize,
        domain: usize,
    ) {
        match &mut self.phase {
            Phase::InUse => {
                self.slow.add(observer, domain, score.slow * trust);
                self.fail.add(observer, domain, score.fail * trust);
            }
            Phase::Trial { score: sum, .. } => {
                sum.slow += score.slow * trust;
                sum.fail += score.fail * trust;
            }
            // What arrives now was in flight when the target was ejected.
            Phase::Ejected { .. } => {}
        }
    }

    /// Lets earlier evidence fade and takes in that of the last `elapsed`.
    pub(super) fn settle(&mut self, tuning: &Tuning, elapsed: Duration) {
        for pool in [&mut self.slow, &mut self.fail] {
            pool.fade(fading(elapsed));
            pool.settle(tuning, elapsed);
        }
        self.rate.fade(elapsed);
    }

    pub(super) fn eject(&mut self, rank: u32, tuning: &Tuning, now: Duration) {
        if self.phase == Phase::InUse && now >= self.changed + FORGIVEN {
            self.strikes = 0;
        }
        let factor = 1u32 << self.strikes.min(16);
        let hold = tuning.hold_off.saturating_mul(factor).min(tuning.hold_off_limit);
        self.strikes += 1;
        self.rank = rank;
        self.enter(Phase::Ejected { until: now + hold }, now);
    }

    /// Moves on from an ejection or a trial that is over and returns why.
    pub(super) fn advance(&mut self, tuning: &Tuning, now: Duration) -> Option<&'static str> {
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                self.enter(Phase::Trial { score: Score::default(), until: now + TRIAL_LIMIT }, now);
                Some("trial")
            }
            Phase::Trial { score, until } => self.judge_trial(score, until, tuning, now),
            _ => None,
        }
    }

    fn judge_trial(
        &mut self,
        score: Score,
        until: Duration,
        tuning: &Tuning,
        now: Duration,
    ) -> Option<&'static str> {
        if score.worst() >= tuning.eject * TRIAL_FAILS {
            self.eject(self.rank, tuning, now);
            return Some("trial failed");
        }
        let proven = score.worst() <= -tuning.trial_proof;
        let harmless = now >= until && score.worst() <= 0.0;
        if proven || harmless {
            self.enter(Phase::InUse, now);
            return Some("trial passed");
        }
        None
    }

    /// Makes a new verdict of the present phase.
    pub(super) fn issue(
        &mut self,
        target: &str,
        service: &str,
        coordinator: &str,
        reason: &str,
    ) -> Verdict {
        let epoch = self.verdict.as_ref().map_or(0, |verdict| verdict.epoch) + 1;
        let verdict = Verdict {
            target: target.to_owned(),
            service: service.to_owned(),
            ejected: matches!(self.phase, Phase::Ejected { .. }),
            trial: matches!(self.phase, Phase::Trial { .. }),
            epoch,
            coordinator: coordinator.to_owned(),
            reason: reason.to_owned(),
            rank: self.rank,
        };
        self.verdict = Some(verdict.clone());
        verdict
    }

    /// Follows a verdict that replaces the last one.
    pub(super) fn apply_verdict(&mut self, verdict: &Verdict, tuning: &Tuning, now: Duration) {
        if self.verdict.as_ref().is_some_and(|known| !verdict.replaces(known)) {
            return;
        }
        self.rank = verdict.rank;
        if verdict.ejected {
            self.eject(verdict.rank, tuning, now);
        } else if verdict.trial {
            self.enter(Phase::Trial { score: Score::default(), until: now + TRIAL_LIMIT }, now);
        } else {
            self.enter(Phase::InUse, now);
        }
        self.verdict = Some(verdict.clone());
    }

    /// Whether the last verdict is still worth repeating.
    pub(super) fn repeats(&self, now: Duration, returned: Duration) -> bool {
        self.phase != Phase::InUse || now < self.changed + returned
    }

    /// Whether the record is still needed.
    pub(super) fn is_kept(&self, now: Duration, unlisted: Duration) -> bool {
        self.listed || self.phase != Phase::InUse || now < self.changed + unlisted
    }

    fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.changed = now;
        self.slow.clear();
        self.fail.clear();
    }
}
