//! A simulated target with slots, a short queue, pauses and faults.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{
    noise,
    setup::{Fault, QUEUE, SLOTS},
};

/// The share of requests that fail at a healthy target.
const ERRORS: f64 = 0.002;
/// The share of requests whose answer is lost at a healthy target.
const LOST: f64 = 0.0002;
/// The mean time between pauses of a healthy target.
const PAUSE_EVERY: Duration = Duration::from_secs(90);
/// How long a flapping target is sick, and then well.
const FLAP: Duration = Duration::from_secs(3);

/// How a target answers.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub enum Outcome {
    /// Faithfully.
    Good,
    /// With a failure.
    Error,
    /// With another request's answer.
    Foreign,
    /// By refusing the request.
    Shed,
    /// Not at all.
    Nothing,
}

/// What becomes of a request that reached the target.
#[derive(Debug, Copy, Clone)]
pub enum Admission {
    /// It occupies a slot.
    Started,
    /// It waits.
    Queued,
    /// It is refused.
    Shed,
}

/// A target.
#[derive(Debug, Default)]
pub struct Target {
    /// The fault and when it began.
    pub fault: Option<(Fault, Duration)>,
    busy: usize,
    queue: VecDeque<u64>,
    pause: (Duration, Duration),
}

impl Target {
    /// Takes in a request.
    pub fn admit(&mut self, id: u64) -> Admission {
        if self.busy < SLOTS {
            self.busy += 1;
            return Admission::Started;
        }
        if self.queue.len() < QUEUE {
            self.queue.push_back(id);
            return Admission::Queued;
        }
        Admission::Shed
    }

    /// Frees a slot and returns the next request, which occupies it.
    pub fn finish(&mut self) -> Option<u64> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Returns how long a request that starts now takes, and how it ends.
    pub fn serve(
        &mut self,
        now: Duration,
        median: Duration,
        deadline: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Duration, Outcome) {
        let time = noise::service(rng, median) + self.paused(now, rng);
        let quick = Duration::from_millis(2);
        match self.fault.filter(|(_, since)| now >= *since) {
            Some((Fault::Slow, _)) => return (time * 6, Outcome::Good),
            Some((Fault::Errors, _)) if rng.random_bool(0.4) => return (quick, Outcome::Error),
            Some((Fault::Wrong, _)) if rng.random_bool(0.25) => return (time, Outcome::Foreign),
            Some((Fault::Stall, _)) if rng.random_bool(0.5) => return (deadline, Outcome::Nothing),
            Some((Fault::Flapping, since)) if is_sick(now - since) && rng.random_bool(0.6) => {
                return (quick, Outcome::Error);
            }
            _ => {}
        }
        if rng.random_bool(ERRORS) {
            return (quick, Outcome::Error);
        }
        (time, if rng.random_bool(LOST) { Outcome::Nothing } else { Outcome::Good })
    }

    /// Returns what is left of a pause that a request meets.
    fn paused(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Duration {
        if now >= self.pause.1 {
            let start = now + noise::exponential(rng, PAUSE_EVERY);
            let length = Duration::from_millis(rng.random_range(100..400));
            self.pause = (start, start + length);
        }
        if now >= self.pause.0 { self.pause.1 - now } else { Duration::ZERO }
    }
}

fn is_sick(elapsed: Duration) -> bool {
    (elapsed.as_millis() / FLAP.as_millis()).is_multiple_of(2)
}
