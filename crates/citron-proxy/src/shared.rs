//! The state that the tasks of one proxy share.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use arc_swap::ArcSwap;
use citron::shutdown::GracefulShutdown;
use citron_daemon::{Clock, Recorder};
use parking_lot::Mutex;
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    admit::ConcurrencyLimiter, allowance::Allowances, dispatch::Dispatcher, health::Health,
    link::Link, metrics::Metrics, send::Clients, settings::Settings, view::View,
};

/// The state that the tasks of one proxy share.
pub struct Shared {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The record of events.
    pub recorder: Recorder,
    /// The state last received from the agent.
    pub view: ArcSwap<View>,
    /// Metrics.
    pub metrics: Metrics,
    /// HTTP clients towards targets.
    pub clients: Clients,
    /// The connection to the agent.
    pub link: Link,
    /// The customers' allowances.
    pub allowances: Allowances,
    /// Assigns targets to attempts.
    pub dispatcher: Arc<Dispatcher>,
    /// The health of targets.
    pub health: Health,
    /// Limits the requests of each customer in flight.
    pub concurrency: ConcurrencyLimiter,
    /// The socket for loans between proxies.
    pub loan_socket: UdpSocket,
    /// The state of the graceful shutdown.
    pub shutdown: Mutex<GracefulShutdown>,
    /// Becomes true when the graceful shutdown begins.
    pub leaving: watch::Sender<bool>,
    in_flight: AtomicUsize,
    sequence: AtomicU64,
    boot_id: u64,
}

/// The components that [`Shared::new`] takes besides the settings.
pub struct Components {
    /// The record of events.
    pub recorder: Recorder,
    /// Metrics.
    pub metrics: Metrics,
    /// HTTP clients towards targets.
    pub clients: Clients,
    /// The connection to the agent.
    pub link: Link,
    /// The socket for loans between proxies.
    pub loan_socket: UdpSocket,
}

impl Shared {
    /// Creates the state of one proxy.
    pub fn new(settings: Settings, components: Components) -> Arc<Self> {
        let clock = components.recorder.clock();
        Arc::new(Self {
            allowances: Allowances::open(&settings.host, settings.handover, clock.now()),
            dispatcher: Dispatcher::new(&settings.host, &settings.domain, clock),
            health: Health::new(&settings.host, &settings.domain, clock),
            concurrency: ConcurrencyLimiter::new(settings.customer_limit),
            shutdown: Mutex::new(GracefulShutdown::new(settings.notice_period)),
            clock,
            recorder: components.recorder,
            view: ArcSwap::default(),
            metrics: components.metrics,
            clients: components.clients,
            link: components.link,
            loan_socket: components.loan_socket,
            leaving: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            boot_id: rand::random(),
            settings,
        })
    }

    /// Returns an id that is unique among the attempts of all proxies.
    pub fn request_id(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{sequence:x}", self.settings.host, self.boot_id)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        InFlight { shared: Arc::clone(self) }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns true once the graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}

/// Counts one request as in flight until dropped.
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.dec();
        let before = self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        assert!(before > 0, "a request is counted out only after it was counted in");
    }
}
