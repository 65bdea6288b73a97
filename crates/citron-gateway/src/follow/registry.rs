//! Registers this gateway in the store and learns of the others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron_adapter::{
    gateways,
    pages::Pages,
    store::{List, Store, Written},
};
use citron_daemon::transfer::Progress;
use rand::Rng;
use tokio::time;

use super::{backoff::Backoff, call::CallKind};
use crate::shared::Shared;

/// Registers this gateway's datagram address in the store and reads those of the others, and again
/// each time the store comes back from an older copy or has another address; runs until the process
/// ends.
pub async fn run(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut latest_era = shared.store_era.subscribe();
    let mut moves = shared.store_moves.subscribe();
    let mut is_registered = false;
    loop {
        let Written { era, existed } = register(&shared, &store, own).await;
        if !is_registered && !existed && shared.settings().is_first_start {
            shared.budgets.start_full();
        }
        is_registered = true;
        learn(&shared, &list(&shared, &store).await);
        // The senders live as long as `shared`.
        tokio::select! {
            _ = latest_era.wait_for(|latest| *latest > era) => {}
            _ = moves.changed() => {}
        }
        time::sleep(turn(&shared)).await;
    }
}

/// Returns this gateway's turn when all gateways register again.
fn turn(shared: &Shared) -> Duration {
    shared.gateways.lock().call_spread().mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Registers this gateway.
async fn register(shared: &Shared, store: &Store, own: SocketAddr) -> Written {
    let host = shared.settings().host.clone();
    let mut backoff = Backoff::default();
    loop {
        match store.put(gateways::KIND, &host, &gateways::encode(own)).await {
            Ok(written) => {
                record_call(shared, CallKind::Register, "ok");
                let Written { era, existed } = written;
                log::info!("event=registered era={era} existed={existed}");
                return written;
            }
            Err(error) => {
                record_call(shared, CallKind::Register, "failed");
                backoff.record_failure("register", &error);
                backoff.wait(shared, gateways::KIND, CallKind::Register).await;
            }
        }
    }
}

async fn list(shared: &Shared, store: &Store) -> List {
    let pages = Pages::default();
    let mut backoff = Backoff::default();
    loop {
        match store.list(gateways::KIND, &pages, &Progress::default()).await {
            Ok(list) => {
                record_call(shared, CallKind::List, "ok");
                return list;
            }
            Err(error) => {
                record_call(shared, CallKind::List, "failed");
                backoff.record_failure("list-gateways", &error);
                backoff.wait(shared, gateways::KIND, CallKind::List).await;
            }
        }
    }
}

fn record_call(shared: &Shared, call: CallKind, outcome: &str) {
    let labels = [gateways::KIND, call.into(), outcome];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}

fn learn(shared: &Shared, list: &List) {
    let now = shared.clock.now();
    let host = shared.settings().host.clone();
    for (other, address) in gateways::decode_list(&list.objects) {
        if other != host && shared.gateways.lock().learn(&other, address, now) {
            log::info!("event=gateway-learned host={other} address={address} source=store");
        }
    }
    shared.gateways.lock().record_list();
    shared.update_retry_share();
    shared.state_changed.notify_one();
}
