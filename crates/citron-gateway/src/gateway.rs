//! The running gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::shutdown::{Action, GracefulShutdown};
use citron_adapter::{settings::Settings, store::Store};
use citron_daemon::{Clock, Server};
use eyre::WrapErr;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{caller, directory, follow, metrics::Metrics, peer, reload, shared::Shared};

/// How long a leaving gateway accepts connections, so that callers hear of it first.
const NOTICE: Duration = Duration::from_millis(600);
/// The time between two steps of a leaving gateway.
const STEP: Duration = Duration::from_millis(20);
/// The time between two sweeps of idle connections and held entries.
const SWEEP_GAP: Duration = Duration::from_millis(500);
/// How long accepting pauses after it failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long connecting to a peer may take.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A gateway that serves callers.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
    servers: Vec<Server>,
}

impl Gateway {
    /// Binds all addresses of `settings` and begins to serve; metrics are served only with a port.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(
        settings: Settings,
        metrics_port: Option<u16>,
        clock: Clock,
    ) -> eyre::Result<Self> {
        let metrics = Metrics::open().wrap_err("cannot set up the metrics")?;
        let store = Store::open(settings.store).wrap_err("cannot set up the store's client")?;
        let listener = TcpListener::bind(settings.callers)
            .await
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        let socket = peer::bind(settings.ip, settings.internal_port)
            .await
            .wrap_err("cannot bind the socket for peers")?;
        let own = socket.local_addr().wrap_err("cannot tell the socket's address")?;
        let callers = listener.local_addr().wrap_err("cannot tell the listener's address")?;
        let addresses = settings.clone();
        let settings = Settings { callers, ..settings };
        let shared = Arc::new(Shared::new(settings, clock, metrics, rand::random()));
        let directory = directory::bind(&shared, addresses.directory).await?;
        let ready = directory::bind_ready(&shared, addresses.ready).await?;
        let peers = directory::bind_peers(&shared, addresses.peers).await?;
        let mut servers = vec![peers];
        if let Some(port) = metrics_port {
            let addr = SocketAddr::new(own.ip(), port);
            servers.push(directory::bind_metrics(&shared, addr).await?);
        }
        shared.listen_at(directory.addr(), ready.addr(), servers[0].addr());
        tokio::spawn(follow::routes(Arc::clone(&shared), store.clone()));
        tokio::spawn(follow::targets(Arc::clone(&shared), store.clone()));
        tokio::spawn(follow::gateways(Arc::clone(&shared), store, own));
        let accept = tokio::spawn(accept(Arc::clone(&shared), listener));
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(PEER_CONNECT_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build()
            .wrap_err("cannot set up the client for peers")?;
        tokio::spawn(peer::receive(Arc::clone(&shared), Arc::clone(&socket), http));
        tokio::spawn(peer::report(Arc::clone(&shared), Arc::clone(&socket), clock.wall_ms()));
        tokio::spawn(peer::report_load(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::tell(Arc::clone(&shared), socket));
        reload::spawn(Arc::clone(&shared)).wrap_err("cannot handle SIGHUP")?;
        tokio::spawn(sweep(Arc::clone(&shared)));
        servers.extend([directory, ready]);
        Ok(Self { shared, accept, servers })
    }

    /// Returns where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.shared.settings().callers
    }

    /// Returns where callers ask which address to use.
    pub fn directory(&self) -> SocketAddr {
        self.shared.settings().directory
    }

    /// Returns where the platform asks whether the gateway is ready.
    pub fn ready(&self) -> SocketAddr {
        self.shared.settings().ready
    }

    /// Leaves: callers are sent elsewhere, all that was read is answered, then all sockets close.
    pub async fn leave(self) {
        let mut departure = GracefulShutdown::new(NOTICE);
        let clock = self.shared.clock;
        if departure.begin(clock.now()) == Some(Action::Announce) {
            log::info!("event=leaving in_flight={}", self.shared.in_flight());
            self.shared.leave();
        }
        loop {
            match departure.step(clock.now(), self.shared.in_flight()) {
                Some(Action::StopAccepting) => self.accept.abort(),
                Some(Action::ShutDown) => break,
                Some(Action::Announce) | None => time::sleep(STEP).await,
            }
        }
        log::info!("event=stopped");
        drop(self.servers);
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(caller::serve(stream, Arc::clone(&shared)));
            }
            Err(error) => {
                log::warn!("event=accept-failed reason={:?}", error.to_string());
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        time::sleep(SWEEP_GAP).await;
        shared.pool.remove_expired();
        measure(&shared);
        shared.expire_targets();
    }
}

/// Brings the gauges up to date.
fn measure(shared: &Shared) {
    let now = shared.clock.now();
    let metrics = &shared.metrics;
    metrics.in_flight.set(shared.in_flight() as i64);
    metrics.gateways.set(shared.gateways.lock().alive(now).count() as i64);
    metrics.suspected.set(shared.targets.lock().view.suspected_count(now) as i64);
    metrics.idle_channels.set(shared.pool.len() as i64);
    metrics.store_lost.set(i64::from(shared.link.is_down()));
    metrics.store_silent.set(shared.link.down_for(now).as_secs_f64());
    metrics.log_lines_dropped.set(citron_daemon::dropped_lines() as i64);
}
