//! Follows the store: the operator's routes, the targets' entries and the gateways' addresses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::catalog::{Snapshot, Source};
use citron_adapter::{
    gateways, routes,
    store::{Error, Store, Watched},
    targets,
};
use rand::Rng;
use tokio::time;

use crate::shared::Shared;

/// How long a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// The least time between two calls of one follower, so that changes come together.
const WATCH_GAP: Duration = Duration::from_millis(300);
/// The pause after the first failed call; it doubles with each further one.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// The longest pause after a failed call.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// What is followed.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Subject {
    Routes,
    Targets,
}

impl Subject {
    fn kind(self) -> &'static str {
        match self {
            Self::Routes => routes::KIND,
            Self::Targets => targets::KIND,
        }
    }
}

/// Follows the routes until the process ends.
pub async fn routes(shared: Arc<Shared>, store: Store) {
    follow(shared, store, Subject::Routes).await;
}

/// Follows the targets until the process ends.
pub async fn targets(shared: Arc<Shared>, store: Store) {
    follow(shared, store, Subject::Targets).await;
}

/// Tells the store where this gateway receives datagrams, and learns where the others do.
pub async fn gateways(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut pause = Pause::default();
    let host = shared.settings().host.clone();
    while let Err(error) = store.put(gateways::KIND, &host, &gateways::encode(own)).await {
        pause.after(&shared, "register", &error).await;
    }
    loop {
        match store.list(gateways::KIND).await {
            Ok(list) => {
                let now = shared.clock.now();
                let mut known = shared.gateways.lock();
                for (other, address) in gateways::decode_list(&list.objects) {
                    if other != host && known.learn(&other, address, now) {
                        log::info!(
                            "event=gateway-learned host={other} address={address} source=store"
                        );
                    }
                }
                drop(known);
                shared.state_changed.notify_one();
                return;
            }
            Err(error) => pause.after(&shared, "list-gateways", &error).await,
        }
    }
}

async fn follow(shared: Arc<Shared>, store: Store, subject: Subject) {
    let kind = subject.kind();
    let mut pause = Pause::default();
    let mut cursor = None;
    loop {
        let step = match cursor {
            None => list(&shared, &store, subject).await,
            // After a failure the return of the store must not wait for the next change.
            Some(revision) => {
                let wait = if pause.failed() { Duration::ZERO } else { WATCH_WAIT };
                watch(&shared, &store, subject, revision, wait).await
            }
        };
        match step {
            Ok(next) => {
                if pause.failed() {
                    log::info!("event=store-regained call={kind} failures={}", pause.failures);
                    shared.regain_store();
                }
                pause = Pause::default();
                shared.link.record_response(shared.clock.now());
                shared.metrics.store_calls.with_label_values(&[kind, "ok"]).inc();
                cursor = next;
                if cursor.is_some() {
                    time::sleep(WATCH_GAP).await;
                }
            }
            Err(error) => {
                shared.metrics.store_calls.with_label_values(&[kind, "failed"]).inc();
                if !pause.failed() {
                    shared.lose_store();
                }
                pause.after(&shared, kind, &error).await;
            }
        }
    }
}

async fn list(shared: &Shared, store: &Store, subject: Subject) -> Result<Option<u64>, Error> {
    let list = store.list(subject.kind()).await?;
    match subject {
        Subject::Routes => {
            for object in list.objects.iter().filter(|object| object.name == routes::NAME) {
                take_routes(shared, object);
            }
        }
        Subject::Targets => {
            let targets = targets::decode_list(&list.objects);
            shared.take_targets(
                Snapshot { revision: list.revision, targets, lapsed: Vec::new() },
                Source::Store,
            );
        }
    }
    Ok(Some(list.revision))
}

async fn watch(
    shared: &Shared,
    store: &Store,
    subject: Subject,
    revision: u64,
    wait: Duration,
) -> Result<Option<u64>, Error> {
    let kind = subject.kind();
    let (as_of, events) = match store.watch(kind, revision, wait).await? {
        Watched::HistoryGone => {
            log::info!("event=history-gone kind={kind} revision={revision}");
            return Ok(None);
        }
        Watched::Changes(as_of, events) => (as_of, events),
    };
    match subject {
        Subject::Routes => {
            for event in events.iter().filter(|e| e.object.name == routes::NAME && !e.deleted) {
                take_routes(shared, &event.object);
            }
        }
        Subject::Targets if events.is_empty() => {}
        Subject::Targets => {
            // A deleted object carries the revision before its end.
            let deleted = events.iter().any(|event| event.deleted);
            let newest = events.iter().map(|event| event.object.revision).max().unwrap_or(as_of);
            let content = if deleted { as_of } else { newest };
            shared.change_targets(content, targets::decode_events(&events), Source::Store);
        }
    }
    Ok(Some(as_of))
}

fn take_routes(shared: &Shared, object: &citron_adapter::store::Object) {
    match routes::decode(object) {
        Ok(table) => shared.take_routes(table, Source::Store),
        Err(reason) => log::error!(
            "event=routes-rejected revision={} reason={reason:?} kept=the-routes-in-force",
            object.revision
        ),
    }
}

/// The pauses between failed calls.
#[derive(Debug, Default)]
struct Pause {
    failures: u32,
}

impl Pause {
    fn failed(&self) -> bool {
        self.failures > 0
    }

    async fn after(&mut self, shared: &Shared, call: &str, error: &Error) {
        if self.failures == 0 {
            log::warn!("event=store-lost call={call} reason={:?}", error.to_string());
        }
        self.failures += 1;
        let longest = (RETRY_MIN * 2_u32.pow(self.failures.min(8))).min(RETRY_MAX);
        let pause = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        shared.metrics.store_calls.with_label_values(&[call, "retried"]).inc();
        time::sleep(pause).await;
    }
}
