//! Fetches newer routes and targets from peers.
//!
//! Routes and targets have a task each, so that a long transfer of one does not hold up the other.
//! Each has one transfer at a time. After a failure it waits longer, and asks another peer.

use std::{io::Read, net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    catalog::{Source, Update},
    freshness::CONFIRMATION_MAX_AGE,
};
use citron_daemon::transfer::{self, Bounds, Progress};
use flate2::read::GzDecoder;
use rand::Rng;
use reqwest::{
    Response, StatusCode,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING},
};
use serde::de::DeserializeOwned;
use strum::{Display, IntoStaticStr};
use tokio::{sync::Notify, task, time};

use crate::shared::Shared;

/// The delay before a gateway that is behind a peer pulls from it while the store responds, so that
/// the store can deliver the update first.
const PULL_DELAY: Duration = Duration::from_millis(400);
/// The delay while the store does not respond, or has not confirmed this gateway's state for long.
const PULL_DELAY_UNCONFIRMED: Duration = Duration::from_millis(50);
/// The maximum delay at a gateway that does not follow the store. It is drawn, so that the pulls of a
/// large failure domain are spread over time and over the peers that are ahead by then.
const STANDBY_PULL_DELAY_MAX: Duration = Duration::from_millis(100);
/// The minimum interval between two pulls of such a gateway, so that changes arrive in batches.
const STANDBY_PULL_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// The delay after the first failed pull; it doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// The maximum delay after a failed pull.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// The number of failures in a row after which peers of other failure domains are asked too.
const NEAR_FAILURES_MAX: u32 = 2;
/// The timeout for the head of a response of a peer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the body of a response of a peer may make no progress.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The size of a response up to which it is decoded at once, in bytes.
const SHORT_BODY_BYTES: usize = 8 * 1024;
/// The maximum size of a response of a peer as it is sent, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The maximum size of a response of a peer once it is decompressed, in bytes; a list of 32,000
/// targets has a tenth.
const TEXT_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// What a gateway pulls from peers that are ahead of it.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Subject {
    Routes,
    Targets,
}

/// Why a pull failed.
#[derive(Debug, Clone, Eq, PartialEq)]
enum Error {
    /// The peer sends to as many as it can, or has nothing yet.
    Refused(StatusCode),
    /// No response began in time, or it broke off, stalled or was too long.
    Lost(String),
    /// The response cannot be decoded.
    Malformed(String),
    /// The response brought nothing newer.
    NotNewer,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "the peer refused with status {status}"),
            Self::Lost(reason) => write!(f, "the peer's answer was not received: {reason}"),
            Self::Malformed(reason) => write!(f, "the peer's answer cannot be read: {reason}"),
            Self::NotNewer => f.write_str("the peer's answer brought nothing newer"),
        }
    }
}

impl Subject {
    /// Returns what wakes the task that pulls it.
    pub fn behind(self, shared: &Shared) -> &Notify {
        match self {
            Self::Routes => &shared.routes_behind,
            Self::Targets => &shared.targets_behind,
        }
    }

    /// Returns a peer that is ahead, if there is one: after several failures any, before that one of
    /// this failure domain if possible.
    fn peer_ahead(self, shared: &Shared, failures: u32) -> Option<SocketAddr> {
        let settings = shared.settings();
        let domain = (failures < NEAR_FAILURES_MAX).then_some(settings.domain.as_str());
        let now = shared.clock.now();
        let mut rng = rand::rng();
        match self {
            Self::Routes => {
                let edition = shared.routes_edition();
                shared.gateways.lock().peer_with_newer_routes(edition, domain, now, &mut rng)
            }
            Self::Targets => {
                let position = shared.targets.lock().catalog.position();
                shared.gateways.lock().peer_with_newer_targets(position, domain, now, &mut rng)
            }
        }
    }

    /// Wakes the follower of the store, whose watch should have delivered what a peer gave.
    fn wake_follower(self, shared: &Shared) {
        match self {
            Self::Routes => shared.routes_overdue.notify_waiters(),
            Self::Targets => shared.targets_overdue.notify_waiters(),
        }
    }
}

/// Fetches newer state from peers whenever the store does not deliver it in time; runs until the
/// process ends.
///
/// If the store seems to respond, the watch that should have delivered it may be on a connection
/// that went silent, and its follower is woken.
pub async fn run(shared: Arc<Shared>, http: reqwest::Client, subject: Subject) {
    let mut failures = 0;
    let mut pulled_at = Duration::ZERO;
    loop {
        if subject.peer_ahead(&shared, failures).is_none() {
            failures = 0;
            subject.behind(&shared).notified().await;
            continue;
        }
        let was_down = shared.link.is_down();
        time::sleep(delay(&shared, was_down, failures, pulled_at)).await;
        let is_overdue = !was_down && !shared.link.is_down();
        let Some(peer) = subject.peer_ahead(&shared, failures) else { continue };
        match pull(&shared, &http, subject, peer).await {
            Ok(()) => {
                failures = 0;
                pulled_at = shared.clock.now();
                if is_overdue {
                    subject.wake_follower(&shared);
                }
            }
            // The store was first.
            Err(Error::NotNewer) if subject.peer_ahead(&shared, failures).is_none() => {}
            Err(error) => {
                failures += 1;
                let reason = error.to_string();
                log::warn!(
                    "event=pull-failed what={subject} peer={peer} failures={failures} reason={reason:?}"
                );
            }
        }
    }
}

/// Returns how long to wait before the next pull, after so many failures in a row, if the latest one
/// that brought something ended at `pulled_at`.
fn delay(shared: &Shared, is_down: bool, failures: u32, pulled_at: Duration) -> Duration {
    if failures > 0 {
        let delay = RETRY_DELAY_MIN * 2_u32.pow(failures.min(8) - 1);
        return delay.min(RETRY_DELAY_MAX).mul_f64(rand::rng().random_range(0.5..1.0));
    }
    let now = shared.clock.now();
    if !shared.is_follower() {
        let drawn = STANDBY_PULL_DELAY_MAX.mul_f64(rand::rng().random_range(0.0..1.0));
        return drawn.max((pulled_at + STANDBY_PULL_INTERVAL_MIN).saturating_sub(now));
    }
    let age = shared.confirmation_age(now);
    let is_confirmed = age.is_some_and(|age| age < CONFIRMATION_MAX_AGE);
    if is_confirmed && !is_down { PULL_DELAY } else { PULL_DELAY_UNCONFIRMED }
}

async fn pull(
    shared: &Shared,
    http: &reqwest::Client,
    subject: Subject,
    peer: SocketAddr,
) -> Result<(), Error> {
    let is_newer = match subject {
        Subject::Routes => {
            let table = fetch(shared, http, peer, "routes", "routes").await?;
            shared.apply_routes(table)
        }
        Subject::Targets => {
            let position = shared.targets.lock().catalog.position();
            let path = format!("targets?since={}&era={}", position.revision, position.era);
            match fetch(shared, http, peer, "targets", &path).await? {
                Update::Whole(snapshot) => shared.replace_targets(snapshot, Source::Peer),
                Update::Changes(revision, changes) => {
                    shared.apply_target_changes(position.at(revision), changes, Source::Peer)
                }
            }
        }
    };
    if is_newer { Ok(()) } else { Err(Error::NotNewer) }
}

/// Fetches `path`, which gives `what`, from a peer; returns `None` if that failed, which is logged.
pub(super) async fn try_fetch<T: DeserializeOwned + Send + 'static>(
    shared: &Shared,
    http: &reqwest::Client,
    peer: SocketAddr,
    what: &str,
    path: &str,
) -> Option<T> {
    let result = fetch(shared, http, peer, what, path).await;
    let log = |error: &Error| {
        let reason = error.to_string();
        log::warn!("event=pull-failed what={what} peer={peer} failures=1 reason={reason:?}");
    };
    result.inspect_err(log).ok()
}

/// Fetches `path`, which gives `what`, from a peer.
async fn fetch<T: DeserializeOwned + Send + 'static>(
    shared: &Shared,
    http: &reqwest::Client,
    peer: SocketAddr,
    what: &str,
    path: &str,
) -> Result<T, Error> {
    let begun_at = shared.clock.now();
    let progress = Progress::default();
    let url = format!("http://{peer}/{path}");
    let result = receive(http, &url, &progress).await;
    let took_ms = shared.clock.now().saturating_sub(begun_at).as_millis();
    let received = progress.received();
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    shared.metrics.pulls.with_label_values(&[what, outcome]).inc();
    shared.metrics.record_state_bytes("peer", what, outcome, received);
    log::info!(
        "event=pulled what={what} peer={peer} took_ms={took_ms} received={received} outcome={outcome}"
    );
    result
}

async fn receive<T: DeserializeOwned + Send + 'static>(
    http: &reqwest::Client,
    url: &str,
    progress: &Progress,
) -> Result<T, Error> {
    let lost = |error: reqwest::Error| Error::Lost(error.to_string());
    let sent = time::timeout(HEAD_TIMEOUT, http.get(url).header(ACCEPT_ENCODING, "gzip").send());
    let response = sent.await.map_err(|_| Error::Lost("it did not begin in time".to_owned()))?;
    let mut response = response.map_err(lost)?;
    if !response.status().is_success() {
        return Err(Error::Refused(response.status()));
    }
    let is_compressed = is_compressed(&response);
    let bounds = Bounds { size: BODY_LIMIT_BYTES, stall_timeout: STALL_TIMEOUT };
    let body = transfer::read(&mut response, bounds, progress).await;
    let body = body.map_err(|error| Error::Lost(error.to_string()))?;
    if body.len() < SHORT_BODY_BYTES {
        return decode(&body, is_compressed);
    }
    // Beside the tasks that forward requests.
    let decoded = task::spawn_blocking(move || decode(&body, is_compressed)).await;
    decoded.map_err(|error| Error::Malformed(error.to_string()))?
}

fn is_compressed(response: &Response) -> bool {
    response.headers().get(CONTENT_ENCODING).is_some_and(|coding| coding == "gzip")
}

fn decode<T: DeserializeOwned>(body: &[u8], is_compressed: bool) -> Result<T, Error> {
    let decoded = if is_compressed {
        let text = GzDecoder::new(body).take(TEXT_LIMIT_BYTES);
        serde_json::from_reader(std::io::BufReader::new(text))
    } else {
        serde_json::from_slice(body)
    };
    decoded.map_err(|error| Error::Malformed(error.to_string()))
}
