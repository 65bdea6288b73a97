//! Determines whether an edit took effect after the response to its write was lost.

use crate::policy::Head;

/// The status of an edit as shown by a later head.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum EditStatus {
    /// The edit took effect.
    Accepted {
        /// The revision that the edit created.
        revision: u64,
    },
    /// The edit did not take effect and no longer can.
    NotAccepted,
    /// The head is still the one that the edit was to replace; a write in flight may take effect.
    Pending,
    /// Later edits have evicted the ids by which the status could be determined.
    IdEvicted,
}

/// Returns the status of the edit `id`, which was to replace revision `base`.
pub fn edit_status(head: Option<&Head>, id: &str, base: u64) -> EditStatus {
    let revision = head.map_or(0, |head| head.revision);
    let Some(head) = head.filter(|_| revision > base) else { return EditStatus::Pending };
    if let Some(back) = head.edits.iter().rev().position(|known| known == id) {
        return EditStatus::Accepted { revision: revision - back as u64 };
    }
    // The ids belong to the latest revisions, one each, the newest last.
    if revision - base <= head.edits.len() as u64 {
        EditStatus::NotAccepted
    } else {
        EditStatus::IdEvicted
    }
}
