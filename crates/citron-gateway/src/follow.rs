//! Follows the store: the operator's routes and the targets' entries; registers this gateway there.
//!
//! A watch that was begun while the store was silent may never return. A few gateways therefore poll
//! the targets, begin a further call while one is unanswered, and tell the others what the store
//! confirmed. The store counts all changes with one revision, which tells whether the routes may have
//! changed too. A gateway whose state was not confirmed for long checks it itself, beside its
//! watches, and one that learns that the store has returned begins them anew.
//!
//! In a large failure domain only a few gateways follow the store. The others stand by: they take
//! changes from peers, and make no call but a check when nothing has confirmed their state for long.

mod backoff;
mod call;
mod calls;
mod registry;

pub use self::registry::run as registry;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{follower::Role, freshness::CheckTimer, position::Position};
use citron_adapter::{
    pages::Pages,
    store::{Error, Recency, Store},
};
use citron_daemon::transfer::Progress;
use rand::Rng;
use tokio::time;

use self::{
    backoff::Backoff,
    call::{Call, CallKind, Query, Response, Subject},
    calls::Calls,
};
use crate::shared::Shared;

/// How long a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// How long a watch call of a gateway that polls waits for changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a poll may stay unanswered before a further one is made beside it.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a call at a gateway that does not poll.
const CALL_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of unanswered calls of one follower.
const CALLS_LIMIT: usize = 4;
/// The interval at which a follower whose watch waits long checks whether its gateway has to poll
/// and whether the watch may hang.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two looks at whether a check is due.
const CHECK_PAUSE_MIN: Duration = Duration::from_millis(30);
/// The minimum interval between two watch calls of one follower, so that changes arrive in batches.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(300);

/// How long a gateway that starts waits after its first list until it knows which gateways follow the
/// store.
const SELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval between two looks at whether they are known.
const SELECTION_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The minimum interval after which a follower that stands by repeats a call that failed, although
/// peers confirm its state: until then it is selected after those that the store responds to. It is
/// lengthened by up to as much again.
const STANDBY_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// How many times as long as the latest list changes may be, so that they are not listed instead.
const HISTORY_LIMIT_LISTS: usize = 2;
/// Changes up to this size are never listed instead, in bytes.
const HISTORY_LIMIT_MIN_BYTES: usize = 64 * 1024;

/// Follows the routes until the process ends.
pub async fn routes(shared: Arc<Shared>, store: Store) {
    Follower::open(shared, store, Subject::Routes).run().await;
}

/// Follows the targets until the process ends.
pub async fn targets(shared: Arc<Shared>, store: Store) {
    Follower::open(shared, store, Subject::Targets).run().await;
}

/// Follows one kind of objects: lists them, then watches for changes.
struct Follower {
    shared: Arc<Shared>,
    store: Store,
    subject: Subject,
    /// The position from which the next watch continues, `None` if the next call is a list.
    cursor: Option<Position>,
    /// How recent the next list must be. Only the first one may be stale: the store may have no
    /// history since an old one.
    recency: Recency,
    /// The size of the latest list, in bytes.
    list_bytes: usize,
    /// What arrived of a list that was not completed.
    pages: Pages,
    backoff: Backoff,
    checks: CheckTimer,
    /// Whether the last call was abandoned, so that the next one must not wait.
    has_abandoned: bool,
    /// Whether the last response showed all that was written before its call.
    is_confirmed: bool,
    /// Whether it asked at short intervals before its last call.
    is_polling: bool,
    /// Whether its gateway has to follow the store.
    role: Role,
    /// Whether it stood by before its last call.
    stands_by: bool,
    /// Whether it followed the store with its last call, after its first list.
    is_following: bool,
    /// Whether its gateway knew which gateways follow the store, or waited for that long enough.
    is_settled: bool,
    /// When it repeats a failed call although it stands by.
    retry_at: Duration,
    /// The kind of its last call that ended.
    last_call: CallKind,
    /// Its turn, from 0 to 1, when all gateways call the store for the same reason.
    turn: f64,
}

/// Why a call that waits for changes is abandoned.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Abandoned {
    /// A peer has something newer than this watch delivered.
    PeerAhead,
    /// This gateway has to poll from now on.
    Polling,
    /// The store has returned from a silence since the watch began.
    StoreReturned,
    /// The store has come back from an older copy since the watch began.
    StoreRestored,
    /// The settings name another address of the store.
    StoreMoved,
    /// Other gateways of the failure domain follow the store in place of this one.
    StandingBy,
}

impl Follower {
    fn open(shared: Arc<Shared>, store: Store, subject: Subject) -> Self {
        Self {
            shared,
            store,
            subject,
            cursor: None,
            recency: Recency::MaybeStale,
            list_bytes: 0,
            pages: Pages::default(),
            backoff: Backoff::default(),
            checks: CheckTimer::new(&mut rand::rng()),
            has_abandoned: false,
            is_confirmed: false,
            is_polling: false,
            role: Role::default(),
            stands_by: false,
            is_following: false,
            is_settled: false,
            retry_at: Duration::ZERO,
            last_call: CallKind::List,
            turn: rand::rng().random_range(0.0..1.0),
        }
    }

    async fn run(mut self) {
        let kind = self.subject.kind();
        loop {
            self.settle().await;
            self.stand_by().await;
            self.log_polling();
            self.skip_known();
            let wait = self.wait();
            let begun_at = self.shared.clock.now();
            let response = if wait > POLL_TIMEOUT {
                self.watch(begun_at, wait).await
            } else {
                self.poll(begun_at, wait).await
            };
            self.has_abandoned = response.is_err();
            match response {
                // Neither a list after a watch without history nor the changes since a list that
                // may be stale must be delayed.
                Ok(true) if self.cursor.is_none() || !self.is_confirmed => {}
                Ok(true) => time::sleep(WATCH_INTERVAL_MIN).await,
                Ok(false) if self.stands_by && self.cursor.is_some() => {}
                Ok(false) => self.backoff.wait(&self.shared, kind, self.last_call).await,
                Err(Abandoned::StoreRestored | Abandoned::StoreMoved) => self.cursor = None,
                Err(_) => {}
            }
        }
    }

    /// Waits after the first list until it is known which gateways follow the store.
    async fn settle(&mut self) {
        if self.is_settled || self.cursor.is_none() {
            return;
        }
        let until = self.shared.clock.now() + SELECTION_TIMEOUT;
        let follow_all_max = self.shared.settings().follow_all_max;
        while !self.shared.gateways.lock().knows_fleet(follow_all_max)
            && self.shared.clock.now() < until
        {
            time::sleep(SELECTION_POLL_INTERVAL).await;
        }
        self.is_settled = true;
    }

    /// Waits without a call while other gateways of the failure domain follow the store, until a
    /// check is due.
    async fn stand_by(&mut self) {
        let shared = Arc::clone(&self.shared);
        let begun_at = shared.clock.now();
        let mut moves = shared.store_moves.subscribe();
        loop {
            let now = shared.clock.now();
            let stands_by = !self.role.update(shared.is_follower(), self.is_following, now);
            if stands_by {
                self.adopt_known();
            }
            let stands_by = stands_by && self.cursor.is_some();
            self.is_following = !stands_by && self.cursor.is_some();
            if std::mem::replace(&mut self.stands_by, stands_by) != stands_by {
                let event = if stands_by { "standby-begun" } else { "standby-ended" };
                log::info!("event={event} call={}", self.subject.kind());
                self.checks.draw_standby_spread(&mut rand::rng());
            }
            if !stands_by {
                return;
            }
            // Without calls nothing shows whether the store responded meanwhile.
            shared.link.record_abandoned();
            let check_at = self.standby_check_at(begun_at);
            if check_at <= now {
                self.checks.restart(now, &mut rand::rng());
                self.checks.draw_standby_spread(&mut rand::rng());
                return;
            }
            let pause = (check_at - now).clamp(CHECK_PAUSE_MIN, WATCH_CHECK_INTERVAL);
            tokio::select! {
                Ok(()) = moves.changed() => self.cursor = None,
                () = time::sleep(pause) => {}
            }
        }
    }

    /// Returns when a follower that has stood by since `begun_at` makes its next call.
    fn standby_check_at(&self, begun_at: Duration) -> Duration {
        let retry_at = if self.backoff.failed() { self.retry_at } else { Duration::MAX };
        retry_at.min(self.check_at(begun_at).unwrap_or(Duration::MAX))
    }

    /// Continues after what peers gave, in place of what the store sent at the start or before it
    /// came back from an older copy.
    fn adopt_known(&mut self) {
        let known = match self.subject {
            Subject::Routes => self.shared.routes().map_or(Position::default(), |r| r.position),
            Subject::Targets => self.shared.targets.lock().catalog.position(),
        };
        let may_adopt = self.cursor.is_some() || self.recency == Recency::MaybeStale;
        if may_adopt && known.revision > 0 {
            self.cursor = self.cursor.max(Some(known));
        }
    }

    /// Continues after the routes that a peer gave, so that the store does not send them once more.
    fn skip_known(&mut self) {
        if self.subject != Subject::Routes {
            return;
        }
        let Some(routes) = self.shared.routes() else { return };
        let known = routes.position;
        self.cursor = self.cursor.map(|cursor| match known.era == cursor.era {
            true => cursor.max(known),
            false => cursor,
        });
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
        let is_doubtful =
            self.backoff.failed() || self.has_abandoned || self.must_confirm_at_once();
        match self.cursor {
            Some(_) if self.stands_by => Duration::ZERO,
            Some(_) if !is_doubtful && self.polls() => POLL_TIMEOUT,
            Some(_) if !is_doubtful => WATCH_TIMEOUT,
            _ => Duration::ZERO,
        }
    }

    /// Returns true if keys are accepted only with confirmed routes and none were confirmed yet: the
    /// first list may be stale, and a watch returns nothing while nothing changes.
    fn must_confirm_at_once(&self) -> bool {
        self.subject == Subject::Routes
            && self.shared.settings().revoke_within.is_some()
            && self.shared.freshness.lock().routes_confirmed_at().is_none()
    }

    /// Returns true if this follower asks at short intervals.
    fn polls(&self) -> bool {
        self.subject == Subject::Targets && self.shared.is_poller()
    }

    /// Makes a call that waits shortly, and further ones beside it while it is unanswered; returns
    /// false if all failed.
    ///
    /// # Errors
    /// Fails if a peer has newer state.
    async fn poll(&mut self, begun_at: Duration, wait: Duration) -> Result<bool, Abandoned> {
        let shared = Arc::clone(&self.shared);
        let mut calls = Calls::default();
        let mut moves = shared.store_moves.subscribe();
        self.begin_call(&mut calls, wait);
        let interval = if shared.is_poller() { POLL_INTERVAL } else { CALL_INTERVAL };
        let mut next_call_at = begun_at + wait + interval;
        loop {
            tokio::select! {
                Some(call) = calls.next() => {
                    // An earlier call that a later one overtook was begun in a silence.
                    let is_later = call.result.is_ok() && call.begun_at > begun_at;
                    if is_later && !calls.is_empty() && !calls.is_receiving() {
                        shared.link.record_unanswered(begun_at);
                    }
                    if self.record(call).is_some() {
                        return Ok(true);
                    }
                    if calls.is_empty() {
                        return Ok(false);
                    }
                }
                () = self.subject.overdue(&shared).notified(),
                    if !wait.is_zero() && !calls.is_receiving() =>
                {
                    return Err(self.abandon(&calls, begun_at, Abandoned::PeerAhead));
                }
                Ok(()) = moves.changed() => {
                    return Err(self.abandon(&calls, begun_at, Abandoned::StoreMoved));
                }
                () = time::sleep_until(shared.clock.instant(next_call_at)) => {
                    next_call_at += interval;
                    self.end_copies(&mut calls);
                    // Another copy would share the link with the one that is arriving.
                    if calls.len() < CALLS_LIMIT && !calls.is_receiving() {
                        self.begin_call(&mut calls, Duration::ZERO);
                    }
                }
            }
        }
    }

    /// Makes a call that waits long, and checks beside it when they are due, until one brings news;
    /// returns false if one failed, as the others may hang for the same reason.
    ///
    /// # Errors
    /// Fails if the watch should not be waited for any longer.
    async fn watch(&mut self, begun_at: Duration, wait: Duration) -> Result<bool, Abandoned> {
        let shared = Arc::clone(&self.shared);
        let mut calls = Calls::default();
        let mut moves = shared.store_moves.subscribe();
        self.begin_call(&mut calls, wait);
        let mut positions = shared.store_position.subscribe();
        loop {
            let now = shared.clock.now();
            self.end_copies(&mut calls);
            let is_receiving = calls.is_receiving();
            if !is_receiving {
                if !self.role.update(shared.is_follower(), true, now) {
                    return Err(self.abandon(&calls, begun_at, Abandoned::StandingBy));
                }
                self.check_watch(begun_at, now)
                    .map_err(|reason| self.abandon(&calls, begun_at, reason))?;
            }
            let check_at = self.check_at(begun_at).filter(|_| !is_receiving);
            if check_at.is_some_and(|at| at <= now) && calls.len() < CALLS_LIMIT {
                self.checks.restart(now, &mut rand::rng());
                self.begin_call(&mut calls, Duration::ZERO);
            }
            let next_at = check_at.unwrap_or(Duration::MAX).saturating_sub(now);
            let pause = next_at.clamp(CHECK_PAUSE_MIN, WATCH_CHECK_INTERVAL);
            tokio::select! {
                Some(call) = calls.next() => {
                    let is_check = call.wait.is_zero();
                    match self.record(call) {
                        Some(response) if is_check && !response.has_news => {}
                        Some(_) => return Ok(true),
                        None if calls.is_receiving() => {}
                        None => return Ok(false),
                    }
                }
                () = self.subject.overdue(&shared).notified(), if !calls.is_receiving() => {
                    return Err(self.abandon(&calls, begun_at, Abandoned::PeerAhead));
                }
                Ok(()) = moves.changed() => {
                    return Err(self.abandon(&calls, begun_at, Abandoned::StoreMoved));
                }
                Ok(()) = positions.changed() => {}
                () = time::sleep(pause) => {}
            }
        }
    }

    /// Decides whether the watch that was begun at `begun_at` may go on.
    ///
    /// # Errors
    /// Fails with the reason to abandon it.
    fn check_watch(&self, begun_at: Duration, now: Duration) -> Result<(), Abandoned> {
        if self.polls() {
            return Err(Abandoned::Polling);
        }
        let gateways = self.shared.gateways.lock();
        let turn = gateways.call_spread().mul_f64(self.turn);
        let era = *self.shared.store_era.borrow();
        let noticed = gateways.store_era(now).filter(|(noticed, _)| *noticed == era);
        let is_turn = noticed.is_none_or(|(_, since)| now >= since + turn);
        if is_turn && self.cursor.is_some_and(|cursor| cursor.era < era) {
            return Err(Abandoned::StoreRestored);
        }
        let returned_at = gateways.store_returned_at(self.shared.link.silence(), now);
        match returned_at {
            Some(at) if begun_at < at && now >= at + turn => Err(Abandoned::StoreReturned),
            _ => Ok(()),
        }
    }

    /// Returns when the next check beside a watch that was begun at `begun_at` is due, `None` if
    /// nothing is to be checked.
    fn check_at(&self, begun_at: Duration) -> Option<Duration> {
        let is_behind = self.cursor < Some(*self.shared.store_position.borrow());
        match self.subject {
            Subject::Routes if !is_behind => None,
            Subject::Routes if self.shared.is_poller() => Some(self.checks.not_before()),
            _ => Some(self.checks.due_at(self.shared.confirmed_at().unwrap_or(begun_at))),
        }
    }

    /// Leaves only one of the calls whose response is arriving, so that copies do not share the link.
    fn end_copies(&self, calls: &mut Calls) {
        let received = calls.end_copies();
        self.shared.metrics.record_state_bytes("store", self.subject.kind(), "abandoned", received);
    }

    /// Records that calls made since `begun_at` are abandoned, and returns the reason.
    fn abandon(&self, calls: &Calls, begun_at: Duration, reason: Abandoned) -> Abandoned {
        let kind = self.subject.kind();
        let waited_ms = self.shared.clock.now().saturating_sub(begun_at).as_millis();
        let received = calls.received();
        log::info!(
            "event=watch-renewed call={kind} reason={reason} waited_ms={waited_ms} received={received}"
        );
        self.shared.metrics.record_state_bytes("store", kind, "abandoned", received);
        self.shared.link.record_abandoned();
        reason
    }

    /// Begins a call that may wait for `wait`.
    fn begin_call(&self, calls: &mut Calls, wait: Duration) {
        let shared = Arc::clone(&self.shared);
        let store = self.store.clone();
        let history_limit = (self.list_bytes * HISTORY_LIMIT_LISTS).max(HISTORY_LIMIT_MIN_BYTES);
        let (subject, cursor, pages) = (self.subject, self.cursor, self.pages.clone());
        let recency = self.recency;
        let kind = match cursor {
            None => CallKind::List,
            Some(_) if wait > POLL_TIMEOUT => CallKind::Watch,
            Some(_) if !wait.is_zero() => CallKind::Poll,
            Some(_) => CallKind::Check,
        };
        let query = Query { kind, subject, cursor, wait, history_limit, recency, pages };
        let progress = Progress::default();
        let counted = progress.clone();
        calls.push(progress, async move { call::make(&shared, &store, query, counted).await });
    }

    /// Records how a call ended, and returns its response if there was one.
    fn record(&mut self, call: Call) -> Option<Response> {
        let Call { result, begun_at, wait, kind: call, progress } = call;
        self.last_call = call;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        let (kind, received) = (self.subject.kind(), progress.received());
        self.shared.metrics.record_state_bytes("store", kind, outcome, received);
        match result {
            Ok(response) => {
                if call == CallKind::List {
                    self.list_bytes = received;
                }
                self.record_response(&response, begun_at, wait);
                Some(response)
            }
            Err(error) => {
                self.record_failure(&error, begun_at, wait, received);
                None
            }
        }
    }

    fn record_response(&mut self, response: &Response, begun_at: Duration, wait: Duration) {
        let kind = self.subject.kind();
        let had_failed = self.backoff.failed();
        if had_failed {
            log::info!("event=store-regained call={kind} failures={}", self.backoff.failures());
        }
        self.shared.link.record_answered(begun_at);
        self.shared.record_store_response(kind, had_failed);
        self.backoff = Backoff::default();
        self.shared
            .metrics
            .store_calls
            .with_label_values(&[kind, self.last_call.into(), "ok"])
            .inc();
        self.cursor = response.cursor;
        self.recency = Recency::Current;
        self.is_confirmed = response.is_current;
        if wait.is_zero() {
            self.checks.record_response(begun_at, self.shared.clock.now());
        }
        let Some(position) = response.cursor.filter(|_| response.is_current) else { return };
        // A response without news to a poll was made after its wait. A long wait may have been cut
        // short, and its response handled late.
        let waited_until = begun_at + wait;
        let has_waited =
            !response.has_news && wait <= POLL_TIMEOUT && self.shared.clock.now() >= waited_until;
        let confirmed_at = if has_waited { waited_until } else { begun_at };
        self.shared.freshness.lock().record(self.subject.confirmed(), position, confirmed_at);
        self.shared.store_position.send_if_modified(|latest| {
            let is_newer = position > *latest;
            *latest = position.max(*latest);
            is_newer
        });
        if wait <= POLL_TIMEOUT {
            // What the store confirmed spares the other gateways their own checks.
            self.shared.report_reaches_all.store(true, Ordering::Relaxed);
            self.shared.state_changed.notify_one();
        }
    }

    /// Records that the call begun at `begun_at`, which was to wait for `wait`, failed after that many
    /// bytes were received.
    fn record_failure(
        &mut self,
        error: &Error,
        begun_at: Duration,
        wait: Duration,
        received: usize,
    ) {
        let kind = self.subject.kind();
        self.shared
            .metrics
            .store_calls
            .with_label_values(&[kind, self.last_call.into(), "failed"])
            .inc();
        let now = self.shared.clock.now();
        let waited_ms = now.saturating_sub(begun_at).as_millis();
        log::info!(
            "event=store-call-failed call={kind} waited_ms={waited_ms} received={received} reason={:?}",
            error.to_string()
        );
        if *error == Error::TimedOut {
            self.shared.link.record_unanswered(begun_at);
        }
        let due = (begun_at + wait).min(now);
        self.shared.record_store_failure(!self.backoff.failed(), due);
        self.backoff.record_failure(kind, error);
        self.retry_at = now + STANDBY_RETRY_INTERVAL.mul_f64(rand::rng().random_range(1.0..2.0));
    }
}
