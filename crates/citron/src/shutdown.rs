//! The graceful shutdown of a proxy, in an order that interrupts no request.

use std::time::Duration;

/// How long before the kill the last response must be ready, so that it still reaches its caller.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Returns until when a request may be in flight at a process that was told to stop at `stopped_at`
/// and is killed after `grace`.
pub fn serve_until(stopped_at: Duration, grace: Duration) -> Duration {
    stopped_at + grace.saturating_sub(LAST_RESPONSE_MARGIN)
}

/// What a proxy that shuts down must do next.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Action {
    /// Announce the shutdown (a proxy notifies its agent), so that callers are no longer sent here.
    Announce,
    /// Stop accepting connections.
    StopAccepting,
    /// Stop the server; no request is in flight.
    ShutDown,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Phase {
    Serving,
    Announced { at: Duration },
    Draining,
    Done,
}

/// The state of a graceful shutdown.
#[derive(Debug)]
pub struct GracefulShutdown {
    notice_period: Duration,
    phase: Phase,
}

impl GracefulShutdown {
    /// Creates the state of a process that serves, and that will accept connections for
    /// `notice_period` after it announced its shutdown.
    pub fn new(notice_period: Duration) -> Self {
        Self { notice_period, phase: Phase::Serving }
    }

    /// Begins the shutdown; a repeated call changes nothing.
    pub fn begin(&mut self, now: Duration) -> Option<Action> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Announced { at: now };
        Some(Action::Announce)
    }

    /// Returns what to do at `now`, with `in_flight` requests not yet finished.
    pub fn step(&mut self, now: Duration, in_flight: usize) -> Option<Action> {
        match self.phase {
            Phase::Announced { at } if now >= at + self.notice_period => {
                self.phase = Phase::Draining;
                Some(Action::StopAccepting)
            }
            Phase::Draining if in_flight == 0 => {
                self.phase = Phase::Done;
                assert!(in_flight == 0, "the server must not stop with requests in flight");
                Some(Action::ShutDown)
            }
            _ => None,
        }
    }

    /// Returns true once the shutdown has begun, when callers should be asked to close their
    /// connections.
    pub fn is_shutting_down(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Returns true while new connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Announced { .. })
    }
}
