//! The order of routing tables.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::position::Position;

/// Which of two routing tables is newer, as far as that is known.
///
/// The versions count. Where one could not be read, the store's own order does, within an era: a store
/// that came back from an older copy may show a configuration that was replaced.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Edition {
    /// The version, `None` if there is no table or it could not be read.
    pub version: Option<u64>,
    /// The store's position of the object, revision 0 if it is not known.
    pub position: Position,
}

impl Edition {
    /// Returns a key that orders editions of which each two can be compared.
    pub fn rank(self) -> (Option<u64>, Position) {
        (self.version, self.position)
    }

    fn is_none(self) -> bool {
        self == Self::default()
    }

    /// Returns true if the store's own order tells which of two is newer.
    fn shares_history(self, other: Self) -> bool {
        let (own, other) = (self.position, other.position);
        own.era == other.era && own.revision > 0 && other.revision > 0
    }
}

impl PartialOrd for Edition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        if self.is_none() || other.is_none() {
            return Some(other.is_none().cmp(&self.is_none()));
        }
        if self.version.is_some() && other.version.is_some() {
            return Some(self.rank().cmp(&other.rank()));
        }
        let by_position = (self.position, self.version).cmp(&(other.position, other.version));
        self.shares_history(*other).then_some(by_position)
    }
}

impl From<u64> for Edition {
    fn from(version: u64) -> Self {
        Self { version: Some(version), position: Position::default() }
    }
}
