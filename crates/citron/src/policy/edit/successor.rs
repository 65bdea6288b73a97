//! What holds between a head and the one that replaces it.

use super::RECENT_EDIT_LIMIT;
use crate::policy::Head;

/// Asserts that `next` may replace `seen` as the edit `id` of `author`.
pub(super) fn assert_successor(seen: Option<&Head>, next: &Head, author: &str, id: &str) {
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
    let Some(seen) = seen else {
        assert_eq!((next.revision, next.term), (1, 1), "the first head must be revision 1, term 1");
        assert_eq!(next.holder, author, "the first author must hold the final say");
        return;
    };
    assert_eq!(next.revision, seen.revision + 1, "an edit must raise the revision by one");
    assert_eq!(seen.holder, author, "only the holder of the final say may replace a head");
    assert!(!seen.edits.iter().any(|known| known == id), "an edit must be accepted at most once");
    if next.holder == seen.holder {
        assert_eq!(next.term, seen.term, "an edit must keep its term");
    } else {
        assert_eq!(next.term, seen.term + 1, "a handover must raise the term by one");
        assert_eq!(next.shards, seen.shards, "a handover must keep the lists");
    }
}
