//! The graceful stop of a proxy, in the order that cuts no request.

use std::time::Duration;

/// What a proxy that stops must do next.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Action {
    /// Tell the agent, so that callers are no longer sent here.
    Announce,
    /// Accept no further connections.
    StopAccepting,
    /// End the server; nothing is in flight.
    ShutDown,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Phase {
    Serving,
    Announced { at: Duration },
    Finishing,
    Done,
}

/// The state of a graceful stop.
#[derive(Debug)]
pub struct Departure {
    notice: Duration,
    phase: Phase,
}

impl Departure {
    /// Creates the state of a process that serves, and that accepts for `notice` after it
    /// announced that it leaves.
    pub fn new(notice: Duration) -> Self {
        Self { notice, phase: Phase::Serving }
    }

    /// Begins to leave; a repeated call changes nothing.
    pub fn begin(&mut self, now: Duration) -> Option<Action> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Announced { at: now };
        Some(Action::Announce)
    }

    /// Returns what to do at `now` with `in_flight` requests not yet ended.
    pub fn step(&mut self, now: Duration, in_flight: usize) -> Option<Action> {
        match self.phase {
            Phase::Announced { at } if now >= at + self.notice => {
                self.phase = Phase::Finishing;
                Some(Action::StopAccepting)
            }
            Phase::Finishing if in_flight == 0 => {
                self.phase = Phase::Done;
                assert!(in_flight == 0, "the server must not end with requests in flight");
                Some(Action::ShutDown)
            }
            _ => None,
        }
    }

    /// Returns true once callers are to be asked to close their connections.
    pub fn is_leaving(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Returns true while new connections are accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Announced { .. })
    }
}
