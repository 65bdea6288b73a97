//! The running gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::shutdown::{Action, GracefulShutdown};
use citron_adapter::{settings::Settings, store::Store};
use citron_daemon::{Clock, Server};
use eyre::WrapErr;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::{
    caller, directory, follow,
    metrics::Metrics,
    peer, quota, reload, retry,
    shared::{self, Shared},
};

/// How long a gateway still accepts connections after it announced its shutdown, so that callers
/// learn of the shutdown first.
const NOTICE_PERIOD: Duration = Duration::from_millis(600);
/// The interval at which a gateway that shuts down checks for its next step.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between removals of expired idle connections and lapsed entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before accepting again after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The timeout for connecting to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A gateway that serves callers.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    store: Store,
    accept: JoinHandle<()>,
    servers: Vec<Server>,
}

impl Gateway {
    /// Binds all addresses of `settings` and starts to serve; metrics are served only with a port.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(
        settings: Settings,
        metrics_port: Option<u16>,
        clock: Clock,
    ) -> eyre::Result<Self> {
        // Before anything tells that the process runs.
        let hangup = reload::listen().wrap_err("cannot handle SIGHUP")?;
        let metrics = Metrics::open().wrap_err("cannot register the metrics")?;
        let store = Store::open(settings.store, settings.object_bytes)
            .wrap_err("cannot create the store client")?;
        let listener = TcpListener::bind(settings.callers)
            .await
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        let socket = peer::bind(settings.ip, settings.internal_port)
            .await
            .wrap_err("cannot bind the socket for peers")?;
        let socket_addr =
            socket.local_addr().wrap_err("cannot get the local address of the socket for peers")?;
        let callers = listener
            .local_addr()
            .wrap_err("cannot get the local address of the listener for callers")?;
        let configured = settings.clone();
        let settings = Settings { callers, ..settings };
        let shared = Arc::new(Shared::new(settings, clock, metrics, rand::random()));
        let directory = directory::bind(&shared, configured.directory).await?;
        let ready = directory::bind_ready(&shared, configured.ready).await?;
        let peers = directory::bind_peers(&shared, configured.peers).await?;
        let mut servers = vec![peers];
        if let Some(port) = metrics_port {
            let addr = SocketAddr::new(socket_addr.ip(), port);
            servers.push(directory::bind_metrics(&shared, addr).await?);
        }
        shared.set_listen_addrs(directory.addr(), ready.addr(), servers[0].addr());
        tokio::spawn(follow::routes(Arc::clone(&shared), store.clone()));
        tokio::spawn(follow::targets(Arc::clone(&shared), store.clone()));
        tokio::spawn(follow::registry(Arc::clone(&shared), store.clone(), socket_addr));
        let accept = tokio::spawn(accept(Arc::clone(&shared), listener));
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(PEER_CONNECT_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build()
            .wrap_err("cannot create the HTTP client for peers")?;
        tokio::spawn(peer::receive(Arc::clone(&shared), Arc::clone(&socket)));
        for subject in [peer::Subject::Routes, peer::Subject::Targets] {
            tokio::spawn(peer::pull(Arc::clone(&shared), http.clone(), subject));
        }
        tokio::spawn(peer::join(Arc::clone(&shared), http));
        tokio::spawn(peer::report_state(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::report_load(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::send_outcomes(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::send_loans(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::send_quotas(Arc::clone(&shared), Arc::clone(&socket)));
        tokio::spawn(peer::repeat_statements(Arc::clone(&shared), socket));
        reload::spawn(Arc::clone(&shared), store.clone(), hangup);
        tokio::spawn(sweep(Arc::clone(&shared)));
        tokio::spawn(retry::watch_standstill(Arc::clone(&shared)));
        tokio::spawn(shared::watch_load(Arc::clone(&shared)));
        servers.extend([directory, ready]);
        Ok(Self { shared, store, accept, servers })
    }

    /// Returns the address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.shared.settings().callers
    }

    /// Returns the address at which callers look up the gateways to connect to.
    pub fn directory(&self) -> SocketAddr {
        self.shared.settings().directory
    }

    /// Returns the address of the platform's readiness checks.
    pub fn ready(&self) -> SocketAddr {
        self.shared.settings().ready
    }

    /// Returns how many bytes are reserved for what callers and targets send.
    pub fn reserved_bytes(&self) -> usize {
        self.shared.memory.reserved()
    }

    /// Returns true if this gateway follows the store, false if it takes changes from peers.
    pub fn follows_store(&self) -> bool {
        self.shared.is_follower()
    }

    /// Applies new settings, as the process does when their file changes.
    pub fn reload(&self, settings: Settings) {
        reload::apply(&self.shared, &self.store, settings, true);
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.shared.settings()
    }

    /// Shuts down gracefully: directs callers to other gateways, responds to all requests that were
    /// read, then closes all sockets.
    pub async fn shut_down(self) {
        let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
        let clock = self.shared.clock;
        if shutdown.begin(clock.now()) == Some(Action::Announce) {
            log::info!("event=leaving in_flight={}", self.shared.in_flight());
            self.shared.begin_shutdown();
        }
        let mut may_end = false;
        loop {
            match shutdown.step(clock.now(), self.shared.unfinished()) {
                Some(Action::StopAccepting) => self.accept.abort(),
                Some(Action::ShutDown) => may_end = true,
                Some(Action::Announce) | None => time::sleep(SHUTDOWN_POLL_INTERVAL).await,
            }
            // A request that became complete since is answered first.
            if may_end && self.shared.close() {
                break;
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
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        shared.pool.remove_expired();
        update_gauges(&shared);
        shared.expire_targets();
        shared.update_limits();
        shared.update_retry_share();
        quota::sweep(&shared);
    }
}

fn update_gauges(shared: &Shared) {
    let now = shared.clock.now();
    let metrics = &shared.metrics;
    metrics.in_flight.set(shared.in_flight() as i64);
    metrics.gateways_alive.set(shared.gateways.lock().alive(now).count() as i64);
    metrics.targets_suspected.set(shared.targets.lock().view.suspected_count(now) as i64);
    metrics.targets_held.set(shared.targets.lock().catalog.lapsed().count() as i64);
    metrics.targets_limited.set(shared.targets.lock().statements.limited_count() as i64);
    metrics.idle_connections.set(shared.pool.len() as i64);
    metrics.memory_reserved_bytes.set(shared.memory.reserved() as i64);
    metrics.memory_limit_bytes.set(shared.memory.limit() as i64);
    metrics.follows_store.set(i64::from(shared.is_follower()));
    metrics.store_lost.set(i64::from(shared.link.is_down()));
    metrics.store_silent_seconds.set(shared.link.silent_for(now).as_secs_f64());
    if let Some(age) = shared.confirmation_age(now) {
        metrics.state_unconfirmed_seconds.set(age.as_secs_f64());
    }
    for (kind, age) in shared.link.response_ages(now) {
        metrics.store_response_age_seconds.with_label_values(&[kind]).set(age.as_secs_f64());
    }
    for (service, tokens, in_flight) in shared.budgets.levels() {
        metrics.retry_tokens.with_label_values(&[&*service]).set(tokens);
        metrics.retries_in_flight.with_label_values(&[&*service]).set(in_flight as f64);
    }
    for (service, length) in shared.waiting.lengths() {
        metrics.waiting.with_label_values(&[&*service]).set(length as f64);
    }
    metrics.log_lines_dropped.set(citron_daemon::dropped_log_lines() as i64);
}
