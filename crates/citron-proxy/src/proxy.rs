//! A running proxy.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::Arc,
};

use citron::event::Kind;
use citron_daemon::{Admin, Recorder, Server};
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinHandle};

use crate::{
    allowance, health,
    link::{self, Link},
    metrics::Metrics,
    send::Clients,
    server,
    settings::Settings,
    shared::{Components, Shared},
    shutdown::{self, ShutdownHandle},
};

/// A running proxy.
pub struct Proxy {
    shared: Arc<Shared>,
    addr: SocketAddr,
    admin: Admin,
    link_task: JoinHandle<()>,
    background_tasks: [JoinHandle<()>; 3],
    server_task: JoinHandle<()>,
}

/// An error while starting the proxy.
#[derive(Debug)]
pub struct Error {
    message: String,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

fn start_error(error: impl Display) -> Error {
    Error { message: error.to_string() }
}

impl Proxy {
    /// Binds all addresses and starts serving.
    ///
    /// Requests are refused with the outcome `not-run` until the agent has sent a policy.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn spawn(settings: Settings, recorder: Recorder) -> Result<Self, Error> {
        let loans = UdpSocket::bind(settings.loans).await.map_err(|error| {
            start_error(format!(
                "cannot bind --loans {}: {error}; choose a free address",
                settings.loans
            ))
        })?;
        let components = Components {
            recorder: recorder.clone(),
            metrics: Metrics::new().map_err(start_error)?,
            clients: Clients::new().map_err(start_error)?,
            link: Link::open(settings.agent),
            loan_socket: loans,
        };
        let shared = Shared::new(settings, components);
        let server = server::bind(&shared).await.map_err(start_error)?;
        let admin = bind_admin(&shared, recorder).await?;
        let addr = server.addr();
        shared.recorder.record(Kind::Started, &shared.settings.host, &[]);
        let background_tasks = [
            tokio::spawn(allowance::run(Arc::clone(&shared))),
            tokio::spawn(Arc::clone(&shared.dispatcher).run()),
            tokio::spawn(health::run(Arc::clone(&shared))),
        ];
        let link_task = tokio::spawn(link::run(Arc::clone(&shared), addr));
        let server_task = tokio::spawn(shutdown::run(Arc::clone(&shared), addr, server));
        Ok(Self { shared, addr, admin, link_task, background_tasks, server_task })
    }

    /// Returns the address that callers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the HTTP address of metrics, events and status.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Returns the UDP address for loans between proxies, if the socket can report it.
    pub fn loans(&self) -> Option<SocketAddr> {
        self.shared.loan_socket.local_addr().ok()
    }

    /// Returns the line of JSON that announces that all addresses are bound, and lists them.
    pub fn ready_line(&self) -> String {
        let loans = self.loans().map(|addr| addr.to_string());
        json!({
            "ready": true,
            "program": "citron-proxy",
            "host": self.shared.settings.host,
            "listen": self.addr.to_string(),
            "loans": loans.unwrap_or_default(),
            "admin": self.admin().to_string(),
        })
        .to_string()
    }

    /// Returns a handle that starts the graceful shutdown.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle { shared: Arc::clone(&self.shared) }
    }

    /// Waits until the graceful shutdown has ended.
    pub async fn finished(self) {
        if let Err(error) = self.server_task.await {
            log::error!("the server task failed: {error}");
        }
        self.link_task.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
        self.admin.stop().await;
    }
}

async fn bind_admin(shared: &Arc<Shared>, recorder: Recorder) -> Result<Server, Error> {
    let (addr, registry) = (shared.settings.admin, shared.metrics.registry.clone());
    let state = Arc::downgrade(shared);
    let status = move || match state.upgrade() {
        Some(shared) => status(&shared),
        None => serde_json::Value::Null,
    };
    citron_daemon::bind_admin(addr, registry, recorder, status, |rocket| rocket)
        .await
        .map_err(start_error)
}

fn status(shared: &Shared) -> serde_json::Value {
    let view = shared.view.load();
    let services: serde_json::Map<_, _> = view
        .services
        .iter()
        .map(|(name, service)| {
            let (usable, ejected) = shared.health.summary(service);
            let busy: u32 = service.targets.iter().map(|target| target.in_flight()).sum();
            let state = json!({
                "listed": service.targets.len(),
                "usable": usable,
                "ejected": ejected,
                "busy": busy,
            });
            (name.clone(), state)
        })
        .collect();
    json!({
        "program": "citron-proxy",
        "host": shared.settings.host,
        "domain": shared.settings.domain,
        "revision": view.revision,
        "attached": shared.metrics.agent_attached.get() == 1,
        "settled": shared.allowances.is_settled(shared.clock.now()),
        "leaving": shared.is_leaving(),
        "in_flight": shared.in_flight(),
        "members": view.members.len(),
        "services": services,
    })
}
