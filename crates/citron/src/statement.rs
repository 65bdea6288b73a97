//! What targets state about themselves beside their responses, as far as it binds all gateways.
//!
//! Each gateway repeats the statements that it knows to its peers, the newest of a target wins. A
//! gateway that was cut off learns what it missed in this way.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// What a target states beside one response.
#[derive(Debug, Copy, Clone, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// How long the receiving gateway must not send it requests.
    pub pause: Option<Duration>,
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
            statement.leaving |= known.leaving;
        }
        let is_new = statement.leaving != known.is_some_and(|known| known.leaving);
        if is_new {
            self.queue.retain(|target| *target != statement.target);
            self.queue.push_front(Arc::clone(&statement.target));
        }
        if is_new || known.is_some() {
            self.by_target.insert(Arc::clone(&statement.target), statement);
        }
        is_new
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
