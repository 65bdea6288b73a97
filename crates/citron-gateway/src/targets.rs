//! The target list of a gateway, with what is known about the targets.

use std::{sync::Arc, time::Duration};

use citron::{
    catalog::{Catalog, Change, Target},
    gray::{Choice, Criteria, NoCapacity, View},
    statement::{Statement, Statements},
    target_limit::Fleet,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

/// The target list with the failure estimates and load of the targets.
#[derive(Debug)]
pub struct Targets {
    /// The current list.
    pub catalog: Catalog,
    /// Failure estimates and load.
    pub view: View,
    /// What the targets stated about themselves.
    pub statements: Statements,
    rng: ChaCha8Rng,
}

/// A target that is kept although its entry vanished.
#[derive(Debug)]
pub struct Held {
    /// Its identity.
    pub id: Arc<str>,
    /// Until when it is kept, [`Duration::MAX`] during an outage.
    pub until: Duration,
}

impl Targets {
    /// Creates an empty list of a gateway in `domain`.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            catalog: Catalog::default(),
            view: View::new(domain),
            statements: Statements::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Updates the list, where entries that vanish are kept until `keep_until`; returns the targets
    /// that are kept since, or `None` if `update` returned false.
    pub fn update(
        &mut self,
        keep_until: Duration,
        update: impl FnOnce(&mut Catalog) -> bool,
    ) -> Option<SmallVec<[Held; 4]>> {
        self.catalog.set_keep_until(keep_until);
        let before: SmallVec<[Arc<str>; 4]> =
            self.catalog.lapsed().map(|(id, _)| Arc::clone(id)).collect();
        if !update(&mut self.catalog) {
            return None;
        }
        self.forget_unlisted();
        let held = self.catalog.lapsed().filter(|(id, _)| !before.contains(id));
        Some(held.map(|(id, until)| Held { id: Arc::clone(id), until }).collect())
    }

    /// Removes expired load reports and the lapsed entries whose time is over, with `keep_until` as
    /// the latest; returns the identities of the latter.
    pub fn expire(&mut self, keep_until: Duration, now: Duration) -> Vec<Arc<str>> {
        self.view.expire(now);
        self.catalog.set_keep_until(keep_until);
        let expired = self.catalog.expire(now);
        if !expired.is_empty() {
            self.forget_unlisted();
        }
        expired
    }

    /// Applies the newest statement of a target, and returns it.
    pub fn apply_statement(
        &mut self,
        id: &str,
        fleet: &Fleet<'_>,
        now: Duration,
    ) -> Option<Statement> {
        let statement = self.statements.get(id)?.clone();
        let Statement { target, born_ms, leaving, limit_per_s, .. } = &statement;
        if *leaving {
            self.catalog.mark_leaving(target, *born_ms);
        }
        self.view.limits.set(target, *born_ms, *limit_per_s, now);
        self.update_limits(fleet, now);
        Some(statement)
    }

    /// Computes this gateway's shares of the targets' limits anew if the fleet or a limit changed.
    pub fn update_limits(&mut self, fleet: &Fleet<'_>, now: Duration) {
        let catalog = &self.catalog;
        let domain_of = |id: &str| catalog.get(id).map(|target| &*target.domain);
        self.view.limits.update(fleet, domain_of, now);
    }

    fn forget_unlisted(&mut self) {
        self.view.retain(&self.catalog);
        self.statements.retain(|statement| self.catalog.get(&statement.target).is_some());
    }

    /// Chooses a target for an attempt, see [`View::begin_attempt`].
    ///
    /// # Errors
    /// Fails if no target meets the criteria, or if the request is new and every healthy target is
    /// saturated.
    pub fn begin_attempt(
        &mut self,
        criteria: Criteria<'_>,
        trial_rank: impl Fn(&Target) -> usize,
        now: Duration,
    ) -> Result<Choice, NoCapacity> {
        self.view.begin_attempt(&self.catalog, criteria, trial_rank, &mut self.rng, now)
    }
}

impl Held {
    /// Logs that the target is kept.
    pub fn log(&self, now: Duration) {
        let left_ms = match self.until {
            Duration::MAX => -1,
            until => until.saturating_sub(now).as_millis() as i64,
        };
        log::info!("event=target-held target={} reason=store-outage left_ms={left_ms}", self.id);
    }
}

/// Describes a change of the list for the log.
pub fn describe(change: &Change) -> String {
    match change {
        Change::Put(target) if target.leaving => format!("{}:leaving", target.id),
        Change::Put(target) => format!("{}:ready", target.id),
        Change::Gone(id) => format!("{id}:gone"),
        Change::Lapsed(id) => format!("{id}:held"),
    }
}
