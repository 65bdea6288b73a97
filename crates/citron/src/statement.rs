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

impl Statements {
    /// Applies a statement; returns true if it says something new.
    ///
    /// A target that leaves does not come back in the same incarnation.
    pub fn apply(&mut self, mut statement: Statement) -> bool {
        let known = self.by_target.get(&statement.target);
        let known = known.filter(|known| known.born_ms >= statement.born_ms);
        if let Some(known) = known {
            if known.born_ms > statement.born_ms || known.at >= statement.at {
                return false;
            }
            let lifts = known.limit_per_s.is_some() && statement.limit_per_s.is_none();
            if lifts && statement.at < known.at + LIFT_DELAY {
                return false;
            }
            statement.leaving |= known.leaving;
        }
        let before = known.map_or((false, None), |known| (known.leaving, known.limit_per_s));
        let is_new = (statement.leaving, statement.limit_per_s) != before;
        if is_new {
            self.queue.retain(|target| *target != statement.target);
            self.queue.push_front(Arc::clone(&statement.target));
        }
        if is_new || known.is_some() {
            self.by_target.insert(Arc::clone(&statement.target), statement);
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
