//! A coordinator's record of one target.

use std::time::Duration;

use super::super::{
    DetectionParams, Score, Verdict,
    joint_score::JointScore,
    score::{FailureRate, decay_factor},
};

/// Time after which a trial passes if there is no evidence against the target.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(60);
/// Time in use after which the next ejection counts as the first again.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(600);
/// Fraction of the ejection score at which a trial fails.
const TRIAL_FAILURE_FRACTION: f64 = 1.0 / 3.0;

/// The evidence, the phase and the last verdict of a target.
#[derive(Debug, Default)]
pub(super) struct TargetRecord {
    listed: bool,
    leaving: bool,
    pub(super) slow: JointScore,
    pub(super) fail: JointScore,
    pub(super) rate: FailureRate,
    pub(super) phase: Phase,
    pub(super) verdict: Option<Verdict>,
    pub(super) rank: u32,
    ejection_count: u32,
    phase_started: Duration,
}

/// Whether a target is in use, ejected or on trial.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub(super) enum Phase {
    /// The target gets requests.
    #[default]
    InUse,
    /// The target gets no requests before a trial at `until`.
    Ejected { until: Duration },
    /// The target gets a few requests; `score` is their evidence, `until` the end of the trial.
    Trial { score: Score, until: Duration },
}

impl TargetRecord {
    pub(super) fn mark_unlisted(&mut self) {
        self.listed = false;
    }

    pub(super) fn mark_listed(&mut self, leaving: bool, now: Duration) {
        self.listed = true;
        self.leaving = leaving;
        if self.phase_started == Duration::ZERO {
            self.phase_started = now;
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

    /// Adds evidence to the score that counts in the current phase.
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
            Phase::Trial { score: trial_score, .. } => {
                trial_score.slow += score.slow * trust;
                trial_score.fail += score.fail * trust;
            }
            // Evidence that arrives now is from attempts that were in flight at the ejection.
            Phase::Ejected { .. } => {}
        }
    }

    /// Decays earlier evidence and applies that of the last `elapsed`.
    pub(super) fn update_scores(&mut self, params: &DetectionParams, elapsed: Duration) {
        for score in [&mut self.slow, &mut self.fail] {
            score.decay(decay_factor(elapsed));
            score.apply_pending(params, elapsed);
        }
        self.rate.decay(elapsed);
    }

    /// Ejects the target, for twice as long with each ejection up to the maximum.
    pub(super) fn eject(&mut self, rank: u32, params: &DetectionParams, now: Duration) {
        if self.phase == Phase::InUse && now >= self.phase_started + BACKOFF_RESET_AFTER {
            self.ejection_count = 0;
        }
        let factor = 1u32 << self.ejection_count.min(16);
        let ejection_time =
            params.base_ejection_time.saturating_mul(factor).min(params.max_ejection_time);
        self.ejection_count += 1;
        self.rank = rank;
        self.enter_phase(Phase::Ejected { until: now + ejection_time }, now);
    }

    /// Ends an ejection or a trial that is over; returns the reason for the new verdict.
    pub(super) fn advance(
        &mut self,
        params: &DetectionParams,
        now: Duration,
    ) -> Option<&'static str> {
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                self.enter_phase(
                    Phase::Trial { score: Score::default(), until: now + MAX_TRIAL_TIME },
                    now,
                );
                Some("trial")
            }
            Phase::Trial { score, until } => self.evaluate_trial(score, until, params, now),
            _ => None,
        }
    }

    fn evaluate_trial(
        &mut self,
        score: Score,
        until: Duration,
        params: &DetectionParams,
        now: Duration,
    ) -> Option<&'static str> {
        if score.worst() >= params.ejection_score * TRIAL_FAILURE_FRACTION {
            self.eject(self.rank, params, now);
            return Some("trial failed");
        }
        let passed = score.worst() <= -params.trial_pass_score;
        let expired_without_failure = now >= until && score.worst() <= 0.0;
        if passed || expired_without_failure {
            self.enter_phase(Phase::InUse, now);
            return Some("trial passed");
        }
        None
    }

    /// Creates the verdict for the current phase, with the next epoch.
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

    /// Applies a verdict if it replaces the last one.
    pub(super) fn apply_verdict(
        &mut self,
        verdict: &Verdict,
        params: &DetectionParams,
        now: Duration,
    ) {
        if self.verdict.as_ref().is_some_and(|known| !verdict.replaces(known)) {
            return;
        }
        self.rank = verdict.rank;
        if verdict.ejected {
            self.eject(verdict.rank, params, now);
        } else if verdict.trial {
            self.enter_phase(
                Phase::Trial { score: Score::default(), until: now + MAX_TRIAL_TIME },
                now,
            );
        } else {
            self.enter_phase(Phase::InUse, now);
        }
        self.verdict = Some(verdict.clone());
    }

    /// Whether the last verdict is still sent again.
    pub(super) fn is_repeated(&self, now: Duration, return_repeat_period: Duration) -> bool {
        self.phase != Phase::InUse || now < self.phase_started + return_repeat_period
    }

    pub(super) fn is_retained(&self, now: Duration, unlisted_retention: Duration) -> bool {
        self.listed || self.phase != Phase::InUse || now < self.phase_started + unlisted_retention
    }

    fn enter_phase(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.phase_started = now;
        self.slow.clear();
        self.fail.clear();
    }
}
