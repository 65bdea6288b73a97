//! What the parts of a gateway share, each piece under its own lock.

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
    gateways::Gateways,
    gray::{Choice, Criteria, NoCapacity, Verdict, View},
    route::{Route, Split, Table},
};
use citron_adapter::settings::Settings;
use citron_daemon::Clock;
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use crate::{
    budget::RetryBudgets, connection::Pool, metrics::Metrics, peer::message::Outcome,
    store_link::StoreLink,
};

/// How long an idle connection to a target is kept.
const KEEP_IDLE: Duration = Duration::from_secs(6);
/// The hosts that share the slack of a budget while fewer are known.
const HOSTS_MIN: usize = 8;
/// The most outcomes that wait to be told to peers; more are dropped and counted.
const NEWS_LIMIT: usize = 1024;

/// The state of one gateway.
#[derive(Debug)]
pub struct Shared {
    /// The settings in force.
    pub settings: RwLock<Arc<Settings>>,
    /// The process's clock.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The routes in force.
    pub routes: RwLock<Option<Arc<Table>>>,
    /// The targets and what is known of them.
    pub targets: Mutex<Targets>,
    /// The other gateways.
    pub gateways: Mutex<Gateways>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// The budgets of repetitions.
    pub budgets: RetryBudgets,
    /// Outcomes that peers are still to be told.
    pub news: Mutex<Vec<Outcome>>,
    /// Wakes the sender of datagrams for new outcomes.
    pub news_waits: Notify,
    /// Wakes the sender of datagrams for a change of this gateway's state.
    pub state_changed: Notify,
    /// Wakes all connections of callers when the gateway begins to leave.
    pub left: Notify,
    splits: Mutex<HashMap<Arc<str>, Split>>,
    leaving: AtomicBool,
    /// Whether the peers were told that callers may be sent here.
    told_ready: AtomicBool,
    /// Whether the store answers.
    pub link: StoreLink,
    /// Whether a pull from a peer is due already.
    pub pulling: AtomicBool,
    in_flight: AtomicUsize,
}

/// The targets with the beliefs about them.
#[derive(Debug)]
pub struct Targets {
    /// The list in force.
    pub catalog: Catalog,
    /// Beliefs and load.
    pub view: View,
    rng: ChaCha8Rng,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Shared {
    /// Creates the state of a gateway that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, metrics: Metrics, seed: u64) -> Self {
        let targets = Targets {
            catalog: Catalog::default(),
            view: View::new(&settings.domain),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            settings: RwLock::new(Arc::new(settings)),
            clock,
            metrics,
            routes: RwLock::default(),
            targets: Mutex::new(targets),
            gateways: Mutex::default(),
            pool: Pool::new(KEEP_IDLE),
            budgets: RetryBudgets::default(),
            news: Mutex::default(),
            news_waits: Notify::new(),
            state_changed: Notify::new(),
            left: Notify::new(),
            splits: Mutex::default(),
            leaving: AtomicBool::new(false),
            told_ready: AtomicBool::new(false),
            link: StoreLink::default(),
            pulling: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read())
    }

    /// Takes the addresses that were bound, where the settings left the port to the system.
    pub fn listen_at(&self, directory: SocketAddr, ready: SocketAddr, peers: SocketAddr) {
        let mut settings = self.settings.write();
        *settings = Arc::new(Settings { directory, ready, peers, ..(**settings).clone() });
    }

    /// Returns the routes in force, if any are known.
    pub fn routes(&self) -> Option<Arc<Table>> {
        self.routes.read().clone()
    }

    /// Takes a table of routes from `source`; a version that is not higher changes nothing.
    pub fn take_routes(&self, table: Table, source: Source) {
        let version = table.version;
        let count = table.len();
        {
            let mut routes = self.routes.write();
            let held = routes.as_ref().map_or(0, |held| held.version);
            if version <= held {
                return;
            }
            *routes = Some(Arc::new(table));
            log::info!(
                "event=routes-taken version={version} before={held} routes={count} source={source}"
            );
        }
        self.metrics.routes_version.set(version as i64);
        self.tell_if_first();
    }

    /// Takes a whole target list from `source`; one that is not newer changes nothing.
    pub fn take_targets(&self, snapshot: Snapshot, source: Source) {
        let revision = snapshot.revision;
        let now = self.clock.now();
        let mut targets = self.targets.lock();
        if !targets.catalog.replace(snapshot, source, now) {
            return;
        }
        let count = targets.catalog.len();
        targets.forget_unlisted();
        drop(targets);
        log::info!("event=targets-taken revision={revision} targets={count} source={source}");
        self.metrics.targets_revision.set(revision as i64);
        self.tell_if_first();
    }

    /// Takes changes of the target list from `source`.
    pub fn change_targets(&self, revision: u64, changes: Vec<Change>, source: Source) {
        let now = self.clock.now();
        let text: Vec<String> = changes.iter().map(describe).collect();
        let mut targets = self.targets.lock();
        if !targets.catalog.apply(revision, changes, source, now) {
            return;
        }
        targets.forget_unlisted();
        drop(targets);
        log::info!(
            "event=targets-changed revision={revision} changes={} source={source}",
            text.join(",")
        );
        self.metrics.targets_revision.set(revision as i64);
        self.tell_if_first();
    }

    /// Takes that the store does not answer a follower.
    pub fn lose_store(&self) {
        self.link.record_failure(self.clock.now());
        self.targets.lock().catalog.store_lost();
    }

    /// Takes that the store answers a follower again.
    pub fn regain_store(&self) {
        let now = self.clock.now();
        let Some(lost_at) = self.link.record_recovery(now) else { return };
        let others = self.gateways.lock().store_answered_since(lost_at, now);
        log::info!(
            "event=link-regained lost_ms={} answered_others={others}",
            now.saturating_sub(lost_at).as_millis()
        );
        self.targets.lock().catalog.store_regained(others, now);
        self.expire_targets();
    }

    /// Drops what was only held for a time: entries after an outage, loads that are not reported.
    pub fn expire_targets(&self) {
        let over = self.targets.lock().expire(self.clock.now());
        for target in over {
            log::info!("event=target-gone target={target} reason=not-back-after-outage");
        }
    }

    /// Tells the peers of this gateway's state at once unless another has told the same already.
    fn tell_if_first(&self) {
        let version = self.routes().map_or(0, |routes| routes.version);
        let revision = self.targets.lock().catalog.revision();
        let now = self.clock.now();
        if !self.told_ready.load(Ordering::Relaxed)
            || self.gateways.lock().is_first_with(version, revision, now)
        {
            self.told_ready.store(self.is_ready(), Ordering::Relaxed);
            self.state_changed.notify_one();
        }
    }

    /// Returns the service for the next request of a route.
    pub fn split(&self, route: &Route) -> Arc<str> {
        if let [backend] = route.backends.as_slice() {
            return Arc::clone(&backend.service);
        }
        let mut splits = self.splits.lock();
        splits.entry(Arc::clone(&route.name)).or_default().next(route)
    }

    /// Chooses a target for an attempt and counts it as begun.
    ///
    /// # Errors
    /// Fails if no target has room for it.
    pub fn begin(&self, need: Criteria<'_>) -> Result<Choice, NoCapacity> {
        let now = self.clock.now();
        let settings = self.settings();
        // Whoever locks both locks the gateways first; only a request that may test asks for them.
        let gateways = need.eligibility.allows_trial().then(|| self.gateways.lock());
        let trial_rank = |target: &Target| {
            gateways.as_ref().map_or(0, |gateways| {
                gateways.trial_rank(&settings.host, &settings.domain, target, now)
            })
        };
        let Targets { catalog, view, rng } = &mut *self.targets.lock();
        view.begin_attempt(catalog, need, trial_rank, rng, now)
    }

    /// Takes how an attempt ended after `took`, and tells the peers what they should know.
    pub fn end(&self, target: &Target, verdict: Option<Verdict>, took: Duration) {
        let now = self.clock.now();
        let (news, sick) = {
            let mut targets = self.targets.lock();
            let news = targets.view.end_attempt(target, verdict, now);
            (news, targets.view.failure_probability(&target.id, now))
        };
        if let Some(verdict) = verdict {
            self.metrics.verdict(verdict.into(), "own");
        }
        let Some(verdict) = verdict.filter(|_| news) else { return };
        log::info!("event=belief target={} verdict={verdict} sick={sick:.3} source=own", target.id);
        let mut waiting = self.news.lock();
        if waiting.len() >= NEWS_LIMIT {
            self.metrics.news_dropped.inc();
            return;
        }
        waiting.push(Outcome {
            target: target.id.to_string(),
            born_ms: target.born_ms,
            verdict: u32::from(verdict as u8),
            took_ms: took.as_millis() as u32,
        });
        self.news_waits.notify_one();
    }

    /// Returns this host's share of the budgets of repetitions.
    pub fn share(&self) -> RetryBudgetParams {
        let settings = self.settings();
        let hosts = 1 + self.gateways.lock().iter().count();
        RetryBudgetParams {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
            hosts: hosts.max(HOSTS_MIN),
        }
    }

    /// Returns true if callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.routes.read().is_some()
            && self.targets.lock().catalog.revision() > 0
    }

    /// Returns true once the gateway has begun to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.state_changed.notify_one();
        self.left.notify_waiters();
    }

    /// Counts a request as in flight.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Targets {
    fn forget_unlisted(&mut self) {
        self.view.retain(&self.catalog);
    }

    /// Drops the entries that were only held after an outage and whose time is over.
    fn expire(&mut self, now: Duration) -> Vec<Arc<str>> {
        self.view.expire(now);
        let over = self.catalog.expire(now);
        if !over.is_empty() {
            self.forget_unlisted();
        }
        over
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::Put(target) if target.leaving => format!("{}:leaving", target.id),
        Change::Put(target) => format!("{}:ready", target.id),
        Change::Gone(id) => format!("{id}:gone"),
        Change::Lapsed(id) => format!("{id}:held"),
    }
}
