//! Reloads the settings file while the process runs.

use std::{sync::Arc, time::Duration};

use citron_adapter::settings::Settings;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time,
};

use crate::shared::Shared;

/// The interval at which the settings file is read without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts a task that reloads the settings on SIGHUP and when the file has changed.
///
/// # Errors
/// Fails if the signal cannot be handled.
pub fn spawn(shared: Arc<Shared>) -> std::io::Result<()> {
    let hangup = signal(SignalKind::hangup())?;
    tokio::spawn(watch(shared, hangup));
    Ok(())
}

async fn watch(shared: Arc<Shared>, mut hangup: Signal) {
    loop {
        let signalled = time::timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        match Settings::read() {
            Ok(settings) => apply(&shared, settings, signalled),
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

fn apply(shared: &Shared, settings: Settings, signalled: bool) {
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
        || settings.peers != current.peers
        || settings.store != current.store;
    if addresses_changed {
        log::warn!("event=reloaded changed=yes note=addresses-apply-at-the-next-start");
    } else {
        log::info!("event=reloaded changed=yes");
    }
    *shared.settings.write() = Arc::new(settings);
}
