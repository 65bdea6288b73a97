//! A node's replica of the policy: what it applies, which shards it keeps, and what it rejects.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use citron::policy::{Digest, Head, Policy, Replica, ReplicaError, Shard, ShardRef};

const GRANTS: &str = r#"
    service = [{ name = "lot-desk", profile = "careful", class = "live", floor = 0.7, deadline_ms = 5000 }]
    plan = [{ name = "roaster", use = [{ service = "lot-desk", rate = 5.0, burst = 10.0 }] }]
"#;

/// The stored objects of one revision, and its policy.
struct Revision {
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

fn revision(revision: u64, term: u64, policy: Policy) -> Revision {
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
    Revision { head, shards, policy }
}

/// Adds all missing shards; returns whether the last one brought a policy into force.
fn add_missing_shards(replica: &mut Replica, revision: &Revision) -> bool {
    let missing: Vec<Digest> = replica.missing().into_iter().cloned().collect();
    missing.iter().map(|digest| replica.on_shard(digest, &revision.shards[digest]).unwrap()).last()
        == Some(true)
}

fn replica_of(revisions: &[&Revision]) -> Replica {
    let mut replica = Replica::default();
    for revision in revisions {
        assert_eq!(replica.on_head(&revision.head), Ok(false));
        assert!(add_missing_shards(&mut replica, revision));
    }
    replica
}

#[track_caller]
fn assert_in_force(replica: &Replica, revision: &Revision) {
    let applied = replica.applied().unwrap();
    assert_eq!((&applied.head, &*applied.policy), (&revision.head, &revision.policy));
}

/// Defines a test over two successive revisions.
macro_rules! case {
    ($name:ident, |$first:ident, $second:ident| $body:expr) => {
        #[test]
        fn $name() {
            let $first = revision(1, 1, policy(&["izmir", "mersin"]));
            let $second = revision(2, 1, policy(&["izmir", "mersin", "bursa"]));
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

case!(earlier_policy_stays_in_force_until_the_later_is_complete, |first, second| {
    let mut replica = replica_of(&[&first]);
    replica.on_head(&second.head).unwrap();
    assert_in_force(&replica, &first);
    assert_eq!(replica.missing().len(), 1);
    assert!(add_missing_shards(&mut replica, &second));
    assert_in_force(&replica, &second);
});

case!(lower_revision_is_ignored, |first, second| {
    let mut replica = replica_of(&[&first, &second]);
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert!(replica.missing().is_empty());
    assert_in_force(&replica, &second);
});

case!(lower_revision_does_not_replace_the_pending_one, |first, second| {
    let mut replica = Replica::default();
    replica.on_head(&second.head).unwrap();
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert!(add_missing_shards(&mut replica, &second));
    assert_in_force(&replica, &second);
});

case!(repeated_head_changes_nothing, |first, _second| {
    let mut replica = replica_of(&[&first]);
    assert_eq!(replica.on_head(&first.head), Ok(false));
    assert_in_force(&replica, &first);
});

case!(same_content_under_a_new_head_is_in_force_at_once, |first, _second| {
    let mut replica = replica_of(&[&first]);
    let handover = revision(2, 2, first.policy.clone());
    assert_eq!(replica.on_head(&handover.head), Ok(true));
    assert_in_force(&replica, &handover);
});

case!(corrupt_shard_is_refused_and_still_missing, |first, _second| {
    let mut replica = Replica::default();
    replica.on_head(&first.head).unwrap();
    let (digest, bytes) = first.shards.first_key_value().unwrap();
    let (_, other) = first.shards.last_key_value().unwrap();
    // A truncated shard, and an intact one under the digest of another.
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
    let mut replica = replica_of(&[&first]);
    let fork = Head { revision: 1, ..second.head };
    assert_eq!(replica.on_head(&fork), Err(ReplicaError::Forked { revision: 1 }));
    assert_in_force(&replica, &first);
});

case!(decreasing_term_is_reported, |first, second| {
    let mut replica = replica_of(&[&revision(1, 5, first.policy)]);
    let refusal = ReplicaError::TermDecreased { revision: 2, term: 1 };
    assert_eq!(replica.on_head(&second.head), Err(refusal));
    assert_eq!(replica.revision(), 1);
});

case!(invalid_lists_leave_the_earlier_policy_in_force, |first, second| {
    let mut replica = replica_of(&[&first]);
    let mut invalid = second.policy.clone();
    invalid.grants.plans.clear();
    let invalid = revision(2, 1, invalid);
    replica.on_head(&invalid.head).unwrap();
    let missing: Vec<Digest> = replica.missing().into_iter().cloned().collect();
    let results: Vec<_> =
        missing.iter().map(|digest| replica.on_shard(digest, &invalid.shards[digest])).collect();
    assert_matches!(results.last(), Some(Err(ReplicaError::InvalidLists { revision: 2, .. })));
    assert_in_force(&replica, &first);
    // The invalid revision is not fetched again, and a later one comes into force.
    assert_eq!(replica.on_head(&invalid.head), Ok(false));
    assert!(replica.missing().is_empty());
    let third = revision(3, 1, second.policy);
    replica.on_head(&third.head).unwrap();
    add_missing_shards(&mut replica, &third);
    assert_in_force(&replica, &third);
});

case!(shards_are_kept_while_a_head_names_them, |first, second| {
    let replica = replica_of(&[&first, &second]);
    for (digest, bytes) in &second.shards {
        assert_eq!(replica.shard(digest).as_deref(), Some(&**bytes));
    }
    let unused = first.shards.keys().filter(|digest| !second.shards.contains_key(digest));
    for digest in unused {
        assert_eq!(replica.shard(digest), None);
    }
});
