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
    admit::Crowd, allowance::Allowances, health::Health, link::Link, metrics::Metrics,
    place::Places, send::Clients, settings::Settings, view::View,
};

/// The state that the tasks of one proxy share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The record of events.
    pub recorder: Recorder,
    /// What the agent told last.
    pub view: ArcSwap<View>,
    /// Metrics.
    pub metrics: Metrics,
    /// HTTP clients towards targets.
    pub clients: Clients,
    /// The connection to the agent.
    pub link: Link,
    /// The customers' allowances.
    pub allowances: Allowances,
    /// The targets and those who wait for one.
    pub places: Arc<Places>,
    /// The health of targets.
    pub health: Health,
    /// Requests per customer.
    pub crowd: Crowd,
    /// The socket for loans between proxies.
    pub loans: UdpSocket,
    /// The graceful stop.
    pub departure: Mutex<GracefulShutdown>,
    /// Becomes true when the proxy begins to leave.
    pub leaving: watch::Sender<bool>,
    in_flight: AtomicUsize,
    sequence: AtomicU64,
    boot: u64,
}

/// What [`Shared::new`] takes besides the settings.
pub struct Parts {
    /// The record of events.
    pub recorder: Recorder,
    /// Metrics.
    pub metrics: Metrics,
    /// HTTP clients towards targets.
    pub clients: Clients,
    /// The connection to the agent.
    pub link: Link,
    /// The socket for loans between proxies.
    pub loans: UdpSocket,
}

impl Shared {
    /// Puts the state of one proxy together.
    pub fn new(settings: Settings, parts: Parts) -> Arc<Self> {
        let clock = parts.recorder.clock();
        Arc::new(Self {
            allowances: Allowances::open(&settings.host, settings.handover, clock.now()),
            places: Places::new(&settings.host, &settings.domain, clock),
            health: Health::new(&settings.host, &settings.domain, clock),
            crowd: Crowd::new(settings.customer_limit),
            departure: Mutex::new(GracefulShutdown::new(settings.notice_period)),
            clock,
            recorder: parts.recorder,
            view: ArcSwap::default(),
            metrics: parts.metrics,
            clients: parts.clients,
            link: parts.link,
            loans: parts.loans,
            leaving: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            boot: rand::random(),
            settings,
        })
    }

    /// Returns an id that no other attempt of any proxy has.
    pub fn request_id(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{sequence:x}", self.settings.host, self.boot)
    }

    /// Counts a request in until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        InFlight { shared: Arc::clone(self) }
    }

    /// Returns the number of requests not yet ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns true once the proxy leaves.
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
        assert!(before > 0, "a request must begin before it ends");
    }
}
