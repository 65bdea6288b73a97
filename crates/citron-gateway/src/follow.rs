//! Follows the store: the operator's routes and the targets' entries; registers this gateway there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::catalog::{Snapshot, Source};
use citron_adapter::{
    gateways, routes,
    store::{Error, Store, WatchResult},
    targets,
};
use rand::Rng;
use tokio::{sync::Notify, time};

use crate::shared::Shared;

/// How long a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// The minimum interval between two watch calls of one follower, so that changes arrive in batches.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// The minimum delay after the first failed call; the delay doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// The maximum delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// The kind of object that a follower watches.
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

    /// Returns what wakes the follower when a peer is ahead of its watch.
    fn overdue(self, shared: &Shared) -> &Notify {
        match self {
            Self::Routes => &shared.routes_overdue,
            Self::Targets => &shared.targets_overdue,
        }
    }
}

/// Follows the routes until the process ends.
pub async fn routes(shared: Arc<Shared>, store: Store) {
    Follower::open(shared, store, Subject::Routes).run().await;
}

/// Follows the targets until the process ends.
pub async fn targets(shared: Arc<Shared>, store: Store) {
    Follower::open(shared, store, Subject::Targets).run().await;
}

/// Registers this gateway's datagram address in the store, then reads those of the other gateways.
pub async fn gateways(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut backoff = Backoff::default();
    let host = shared.settings().host.clone();
    while let Err(error) = store.put(gateways::KIND, &host, &gateways::encode(own)).await {
        backoff.wait_after(&shared, "register", &error).await;
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
            Err(error) => backoff.wait_after(&shared, "list-gateways", &error).await,
        }
    }
}

/// Follows one kind of objects: lists them, then watches for changes.
struct Follower {
    shared: Arc<Shared>,
    store: Store,
    subject: Subject,
    /// The revision from which the next watch continues, `None` if the next call is a list.
    cursor: Option<u64>,
    backoff: Backoff,
    /// Whether a peer has something newer than the last watch delivered.
    is_overdue: bool,
}

impl Follower {
    fn open(shared: Arc<Shared>, store: Store, subject: Subject) -> Self {
        let backoff = Backoff::default();
        Self { shared, store, subject, cursor: None, backoff, is_overdue: false }
    }

    async fn run(mut self) {
        loop {
            let wait = self.wait();
            let called_at = self.shared.clock.now();
            let result = tokio::select! {
                result = self.call(wait) => result,
                () = self.subject.overdue(&self.shared).notified(), if !wait.is_zero() => {
                    let kind = self.subject.kind();
                    log::info!("event=watch-renewed call={kind} reason=peer-ahead");
                    self.is_overdue = true;
                    continue;
                }
            };
            self.is_overdue = false;
            match result {
                Ok(cursor) => self.record_response(cursor).await,
                Err(error) => self.record_failure(&error, called_at, wait).await,
            }
        }
    }

    /// Returns how long the next call may wait for changes.
    ///
    /// After a failure or a silence, a recovery must be noticed at once, not with the next change.
    fn wait(&self) -> Duration {
        let is_doubtful = self.backoff.failed() || self.is_overdue;
        if self.cursor.is_none() || is_doubtful { Duration::ZERO } else { WATCH_TIMEOUT }
    }

    /// Makes the next call and returns the next cursor.
    async fn call(&self, wait: Duration) -> Result<Option<u64>, Error> {
        let Self { shared, store, subject, .. } = self;
        match self.cursor {
            None => list(shared, store, *subject).await,
            Some(revision) => watch(shared, store, *subject, revision, wait).await,
        }
    }

    async fn record_response(&mut self, cursor: Option<u64>) {
        let kind = self.subject.kind();
        let had_failed = self.backoff.failed();
        if had_failed {
            log::info!("event=store-regained call={kind} failures={}", self.backoff.failures);
        }
        self.shared.record_store_response(kind, had_failed);
        self.backoff = Backoff::default();
        self.shared.metrics.store_calls.with_label_values(&[kind, "ok"]).inc();
        self.cursor = cursor;
        if cursor.is_some() {
            time::sleep(WATCH_INTERVAL_MIN).await;
        }
    }

    /// Records that the call begun at `called_at`, which was to wait for `wait`, failed.
    async fn record_failure(&mut self, error: &Error, called_at: Duration, wait: Duration) {
        let kind = self.subject.kind();
        self.shared.metrics.store_calls.with_label_values(&[kind, "failed"]).inc();
        let now = self.shared.clock.now();
        let waited_ms = now.saturating_sub(called_at).as_millis();
        log::info!(
            "event=store-call-failed call={kind} waited_ms={waited_ms} reason={:?}",
            error.to_string()
        );
        let due = (called_at + wait).min(now);
        self.shared.link.record_failure(!self.backoff.failed(), due);
        self.backoff.wait_after(&self.shared, kind, error).await;
    }
}

async fn list(shared: &Shared, store: &Store, subject: Subject) -> Result<Option<u64>, Error> {
    let list = store.list(subject.kind()).await?;
    match subject {
        Subject::Routes => {
            for object in list.objects.iter().filter(|object| object.name == routes::NAME) {
                apply_routes(shared, object);
            }
        }
        Subject::Targets => {
            let targets = targets::decode_list(&list.objects);
            shared.replace_targets(
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
        WatchResult::HistoryGone => {
            log::info!("event=history-gone kind={kind} revision={revision}");
            return Ok(None);
        }
        WatchResult::Changes(as_of, events) => (as_of, events),
    };
    match subject {
        Subject::Routes => {
            for event in events.iter().filter(|e| e.object.name == routes::NAME && !e.deleted) {
                apply_routes(shared, &event.object);
            }
        }
        Subject::Targets if events.is_empty() => {}
        Subject::Targets => {
            // A deleted object carries its last revision before the deletion.
            let deleted = events.iter().any(|event| event.deleted);
            let newest = events.iter().map(|event| event.object.revision).max().unwrap_or(as_of);
            let content = if deleted { as_of } else { newest };
            shared.apply_target_changes(content, targets::decode_events(&events), Source::Store);
        }
    }
    Ok(Some(as_of))
}

fn apply_routes(shared: &Shared, object: &citron_adapter::store::Object) {
    match routes::decode(object) {
        Ok(table) => {
            shared.apply_routes(table, Source::Store);
        }
        Err(reason) => log::error!(
            "event=routes-rejected revision={} reason={reason:?} kept=the-routes-in-force",
            object.revision
        ),
    }
}

/// Exponential backoff with jitter after failed calls to the store.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn failed(&self) -> bool {
        self.failures > 0
    }

    async fn wait_after(&mut self, shared: &Shared, call: &str, error: &Error) {
        if self.failures == 0 {
            log::warn!("event=store-lost call={call} reason={:?}", error.to_string());
        }
        self.failures += 1;
        let longest = (RETRY_DELAY_MIN * 2_u32.pow(self.failures.min(8))).min(RETRY_DELAY_MAX);
        let delay = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        shared.metrics.store_calls.with_label_values(&[call, "retried"]).inc();
        time::sleep(delay).await;
    }
}
