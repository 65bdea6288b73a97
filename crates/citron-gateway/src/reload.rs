//! Reloads the settings file while the process runs.

use std::{sync::Arc, time::Duration};

use citron_adapter::{settings::Settings, store::Store};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time,
};

use crate::shared::Shared;

/// The interval at which the settings file is read without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Handles SIGHUP from now on, which would end the process.
///
/// # Errors
/// Fails if the signal cannot be handled.
pub fn listen() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Starts a task that reloads the settings on SIGHUP and when the file has changed.
pub fn spawn(shared: Arc<Shared>, store: Store, hangup: Signal) {
    tokio::spawn(watch(shared, store, hangup));
}

async fn watch(shared: Arc<Shared>, store: Store, mut hangup: Signal) {
    loop {
        let signalled = time::timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        match Settings::read() {
            Ok(settings) => apply(&shared, &store, settings, signalled),
            Err(error) if signalled => {
                log::error!(
                    "event=reload-failed reason={:?} kept=the-settings-in-force",
                    error.to_string()
                );
            }
            Err(error) => log::debug!("event=reload-failed reason={:?}", error.to_string()),
        }
    }
}

/// Applies new settings; `signalled` tells whether a signal announced them.
pub fn apply(shared: &Shared, store: &Store, settings: Settings, signalled: bool) {
    let current = shared.settings();
    if *current == settings {
        if signalled {
            log::info!("event=reloaded changed=no");
        }
        return;
    }
    let addresses_changed = settings.callers != current.callers
        || settings.ready != current.ready
        || settings.directory != current.directory
        || settings.peers != current.peers;
    if addresses_changed {
        log::warn!("event=reloaded changed=yes note=addresses-apply-at-the-next-start");
    } else {
        log::info!("event=reloaded changed=yes");
    }
    let moved_to = Some(settings.store).filter(|address| *address != current.store);
    *shared.settings.write() = Arc::new(settings);
    if let Some(address) = moved_to {
        log::info!("event=store-moved address={address} before={}", current.store);
        store.set_address(address);
        shared.store_moves.send_modify(|moves| *moves += 1);
    }
}
