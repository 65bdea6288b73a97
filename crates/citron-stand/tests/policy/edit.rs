//! A single edit with each fault of the platform and each concurrent edit.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use citron::policy::{
    Customer, Edit, Head, Policy, SHARD_LIMIT_BYTES,
    edit::{Action, Change, EditStatus, Outcome, RECENT_EDIT_LIMIT, Refusal, edit_status},
};
use citron_platform::{Expect, Version};
use citron_stand::platform::Store;

use crate::driver::{finish, finish_from, head, is_write, join, perform, policy, run_until};

fn apply(id: &str, author: &str, policy: Policy) -> Edit {
    Edit::new(id, author, Change::Apply(policy), None).unwrap()
}

fn hand_over(id: &str, author: &str, next: &str) -> Edit {
    Edit::new(id, author, Change::HandOver { next: next.to_owned() }, None).unwrap()
}

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted { revision }
}

/// Returns a store with a first policy, applied by `a`.
fn store() -> Store {
    let mut store = Store::default();
    let outcome = finish(&mut store, &mut apply("first", "a", policy(&[1], 5)));
    assert_eq!(outcome, accepted(1));
    store
}

fn is_head_write(action: &Action) -> bool {
    matches!(action, Action::PutHead { .. })
}

/// Defines a test on a store with a first policy, applied by `a`.
macro_rules! case {
    ($name:ident, |$store:ident| $body:expr) => {
        #[test]
        fn $name() {
            #[allow(unused_mut)]
            let mut $store = store();
            $body
        }
    };
}

case!(both_lists_change_in_one_update, |store| {
    let mut edit = apply("e", "a", policy(&[1, 2], 6));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[1], 5)));
    perform(&mut store, &action);
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[1, 2], 6)));
});

case!(only_changed_shards_are_written, |store| {
    let mut edit = apply("e", "a", policy(&[1], 6));
    let mut action = edit.action();
    let mut writes = 0;
    while !is_head_write(&action) {
        writes += usize::from(is_write(&action));
        let response = perform(&mut store, &action);
        action = crate::driver::deliver(&mut edit, response);
    }
    assert_eq!(writes, 1);
});

case!(other_author_is_refused, |store| {
    let refusal = Refusal::NotHolder { author: "b".into(), holder: "a".into(), term: 1 };
    let outcome = finish(&mut store, &mut apply("e", "b", policy(&[2], 5)));
    assert_eq!(outcome, Outcome::Refused(refusal.clone()));
    assert_eq!(finish(&mut store, &mut hand_over("f", "b", "c")), Outcome::Refused(refusal));
});

case!(handover_raises_the_term, |store| {
    assert_eq!(finish(&mut store, &mut hand_over("h", "a", "b")), accepted(2));
    let (_, head) = head(&store).unwrap();
    assert_eq!((head.term, head.holder.as_str()), (2, "b"));
    let outcome = finish(&mut store, &mut apply("e", "a", policy(&[2], 5)));
    assert_matches!(outcome, Outcome::Refused(Refusal::NotHolder { .. }));
});

case!(edit_started_before_a_handover_is_refused, |store| {
    let mut edit = apply("e", "a", policy(&[2], 5));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut hand_over("h", "a", "b")), accepted(2));
    let outcome = finish_from(&mut store, &mut edit, action);
    assert_matches!(outcome, Outcome::Refused(Refusal::NotHolder { .. }));
});

case!(edit_of_an_earlier_term_of_its_author_is_refused, |store| {
    let mut edit = hand_over("e", "a", "c");
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut hand_over("h", "a", "b")), accepted(2));
    assert_eq!(finish(&mut store, &mut hand_over("i", "b", "a")), accepted(3));
    let outcome = finish_from(&mut store, &mut edit, action);
    assert_eq!(outcome, Outcome::Refused(Refusal::TermChanged { initial: 1, term: 3 }));
});

case!(stale_lists_do_not_revert_the_other_edit, |store| {
    let mut edit = apply("e", "a", policy(&[2], 5));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut apply("f", "a", policy(&[3], 5))), accepted(2));
    let outcome = finish_from(&mut store, &mut edit, action);
    assert_eq!(outcome, Outcome::Refused(Refusal::StaleBase { base: 1, revision: 2 }));
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[3], 5)));
});

case!(handover_after_a_conflict_keeps_the_other_edit, |store| {
    let mut edit = hand_over("h", "a", "b");
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut apply("f", "a", policy(&[3], 5))), accepted(2));
    assert_eq!(finish_from(&mut store, &mut edit, action), accepted(3));
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[3], 5)));
});

#[test]
fn first_policies_race_and_one_wins() {
    let mut store = Store::default();
    let mut edit = apply("e", "a", policy(&[1], 5));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut apply("f", "b", policy(&[2], 5))), accepted(1));
    let outcome = finish_from(&mut store, &mut edit, action);
    assert_matches!(outcome, Outcome::Refused(Refusal::NotHolder { .. }));
}

#[test]
fn first_edit_must_apply_lists() {
    for mut edit in
        [hand_over("h", "a", "b"), Edit::new("s", "a", Change::CollectGarbage, None).unwrap()]
    {
        let outcome = finish(&mut Store::default(), &mut edit);
        assert_eq!(outcome, Outcome::Refused(Refusal::NoPolicy));
    }
}

/// A fault of the write of the head.
#[derive(Copy, Clone)]
enum WriteFault {
    /// It takes effect and its response is lost.
    ResponseLost,
    /// It is sent and lost.
    RequestLost,
    /// It is not sent.
    NotSent,
    /// It reaches the platform only after the edit has retried and ended.
    Delayed,
}

/// Injects a fault into the write of the head, calls `between`, and finishes the edit.
fn finish_with_fault(
    store: &mut Store,
    edit: &mut Edit,
    fault: WriteFault,
    between: impl FnOnce(&mut Store),
) -> Outcome {
    let action = edit.action();
    let write = run_until(store, edit, action, is_head_write);
    if matches!(fault, WriteFault::ResponseLost) {
        perform(store, &write);
    }
    let action = edit.on_failed(!matches!(fault, WriteFault::NotSent));
    assert_eq!(action, Action::Backoff { failures: 1 });
    between(store);
    let outcome = finish_from(store, edit, action);
    if matches!(fault, WriteFault::Delayed) {
        perform(store, &write);
    }
    outcome
}

/// Defines a test of an apply with a fault of its write of the head. The head must list the edit's
/// id once if the outcome is `Accepted`, and not at all otherwise.
macro_rules! write_fault {
    ($name:ident, $fault:expr, $between:expr, $outcome:pat) => {
        #[test]
        fn $name() {
            let mut store = store();
            let mut edit = apply("e", "a", policy(&[2], 5));
            let outcome = finish_with_fault(&mut store, &mut edit, $fault, $between);
            assert_matches!(outcome, $outcome);
            let (_, head) = head(&store).unwrap();
            let listed = head.edits.iter().filter(|id| *id == "e").count();
            assert_eq!(listed, usize::from(matches!(outcome, Outcome::Accepted { .. })));
        }
    };
}

fn no_change(_: &mut Store) {}

fn other_edit(store: &mut Store) {
    assert_matches!(finish(store, &mut apply("f", "a", policy(&[9], 9))), Outcome::Accepted { .. });
}

fn handover(store: &mut Store) {
    assert_matches!(finish(store, &mut hand_over("h", "a", "b")), Outcome::Accepted { .. });
}

write_fault!(lost_response, WriteFault::ResponseLost, no_change, Outcome::Accepted { revision: 2 });
write_fault!(
    lost_response_then_other_edit,
    WriteFault::ResponseLost,
    other_edit,
    Outcome::Accepted { revision: 2 }
);
write_fault!(
    lost_response_then_handover,
    WriteFault::ResponseLost,
    handover,
    Outcome::Accepted { revision: 2 }
);
write_fault!(lost_write, WriteFault::RequestLost, no_change, Outcome::Accepted { revision: 2 });
write_fault!(
    lost_write_then_other_edit,
    WriteFault::RequestLost,
    other_edit,
    Outcome::Refused(Refusal::StaleBase { .. })
);
write_fault!(
    lost_write_then_handover,
    WriteFault::RequestLost,
    handover,
    Outcome::Refused(Refusal::NotHolder { .. })
);
write_fault!(unsent_write, WriteFault::NotSent, no_change, Outcome::Accepted { revision: 2 });
write_fault!(
    unsent_write_then_other_edit,
    WriteFault::NotSent,
    other_edit,
    Outcome::Refused(Refusal::StaleBase { .. })
);
write_fault!(delayed_write, WriteFault::Delayed, no_change, Outcome::Accepted { revision: 2 });
write_fault!(
    delayed_write_then_other_edit,
    WriteFault::Delayed,
    other_edit,
    Outcome::Refused(Refusal::StaleBase { .. })
);

/// Carries out an edit on a platform that fails from the first action that satisfies `from`.
fn finish_in_outage(from: impl Fn(&Action) -> bool, in_doubt: bool) -> Outcome {
    let mut store = store();
    let mut edit = apply("e", "a", policy(&[2], 5));
    let action = edit.action();
    let mut action = run_until(&mut store, &mut edit, action, from);
    loop {
        action = match action {
            Action::Finish(outcome) => return outcome,
            Action::Backoff { .. } => edit.on_backoff_elapsed(),
            _ => edit.on_failed(in_doubt),
        };
    }
}

/// Defines a test of an outage that does not end.
macro_rules! outage {
    ($name:ident, $from:expr, $in_doubt:expr, $outcome:pat) => {
        #[test]
        fn $name() {
            assert_matches!(finish_in_outage($from, $in_doubt), $outcome);
        }
    };
}

outage!(outage_from_the_start, |_| true, false, Outcome::Unreachable);
outage!(outage_at_the_shards, |a| matches!(a, Action::PutShard { .. }), true, Outcome::Unreachable);
outage!(outage_before_the_head, is_head_write, false, Outcome::Unreachable);
outage!(outage_at_the_head, is_head_write, true, Outcome::Undecided { base: 1, .. });

#[test]
fn evicted_id_leaves_the_edit_undecided() {
    for (later, expected) in [
        (RECENT_EDIT_LIMIT - 1, accepted(2)),
        (RECENT_EDIT_LIMIT, Outcome::Undecided { id: "e".into(), base: 1 }),
    ] {
        let mut store = store();
        let mut edit = apply("e", "a", policy(&[2], 5));
        let outcome = finish_with_fault(&mut store, &mut edit, WriteFault::ResponseLost, |store| {
            for index in 0..later {
                let lists = policy(&[2, 3], index as u32 + 10);
                finish(store, &mut apply(&format!("later-{index}"), "a", lists));
            }
        });
        assert_eq!(outcome, expected, "{later} later edits");
    }
}

#[test]
fn status_follows_from_the_ids_in_the_head() {
    let head = |revision: u64| Head {
        revision,
        edits: (revision.saturating_sub(2)..=revision).map(|r| format!("e{r}")).collect(),
        ..Head::default()
    };
    for (head, id, base, expected) in [
        (None, "x", 0, EditStatus::Pending),
        (Some(head(9)), "e9", 8, EditStatus::Accepted { revision: 9 }),
        (Some(head(9)), "e7", 6, EditStatus::Accepted { revision: 7 }),
        (Some(head(9)), "x", 6, EditStatus::NotAccepted),
        (Some(head(9)), "e6", 5, EditStatus::IdEvicted),
        (Some(head(9)), "x", 9, EditStatus::Pending),
    ] {
        assert_eq!(edit_status(head.as_ref(), id, base), expected, "{id} on {base}");
    }
}

#[test]
fn invalid_edits_are_refused_before_anything_is_read() {
    let mut unknown_plan = policy(&[1], 5);
    unknown_plan.grants.plans.clear();
    let open = |change| Edit::new("e", "a", change, None).map(drop);
    assert_matches!(open(Change::Apply(unknown_plan)), Err(Refusal::InvalidLists(_)));
    let next = |next: &str| Change::HandOver { next: next.to_owned() };
    assert_matches!(open(next("a")), Err(Refusal::SameHolder { .. }));
    assert_matches!(open(next("")), Err(Refusal::InvalidHolder { .. }));
    assert_matches!(open(next("a/b")), Err(Refusal::InvalidHolder { .. }));
    assert_matches!(
        Edit::new("e", "", Change::CollectGarbage, None).map(drop),
        Err(Refusal::InvalidHolder { .. })
    );
}

#[test]
fn shard_over_the_limit_is_refused() {
    let mut lists = policy(&[], 5);
    let service = lists.grants.services["lot-desk"].clone();
    // All services are in one shard.
    let services = (0..12_000).map(|index| (format!("service-{index:05}"), service.clone()));
    lists.grants.services.extend(services.collect::<BTreeMap<_, _>>());
    let refusal = Edit::new("e", "a", Change::Apply(lists), None).map(drop).unwrap_err();
    assert_matches!(refusal, Refusal::ShardTooLarge { bytes, .. } if bytes > SHARD_LIMIT_BYTES);
}

#[test]
fn many_customers_fit_their_shards() {
    let mut lists = policy(&[], 5);
    let customer = Customer { plan: "roaster".to_owned() };
    lists.customers =
        (0..110_000).map(|index| (format!("team-{index:06}"), customer.clone())).collect();
    assert_eq!(finish(&mut Store::default(), &mut apply("e", "a", lists)), accepted(1));
}

/// Returns the number of stored shards.
fn shard_count(store: &Store) -> usize {
    store.list("policy-shards").len()
}

fn garbage_collection() -> Edit {
    Edit::new("s", "a", Change::CollectGarbage, None).unwrap()
}

case!(garbage_collection_deletes_unnamed_shards, |store| {
    other_edit(&mut store);
    let used = head(&store).unwrap().1.shards.len();
    assert!(shard_count(&store) > used);
    assert_eq!(finish(&mut store, &mut garbage_collection()), accepted(3));
    assert_eq!(shard_count(&store), used);
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[9], 9)));
});

case!(edit_started_before_a_garbage_collection_is_refused, |store| {
    // The edit has written its shards, which no head names yet.
    let mut edit = apply("e", "a", policy(&[2], 6));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    assert_eq!(finish(&mut store, &mut garbage_collection()), accepted(2));
    let outcome = finish_from(&mut store, &mut edit, action);
    assert_matches!(outcome, Outcome::Refused(Refusal::StaleBase { .. }));
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[1], 5)));
});

case!(garbage_collection_keeps_a_shard_that_is_written_again, |store| {
    // The shards of the first policy are unused once another one is in force.
    other_edit(&mut store);
    let mut collection = garbage_collection();
    let action = collection.action();
    let stop = |action: &Action| matches!(action, Action::DeleteShard { .. });
    let action = run_until(&mut store, &mut collection, action, stop);
    assert_eq!(finish(&mut store, &mut apply("e", "a", policy(&[1], 5))), accepted(4));
    assert_eq!(finish_from(&mut store, &mut collection, action), accepted(3));
    assert_eq!(join(&store, &head(&store).unwrap().1), Ok(policy(&[1], 5)));
});

case!(garbage_collection_that_cannot_delete_is_still_accepted, |store| {
    other_edit(&mut store);
    let mut collection = garbage_collection();
    let action = collection.action();
    let stop = |action: &Action| matches!(action, Action::DeleteShard { .. });
    let mut action = run_until(&mut store, &mut collection, action, stop);
    while !matches!(action, Action::Finish(_)) {
        action = match action {
            Action::Backoff { .. } => collection.on_backoff_elapsed(),
            _ => collection.on_failed(false),
        };
    }
    assert_eq!(action, Action::Finish(accepted(3)));
});

case!(unchanged_lists_write_nothing, |store| {
    let before = store.version();
    let outcome = finish(&mut store, &mut apply("e", "a", policy(&[1], 5)));
    assert_eq!((outcome, store.version()), (Outcome::Unchanged { revision: 1 }, before));
});

case!(recreated_head_conflicts, |store| {
    // A head that is deleted and written again has a higher version.
    let mut edit = apply("e", "a", policy(&[2], 5));
    let action = edit.action();
    let action = run_until(&mut store, &mut edit, action, is_head_write);
    let bytes = store.get("policy", "head").unwrap().1;
    store.delete("policy", "head", Expect::Any).unwrap();
    let version = store.put("policy", "head", &bytes, Expect::Absent).unwrap();
    assert!(version > Version(0));
    assert_matches!(finish_from(&mut store, &mut edit, action), Outcome::Undecided { .. });
});
