//! The state that the tasks of a gateway share, each part under its own lock.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use citron::{
    attempt::RetryBudgetParams,
    catalog::{Catalog, Change, Snapshot, Source, Target},
    freshness::Freshness,
    gateways::Gateways,
    gray::{Choice, Criteria, NoCapacity, Verdict},
    placement::Host,
    poller::Member,
    position::Position,
    route::{Route, Split, Table},
    shutdown,
    statement::{Notice, Origin, Statement},
};
use citron_adapter::settings::Settings;
use citron_daemon::Clock;
use parking_lot::{Mutex, RwLock};
use tokio::{
    sync::{Notify, watch},
    time,
};

use crate::{
    budget::RetryBudgets,
    connection::Pool,
    memory::Memory,
    metrics::Metrics,
    peer::message::Outcome,
    store_link::StoreLink,
    targets::{self, Held, Targets},
};

/// How long an idle connection to a target stays in the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// The minimum number of hosts that the slack of a retry budget is divided by.
const HOSTS_MIN: usize = 8;
/// The maximum number of outcomes that wait to be sent to the peers; further ones are dropped and
/// counted.
const PENDING_OUTCOMES_LIMIT: usize = 1024;

/// The state of one gateway.
#[derive(Debug)]
pub struct Shared {
    /// The current settings.
    pub settings: RwLock<Arc<Settings>>,
    /// The process's clock.
    pub clock: Clock,
    /// When the process started, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The current routes, `None` until the first table arrives.
    pub routes: RwLock<Option<Arc<Table>>>,
    /// The targets and what is known about them.
    pub targets: Mutex<Targets>,
    /// The other gateways.
    pub gateways: Mutex<Gateways>,
    /// The memory for what callers and targets send.
    pub memory: Arc<Memory>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// The retry budgets, by service.
    pub budgets: RetryBudgets,
    /// Outcomes that have not been sent to the peers yet.
    pub pending_outcomes: Mutex<Vec<Outcome>>,
    /// Wakes the task that sends outcomes.
    pub outcomes_added: Notify,
    /// Wakes the task that repeats the targets' statements.
    pub statements_added: Notify,
    /// Wakes the task that reports this gateway's state.
    pub state_changed: Notify,
    /// Wakes all connections of callers when the shutdown begins.
    pub shutdown_started: Notify,
    splits: Mutex<HashMap<Arc<str>, Split>>,
    /// Until when requests may be in flight, once the shutdown has begun.
    serve_until: watch::Sender<Option<Duration>>,
    /// Whether what peers know was taken over, as far as there are any.
    has_joined: AtomicBool,
    /// Whether this gateway was ready when it last announced a change of its state.
    announced_ready: AtomicBool,
    /// Whether the store responds.
    pub link: StoreLink,
    /// The newest position of the store that any response named.
    pub store_position: watch::Sender<Position>,
    /// The latest era of the store that a response or a peer named.
    pub store_era: watch::Sender<u64>,
    /// Rises each time the settings name another address of the store.
    pub store_moves: watch::Sender<u64>,
    /// What the store's responses to this gateway confirm.
    pub freshness: Mutex<Freshness>,
    /// Wakes the follower of the routes when a peer has newer ones than its watch delivered.
    pub routes_overdue: Notify,
    /// Wakes the follower of the targets when a peer has a newer list than its watch delivered.
    pub targets_overdue: Notify,
    /// Wakes the task that pulls routes when a peer has newer ones.
    pub routes_behind: Notify,
    /// Wakes the task that pulls targets when a peer has a newer list.
    pub targets_behind: Notify,
    in_flight: AtomicUsize,
}

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Shared {
    /// Creates the state of a gateway that has no routes and targets yet.
    pub fn new(settings: Settings, clock: Clock, metrics: Metrics, seed: u64) -> Self {
        let targets = Targets::new(&settings.domain, seed);
        let memory = Memory::new(settings.memory_bytes);
        Self {
            settings: RwLock::new(Arc::new(settings)),
            clock,
            born_ms: clock.wall_ms(),
            metrics,
            routes: RwLock::default(),
            targets: Mutex::new(targets),
            gateways: Mutex::default(),
            memory,
            pool: Pool::new(POOL_IDLE_TIMEOUT),
            budgets: RetryBudgets::default(),
            pending_outcomes: Mutex::default(),
            outcomes_added: Notify::new(),
            statements_added: Notify::new(),
            state_changed: Notify::new(),
            shutdown_started: Notify::new(),
            splits: Mutex::default(),
            serve_until: watch::Sender::default(),
            has_joined: AtomicBool::new(false),
            announced_ready: AtomicBool::new(false),
            link: StoreLink::default(),
            store_position: watch::Sender::default(),
            store_era: watch::Sender::default(),
            store_moves: watch::Sender::default(),
            freshness: Mutex::default(),
            routes_overdue: Notify::new(),
            targets_overdue: Notify::new(),
            routes_behind: Notify::new(),
            targets_behind: Notify::new(),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read())
    }

    /// Stores the bound addresses, as the settings may leave the choice of a port to the OS.
    pub fn set_listen_addrs(&self, directory: SocketAddr, ready: SocketAddr, peers: SocketAddr) {
        let mut settings = self.settings.write();
        *settings = Arc::new(Settings { directory, ready, peers, ..(**settings).clone() });
    }

    /// Returns the current routes, if any are known.
    pub fn routes(&self) -> Option<Arc<Table>> {
        self.routes.read().clone()
    }

    /// Replaces the routes with a table from `source`; returns false without a change if its version
    /// is not newer.
    pub fn apply_routes(&self, table: Table, source: Source) -> bool {
        let version = table.version;
        let count = table.len();
        {
            let mut routes = self.routes.write();
            let current = routes.as_ref().map_or(0, |table| table.version);
            if version <= current {
                return false;
            }
            *routes = Some(Arc::new(table));
            log::info!(
                "event=routes-taken version={version} before={current} routes={count} source={source}"
            );
        }
        self.metrics.routes_version.set(version as i64);
        if source == Source::Peer {
            // Others that are behind have one more peer to pull from.
            self.state_changed.notify_one();
        }
        self.announce_if_first();
        true
    }

    /// Replaces the target list with a snapshot from `source`; returns false without a change if it
    /// is not newer.
    pub fn replace_targets(&self, snapshot: Snapshot, source: Source) -> bool {
        let position = snapshot.position;
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let mut targets = self.targets.lock();
        let held = targets.update(keep_until, |catalog| catalog.replace(snapshot, source, now));
        let (count, current) = (targets.catalog.len(), targets.catalog.position());
        drop(targets);
        let Some(held) = held else {
            log::info!(
                "event=targets-ignored revision={position} current={current} source={source}"
            );
            return false;
        };
        log::info!("event=targets-taken revision={position} targets={count} source={source}");
        self.finish_update(position, &held, now);
        true
    }

    /// Applies changes of the target list from `source`; returns false without a change if the
    /// position is not newer or of another era.
    pub fn apply_target_changes(
        &self,
        position: Position,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let descriptions: Vec<String> = changes.iter().map(targets::describe).collect();
        let apply = |catalog: &mut Catalog| catalog.apply(position, changes, source, now);
        let Some(held) = self.targets.lock().update(keep_until, apply) else {
            let current = self.targets.lock().catalog.position();
            log::info!(
                "event=changes-ignored revision={position} current={current} source={source}"
            );
            return false;
        };
        log::info!(
            "event=targets-changed revision={position} changes={} source={source}",
            descriptions.join(",")
        );
        self.finish_update(position, &held, now);
        true
    }

    fn finish_update(&self, position: Position, held: &[Held], now: Duration) {
        held.iter().for_each(|target| target.log(now));
        self.metrics.targets_revision.set(position.revision as i64);
        self.announce_if_first();
    }

    /// Records a response of the store to the follower of `kind`, and whether its previous call had
    /// failed.
    pub fn record_store_response(&self, kind: &'static str, had_failed: bool) {
        let now = self.clock.now();
        let Some(lost_at) = self.link.record_response(kind, had_failed, now) else { return };
        let keep_until = self.keep_until(now);
        log::info!(
            "event=link-regained lost_ms={} answered_others={}",
            now.saturating_sub(lost_at).as_millis(),
            keep_until <= now
        );
        self.expire_targets();
    }

    /// Records that the store responded in `era`, before its response is applied.
    pub fn record_era(&self, era: u64) {
        self.link.record_era(era, self.clock.now());
        self.notice_era();
    }

    /// Updates the latest era of the store from this gateway's contact and its peers' reports.
    pub fn notice_era(&self) {
        let now = self.clock.now();
        let peers = self.gateways.lock().store_era(now).map(|(era, _)| era);
        let own = self.link.contact(now).map(|contact| contact.era);
        let Some(era) = own.max(peers) else { return };
        self.store_era.send_if_modified(|latest| {
            let is_later = era > *latest;
            if is_later {
                log::info!("event=era-changed era={era} before={latest}");
                self.metrics.store_era.set(era as i64);
                *latest = era;
            }
            is_later
        });
    }

    /// Records that a follower's call, whose response was due at `due`, failed; `is_first` tells
    /// whether its previous call had not.
    pub fn record_store_failure(&self, is_first: bool, due: Duration) {
        let now = self.clock.now();
        let had_contact = self.link.contact(now).is_some();
        self.link.record_failure(is_first, due);
        if had_contact && self.link.contact(now).is_none() {
            // Another gateway may have to poll in place of this one.
            self.state_changed.notify_one();
        }
    }

    /// Returns true if this gateway is one of those that poll the store.
    pub fn is_poller(&self) -> bool {
        let now = self.clock.now();
        let settings = self.settings();
        let in_contact = self.link.contact(now).is_some();
        let own = Member { host: &settings.host, in_contact };
        self.gateways.lock().is_poller(own, now)
    }

    /// Returns when this gateway's routes and targets were last known to be current: by a response
    /// of the store to it, or to a peer whose state is not newer.
    pub fn confirmed_at(&self) -> Option<Duration> {
        let version = self.routes().map_or(0, |routes| routes.version);
        let position = self.targets.lock().catalog.position();
        let peers = self.gateways.lock().confirmed_at(version, position);
        self.freshness.lock().confirmed_at().max(peers)
    }

    /// Returns how long ago this gateway's routes and targets were last known to be current, `None`
    /// if they never were.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at().map(|at| now.saturating_sub(at))
    }

    /// Returns until when target entries that vanish are kept.
    fn keep_until(&self, now: Duration) -> Duration {
        self.link.keep_until(self.gateways.lock().store_contacts(now), now)
    }

    /// Removes lapsed target entries whose grace period is over, and load reports that expired.
    pub fn expire_targets(&self) {
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let expired = self.targets.lock().expire(keep_until, now);
        for target in expired {
            log::info!("event=target-gone target={target} reason=not-back-after-outage");
        }
    }

    /// Reports this gateway's state to the peers at once, unless it already announced that it is
    /// ready and another gateway has reported routes and targets at least this new.
    fn announce_if_first(&self) {
        let version = self.routes().map_or(0, |routes| routes.version);
        let position = self.targets.lock().catalog.position();
        let now = self.clock.now();
        if !self.announced_ready.load(Ordering::Relaxed)
            || self.gateways.lock().is_first_with(version, position, now)
        {
            self.announced_ready.store(self.is_ready(), Ordering::Relaxed);
            self.state_changed.notify_one();
        }
    }

    /// Returns the service for the next request of a route, by the weights of its backends.
    pub fn select_service(&self, route: &Route) -> Arc<str> {
        if let [backend] = route.backends.as_slice() {
            return Arc::clone(&backend.service);
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

    /// Returns the parameters of this host's share of the retry budgets.
    pub fn retry_budget_params(&self) -> RetryBudgetParams {
        let settings = self.settings();
        let hosts = 1 + self.gateways.lock().iter().count();
        RetryBudgetParams {
            ratio: settings.retry_budget.ratio,
            slack: settings.retry_budget.slack,
            window: settings.retry_budget.window,
            hosts: hosts.max(HOSTS_MIN),
        }
    }

    /// Returns true if this gateway accepts callers.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.has_joined() && self.has_state()
    }

    /// Returns true once what peers know was taken over.
    pub fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Returns true if this gateway has routes and targets.
    pub fn has_state(&self) -> bool {
        self.routes.read().is_some() && self.targets.lock().catalog.position().revision > 0
    }

    /// Records that what peers know was taken over.
    pub fn end_join(&self) {
        self.has_joined.store(true, Ordering::Relaxed);
        self.announce_if_first();
    }

    /// Returns true once the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.serve_until.borrow().is_some()
    }

    /// Returns until when requests may be in flight, if the shutdown has begun.
    pub fn serve_until(&self) -> Option<Duration> {
        *self.serve_until.borrow()
    }

    /// Waits until no request may be in flight anymore, as the process will be killed.
    pub async fn end_of_service(&self) {
        let mut serve_until = self.serve_until.subscribe();
        let until = serve_until.wait_for(Option::is_some).await.ok().and_then(|until| *until);
        match until {
            Some(until) => time::sleep_until(self.clock.instant(until)).await,
            // The sender lives as long as `self`.
            None => std::future::pending().await,
        }
    }

    /// Marks the gateway as shutting down and wakes the tasks that must react to it.
    pub fn begin_shutdown(&self) {
        let until = shutdown::serve_until(self.clock.now(), self.settings().grace);
        self.serve_until.send_replace(Some(until));
        self.state_changed.notify_one();
        self.shutdown_started.notify_waiters();
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

fn own_host(settings: &Settings) -> Host<'_> {
    Host { name: &settings.host, domain: &settings.domain }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
