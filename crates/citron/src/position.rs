//! A point in the history of the store.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A point in the history of the store, which may come back from an older copy.
///
/// Positions of a later era are newer, whatever their revision: the store gives out the revisions
/// that it lost again. A position without an era, as processes of older builds tell it, has era 0.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct Position {
    /// Rises each time the store comes back from a copy.
    #[serde(default)]
    pub era: u64,
    /// Rises with each change within an era.
    pub revision: u64,
}

impl Position {
    /// Returns the position of a later revision in the same era.
    pub fn at(self, revision: u64) -> Self {
        Self { revision, ..self }
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
