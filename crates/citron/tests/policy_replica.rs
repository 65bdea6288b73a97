//! A node's replica of the policy: what it applies, what it keeps and what it refuses.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use citron::policy::{Digest, Head, Policy, Replica, ReplicaError, Shard, ShardRef};

const GRANTS: &str = r#"
    service = [{ name = "lot-desk", profile = "careful", class = "live", floor = 0.7, deadline_ms = 5000 }]
    plan = [{ name = "roaster", use = [{ service = "lot-desk", rate = 5.0, burst = 10.0 }] }]
"#;

/// The objects of one accepted edit.
struct Edit {
    head: Head,
    shards: BTreeMap<Digest, Vec<u8>>,
    policy: Policy,
}

fn policy(customers: &[&str]) -> Policy {
    let list: String = customers
        .iter()
        .map(|name| format!("[[customer]]\nname = {name:?}\nplan = \"roaster\"\n"))
        .collect();
    Policy::parse(&list, GRANTS).unwrap()
}

fn edit(revision: u64, term: u64, policy: Policy) -> Edit {
    let mut head = Head {
        revision,
        term,
        holder: "owner".to_owned(),
        edits: vec![revision.to_string()],
        ..Head::default()
    };
    let mut shards = BTreeMap::new();
    for (key, shard) in Shard::split(&policy) {
        let (digest, bytes) = shard.encode();
        head.shards.insert(key, ShardRef { digest: digest.clone(), bytes: bytes.len() as u64 });
        shards.insert(digest, bytes);
    }
    Edit { head, shards, policy }
}

/// Gives a replica all shards that it misses and returns whether one brought a policy into force.
fn fill(replica: &mut Replica, edit: &Edit) -> bool {
    let missing: Vec<Digest> = replica.missing().into_iter().cloned().collect();
    missing.iter().map(|digest| replica.on_shard(digest, &edit.shards[digest]).unwrap()).last()
        == Some(true)
}

fn applied(edits: &[&Edit]) -> Replica {
    let mut replica = Replica::default();
    for edit in edits {
        assert_eq!(replica.on_head(&edit.head), Ok(false));
        assert!(fill(&mut replica, edit));
    }
    replica
}

#[track_caller]
fn assert_in_force(replica: &Replica, edit: &Edit) {
    let applied = replica.applied().unwrap();
    assert_eq!((&applied.head, &*applied.policy), (&edit.head, &edit.policy));
}

/// Names a case over two successive edits.
macro_rules! case {
    ($name:ident, |$first:ident, $second:ident| $body:expr) => {
        #[test]
        fn $name() {
            let $first = edit(1, 1, policy(&["izmir", "mersin"]));
            let $second = edit(2, 1, policy(&["izmir", "mersin", "bursa"]));
            $body
        }
    };
}

case!(head_alone_is_not_in_force, |first, _second| {
    let mut replica = Replica::default();
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert!(replica.applied().is_none());
    assert_eq!(replica.revision(), 0);
    assert_eq!(replica.missing().len(), first.shards.len());
});

case!(last_shard_brings_the_policy_into_force, |first, _second| {
    let mut replica = Replica::default();
    replica.on_head(&first.head).unwrap();
    let count = first.shards.len();
    for (index, (digest, bytes)) in first.shards.iter().enumerate() {
        assert_eq!(replica.on_shard(digest, bytes), Ok(index + 1 == count));
    }
    assert_in_force(&replica, &first);
});

case!(earlier_policy_stays_in_force_until_the_later_is_whole, |first, second| {
    let mut replica = applied(&[&first]);
    replica.on_head(&second.head).unwrap();
    assert_in_force(&replica, &first);
    assert_eq!(replica.missing().len(), 1);
    assert!(fill(&mut replica, &second));
    assert_in_force(&replica, &second);
});

case!(lower_revision_is_ignored, |first, second| {
    let mut replica = applied(&[&first, &second]);
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert!(replica.missing().is_empty());
    assert_in_force(&replica, &second);
});

case!(lower_revision_does_not_displace_the_coming_one, |first, second| {
    let mut replica = Replica::default();
    replica.on_head(&second.head).unwrap();
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert!(fill(&mut replica, &second));
    assert_in_force(&replica, &second);
});

case!(repeated_head_changes_nothing, |first, _second| {
    let mut replica = applied(&[&first]);
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert_in_force(&replica, &first);
});

case!(same_content_under_a_new_head_is_in_force_at_once, |first, _second| {
    let mut replica = applied(&[&first]);
    let handover = edit(2, 2, first.policy.clone());
    assert_eq!(replica.on_head(&handover.head), Ok(true));
    assert_in_force(&replica, &handover);
});

case!(corrupt_shard_is_refused_and_still_missing, |first, _second| {
    let mut replica = Replica::default();
    replica.on_head(&first.head).unwrap();
    let (digest, bytes) = first.shards.first_key_value().unwrap();
    let (_, other) = first.shards.last_key_value().unwrap();
    // Cut short, and a whole shard under another's digest.
    for corrupt in [&bytes[..bytes.len() - 1], other] {
        assert_matches!(replica.on_shard(digest, corrupt), Err(ReplicaError::Corrupt { .. }));
        assert!(replica.missing().contains(digest));
    }
});

case!(foreign_shard_is_not_needed, |first, second| {
    let mut replica = Replica::default();
    let (digest, bytes) = second.shards.first_key_value().unwrap();
    assert_eq!(replica.on_shard(digest, bytes), Err(ReplicaError::NotNeeded));
    replica.on_head(&first.head).unwrap();
    assert_eq!(replica.on_shard(&Digest::of(b"x"), b"x"), Err(ReplicaError::NotNeeded));
});

case!(two_heads_of_one_revision_are_reported, |first, second| {
    let mut replica = applied(&[&first]);
    let fork = Head { revision: 1, ..second.head };
    assert_eq!(replica.on_head(&fork), Err(ReplicaError::Forked { revision: 1 }));
    assert_in_force(&replica, &first);
});

case!(term_that_goes_back_is_reported, |first, second| {
    let mut replica = applied(&[&edit(1, 5, first.policy)]);
    let refusal = ReplicaError::TermDecreased { revision: 2, term: 1 };
    assert_eq!(replica.on_head(&second.head), Err(refusal));
    assert_eq!(replica.revision(), 1);
});

case!(bad_lists_leave_the_earlier_policy_in_force, |first, second| {
    let mut replica = applied(&[&first]);
    let mut broken = second.policy.clone();
    broken.grants.plans.clear();
    let broken = edit(2, 1, broken);
    replica.on_head(&broken.head).unwrap();
    let missing: Vec<Digest> = replica.missing().into_iter().cloned().collect();
    let results: Vec<_> =
        missing.iter().map(|digest| replica.on_shard(digest, &broken.shards[digest])).collect();
    assert_matches!(results.last(), Some(Err(ReplicaError::InvalidLists { revision: 2, .. })));
    assert_in_force(&replica, &first);
    // It is not fetched again, and a later edit comes into force.
    assert_eq!(replica.on_head(&broken.head), Ok(false));
    assert!(replica.missing().is_empty());
    let third = edit(3, 1, second.policy);
    replica.on_head(&third.head).unwrap();
    fill(&mut replica, &third);
    assert_in_force(&replica, &third);
});

case!(shards_are_held_for_peers_while_they_are_named, |first, second| {
    let replica = applied(&[&first, &second]);
    for (digest, bytes) in &second.shards {
        assert_eq!(replica.shard(digest).as_deref(), Some(&**bytes));
    }
    let gone = first.shards.keys().filter(|digest| !second.shards.contains_key(digest));
    for digest in gone {
        assert_eq!(replica.shard(digest), None);
    }
});
