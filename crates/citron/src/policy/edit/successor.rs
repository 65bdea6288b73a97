//! The invariants between a head and the one that replaces it.

use super::RECENT_EDIT_LIMIT;
use crate::policy::Head;

/// Asserts that the edit `id` of `author` may replace the head `observed` by `next`.
pub(super) fn assert_successor(observed: Option<&Head>, next: &Head, author: &str, id: &str) {
    assert_eq!(
        next.edits.last().map(String::as_str),
        Some(id),
        "the last id of a head must be its edit's"
    );
    assert_eq!(
        next.edits.len() as u64,
        next.revision.min(RECENT_EDIT_LIMIT as u64),
        "a head must list one id for each of its latest revisions"
    );
    let Some(observed) = observed else {
        assert_eq!((next.revision, next.term), (1, 1), "the first head must be revision 1, term 1");
        assert_eq!(next.holder, author, "the author of the first head must hold the edit right");
        return;
    };
    assert_eq!(next.revision, observed.revision + 1, "an edit must raise the revision by one");
    assert_eq!(observed.holder, author, "only the holder of the edit right may replace a head");
    assert!(
        !observed.edits.iter().any(|known| known == id),
        "an edit must be accepted at most once"
    );
    if next.holder == observed.holder {
        assert_eq!(next.term, observed.term, "an edit must keep its term");
    } else {
        assert_eq!(next.term, observed.term + 1, "a handover must raise the term by one");
        assert_eq!(next.shards, observed.shards, "a handover must keep the lists");
    }
}
