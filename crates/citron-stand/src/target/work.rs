//! The slots of a target: who runs, who waits and who is shed.

use std::time::Duration;

use strum::Display;

/// How long a target is cold after its start, relative to its service time at first.
const COLD_FACTOR: f64 = 4.0;

/// The slots, queue and state of one target.
#[derive(Debug)]
pub struct Work {
    slots: u32,
    waiting_limit: u32,
    cold: Duration,
    busy: u32,
    waiting: u32,
    draining: bool,
}

/// What becomes of a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Admission {
    /// It may wait for a slot.
    Wait,
    /// It is refused without having run.
    Shed,
}

/// The state that a target reports in its answers.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Serves at full speed.
    Ready,
    /// Started recently and is slower.
    Cold,
    /// Takes no new requests.
    Draining,
}

impl Work {
    /// Creates the slots of a target that starts at time zero.
    pub fn new(slots: u32, waiting_limit: u32, cold: Duration) -> Self {
        assert!(slots > 0, "a target must have at least one slot");
        Self { slots, waiting_limit, cold, busy: 0, waiting: 0, draining: false }
    }

    /// Admits a request to the queue for a slot, or sheds it.
    pub fn arrive(&mut self) -> Admission {
        if self.draining || self.busy + self.waiting >= self.slots + self.waiting_limit {
            return Admission::Shed;
        }
        self.waiting += 1;
        Admission::Wait
    }

    /// Moves a waiting request into a slot.
    pub fn start(&mut self) {
        assert!(
            self.waiting > 0 && self.busy < self.slots,
            "a request starts from the queue in a free slot"
        );
        self.waiting -= 1;
        self.busy += 1;
    }

    /// Removes a waiting request that will not run.
    pub fn give_up(&mut self) {
        assert!(self.waiting > 0, "only a waiting request can give up");
        self.waiting -= 1;
    }

    /// Frees a slot.
    pub fn end(&mut self) {
        assert!(self.busy > 0, "only a running request can end");
        self.busy -= 1;
    }

    /// Takes no new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the requests that run or wait, and the slots.
    pub fn load(&self) -> (u32, u32) {
        (self.busy + self.waiting, self.slots)
    }

    /// Returns the state at `now` after the start.
    pub fn state(&self, now: Duration) -> State {
        if self.draining {
            State::Draining
        } else if now < self.cold {
            State::Cold
        } else {
            State::Ready
        }
    }

    /// Returns the factor on the service time at `now` after the start; it falls to 1 while the target warms up.
    pub fn cold_factor(&self, now: Duration) -> f64 {
        if now >= self.cold {
            return 1.0;
        }
        let left = 1.0 - now.as_secs_f64() / self.cold.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * left
    }
}
