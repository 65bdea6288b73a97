//! Carries out the graceful stop that `citron::shutdown` decides.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{event::Kind, shutdown::Action};
use citron_daemon::Server;
use tokio::time;

use crate::{shared::Shared, socket};

/// How often the stop is moved on.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// How often the connections are looked at for bytes not yet sent.
const SENT_INTERVAL: Duration = Duration::from_millis(100);
/// How many looks in a row must find none.
const SENT_CHECKS: u32 = 3;

/// Asks a proxy to leave.
#[derive(Clone)]
pub struct Leaver {
    pub(crate) shared: Arc<Shared>,
}

impl Leaver {
    /// Begins the graceful stop; a repeated call changes nothing.
    pub fn leave(&self) {
        begin(&self.shared);
    }
}

/// Begins the graceful stop; a repeated call changes nothing.
pub fn begin(shared: &Shared) {
    let action = shared.shutdown.lock().begin(shared.clock.now());
    if action == Some(Action::Announce) {
        shared.recorder.record(Kind::Leaving, &shared.settings.host, &[]);
        shared.leaving.send_replace(true);
    }
}

/// Waits until the proxy leaves, then ends `server` when nothing is in flight.
pub async fn run(shared: Arc<Shared>, listen: SocketAddr, server: Server) {
    let mut leaving = shared.leaving.subscribe();
    // The sender lives as long as `shared`.
    let _ = leaving.wait_for(|leaving| *leaving).await;
    loop {
        let action = shared.shutdown.lock().step(shared.clock.now(), shared.in_flight());
        match action {
            Some(Action::StopAccepting) => socket::stop_listening(listen),
            Some(Action::ShutDown) => break,
            Some(Action::Announce) | None => time::sleep(STEP_INTERVAL).await,
        }
    }
    // Rocket waits for idle connections as well; there is nothing left to send on these.
    tokio::select! {
        () = server.stop() => {}
        () = all_sent(listen) => {}
    }
    shared.recorder.record(Kind::Stopped, &shared.settings.host, &[]);
}

/// Waits until every answer has left this host.
async fn all_sent(listen: SocketAddr) {
    let mut empty_checks = 0;
    while empty_checks < SENT_CHECKS {
        time::sleep(SENT_INTERVAL).await;
        empty_checks = if socket::unsent_bytes(listen) == 0 { empty_checks + 1 } else { 0 };
    }
}
