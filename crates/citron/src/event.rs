//! Events of a process, and the merge of several processes' events into one timeline.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::hlc;

/// Something that happened in one process.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, causally ordered across processes.
    pub stamp: hlc::Stamp,
    /// The host of the process.
    pub host: String,
    /// The program, such as `citron-proxy`.
    pub program: String,
    /// What kind of event it is.
    pub kind: Kind,
    /// What it is about: a target, a member, a customer or a revision.
    pub subject: String,
    /// Further fields by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, String>,
}

/// The kinds of events.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    Started,
    /// A process began to shut down.
    Leaving,
    /// A process stopped.
    Stopped,
    /// A member joined.
    MemberJoined,
    /// A member is suspected to have failed.
    MemberSuspected,
    /// A member was declared dead.
    MemberDead,
    /// A member is leaving.
    MemberLeaving,
    /// A member responds again.
    MemberRecovered,
    /// A path between two members works in one direction only.
    PathOneWay,
    /// The platform became unreachable.
    PlatformLost,
    /// The platform became reachable.
    PlatformFound,
    /// A policy revision was accepted by the platform.
    PolicyAccepted,
    /// A process applied a policy revision.
    PolicyApplied,
    /// An edit was refused.
    PolicyRefused,
    /// The edit right passed to another holder.
    HandedOver,
    /// A target appeared in the host list.
    TargetAdded,
    /// A target is leaving.
    TargetLeaving,
    /// A target was removed from the host list.
    TargetRemoved,
    /// A proxy lowered the weight of a target.
    TargetSuspected,
    /// A target was ejected.
    TargetEjected,
    /// An ejection was not carried out because it would violate the floor.
    FloorHeld,
    /// A target was returned to service.
    TargetReturned,
    /// A response did not belong to its request.
    ForeignAnswer,
    /// The outcome of a request is unknown.
    OutcomeUnknown,
    /// A share of an allowance was lent.
    LoanMade,
    /// A share of an allowance was borrowed.
    LoanTaken,
    /// A lease was taken.
    LeaseTaken,
    /// A lease was lost.
    LeaseLost,
    /// A fault was switched on or off in a stand-in.
    FaultSet,
}

/// A ring buffer of the most recent events of a process.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
}

impl Ring {
    /// Creates a ring buffer that keeps the last `capacity` events.
    pub fn new(capacity: usize) -> Self {
        assert!(capacity > 0, "an event ring must keep at least one event");
        Self { capacity, events: VecDeque::with_capacity(capacity.min(1024)) }
    }

    /// Adds an event, and drops the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events later than `after`, oldest first.
    pub fn since(&self, after: hlc::Stamp) -> Vec<Event> {
        self.events.iter().filter(|event| event.stamp > after).cloned().collect()
    }
}

/// Merges the events of several processes into causal order and removes duplicates.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| {
        (a.stamp, &a.host, &a.program, &a.subject).cmp(&(b.stamp, &b.host, &b.program, &b.subject))
    });
    events.dedup();
    events
}
