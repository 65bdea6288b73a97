//! The state that the tasks of a gateway share, each part under its own lock.

mod attempt;
mod key_lease;
mod lifecycle;
mod load;
mod store;
mod update;

pub use self::{
    lifecycle::{InFlight, Receiving},
    load::watch_load,
};

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize},
    },
    time::Duration,
};

use citron::{
    follower::PeerConfirmations,
    freshness::Freshness,
    gateways::Gateways,
    key_lease::KeyLease,
    position::Position,
    route::{Edition, Split, Table},
};
use citron_adapter::settings::Settings;
use citron_daemon::Clock;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::{
    budget::RetryBudgets, connection::Pool, load::OwnLoad, loans::Loans, memory::Memory,
    metrics::Metrics, peer::message::Outcome, quota::Quotas, store_link::StoreLink,
    targets::Targets, waiting::Waiting,
};

/// How long an idle connection to a target stays in the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

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
    /// The retry tokens that gateways lend each other.
    pub loans: Loans,
    /// The customers' quotas.
    pub quotas: Quotas,
    /// The requests that wait for a token or for room.
    pub waiting: Waiting,
    /// Outcomes that have not been sent to the peers yet.
    pub pending_outcomes: Mutex<Vec<Outcome>>,
    /// Wakes the task that sends outcomes.
    pub outcomes_added: Notify,
    /// Wakes the task that repeats the targets' statements.
    pub statements_added: Notify,
    /// Wakes the task that reports this gateway's state.
    pub state_changed: Notify,
    /// Wakes the same task if only the gateways of this failure domain have to learn of a change.
    pub state_changed_near: Notify,
    /// Whether the next report must reach all gateways, also if this gateway does not follow the
    /// store.
    pub report_reaches_all: AtomicBool,
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
    /// What the store's responses to peers confirm.
    peer_confirmations: Mutex<PeerConfirmations>,
    /// For how long the known keys of the customers may be accepted.
    key_lease: Mutex<KeyLease>,
    /// Wakes the follower of the routes when a peer has newer ones than its watch delivered.
    pub routes_overdue: Notify,
    /// Wakes the follower of the targets when a peer has a newer list than its watch delivered.
    pub targets_overdue: Notify,
    /// Wakes the task that pulls routes when a peer has newer ones.
    pub routes_behind: Notify,
    /// Wakes the task that pulls targets when a peer has a newer list.
    pub targets_behind: Notify,
    in_flight: AtomicUsize,
    receiving: AtomicUsize,
    /// What this gateway measures of itself.
    pub own_load: OwnLoad,
}

impl Shared {
    /// Creates the state of a gateway that has no routes and targets yet.
    pub fn new(settings: Settings, clock: Clock, metrics: Metrics, seed: u64) -> Self {
        let targets = Targets::new(&settings.domain, seed);
        let memory = Memory::new(settings.memory_bytes);
        let is_first_start = settings.is_first_start;
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
            loans: Loans::default(),
            quotas: Quotas::new(is_first_start),
            waiting: Waiting::default(),
            pending_outcomes: Mutex::default(),
            outcomes_added: Notify::new(),
            statements_added: Notify::new(),
            state_changed: Notify::new(),
            state_changed_near: Notify::new(),
            report_reaches_all: AtomicBool::new(false),
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
            peer_confirmations: Mutex::default(),
            key_lease: Mutex::default(),
            routes_overdue: Notify::new(),
            targets_overdue: Notify::new(),
            routes_behind: Notify::new(),
            targets_behind: Notify::new(),
            in_flight: AtomicUsize::new(0),
            receiving: AtomicUsize::new(0),
            own_load: OwnLoad::default(),
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

    /// Returns the edition of the current routes.
    pub fn routes_edition(&self) -> Edition {
        self.routes.read().as_ref().map_or_else(Edition::default, |table| table.edition())
    }

    /// Returns the current routes, if any are known.
    pub fn routes(&self) -> Option<Arc<Table>> {
        self.routes.read().clone()
    }
}
