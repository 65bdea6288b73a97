//! The running stand-in and its switches.

use std::{
    collections::HashMap,
    fmt::{self, Display, Formatter},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use citron::event::Kind;
use citron_daemon::{Admin, Clock, Recorder, bind_admin};
use citron_platform::{Hosts, Version};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{sync::watch, time};

use super::{
    HostList, Store, admin, api,
    front::{Conn, Conns, Front},
    meter::{Call, Calls, Meter},
};

/// How the object API behaves.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum Mode {
    /// Answers at once.
    #[default]
    Up,
    /// Closes the connection of each call without effect or answer.
    Down,
    /// Handles each call after a delay.
    Slow {
        /// The delay, milliseconds.
        delay_ms: u64,
    },
}

/// A running stand-in of the platform; dropping it closes all connections.
#[derive(Debug)]
pub struct Platform {
    front: Front,
    server: Admin,
    shared: Arc<Shared>,
}

/// A fault while starting.
#[derive(Debug)]
pub struct Error(String);

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Starts a platform on `addr`, whose port may be 0, with a first list of hosts.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(addr: SocketAddr, hosts: Hosts) -> Result<Platform, Error> {
    let fault = |error: &dyn Display| Error(error.to_string());
    let conns = Conns::default();
    let clock = Clock::start();
    let recorder = Recorder::open("platform", "citron-stand", clock);
    let shared = Arc::new(Shared {
        clock,
        recorder: recorder.clone(),
        meter: Meter::new().map_err(|error| fault(&error))?,
        store: Mutex::default(),
        hosts: Mutex::new(HostList::new(hosts)),
        mode: watch::Sender::new(Mode::Up),
        lose_answers: Mutex::new(0),
        lose_writes: Mutex::new(0),
        changed: Mutex::default(),
        conns: conns.clone(),
    });
    let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let registry = shared.meter.registry.clone();
    let (shown, mounted) = (shared.clone(), shared.clone());
    let server = bind_admin(
        inner,
        registry,
        recorder,
        move || shown.status(),
        |rocket| {
            rocket.manage(mounted).mount("/v1", api::routes()).mount("/admin", admin::routes())
        },
    )
    .await
    .map_err(|error| fault(&error))?;
    let front = Front::bind(addr, server.addr(), conns).await.map_err(|error| {
        Error(format!("cannot listen on {addr}: {error}; choose a free address of this host"))
    })?;
    Ok(Platform { front, server, shared })
}

impl Platform {
    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.front.addr()
    }

    /// Returns the URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Switches how the object API behaves; calls that wait are ended by an outage too.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Loses the answers to the next `count` writes, which take effect.
    pub fn lose_answers(&self, count: u64) {
        *self.shared.lose_answers.lock() = count;
    }

    /// Loses the next `count` writes, which do not take effect, without an answer.
    pub fn lose_writes(&self, count: u64) {
        *self.shared.lose_writes.lock() = count;
    }

    /// Replaces the host list, in force after the lag.
    pub fn set_hosts(&self, hosts: Hosts) {
        self.shared.hosts.lock().set(self.shared.clock.now(), hosts);
    }

    /// Sets how long later changes of the host list stay hidden.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.hosts.lock().set_lag(lag);
    }

    /// Returns how often it was called.
    pub fn calls(&self) -> Calls {
        self.shared.meter.read()
    }

    /// Returns a copy of the stored objects.
    pub fn copy(&self) -> Store {
        self.shared.store.lock().clone()
    }

    /// Comes back from a copy: what was written since is gone.
    pub fn restore(&self, copy: Store) {
        let mut store = self.shared.store.lock();
        *store = copy.restored(&store);
    }

    /// Runs `query` on the stored objects.
    pub fn inspect<T>(&self, query: impl FnOnce(&Store) -> T) -> T {
        query(&self.shared.store.lock())
    }

    /// Closes all connections and stops.
    pub async fn stop(self) {
        drop(self.front);
        self.server.stop().await;
    }
}

/// What the handlers of the API and of the admin service share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) store: Mutex<Store>,
    pub(super) hosts: Mutex<HostList>,
    pub(super) mode: watch::Sender<Mode>,
    pub(super) lose_answers: Mutex<u64>,
    pub(super) lose_writes: Mutex<u64>,
    pub(super) recorder: Recorder,
    pub(super) meter: Meter,
    /// The version of the latest change, by kind.
    changed: Mutex<HashMap<String, watch::Sender<Version>>>,
    conns: Conns,
}

impl Shared {
    /// Switches how the object API behaves.
    pub(super) fn set_mode(&self, mode: Mode) {
        let (name, delay_ms) = match mode {
            Mode::Up => ("up", 0),
            Mode::Down => ("down", 0),
            Mode::Slow { delay_ms } => ("slow", delay_ms),
        };
        let fields = [("mode", name), ("delay_ms", &delay_ms.to_string())];
        self.recorder.record(Kind::FaultSet, "platform", &fields);
        self.mode.send_replace(mode);
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "program": "citron-stand",
            "host": self.recorder.host(),
            "version": self.store.lock().version(),
            "mode": *self.mode.borrow(),
        })
    }

    /// Returns the connection that the HTTP server sees from `peer`.
    pub(super) fn conn(&self, peer: SocketAddr) -> Option<Conn> {
        self.conns.lock().get(&peer).cloned()
    }

    /// Counts a call and applies the mode to it; returns false if it is to end without effect, its
    /// connection being closed already.
    pub(super) async fn enter(&self, call: Call, conn: &Conn) -> bool {
        self.meter.count(call);
        let mode = *self.mode.borrow();
        if let Mode::Slow { delay_ms } = mode {
            tokio::select! {
                () = time::sleep(Duration::from_millis(delay_ms)) => {}
                () = self.outage() => {}
            }
        }
        let lost = matches!(call, Call::Put | Call::Delete) && take_one(&self.lose_writes);
        if lost || *self.mode.borrow() == Mode::Down {
            self.cut(conn).await;
            return false;
        }
        true
    }

    /// Ends a call by closing its connection.
    pub(super) async fn cut(&self, conn: &Conn) {
        self.meter.cut.inc();
        conn.cut().await;
    }

    /// Waits until the platform is down.
    pub(super) async fn outage(&self) {
        let mut mode = self.mode.subscribe();
        // The sender lives as long as `self`.
        let _ = mode.wait_for(|mode| *mode == Mode::Down).await;
    }

    /// Loses the answer to a write that took effect if one is to be lost.
    pub(super) async fn may_lose_answer(&self, conn: &Conn) {
        if take_one(&self.lose_answers) {
            self.meter.lost_answers.inc();
            conn.cut().await;
        }
    }

    /// Wakes the watches of a kind.
    pub(super) fn notify(&self, kind: &str, version: Version) {
        if let Some(sender) = self.changed.lock().get(kind) {
            sender.send_replace(version);
        }
    }

    /// Returns a receiver that sees each later change of a kind.
    pub(super) fn subscribe(&self, kind: &str) -> watch::Receiver<Version> {
        let mut changed = self.changed.lock();
        changed.entry(kind.to_owned()).or_insert_with(|| watch::Sender::new(Version(0))).subscribe()
    }
}

/// Counts down unless nothing is left; returns whether something was.
fn take_one(left: &Mutex<u64>) -> bool {
    let mut left = left.lock();
    let some = *left > 0;
    *left -= u64::from(some);
    some
}
