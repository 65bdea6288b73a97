//! Shuts the proxy down gracefully in the steps that `citron::shutdown` decides.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{event::Kind, shutdown::Action};
use citron_daemon::Server;
use tokio::time;

use crate::{shared::Shared, socket};

/// How often the graceful shutdown is advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// How often the connections are checked for unacknowledged bytes.
const ACK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many checks in a row must find no unacknowledged bytes.
const ACK_CHECK_COUNT: u32 = 3;

/// Starts the graceful shutdown of a proxy.
#[derive(Clone)]
pub struct ShutdownHandle {
    pub(crate) shared: Arc<Shared>,
}

impl ShutdownHandle {
    /// Begins the graceful shutdown; a repeated call changes nothing.
    pub fn begin(&self) {
        begin(&self.shared);
    }
}

/// Begins the graceful shutdown; a repeated call changes nothing.
pub fn begin(shared: &Shared) {
    let action = shared.shutdown.lock().begin(shared.clock.now());
    if action == Some(Action::Announce) {
        shared.recorder.record(Kind::Leaving, &shared.settings.host, &[]);
        shared.leaving.send_replace(true);
    }
}

/// Waits until the graceful shutdown begins, then stops `server` once no request is in flight.
pub async fn run(shared: Arc<Shared>, listen: SocketAddr, server: Server) {
    let mut leaving = shared.leaving.subscribe();
    // This cannot fail, as `shared` owns the sender.
    let _ = leaving.wait_for(|leaving| *leaving).await;
    loop {
        let action = shared.shutdown.lock().step(shared.clock.now(), shared.in_flight());
        match action {
            Some(Action::StopAccepting) => socket::stop_listening(listen),
            Some(Action::ShutDown) => break,
            Some(Action::Announce) | None => time::sleep(STEP_INTERVAL).await,
        }
    }
    // Rocket also waits for idle connections, on which nothing is left to send.
    tokio::select! {
        () = server.stop() => {}
        () = all_acknowledged(listen) => {}
    }
    shared.recorder.record(Kind::Stopped, &shared.settings.host, &[]);
}

/// Waits until the callers have acknowledged every response.
async fn all_acknowledged(listen: SocketAddr) {
    let mut empty_checks = 0;
    while empty_checks < ACK_CHECK_COUNT {
        time::sleep(ACK_CHECK_INTERVAL).await;
        empty_checks = if socket::unacknowledged_bytes(listen) == 0 { empty_checks + 1 } else { 0 };
    }
}
