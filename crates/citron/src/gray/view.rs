//! One gateway's view of all targets: failure estimates, load, and the choice of a target.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::Rng;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Candidate, Eligibility, FailureEstimate, NoCapacity, PeerLoad, Places, REPORT_THRESHOLD,
    SUSPECT_THRESHOLD, Verdict, choose, no_capacity, places,
};
use crate::{
    catalog::{Catalog, Target},
    position::Position,
    target_limit::Limits,
};

/// How long a target that shed a request is less likely to be chosen.
const SHED_BACKOFF: Duration = Duration::from_millis(250);
/// The least time between the starts of two trials of a target while they do not succeed.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1000);
/// The least time from a failure of a target that needs trials to its next trial.
const TRIAL_DELAY_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// The same after a success; short, so that a target that has recovered is cleared soon.
const TRIAL_DELAY_AFTER_SUCCESS: Duration = Duration::from_millis(50);
/// The additional delay per rank of a gateway before it sends a trial that the gateways ahead of
/// it have not sent, because they had no suitable request or are gone.
const TRIAL_STAGGER: Duration = Duration::from_millis(250);

/// How long nothing was sent to a target before a request that cannot be retried may be its trial.
/// Requests that can be retried test it three times as often.
const LATE_TRIAL_INTERVAL: Duration = Duration::from_millis(3000);
/// The failure probability above which such a request is not risked.
const LATE_TRIAL_PROBABILITY_MAX: f64 = 0.4;
/// The same while fewer targets than [`IN_USE_SHARE_MIN`] of the service are in use.
const LATE_TRIAL_PROBABILITY_MAX_FEW_IN_USE: f64 = 0.65;
/// The share of a service's targets that should be in use, a little above the floor that the platform
/// asks for.
const IN_USE_SHARE_MIN: f64 = 0.75;

/// A target's identity in load reports, a hash of its id.
pub type TargetKey = u32;

/// The requests that one gateway has in flight, by target.
pub type Load = SmallVec<[(TargetKey, u32); 16]>;

/// What one gateway knows about the targets beyond their catalog entries.
#[derive(Debug)]
pub struct View {
    domain: Arc<str>,
    states: HashMap<Arc<str>, State>,
    /// The limits that the targets name.
    pub limits: Limits,
    peer_load: PeerLoad,
}

#[derive(Debug)]
struct State {
    born_ms: u64,
    /// The estimate from the outcomes of all gateways.
    estimate: FailureEstimate,
    /// The estimate for this gateway's own path to the target.
    path_estimate: FailureEstimate,
    in_flight: u32,
    shed_backoff_until: Duration,
    /// Until when the target wants no requests from this gateway.
    paused_until: Duration,
    /// When the latest known attempt started; its outcome may arrive much later.
    last_attempt_at: Duration,
    /// Whether the last outcome was [`Verdict::Served`].
    last_succeeded: bool,
    /// Whether another target responded at its address.
    misdirected: bool,
}

/// What an attempt requires of its target.
#[derive(Debug, Copy, Clone)]
pub struct Criteria<'a> {
    /// The service that it must provide.
    pub service: &'a str,
    /// The targets that the request was already sent to; they are excluded.
    pub tried: &'a [Arc<str>],
    /// The only targets that it may be sent to, all if empty.
    pub only: &'a [Arc<str>],
    /// Which of the remaining targets are eligible.
    pub eligibility: Eligibility,
}

/// The target chosen for an attempt, with the facts behind the choice.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// The probability that it is failing or unreachable.
    pub failure_probability: f64,
    /// The time since its last observation, if there was any.
    pub age: Option<Duration>,
    /// The number of targets that it was chosen from.
    pub candidates: usize,
    /// The requests that all gateways had in flight at the target.
    pub in_flight: u32,
    /// The position of the target list that it was chosen from.
    pub position: Position,
    /// Whether its entry had lapsed and was only kept for a grace period.
    pub lapsed: bool,
}

impl Choice {
    /// Returns true if the target had a free slot according to the load reports.
    pub fn had_free_slot(&self) -> bool {
        self.in_flight < self.target.slots
    }
}

/// Returns the key of a target in load reports.
pub fn target_key(id: &str) -> TargetKey {
    xxh3_64(id.as_bytes()) as TargetKey
}

impl View {
    /// Creates the view of a gateway in `domain`.
    pub fn new(domain: &str) -> Self {
        Self {
            domain: Arc::from(domain),
            states: HashMap::new(),
            limits: Limits::default(),
            peer_load: PeerLoad::default(),
        }
    }

    /// Chooses a target that meets `criteria` and counts the attempt as in flight.
    ///
    /// A request that may be a trial goes to the target whose trial has been due the longest.
    /// `trial_rank` returns how many gateways come before this one in sending trials to a target.
    ///
    /// # Errors
    /// Fails if no target meets the criteria, or if the request is new and every healthy target
    /// is saturated.
    pub fn begin_attempt(
        &mut self,
        catalog: &Catalog,
        criteria: Criteria<'_>,
        trial_rank: impl Fn(&Target) -> usize,
        rng: &mut impl Rng,
        now: Duration,
    ) -> Result<Choice, NoCapacity> {
        let Criteria { service, tried, only, eligibility } = criteria;
        self.peer_load.expire(now);
        let available = self.available(catalog, service, now);
        let may_serve = |target: &Target| only.is_empty() || only.contains(&target.id);
        let targets: Vec<&Target> =
            available.filter(|target| !tried.contains(&target.id) && may_serve(target)).collect();
        let mut candidates: Vec<Candidate> =
            targets.iter().map(|target| self.candidate(catalog, target, now)).collect();
        let in_use = candidates.iter().filter(|candidate| !candidate.needs_trial()).count();
        let few_in_use = (in_use as f64) < candidates.len() as f64 * IN_USE_SHARE_MIN;
        for (candidate, target) in candidates.iter_mut().zip(&targets) {
            if eligibility.allows_trial()
                && candidate.needs_trial()
                && candidate.own_in_flight == 0
                && self.may_try(target, eligibility, few_in_use, now)
            {
                candidate.trial_due_for = self.trial_due_for(target, &trial_rank, now);
            }
        }
        let nothing = NoCapacity { candidates: candidates.len(), healthy: 0 };
        let index = choose(&candidates, eligibility, rng).ok_or(nothing)?;
        // A retry or hedge is not refused: it may still finish in time, while a refusal now would
        // come late.
        let is_new = tried.is_empty() && eligibility != Eligibility::FreeSlot;
        if is_new
            && candidates[index].trial_due_for.is_none()
            && let Some(saturated) = no_capacity(&candidates)
        {
            return Err(saturated);
        }
        self.limits.record_request(&targets[index].id, now);
        let state = self.state(targets[index], now);
        state.in_flight += 1;
        state.last_attempt_at = now;
        Ok(Choice {
            target: targets[index].clone(),
            failure_probability: candidates[index].failure_probability,
            age: state.estimate.age(now),
            candidates: candidates.len(),
            in_flight: candidates[index].load.0,
            position: catalog.position(),
            lapsed: candidates[index].lapsed,
        })
    }

    /// Returns how many further requests the targets of a service have room for.
    pub fn places(&self, catalog: &Catalog, service: &str, now: Duration) -> Places {
        let available = self.available(catalog, service, now);
        places(&available.map(|target| self.candidate(catalog, target, now)).collect::<Vec<_>>())
    }

    /// Returns the targets of a service that may receive requests now.
    fn available<'c>(
        &self,
        catalog: &'c Catalog,
        service: &'c str,
        now: Duration,
    ) -> impl Iterator<Item = &'c Target> {
        catalog
            .serving(service, now)
            .filter(|target| !self.states.get(&target.id).is_some_and(|s| s.is_misdirected(target)))
            .filter(move |target| self.available_at(target, now) <= now)
    }

    /// Records how an attempt ended, `None` if its end says nothing about the target; returns true
    /// if the outcome should be reported to the peers.
    pub fn end_attempt(
        &mut self,
        target: &Target,
        verdict: Option<Verdict>,
        now: Duration,
    ) -> bool {
        let state = self.state(target, now);
        state.in_flight = state.in_flight.saturating_sub(1);
        let Some(verdict) = verdict.filter(|&verdict| verdict != Verdict::Late) else {
            return false;
        };
        if verdict.may_be_path_failure() || verdict == Verdict::Served {
            state.path_estimate.observe(verdict, 1.0, now);
        }
        if verdict == Verdict::Unreachable {
            return false;
        }
        let was = state.estimate.probability(now);
        state.observe(verdict, 1.0, now);
        verdict != Verdict::Served || was > REPORT_THRESHOLD
    }

    /// Applies an outcome that a peer reports, of an attempt that took `took`.
    pub fn apply_peer_outcome(
        &mut self,
        target: &Target,
        verdict: Verdict,
        took: Duration,
        now: Duration,
    ) {
        let weight = match verdict {
            Verdict::Served | Verdict::Failed | Verdict::Reset => 1.0,
            Verdict::Late => return,
            Verdict::Shed | Verdict::Overdue => 0.5,
            // May be caused by the peer's network path.
            Verdict::Silent | Verdict::Unreachable => 0.4,
        };
        let state = self.state(target, now);
        state.last_attempt_at = state.last_attempt_at.max(now.saturating_sub(took));
        state.observe(verdict, weight, now);
    }

    /// Replaces the load report of a peer.
    pub fn apply_peer_load(&mut self, host: &Arc<str>, load: Load, now: Duration) {
        self.peer_load.apply(host, load, now);
    }

    /// Returns the requests that this gateway has in flight, by target.
    pub fn load(&self) -> Load {
        let loaded = self.states.iter().filter(|(_, state)| state.in_flight > 0);
        let mut load: Load = loaded.map(|(id, state)| (target_key(id), state.in_flight)).collect();
        load.sort_unstable();
        load
    }

    /// Records that another target responded at the address of `target`; this incarnation of
    /// `target` is not chosen again.
    pub fn mark_misdirected(&mut self, target: &Target, now: Duration) {
        self.state(target, now).misdirected = true;
    }

    /// Sends the target no requests until `until`, as it asked this gateway for.
    pub fn pause(&mut self, target: &Target, until: Duration, now: Duration) {
        let state = self.state(target, now);
        state.paused_until = state.paused_until.max(until);
    }

    /// Returns when a target of the service may receive requests again if none may now and that is
    /// known.
    pub fn next_available(
        &self,
        catalog: &Catalog,
        service: &str,
        now: Duration,
    ) -> Option<Duration> {
        let available = catalog.serving(service, now).map(|target| self.available_at(target, now));
        available.min().filter(|at| *at > now && *at < Duration::MAX)
    }

    /// Returns from when on this gateway may send the target requests.
    fn available_at(&self, target: &Target, now: Duration) -> Duration {
        let state = self.states.get(&target.id).filter(|state| state.born_ms == target.born_ms);
        let paused_until = state.map_or(Duration::ZERO, |state| state.paused_until);
        paused_until.max(self.limits.available_at(&target.id, target.born_ms, now))
    }

    /// Removes the state of targets that are no longer listed and have no request in flight.
    pub fn retain(&mut self, catalog: &Catalog) {
        self.states.retain(|id, state| state.in_flight > 0 || catalog.get(id).is_some());
        self.limits.retain(|id| catalog.get(id).is_some());
    }

    /// Removes load reports that have expired.
    pub fn expire(&mut self, now: Duration) {
        self.peer_load.expire(now);
    }

    /// Returns the probability that a target is failing or unreachable, 0 if it is unknown.
    pub fn failure_probability(&self, id: &str, now: Duration) -> f64 {
        self.states.get(id).map_or(0.0, |state| state.failure_probability(now))
    }

    /// Returns the number of targets that are suspected.
    pub fn suspected_count(&self, now: Duration) -> usize {
        self.states
            .values()
            .filter(|state| state.failure_probability(now) > SUSPECT_THRESHOLD)
            .count()
    }

    /// Returns true if a request of this eligibility may be a trial of a target that needs one.
    /// `few_in_use` tells whether few targets of the service are in use.
    fn may_try(
        &self,
        target: &Target,
        eligibility: Eligibility,
        few_in_use: bool,
        now: Duration,
    ) -> bool {
        let Some(state) = self.states.get(&target.id) else { return false };
        if eligibility != Eligibility::LateTrial {
            return true;
        }
        let is_late = now.saturating_sub(state.last_attempt_at) >= LATE_TRIAL_INTERVAL;
        let probability_max = match few_in_use {
            true => LATE_TRIAL_PROBABILITY_MAX_FEW_IN_USE,
            false => LATE_TRIAL_PROBABILITY_MAX,
        };
        (is_late || state.last_succeeded) && state.failure_probability(now) <= probability_max
    }

    /// Returns how long this gateway's next trial request to a target has been due, if it is.
    fn trial_due_for(
        &self,
        target: &Target,
        trial_rank: impl Fn(&Target) -> usize,
        now: Duration,
    ) -> Option<Duration> {
        let state = self.states.get(&target.id)?;
        let delay = if state.last_succeeded {
            TRIAL_DELAY_AFTER_SUCCESS
        } else {
            TRIAL_DELAY_AFTER_FAILURE
        };
        let due_for = state.estimate.age(now).unwrap_or(Duration::MAX).checked_sub(delay)?;
        let since_attempt = now.saturating_sub(state.last_attempt_at);
        let due_for = match state.last_succeeded {
            true => due_for,
            false => due_for.min(since_attempt.checked_sub(TRIAL_INTERVAL)?),
        };
        let rank = trial_rank(target);
        // The request of a peer may be a trial that is still in flight.
        if rank > 0 && self.peer_load.in_flight(target_key(&target.id)) > 0 {
            return None;
        }
        due_for.checked_sub(TRIAL_STAGGER * rank as u32)
    }

    fn candidate(&self, catalog: &Catalog, target: &Target, now: Duration) -> Candidate {
        let state = self.states.get(&target.id).filter(|s| s.born_ms == target.born_ms);
        let own_in_flight = state.map_or(0, |state| state.in_flight);
        let peers_in_flight = self.peer_load.in_flight(target_key(&target.id));
        Candidate {
            failure_probability: state.map_or_else(
                || FailureEstimate::new(now).probability(now),
                |state| state.failure_probability(now),
            ),
            load: (own_in_flight.saturating_add(peers_in_flight), target.slots),
            own_in_flight,
            same_domain: target.domain == self.domain,
            warming: target.warmup_ms > 0,
            lapsed: catalog.is_lapsed(&target.id),
            recently_shed: state.is_some_and(|state| now < state.shed_backoff_until),
            trial_due_for: None,
        }
    }

    /// Returns the state of a target's incarnation, replacing that of an earlier one.
    fn state(&mut self, target: &Target, now: Duration) -> &mut State {
        let state =
            self.states.entry(Arc::clone(&target.id)).or_insert_with(|| State::new(target, now));
        if state.born_ms < target.born_ms {
            *state = State::new(target, now);
        }
        state
    }
}

impl State {
    fn new(target: &Target, now: Duration) -> Self {
        Self {
            born_ms: target.born_ms,
            estimate: FailureEstimate::new(now),
            path_estimate: FailureEstimate::new(now),
            in_flight: 0,
            shed_backoff_until: Duration::ZERO,
            paused_until: Duration::ZERO,
            last_attempt_at: Duration::ZERO,
            last_succeeded: false,
            misdirected: false,
        }
    }

    fn observe(&mut self, verdict: Verdict, weight: f64, now: Duration) {
        self.estimate.observe(verdict, weight, now);
        self.last_succeeded = verdict == Verdict::Served;
        if verdict == Verdict::Shed {
            self.shed_backoff_until = now + SHED_BACKOFF;
        }
    }

    fn failure_probability(&self, now: Duration) -> f64 {
        let (estimate, path) =
            (self.estimate.probability(now), self.path_estimate.probability(now));
        estimate.max(path)
    }

    fn is_misdirected(&self, target: &Target) -> bool {
        self.misdirected && self.born_ms == target.born_ms
    }
}
