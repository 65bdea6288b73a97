//! What targets state about themselves beside their responses, as far as it binds all gateways.
//!
//! Each gateway repeats the statements that it knows to its peers, the newest of a target wins. A
//! gateway that was cut off learns what it missed in this way.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// How much later than the newest response with a limit one without it must arrive to lift the
/// limit, so that a response which was overtaken on its way does not.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// Where a statement comes from.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Origin {
    /// The target's own response.
    Target,
    /// Another gateway.
    Peer,
}

/// What a target states beside one response.
#[derive(Debug, Copy, Clone, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// How long the receiving gateway must not send it requests.
    pub pause: Option<Duration>,
    /// How many requests a second it takes from all gateways together, if it names a limit.
    pub limit_per_s: Option<f64>,
}

/// The newest statement of one incarnation of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The target's identity.
    pub target: Arc<str>,
    /// The incarnation of the target.
    pub born_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How many requests a second it takes from all gateways together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// When the response arrived that stated it.
    pub at: Duration,
}

/// The newest statements, by target.
#[derive(Debug, Default)]
pub struct Statements {
    by_target: BTreeMap<Arc<str>, Statement>,
    /// The targets with a statement, in the order in which these are sent.
    queue: VecDeque<Arc<str>>,
}

impl Statement {
    /// Returns what this statement and another of the same incarnation say together: the newer one,
    /// except that a target which leaves does not come back.
    fn merge(&self, other: &Self) -> Self {
        let leaving = self.leaving || other.leaving;
        let lifts = self.limit_per_s.is_some() && other.limit_per_s.is_none();
        let is_newer = other.at > self.at && !(lifts && other.at < self.at + LIFT_DELAY);
        let newest = if is_newer { other } else { self };
        Self { leaving, ..newest.clone() }
    }
}

impl Statements {
    /// Applies a statement; returns true if it says something new.
    pub fn apply(&mut self, statement: &Statement) -> bool {
        let known = self.by_target.get(&statement.target);
        let known = known.filter(|known| known.born_ms >= statement.born_ms);
        if known.is_some_and(|known| known.born_ms > statement.born_ms) {
            return false;
        }
        let before = known.map_or((false, None), |known| (known.leaving, known.limit_per_s));
        let merged = known.map_or_else(|| statement.clone(), |known| known.merge(statement));
        let is_new = (merged.leaving, merged.limit_per_s) != before;
        if is_new {
            self.queue.retain(|target| *target != merged.target);
            self.queue.push_front(Arc::clone(&merged.target));
        }
        if is_new || known.is_some() {
            self.by_target.insert(Arc::clone(&merged.target), merged);
        }
        is_new
    }

    /// Returns the newest statement of a target.
    pub fn get(&self, target: &str) -> Option<&Statement> {
        self.by_target.get(target)
    }

    /// Returns the number of targets that name a limit.
    pub fn limited_count(&self) -> usize {
        self.by_target.values().filter(|statement| statement.limit_per_s.is_some()).count()
    }

    /// Forgets the statements of targets that `is_listed` returns false for.
    pub fn retain(&mut self, is_listed: impl Fn(&Statement) -> bool) {
        self.by_target.retain(|_, statement| is_listed(statement));
        self.queue.retain(|target| self.by_target.contains_key(target));
    }

    /// Returns the next statements to send to the peers, at most `limit`: the new ones first, then
    /// the others in turn.
    pub fn next(&mut self, limit: usize) -> Vec<Statement> {
        let count = limit.min(self.queue.len());
        self.queue.rotate_left(count);
        let sent = self.queue.iter().rev().take(count).rev();
        sent.filter_map(|target| self.by_target.get(target)).cloned().collect()
    }
}
