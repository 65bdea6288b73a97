//! Whether an edit whose answer was lost took effect.

use crate::policy::Head;

/// Whether a head shows that an edit took effect.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum EditStatus {
    /// The edit took effect as this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The edit did not and cannot take effect any more.
    NotAccepted,
    /// The head is the one that the edit was to replace; a write on its way may still take effect.
    Pending,
    /// Later edits have pushed out the id that would tell.
    IdEvicted,
}

/// Tells from a later head whether the edit `id`, which was to replace revision `base`, took effect.
pub fn edit_status(head: Option<&Head>, id: &str, base: u64) -> EditStatus {
    let revision = head.map_or(0, |head| head.revision);
    let Some(head) = head.filter(|_| revision > base) else { return EditStatus::Pending };
    if let Some(back) = head.edits.iter().rev().position(|known| known == id) {
        return EditStatus::Accepted { revision: revision - back as u64 };
    }
    // The ids belong to the latest revisions, one each.
    if revision - base <= head.edits.len() as u64 {
        EditStatus::NotAccepted
    } else {
        EditStatus::IdEvicted
    }
}
