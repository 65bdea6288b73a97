//! Follows the store: the operator's routes and the targets' entries; registers this gateway there.
//!
//! A watch that was begun while the store was silent may never return. A few gateways poll the
//! targets instead, and begin a further call while one is unanswered. The store counts all changes
//! with one revision, which tells them whether the routes may have changed too. The other gateways
//! pull from them what their own watch does not deliver.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use citron::catalog::{Snapshot, Source};
use citron_adapter::{
    gateways, routes,
    store::{Error, Store, WatchResult},
    targets,
};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use tokio::{sync::Notify, time};

use crate::shared::Shared;

/// How long a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// How long a watch call of a gateway that polls waits for changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a poll may stay unanswered before a further one is made beside it.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum number of unanswered polls of one follower.
const POLLS_LIMIT: usize = 4;
/// The interval at which a follower that waits long checks whether its gateway has to poll.
const POLLER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two watch calls of one follower, so that changes arrive in batches.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// The minimum delay after the first failed call; the delay doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// The maximum delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// The same at a gateway that polls.
const POLL_RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

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
        backoff.record_failure("register", &error);
        backoff.wait(&shared, "register").await;
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
            Err(error) => {
                backoff.record_failure("list-gateways", &error);
                backoff.wait(&shared, "list-gateways").await;
            }
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
    /// Whether the last call was abandoned, so that the next one must not wait.
    has_abandoned: bool,
    /// Whether it asked at short intervals before its last call.
    is_polling: bool,
}

/// Why a call that waits for changes is abandoned.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Abandoned {
    /// A peer has something newer than this watch delivered.
    PeerAhead,
    /// This gateway has to poll from now on.
    Polling,
}

impl Follower {
    fn open(shared: Arc<Shared>, store: Store, subject: Subject) -> Self {
        let backoff = Backoff::default();
        Self {
            shared,
            store,
            subject,
            cursor: None,
            backoff,
            has_abandoned: false,
            is_polling: false,
        }
    }

    async fn run(mut self) {
        loop {
            self.log_polling();
            let wait = self.wait();
            let begun_at = self.shared.clock.now();
            let response = self.response(wait).await;
            self.has_abandoned = response.is_err();
            match response {
                Ok(Some(cursor)) => self.record_response(cursor).await,
                Ok(None) => self.backoff.wait(&self.shared, self.subject.kind()).await,
                Err(reason) => {
                    let kind = self.subject.kind();
                    let waited = self.shared.clock.now().saturating_sub(begun_at);
                    log::info!(
                        "event=watch-renewed call={kind} reason={reason} waited_ms={}",
                        waited.as_millis()
                    );
                    self.shared.link.record_abandoned();
                }
            }
        }
    }

    /// Logs when this follower begins or ceases to ask at short intervals.
    fn log_polling(&mut self) {
        let polls = self.polls();
        if std::mem::replace(&mut self.is_polling, polls) != polls {
            let event = if polls { "polling-begun" } else { "polling-ended" };
            log::info!("event={event} call={}", self.subject.kind());
        }
    }

    /// Returns how long the next call may wait for changes.
    ///
    /// After a failure or a silence, a recovery must be noticed at once, not with the next change.
    fn wait(&self) -> Duration {
        let is_doubtful = self.backoff.failed() || self.has_abandoned;
        match self.cursor {
            Some(_) if !is_doubtful && self.polls() => POLL_TIMEOUT,
            Some(_) if !is_doubtful => WATCH_TIMEOUT,
            _ => Duration::ZERO,
        }
    }

    /// Returns true if this follower asks at short intervals.
    fn polls(&self) -> bool {
        self.subject == Subject::Targets && self.shared.is_poller()
    }

    /// Makes calls, of which the first waits for `wait`, until one is answered; returns the next
    /// cursor, or `None` if all failed.
    ///
    /// # Errors
    /// Fails if the call should not be waited for any longer.
    async fn response(&mut self, wait: Duration) -> Result<Option<Option<u64>>, Abandoned> {
        let shared = Arc::clone(&self.shared);
        let mut calls = FuturesUnordered::new();
        calls.push(self.call(wait));
        let mut next_call_at = time::Instant::now() + wait + POLL_INTERVAL;
        let mut revisions = shared.store_revision.subscribe();
        // The store may have been further already when this call began.
        revisions.mark_changed();
        let is_watch = wait > POLL_TIMEOUT;
        loop {
            tokio::select! {
                Some(call) = calls.next() => match call.result {
                    Ok(cursor) => return Ok(Some(cursor)),
                    Err(error) => {
                        self.record_failure(&error, call.begun_at, call.wait);
                        // A watch that is left may hang for the same reason.
                        if is_watch {
                            return Ok(None);
                        }
                    }
                },
                () = self.subject.overdue(&shared).notified(), if !wait.is_zero() => {
                    return Err(Abandoned::PeerAhead);
                }
                () = time::sleep(POLLER_CHECK_INTERVAL), if is_watch && calls.len() == 1 => {
                    if self.polls() {
                        return Err(Abandoned::Polling);
                    }
                }
                Ok(()) = revisions.changed(), if is_watch && calls.len() < POLLS_LIMIT => {
                    let is_behind = self.cursor < Some(*revisions.borrow_and_update());
                    if is_behind && shared.is_poller() {
                        calls.push(self.call(Duration::ZERO));
                    }
                }
                () = time::sleep_until(next_call_at), if !is_watch => {
                    next_call_at += POLL_INTERVAL;
                    if calls.len() < POLLS_LIMIT && shared.is_poller() {
                        calls.push(self.call(Duration::ZERO));
                    }
                }
            }
            if calls.is_empty() {
                return Ok(None);
            }
        }
    }

    /// Makes a call that may wait for `wait`.
    fn call(&self, wait: Duration) -> impl Future<Output = Call> + use<> {
        let shared = Arc::clone(&self.shared);
        let (store, subject, cursor) = (self.store.clone(), self.subject, self.cursor);
        let begun_at = shared.clock.now();
        async move {
            let result = match cursor {
                None => list(&shared, &store, subject).await,
                Some(revision) => watch(&shared, &store, subject, revision, wait).await,
            };
            Call { result, begun_at, wait }
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
        if let Some(revision) = cursor {
            self.shared.store_revision.send_if_modified(|latest| {
                let is_newer = revision > *latest;
                *latest = revision.max(*latest);
                is_newer
            });
            time::sleep(WATCH_INTERVAL_MIN).await;
        }
    }

    /// Records that the call begun at `begun_at`, which was to wait for `wait`, failed.
    fn record_failure(&mut self, error: &Error, begun_at: Duration, wait: Duration) {
        let kind = self.subject.kind();
        self.shared.metrics.store_calls.with_label_values(&[kind, "failed"]).inc();
        let now = self.shared.clock.now();
        let waited_ms = now.saturating_sub(begun_at).as_millis();
        log::info!(
            "event=store-call-failed call={kind} waited_ms={waited_ms} reason={:?}",
            error.to_string()
        );
        let due = (begun_at + wait).min(now);
        self.shared.record_store_failure(!self.backoff.failed(), due);
        self.backoff.record_failure(kind, error);
    }
}

/// A call that ended.
struct Call {
    /// The next cursor.
    result: Result<Option<u64>, Error>,
    begun_at: Duration,
    /// How long it was to wait for changes.
    wait: Duration,
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

    fn record_failure(&mut self, call: &str, error: &Error) {
        if self.failures == 0 {
            log::warn!("event=store-lost call={call} reason={:?}", error.to_string());
        }
        self.failures += 1;
    }

    async fn wait(&self, shared: &Shared, call: &str) {
        let longest = if shared.is_poller() { POLL_RETRY_DELAY_MAX } else { RETRY_DELAY_MAX };
        let delay = (RETRY_DELAY_MIN * 2_u32.pow(self.failures.min(8))).min(longest);
        let delay = delay.mul_f64(rand::rng().random_range(0.5..1.0));
        shared.metrics.store_calls.with_label_values(&[call, "retried"]).inc();
        time::sleep(delay).await;
    }
}
