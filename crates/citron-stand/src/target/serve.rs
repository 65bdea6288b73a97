//! Serves a stand-in target over HTTP, and its switches on a second address.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::event::Kind;
use citron_daemon::{Clock, Recorder, Server};
use parking_lot::Mutex;
use prometheus::{IntCounterVec, Opts, Registry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rocket::{State as Managed, get, post, routes, serde::json::Json};
use tokio::sync::Semaphore;

use super::{Fault, Ledger, Work, request};

/// The tail of the service time: one request in this many takes `TAIL_FACTOR` times as long.
const TAIL_ONE_IN: u32 = 50;
/// The factor of a tail request.
const TAIL_FACTOR: f64 = 3.0;

/// How a target is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address of the data port.
    pub listen: SocketAddr,
    /// The address of the switches.
    pub admin: SocketAddr,
    /// The name in the host list.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait at once.
    pub waiting: u32,
    /// The usual service time.
    pub service_time: Duration,
    /// How long it is cold after its start.
    pub cold: Duration,
    /// The seed of service times and faults.
    pub seed: u64,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    shared: Arc<Shared>,
    data: Server,
    admin: Server,
}

/// What the requests and the switches of one target share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) requests: IntCounterVec,
    pub(super) permits: Semaphore,
    pub(super) work: Mutex<Work>,
    /// The fault in force and when it was set.
    pub(super) fault: Mutex<(Fault, Duration)>,
    pub(super) ledger: Mutex<Ledger>,
    /// Id and body of the answer before, which a wrong answer repeats.
    pub(super) previous: Mutex<Option<(String, Vec<u8>)>>,
    recorder: Recorder,
    rng: Mutex<ChaCha8Rng>,
}

impl Target {
    /// Returns the address of the data port.
    pub fn addr(&self) -> SocketAddr {
        self.data.addr()
    }

    /// Returns the address of the switches.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Takes no new requests from now on.
    pub fn drain(&self) {
        self.shared.work.lock().drain();
    }

    /// Returns the runs so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.ledger.lock().clone()
    }

    /// Stops both ports.
    pub async fn stop(self) {
        self.data.stop().await;
        self.admin.stop().await;
    }
}

/// Starts a target.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn bind(settings: Settings) -> eyre::Result<Target> {
    let clock = Clock::start();
    let recorder = Recorder::open(&settings.name, "citron-stand", clock);
    let registry = Registry::new();
    let requests =
        IntCounterVec::new(Opts::new("stand_requests_total", "Requests by result."), &["result"])?;
    registry.register(Box::new(requests.clone()))?;
    let shared = Arc::new(Shared {
        clock,
        recorder: recorder.clone(),
        requests,
        permits: Semaphore::new(settings.slots as usize),
        work: Mutex::new(Work::new(settings.slots, settings.waiting, settings.cold)),
        fault: Mutex::default(),
        ledger: Mutex::default(),
        rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
        previous: Mutex::default(),
        settings,
    });
    let listen = shared.settings.listen;
    let rocket = rocket::custom(citron_daemon::config(listen)).mount("/", request::routes(&shared));
    let data = citron_daemon::bind(rocket, listen).await?;
    let status = Arc::clone(&shared);
    let admin = citron_daemon::bind_admin(
        shared.settings.admin,
        registry,
        recorder,
        move || status.status(),
        |rocket| {
            rocket
                .manage(Arc::clone(&shared))
                .mount("/", routes![set_fault, set_drain, show_ledger])
        },
    )
    .await?;
    Ok(Target { shared, data, admin })
}

#[post("/fault", data = "<fault>")]
fn set_fault(shared: &Managed<Arc<Shared>>, fault: Json<Fault>) {
    shared.set_fault(fault.into_inner());
}

#[post("/drain")]
fn set_drain(shared: &Managed<Arc<Shared>>) {
    shared.work.lock().drain();
    shared.recorder.record(Kind::Leaving, &shared.settings.name, &[]);
}

#[get("/ledger")]
fn show_ledger(shared: &Managed<Arc<Shared>>) -> Json<Ledger> {
    Json(shared.ledger.lock().clone())
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = (fault, self.clock.now());
        let text = serde_json::to_string(&fault).unwrap_or_default();
        self.recorder.record(Kind::FaultSet, &self.settings.name, &[("fault", &text)]);
    }

    fn status(&self) -> serde_json::Value {
        let (busy, slots) = self.work.lock().load();
        serde_json::json!({
            "name": self.settings.name,
            "service": self.settings.service,
            "busy": busy,
            "slots": slots,
            "fault": self.fault.lock().0,
        })
    }

    /// Draws the service time of one request.
    pub(super) fn draw_time(&self, fault: Fault, since: Duration) -> Duration {
        let mut rng = self.rng.lock();
        let spread = rng.random_range(0.5..1.5);
        let tail = if rng.random_ratio(1, TAIL_ONE_IN) { TAIL_FACTOR } else { 1.0 };
        let cold = self.work.lock().cold_factor(self.clock.now());
        self.settings.service_time.mul_f64(spread * tail * cold * fault.factor(since))
    }

    /// Returns true for this share of the calls.
    pub(super) fn hit(&self, share: f64) -> bool {
        self.rng.lock().random_bool(share.clamp(0.0, 1.0))
    }
}
