//! HTTP servers with Rocket; with port 0, the system chooses a free port.

use std::{net::SocketAddr, time::Duration};

use rocket::{
    Build, Rocket, Shutdown,
    config::{Config, Ident, LogLevel},
    fairing::AdHoc,
    shield::Shield,
};
use tokio::{sync::oneshot, task::JoinHandle, time};

/// How long a server may take to start listening.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<Result<(), rocket::Error>>,
}

impl Server {
    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening and waits for the server to shut down; requests in flight get the
    /// configured grace period.
    pub async fn stop(self) {
        self.shutdown.notify();
        let error = match self.task.await {
            Ok(Ok(())) => return,
            // Rocket's error panics if it is dropped without having been inspected.
            Ok(Err(error)) => error.kind().to_string(),
            Err(error) => error.to_string(),
        };
        log::warn!("the HTTP server on {} did not shut down cleanly: {error}", self.addr);
    }
}

/// An error while starting a server.
#[derive(Debug)]
pub struct Error {
    addr: SocketAddr,
    message: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "cannot listen on {}: {}; choose a free address of this host",
            self.addr, self.message
        )
    }
}

impl std::error::Error for Error {}

/// Returns a Rocket configuration for `addr` without a `Server` response header and without signal
/// handlers.
pub fn config(addr: SocketAddr) -> Config {
    let mut config = Config {
        address: addr.ip(),
        port: addr.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        ..Config::release_default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config
}

/// Starts `rocket`, which must be configured with [`config`] for `addr`, and waits until it
/// listens.
///
/// # Errors
/// Fails if the address cannot be bound or the routes collide.
pub async fn bind(rocket: Rocket<Build>, addr: SocketAddr) -> Result<Server, Error> {
    let to_error = |message: String| Error { addr, message };
    let (sender, receiver) = oneshot::channel();
    let sender = parking_lot::Mutex::new(Some(sender));
    let rocket =
        rocket.attach(Shield::new()).attach(AdHoc::on_liftoff("bound address", move |rocket| {
            let config = rocket.config();
            if let Some(sender) = sender.lock().take() {
                // The receiver is gone only if the start timed out.
                let _ = sender.send(SocketAddr::new(config.address, config.port));
            }
            Box::pin(async {})
        }));
    let rocket = rocket.ignite().await.map_err(|error| to_error(error.kind().to_string()))?;
    let shutdown = rocket.shutdown();
    let mut task = tokio::spawn(async move { rocket.launch().await.map(drop) });
    tokio::select! {
        bound = time::timeout(BIND_TIMEOUT, receiver) => match bound {
            Ok(Ok(addr)) => Ok(Server { addr, shutdown, task }),
            Ok(Err(_)) => Err(to_error("the server stopped while starting".to_owned())),
            Err(_) => Err(to_error("the server did not start in time".to_owned())),
        },
        ended = &mut task => Err(to_error(match ended {
            Ok(Ok(())) => "the server stopped while starting".to_owned(),
            Ok(Err(error)) => error.kind().to_string(),
            Err(error) => error.to_string(),
        })),
    }
}
