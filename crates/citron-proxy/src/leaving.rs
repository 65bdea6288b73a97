//! Carries out the graceful stop that `citron::leave` decides.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{event::Kind, leave::Action};
use citron_daemon::Server;
use tokio::time;

use crate::{shared::Shared, socket};

/// How often the stop is moved on.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

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
    let action = shared.departure.lock().begin(shared.clock.now());
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
        let action = shared.departure.lock().step(shared.clock.now(), shared.in_flight());
        match action {
            Some(Action::StopAccepting) => socket::stop_listening(listen),
            Some(Action::ShutDown) => break,
            Some(Action::Announce) | None => time::sleep(STEP_INTERVAL).await,
        }
    }
    server.stop().await;
    shared.recorder.record(Kind::Stopped, &shared.settings.host, &[]);
}
