//! Hybrid logical clocks, which order the events of several processes causally.

use serde::{Deserialize, Serialize};

/// A reading of a hybrid logical clock (Kulkarni et al., 2014).
///
/// Readings order first by wall time in milliseconds since the Unix epoch, then by a counter.
#[derive(
    Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counts events within one millisecond.
    pub logical: u32,
}

/// A clock whose readings strictly increase and exceed every reading it has observed.
#[derive(Debug, Default, Clone)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns a new reading for a local event at `wall_ms` milliseconds since the Unix epoch.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        self.advance(wall_ms, Stamp::default())
    }

    /// Observes the reading of a received message and returns a later one.
    pub fn observe(&mut self, wall_ms: u64, remote: Stamp) -> Stamp {
        self.advance(wall_ms, remote)
    }

    fn advance(&mut self, wall_ms: u64, remote: Stamp) -> Stamp {
        let before = self.last.max(remote);
        let next = if wall_ms > before.wall_ms {
            Stamp { wall_ms, logical: 0 }
        } else {
            match before.logical.checked_add(1) {
                Some(logical) => Stamp { wall_ms: before.wall_ms, logical },
                None => Stamp { wall_ms: before.wall_ms + 1, logical: 0 },
            }
        };
        assert!(next > self.last && next > remote, "a clock reading must exceed all earlier ones");
        self.last = next;
        next
    }
}
