//! How old a gateway's knowledge of the store may be.
//!
//! The absence of news proves nothing: a watch may hang, and a gateway that asks for the others may
//! be gone. Only a response of the store confirms that a gateway's state is current, or the report
//! of a peer that had such a response and whose state is not newer. A gateway whose confirmation is
//! old asks the store itself.

use std::{ops::Range, time::Duration};

use rand::Rng;

use crate::position::Position;

/// After this long without a confirmation a gateway asks the store itself.
pub const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(700);
/// How long a check may stay unanswered before a further one is made beside it.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum interval between an answered check and the next one, if the response confirmed
/// nothing.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// How much later than due a check is made at most, so that the response to the first one at any
/// gateway spares the others theirs.
const CHECK_SPREAD: Duration = Duration::from_millis(100);
/// The same at a gateway that does not follow the store, so that a report that is a little late
/// causes no check, and the first check in a large failure domain spares the others theirs.
const STANDBY_CHECK_SPREAD: Range<Duration> =
    Duration::from_millis(300)..Duration::from_millis(1000);
/// The same while the store takes long to respond.
const CHECK_SPREAD_MAX: Duration = Duration::from_secs(1);

/// What the responses of the store to this gateway confirm, for its routes and its targets.
#[derive(Debug, Default, Clone)]
pub struct Freshness {
    routes: Confirmation,
    targets: Confirmation,
    /// A newer configuration that could not be read, if there is one.
    missed: Option<Missed>,
}

/// A configuration that could not be read. As long as no later one was taken over, nothing confirms
/// the routes in force: neither a response that shows no further change nor a peer.
#[derive(Debug, Copy, Clone)]
struct Missed {
    /// The store's position of it.
    position: Position,
    /// When the routes in force were last known to be complete.
    confirmed_at: Option<Duration>,
}

/// The subject of a response.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Subject {
    /// The operator's routes.
    Routes,
    /// The targets' entries.
    Targets,
}

/// A moment at which the known state of a subject was complete.
#[derive(Debug, Default, Copy, Clone)]
struct Confirmation {
    /// The store's position then.
    position: Position,
    /// The moment, `None` before the first response.
    at: Option<Duration>,
}

impl Freshness {
    /// Records a response that brought the state of `subject` up to the store's `position` as it was
    /// at `at`.
    ///
    /// The store counts all changes with one revision. If it is still the one to which the other
    /// subject is complete, that one has not changed either.
    pub fn record(&mut self, subject: Subject, position: Position, at: Duration) {
        let lacks_routes = self.missed.is_some();
        if subject == Subject::Routes && lacks_routes {
            return;
        }
        let (own, other) = match subject {
            Subject::Routes => (&mut self.routes, &mut self.targets),
            Subject::Targets => (&mut self.targets, &mut self.routes),
        };
        if position < own.position {
            return;
        }
        *own = Confirmation { position, at: own.at.max(Some(at)) };
        let may_confirm_other = subject == Subject::Routes || !lacks_routes;
        if may_confirm_other && other.at.is_some() && other.position == position {
            other.at = other.at.max(Some(at));
        }
    }

    /// Records that the store holds a configuration at `position` that could not be read, while the
    /// routes in force were last known to be complete at `confirmed_at`.
    pub fn record_missed(&mut self, position: Position, confirmed_at: Option<Duration>) {
        match &mut self.missed {
            Some(missed) => missed.position = missed.position.max(position),
            None => self.missed = Some(Missed { position, confirmed_at }),
        }
    }

    /// Records that the configuration at `position` is in force; returns true if one was missed until
    /// then, and is not any more.
    pub fn record_taken(&mut self, position: Position) -> bool {
        let is_settled = self.missed.is_some_and(|missed| missed.position <= position);
        if is_settled {
            self.missed = None;
        }
        is_settled
    }

    /// Returns true if the store holds a newer configuration that could not be read.
    pub fn lacks_routes(&self) -> bool {
        self.missed.is_some()
    }

    /// Returns when the routes in force were last known to be complete, if the store or a peer confirmed
    /// them at `confirmed_at`.
    pub fn limit_routes(&self, confirmed_at: Option<Duration>) -> Option<Duration> {
        match self.missed {
            Some(missed) => confirmed_at.min(missed.confirmed_at),
            None => confirmed_at,
        }
    }

    /// Returns when the routes were last known to be complete.
    pub fn routes_confirmed_at(&self) -> Option<Duration> {
        self.routes.at
    }

    /// Returns when both subjects were last known to be complete.
    pub fn confirmed_at(&self) -> Option<Duration> {
        Some(self.routes.at?.min(self.targets.at?))
    }
}

/// Decides when a gateway checks a state that the store did not confirm for long.
#[derive(Debug, Clone)]
pub struct CheckTimer {
    /// How much later than due the next check is made.
    spread: Duration,
    /// The earliest time of the next check.
    not_before: Duration,
    /// How long the store took to respond to the latest check.
    response_time: Duration,
}

impl CheckTimer {
    /// Creates a timer that no check has restarted yet.
    pub fn new(rng: &mut impl Rng) -> Self {
        let mut timer = Self {
            spread: Duration::ZERO,
            not_before: Duration::ZERO,
            response_time: Duration::ZERO,
        };
        timer.draw_spread(rng);
        timer
    }

    /// Draws anew how much later than due the next check of a gateway that does not follow the store
    /// is made.
    pub fn draw_standby_spread(&mut self, rng: &mut impl Rng) {
        self.spread = rng.random_range(STANDBY_CHECK_SPREAD);
    }

    /// Returns when the next check of a state that was confirmed at `confirmed_at` is due.
    pub fn due_at(&self, confirmed_at: Duration) -> Duration {
        (confirmed_at + CONFIRMATION_MAX_AGE + self.spread).max(self.not_before)
    }

    /// Returns the earliest time of the next check, whenever the state was confirmed.
    pub fn not_before(&self) -> Duration {
        self.not_before
    }

    /// Records that a check is made.
    pub fn restart(&mut self, now: Duration, rng: &mut impl Rng) {
        self.not_before = now + CHECK_INTERVAL;
        self.draw_spread(rng);
    }

    /// Records that a check made at `begun_at` was answered at `now`.
    pub fn record_response(&mut self, begun_at: Duration, now: Duration) {
        self.response_time = now.saturating_sub(begun_at);
        self.not_before = now + CHECK_INTERVAL_MIN;
    }

    /// A gateway learns that another one's check was answered only after the response time.
    fn draw_spread(&mut self, rng: &mut impl Rng) {
        let longest = (CHECK_SPREAD + self.response_time * 2).min(CHECK_SPREAD_MAX);
        self.spread = longest.mul_f64(rng.random_range(0.0..1.0));
    }
}
