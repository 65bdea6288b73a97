//! Registers this gateway in the store and learns of the others.

use std::{net::SocketAddr, sync::Arc};

use citron_adapter::{
    gateways,
    store::{List, Store},
};

use super::backoff::Backoff;
use crate::shared::Shared;

/// Registers this gateway's datagram address in the store, then reads those of the other gateways.
pub async fn run(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut backoff = Backoff::default();
    let host = shared.settings().host.clone();
    while let Err(error) = store.put(gateways::KIND, &host, &gateways::encode(own)).await {
        backoff.record_failure("register", &error);
        backoff.wait(&shared, "register").await;
    }
    loop {
        match store.list(gateways::KIND).await {
            Ok(list) => {
                learn(&shared, &list);
                return;
            }
            Err(error) => {
                backoff.record_failure("list-gateways", &error);
                backoff.wait(&shared, "list-gateways").await;
            }
        }
    }
}

fn learn(shared: &Shared, list: &List) {
    let now = shared.clock.now();
    let host = shared.settings().host.clone();
    for (other, address) in gateways::decode_list(&list.objects) {
        if other != host && shared.gateways.lock().learn(&other, address, now) {
            log::info!("event=gateway-learned host={other} address={address} source=store");
        }
    }
    shared.state_changed.notify_one();
}
