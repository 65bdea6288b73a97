//! Verdicts of a coordinator about targets.

/// A coordinator's verdict about one target.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Verdict {
    /// The target.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Whether the target must get no requests.
    pub ejected: bool,
    /// Whether the target gets a trickle of idempotent requests before it returns.
    pub trial: bool,
    /// Counts the verdicts about this target.
    pub epoch: u64,
    /// The host of the coordinator.
    pub coordinator: String,
    /// Why, for the time line.
    pub reason: String,
    /// The order among the ejected targets of the service; the lowest are kept ejected at the floor.
    pub rank: u32,
}

impl Verdict {
    /// Whether this verdict replaces `other`: the higher epoch wins, then the greater coordinator name.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.epoch, &self.coordinator) > (other.epoch, &other.coordinator)
    }
}
