//! One gateway's view of all targets: beliefs, own load, and which target comes next.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::Rng;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Candidate, Eligibility, FailureEstimate, NoCapacity, REPORT_THRESHOLD, SUSPECT_THRESHOLD,
    Verdict, choose, no_capacity,
};
use crate::catalog::{Catalog, Target};

/// How long a target that shed is held back.
const SHED_BACKOFF: Duration = Duration::from_millis(250);
/// The time between the starts of two tests of a doubted target.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1000);
/// The least time from a failure of a doubted target to its next test.
const TRIAL_DELAY_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// The same from an answer, so that a target which has recovered is soon proven.
const TRIAL_DELAY_AFTER_SUCCESS: Duration = Duration::from_millis(50);
/// How much later each further gateway tests a target that the ones before it did not test, for
/// want of a request or because they are gone.
const TRIAL_STAGGER: Duration = Duration::from_millis(250);

/// How long another gateway's load counts without a new report.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(1200);

/// A target's identity as load reports carry it.
pub type TargetKey = u32;

/// Requests of one gateway at targets, as it reports them.
pub type Load = SmallVec<[(TargetKey, u32); 16]>;

/// What is known about the targets besides their entries.
#[derive(Debug)]
pub struct View {
    domain: Arc<str>,
    states: HashMap<Arc<str>, State>,
    loads: HashMap<Arc<str>, (Duration, Load)>,
}

#[derive(Debug)]
struct State {
    born_ms: u64,
    /// What all gateways know of the target.
    estimate: FailureEstimate,
    /// What this gateway knows of its own path to the target.
    path_estimate: FailureEstimate,
    in_flight: u32,
    shed_backoff_until: Duration,
    /// When the newest attempt that is known of began; an outcome may come long after that.
    last_attempt_at: Duration,
    /// Whether the last outcome was an answer.
    last_succeeded: bool,
    /// Whether another target has answered at its address.
    misdirected: bool,
}

/// What an attempt needs.
#[derive(Debug, Copy, Clone)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The targets that the request was sent to before.
    pub tried: &'a [Arc<str>],
    /// What it asks of its target.
    pub eligibility: Eligibility,
}

/// The target chosen for an attempt, with what decided it.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// The probability that it is sick or out of reach.
    pub failure_probability: f64,
    /// The age of what is known about it, if anything was heard.
    pub age: Option<Duration>,
    /// The number of targets that it was chosen from.
    pub candidates: usize,
    /// The requests at the target that all gateways report.
    pub in_flight: u32,
    /// The revision of the list that named it.
    pub revision: u64,
}

impl Choice {
    /// Returns true if the target had a slot free, as far as is known.
    pub fn had_free_slot(&self) -> bool {
        self.in_flight < self.target.slots
    }
}

/// Returns a target's identity for load reports.
pub fn target_key(id: &str) -> TargetKey {
    xxh3_64(id.as_bytes()) as TargetKey
}

impl View {
    /// Creates the view of a gateway in `domain`.
    pub fn new(domain: &str) -> Self {
        Self { domain: Arc::from(domain), states: HashMap::new(), loads: HashMap::new() }
    }

    /// Chooses a target that meets `need` and counts the attempt as begun.
    ///
    /// A request that may test is sent to the doubted target whose test is due for longest.
    /// `trial_rank` counts the gateways that are to test a target before this one.
    ///
    /// # Errors
    /// Fails if no target meets the need, or a new request finds every sound target crowded.
    pub fn begin_attempt(
        &mut self,
        catalog: &Catalog,
        criteria: Criteria<'_>,
        trial_rank: impl Fn(&Target) -> usize,
        rng: &mut impl Rng,
        now: Duration,
    ) -> Result<Choice, NoCapacity> {
        let Criteria { service, tried, eligibility } = criteria;
        let targets: Vec<&Target> = catalog
            .serving(service)
            .filter(|target| !tried.contains(&target.id))
            .filter(|target| !self.states.get(&target.id).is_some_and(|s| s.is_misdirected(target)))
            .collect();
        let candidates: Vec<Candidate> = targets
            .iter()
            .map(|target| {
                let mut candidate = self.candidate(catalog, target, now);
                if eligibility.allows_trial()
                    && candidate.needs_trial()
                    && candidate.own_in_flight == 0
                {
                    candidate.trial_due_for = self.trial_due_for(target, &trial_rank, now);
                }
                candidate
            })
            .collect();
        let nothing = NoCapacity { candidates: candidates.len(), healthy: 0 };
        let index = choose(&candidates, eligibility, rng).ok_or(nothing)?;
        // One that was sent before goes on: it may be in time yet, and a refusal would be late.
        let is_new = tried.is_empty() && eligibility != Eligibility::FreeSlot;
        if is_new
            && candidates[index].trial_due_for.is_none()
            && let Some(saturated) = no_capacity(&candidates)
        {
            return Err(saturated);
        }
        let state = self.state(targets[index], now);
        state.in_flight += 1;
        state.last_attempt_at = now;
        Ok(Choice {
            target: targets[index].clone(),
            failure_probability: candidates[index].failure_probability,
            age: state.estimate.age(now),
            candidates: candidates.len(),
            in_flight: candidates[index].load.0,
            revision: catalog.revision(),
        })
    }

    /// Takes how an attempt ended, `None` if that says nothing about the target; returns true if
    /// the other gateways should be told.
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

    /// Takes what another gateway reports about a target, from an attempt that took `took`.
    pub fn apply_peer_outcome(
        &mut self,
        target: &Target,
        verdict: Verdict,
        took: Duration,
        now: Duration,
    ) {
        let weight = match verdict {
            Verdict::Served | Verdict::Failed => 1.0,
            Verdict::Late => return,
            Verdict::Shed | Verdict::Overdue => 0.5,
            // May come from the other gateway's path.
            Verdict::Silent | Verdict::Unreachable => 0.4,
        };
        let state = self.state(target, now);
        state.last_attempt_at = state.last_attempt_at.max(now.saturating_sub(took));
        state.observe(verdict, weight, now);
    }

    /// Takes the requests that another gateway has at targets.
    pub fn apply_peer_load(&mut self, host: &Arc<str>, load: Load, now: Duration) {
        self.loads.insert(Arc::clone(host), (now, load));
    }

    /// Returns this gateway's requests at targets.
    pub fn load(&self) -> Load {
        let loaded = self.states.iter().filter(|(_, state)| state.in_flight > 0);
        let mut load: Load = loaded.map(|(id, state)| (target_key(id), state.in_flight)).collect();
        load.sort_unstable();
        load
    }

    /// Takes that another target answered at the address of `target`.
    pub fn mark_misdirected(&mut self, target: &Target, now: Duration) {
        self.state(target, now).misdirected = true;
    }

    /// Forgets the targets that are no longer listed and carry no request.
    pub fn retain(&mut self, catalog: &Catalog) {
        self.states.retain(|id, state| state.in_flight > 0 || catalog.get(id).is_some());
    }

    /// Forgets the loads that have not been reported again.
    pub fn expire(&mut self, now: Duration) {
        self.loads.retain(|_, (at, _)| now.saturating_sub(*at) < LOAD_REPORT_TTL);
    }

    /// Returns the probability that a target is sick or out of reach.
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

    /// Returns how long this gateway's test of a target has been due, if it is.
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
        // A test of another gateway may still be under way.
        if rank > 0 && self.peer_in_flight(&target.id, now) > 0 {
            return None;
        }
        due_for.checked_sub(TRIAL_STAGGER * rank as u32)
    }

    /// Returns the requests that other gateways have at a target.
    fn peer_in_flight(&self, id: &str, now: Duration) -> u32 {
        let key = target_key(id);
        let fresh = self.loads.values().filter(|(at, _)| now.saturating_sub(*at) < LOAD_REPORT_TTL);
        fresh
            .flat_map(|(_, load)| load)
            .filter(|(k, _)| *k == key)
            .map(|(_, in_flight)| in_flight)
            .sum()
    }

    fn candidate(&self, catalog: &Catalog, target: &Target, now: Duration) -> Candidate {
        let state = self.states.get(&target.id).filter(|s| s.born_ms == target.born_ms);
        Candidate {
            failure_probability: state.map_or_else(
                || FailureEstimate::new(now).probability(now),
                |state| state.failure_probability(now),
            ),
            load: (
                state.map_or(0, |s| s.in_flight) + self.peer_in_flight(&target.id, now),
                target.slots,
            ),
            own_in_flight: state.map_or(0, |state| state.in_flight),
            same_domain: target.domain == self.domain,
            warming: target.warmup_ms > 0,
            lapsed: catalog.is_lapsed(&target.id),
            recently_shed: state.is_some_and(|state| now < state.shed_backoff_until),
            trial_due_for: None,
        }
    }

    /// Returns the state of a target's lifetime; an earlier lifetime is forgotten.
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
