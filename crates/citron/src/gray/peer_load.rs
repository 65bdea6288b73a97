//! The requests that the peers have in flight at targets, from their reports.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
    time::Duration,
};

use super::{Load, TargetKey};

/// How long a peer's load report is valid.
const REPORT_TTL: Duration = Duration::from_millis(1200);

/// The latest load report of each peer, and their sum by target.
///
/// The sum is kept, so that looking up a target does not take longer in a larger fleet.
#[derive(Debug, Default)]
pub struct PeerLoad {
    reports: HashMap<Arc<str>, (Duration, Load)>,
    in_flight: HashMap<TargetKey, u64>,
}

impl PeerLoad {
    /// Replaces the report of a peer.
    pub fn apply(&mut self, host: &Arc<str>, load: Load, now: Duration) {
        add(&mut self.in_flight, &load);
        if let Some((_, earlier)) = self.reports.insert(Arc::clone(host), (now, load)) {
            remove(&mut self.in_flight, &earlier);
        }
    }

    /// Removes the reports that are no longer valid.
    pub fn expire(&mut self, now: Duration) {
        let Self { reports, in_flight } = self;
        reports.retain(|_, (at, load)| {
            let is_valid = now.saturating_sub(*at) < REPORT_TTL;
            if !is_valid {
                remove(in_flight, load);
            }
            is_valid
        });
    }

    /// Returns the requests that the peers have in flight at a target, by reports that were valid at
    /// the last call of [`PeerLoad::expire`].
    pub fn in_flight(&self, key: TargetKey) -> u32 {
        let sum = self.in_flight.get(&key).copied().unwrap_or(0);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }
}

fn add(sum: &mut HashMap<TargetKey, u64>, load: &Load) {
    for (key, count) in load {
        *sum.entry(*key).or_default() += u64::from(*count);
    }
}

fn remove(sum: &mut HashMap<TargetKey, u64>, load: &Load) {
    for (key, count) in load {
        if let Entry::Occupied(mut entry) = sum.entry(*key) {
            *entry.get_mut() -= u64::from(*count);
            if *entry.get() == 0 {
                entry.remove();
            }
        }
    }
}
