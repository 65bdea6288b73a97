//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use strum::{EnumDiscriminants, EnumIter, IntoStaticStr};

use crate::gateway::{store::Mood, target::Act};

/// Requests flow undisturbed for this long before the first fault.
const QUIET: Duration = Duration::from_secs(3);
/// The bounds of the pause between two steps of a plan, in milliseconds.
const GAP_MS: (u64, u64) = (100, 1500);
/// The bounds of how long a fault lasts, in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 5000);

/// How much longer than other faults targets reject requests, so that retries spend their budget.
const REJECT_TIMES: u32 = 4;

/// What is done at one moment.
#[derive(Debug, Clone, EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(Hash, PartialOrd, Ord, EnumIter, IntoStaticStr))]
#[strum_discriminants(strum(serialize_all = "kebab-case"))]
pub enum Action {
    /// SIGTERM to a gateway, which starts again after its end.
    Terminate(usize),
    /// SIGKILL to a gateway, which starts again.
    Kill(usize),
    /// SIGKILL to all gateways at once.
    KillAll,
    /// SIGSTOP to a gateway, and SIGCONT after a while.
    Pause(usize, Duration),
    /// SIGHUP to a gateway, with changed settings.
    Reload(usize),
    /// The store treats all calls otherwise for a while.
    Store(Mood, Duration),
    /// The operator moves a route and the store is silent just after it, as the watches begin anew.
    SilenceAfterChange(Duration),
    /// The store is away for half a second and comes back from a copy this old; what the operator and
    /// the targets wrote since is written again.
    Restore(Duration),
    /// The store discards its history.
    ForgetHistory,
    /// One gateway's link to the store fails for a while.
    StoreLink(usize, Fault, Duration),
    /// A target treats its requests otherwise for a while.
    Target(usize, Act, Duration),
    /// Most targets reject most requests for a while.
    Reject(Duration),
    /// The link to a target fails for a while.
    TargetLink(usize, Fault, Duration),
    /// A target says that it leaves and another takes its place.
    Replace(usize),
    /// A target's entry is removed without a word, and another target takes its place.
    Vanish(usize),
    /// The operator moves a route to another service.
    Change,
}

/// How a link fails.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Fault {
    /// Each part of a stream is held back.
    Delay(Duration),
    /// Nothing passes towards the server.
    CutToServer,
    /// Nothing passes towards the client.
    CutToClient,
    /// Open connections go silent for good; new ones work.
    Silence,
    /// Open connections are reset.
    Reset,
}

/// An action and when it is due, from the start of the traffic.
#[derive(Debug, Clone)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// Draws the steps of a run of `length` with so many gateways and targets.
pub fn draw(seed: u64, length: Duration, gateways: usize, targets: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = QUIET;
    while at < length {
        let action = action(&mut rng, gateways, targets);
        // Some faults come in series, so that one meets the recovery from another.
        let repeats = if rng.random_bool(0.2) { rng.random_range(2..4) } else { 1 };
        for _ in 0..repeats {
            steps.push(Step { at, action: action.clone() });
            at += millis(&mut rng, GAP_MS);
        }
    }
    steps
}

fn action(rng: &mut ChaCha8Rng, gateways: usize, targets: usize) -> Action {
    let gateway = rng.random_range(0..gateways);
    let target = rng.random_range(0..targets);
    let time = millis(rng, LENGTH_MS);
    match rng.random_range(0..100) {
        0..8 => Action::Terminate(gateway),
        8..14 => Action::Kill(gateway),
        14..16 => Action::KillAll,
        16..22 => Action::Pause(gateway, time),
        22..27 => Action::Reload(gateway),
        27..34 => Action::Store(mood(rng), time),
        34..37 => Action::ForgetHistory,
        37..45 => Action::StoreLink(gateway, fault(rng), time),
        45..48 => Action::Reject(time * REJECT_TIMES),
        48..65 => Action::Target(target, act(rng), time),
        65..74 => Action::TargetLink(target, fault(rng), time),
        74..84 => Action::Replace(target),
        84..90 => Action::Vanish(target),
        90..96 => Action::Change,
        96..98 => Action::SilenceAfterChange(time),
        _ => Action::Restore(time),
    }
}

fn mood(rng: &mut ChaCha8Rng) -> Mood {
    let moods = [
        Mood::Refusing(503),
        Mood::Refusing(429),
        Mood::Silent,
        Mood::Slow(200),
        Mood::LosingAnswers,
        Mood::WritingLate(2000),
    ];
    moods.choose(rng).copied().unwrap_or(Mood::Silent)
}

fn act(rng: &mut ChaCha8Rng) -> Act {
    let acts = [
        Act::Fail,
        Act::Shed,
        Act::Hang,
        Act::Reset,
        Act::CutBody,
        Act::ResetUnframed,
        Act::WrongId,
        Act::Unsigned,
        Act::Garbage,
        Act::ServeTwice,
        Act::ServeAndClose,
        Act::ServeUnframed,
        Act::ServeChunked,
    ];
    acts.choose(rng).copied().unwrap_or(Act::Fail)
}

fn fault(rng: &mut ChaCha8Rng) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::Delay(millis(rng, (20, 400))),
        1 => Fault::CutToServer,
        2 => Fault::CutToClient,
        3 => Fault::Silence,
        _ => Fault::Reset,
    }
}

fn millis(rng: &mut ChaCha8Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}
