//! Verdicts of coordinators.

/// A coordinator's decision about one target.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Verdict {
    /// Name of the target.
    pub target: String,
    /// Service of the target.
    pub service: String,
    /// Whether the target must get no requests.
    pub ejected: bool,
    /// Whether the target gets only a few idempotent requests before it returns to full use.
    pub trial: bool,
    /// Increases with every verdict about this target.
    pub epoch: u64,
    /// Host of the coordinator.
    pub coordinator: String,
    /// Reason, recorded in events.
    pub reason: String,
    /// Rank among the ejected targets of the service. If the floor does not allow all ejections,
    /// those of the lowest ranks apply.
    pub rank: u32,
}

impl Verdict {
    /// Whether this verdict replaces `other`: the higher epoch wins, then the greater host name of
    /// the coordinator.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.epoch, &self.coordinator) > (other.epoch, &other.coordinator)
    }
}
