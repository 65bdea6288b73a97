//! Choices of targets for requests, and what their attempts and the targets themselves tell.

use std::{sync::Arc, time::Duration};

use citron::{
    attempt::RetryShare,
    catalog::Target,
    gray::{Choice, Criteria, NoCapacity, Places, Verdict},
    placement::Host,
    route::Route,
    statement::{Notice, Origin, Statement},
};
use citron_adapter::settings::Settings;

use super::Shared;
use crate::peer::message::Outcome;

/// The maximum number of outcomes that wait to be sent to the peers; further ones are dropped and
/// counted.
const PENDING_OUTCOMES_LIMIT: usize = 1024;

impl Shared {
    /// Returns the service for the next request of a route, by the weights of its backends; `None` if
    /// it has none.
    pub fn select_service(&self, route: &Route) -> Option<Arc<str>> {
        if let [backend] = route.backends.as_slice() {
            return Some(Arc::clone(&backend.service));
        }
        let mut splits = self.splits.lock();
        splits.entry(Arc::clone(&route.name)).or_default().next(route)
    }

    /// Chooses a target for an attempt and counts the attempt as in flight.
    ///
    /// # Errors
    /// Fails if no target meets the criteria, or if the request is new and every healthy target is
    /// saturated.
    pub fn begin_attempt(&self, criteria: Criteria<'_>) -> Result<Choice, NoCapacity> {
        let now = self.clock.now();
        let settings = self.settings();
        // Lock order: `gateways` before `targets`. Only a request that may be a trial needs both.
        let gateways = criteria.eligibility.allows_trial().then(|| self.gateways.lock());
        let trial_rank = |target: &Target| {
            gateways.as_ref().map_or(0, |gateways| {
                gateways.trial_rank(&settings.host, &settings.domain, target, now)
            })
        };
        self.targets.lock().begin_attempt(criteria, trial_rank, now)
    }

    /// Returns how many further requests the targets of a service have room for.
    pub fn places(&self, service: &str) -> Places {
        let targets = self.targets.lock();
        targets.view.places(&targets.catalog, service, self.clock.now())
    }

    /// Returns how long no target of a service may receive requests, zero if one may now.
    pub fn unavailable_for(&self, service: &str) -> Duration {
        let now = self.clock.now();
        let targets = self.targets.lock();
        let available_at = targets.view.next_available(&targets.catalog, service, now);
        available_at.map_or(Duration::ZERO, |at| at.saturating_sub(now))
    }

    /// Records what a target stated about itself beside a response.
    pub fn record_notice(&self, target: &Target, notice: Notice) {
        let now = self.clock.now();
        if let Some(pause) = notice.pause {
            let pause_ms = pause.as_millis();
            log::info!("event=target-paused target={} pause_ms={pause_ms}", target.id);
            self.targets.lock().view.pause(target, now.saturating_add(pause), now);
        }
        let statement = Statement {
            target: Arc::clone(&target.id),
            born_ms: target.born_ms,
            leaving: notice.leaving,
            limit_per_s: notice.limit_per_s,
            at: now,
        };
        if self.apply_statement(&statement, Origin::Target) {
            self.statements_added.notify_one();
        }
    }

    /// Applies what a target stated about itself to this gateway or to a peer; returns true if it
    /// says something new.
    pub fn apply_statement(&self, statement: &Statement, origin: Origin) -> bool {
        if !self.targets.lock().statements.apply(statement) {
            return false;
        }
        let now = self.clock.now();
        let settings = self.settings();
        let is_ready = self.is_ready();
        // Lock order: `gateways` before `targets`.
        let gateways = self.gateways.lock();
        let fleet = gateways.limit_fleet(own_host(&settings), is_ready, now);
        let applied = self.targets.lock().apply_statement(&statement.target, &fleet, now);
        if let Some(Statement { target, leaving, limit_per_s, .. }) = applied {
            let limit = limit_per_s.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            log::info!(
                "event=target-stated target={target} leaving={leaving} limit_per_s={limit} source={origin}"
            );
        }
        true
    }

    /// Computes this gateway's shares of the targets' limits anew if the fleet has changed.
    pub fn update_limits(&self) {
        if self.targets.lock().view.limits.is_empty() {
            return;
        }
        let now = self.clock.now();
        let settings = self.settings();
        let is_ready = self.is_ready();
        let gateways = self.gateways.lock();
        let fleet = gateways.limit_fleet(own_host(&settings), is_ready, now);
        self.targets.lock().update_limits(&fleet, now);
    }

    /// Records how an attempt ended after `took`, and queues the outcome for the peers if it should
    /// be reported to them.
    pub fn end_attempt(&self, target: &Target, verdict: Option<Verdict>, took: Duration) {
        let now = self.clock.now();
        let (notify_peers, failure_probability) = {
            let mut targets = self.targets.lock();
            let notify_peers = targets.view.end_attempt(target, verdict, now);
            (notify_peers, targets.view.failure_probability(&target.id, now))
        };
        self.waiting.notify();
        if let Some(verdict) = verdict {
            self.metrics.record_verdict(verdict.into(), "own");
        }
        let Some(verdict) = verdict.filter(|_| notify_peers) else { return };
        log::info!(
            "event=belief target={} verdict={verdict} sick={failure_probability:.3} source=own",
            target.id
        );
        let mut pending = self.pending_outcomes.lock();
        if pending.len() >= PENDING_OUTCOMES_LIMIT {
            self.metrics.outcomes_dropped.inc();
            return;
        }
        pending.push(Outcome {
            target: target.id.to_string(),
            born_ms: target.born_ms,
            verdict: u32::from(verdict as u8),
            took_ms: took.as_millis() as u32,
        });
        self.outcomes_added.notify_one();
    }

    /// Computes this host's share of the retry budgets anew.
    pub fn update_retry_share(&self) {
        let settings = self.settings();
        let sharer = self.gateways.lock().retry_sharer(&settings.host, self.clock.now());
        let share = sharer
            .map_or(RetryShare::NONE, |sharer| RetryShare::new(&settings.retry_bound, sharer));
        self.metrics.retry_share.set(share.burst);
        if self.budgets.set_share(share) {
            log::info!(
                "event=retry-share hosts={} burst={:.2} refill_per_s={:.3}",
                sharer.map_or(0, |sharer| sharer.hosts),
                share.burst,
                share.refill_per_s
            );
        }
    }
}

fn own_host(settings: &Settings) -> Host<'_> {
    Host { name: &settings.host, domain: &settings.domain }
}
