//! The list of targets: newer revisions win, leaving targets stay out, and lapsed entries are kept
//! for a grace period.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use citron::{
    catalog::{Catalog, Change, Snapshot, Source, Target, Update},
    position::Position,
};

const BORN_MS: u64 = 1000;

fn target(id: &str, born_ms: u64, leaving: bool) -> Target {
    Target {
        id: Arc::from(id),
        born_ms,
        service: Arc::from("desk"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: Arc::from("a"),
        slots: 3,
        leaving,
        warmup_ms: 0,
        heartbeat: 0,
    }
}

fn listed(ids: &[&str]) -> Catalog {
    let mut catalog = Catalog::default();
    let targets = ids.iter().map(|id| target(id, BORN_MS, false)).collect();
    assert!(catalog.replace(list(10, targets), Source::Store, Duration::ZERO));
    catalog
}

fn at_revision(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn list(revision: u64, targets: Vec<Target>) -> Snapshot {
    Snapshot { position: at_revision(revision), targets, lapsed: Vec::new() }
}

fn serving(catalog: &Catalog) -> Vec<String> {
    serving_at(catalog, Duration::ZERO)
}

fn serving_at(catalog: &Catalog, now: Duration) -> Vec<String> {
    catalog.serving("desk", now).map(|target| target.id.to_string()).collect()
}

fn gone(id: &str) -> Vec<Change> {
    vec![Change::Gone(Arc::from(id))]
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn an_older_list_changes_nothing() {
    let mut catalog = listed(&["x", "y"]);
    let old = list(10, vec![target("z", BORN_MS, false)]);
    assert!(!catalog.replace(old, Source::Store, Duration::ZERO));
    assert!(!catalog.apply(at_revision(9), gone("x"), Source::Store, Duration::ZERO));
    assert_eq!(serving(&catalog), ["x", "y"]);
}

#[test]
fn a_leaving_target_gets_no_requests() {
    let mut catalog = listed(&["x", "y"]);
    catalog.apply(
        at_revision(11),
        vec![Change::Put(target("x", BORN_MS, true))],
        Source::Store,
        Duration::ZERO,
    );
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn a_target_that_left_does_not_come_back_in_the_same_incarnation() {
    let mut catalog = listed(&["x"]);
    catalog.apply(
        at_revision(11),
        vec![Change::Put(target("x", BORN_MS, true))],
        Source::Store,
        Duration::ZERO,
    );
    catalog.apply(at_revision(12), gone("x"), Source::Store, Duration::ZERO);
    catalog.apply(
        at_revision(13),
        vec![Change::Put(target("x", BORN_MS, false))],
        Source::Store,
        Duration::ZERO,
    );
    assert!(serving(&catalog).is_empty());
    catalog.apply(
        at_revision(14),
        vec![Change::Put(target("x", BORN_MS + 1, false))],
        Source::Store,
        Duration::ZERO,
    );
    assert_eq!(serving(&catalog), ["x"], "a new incarnation is another target");
}

#[test]
fn an_entry_that_vanishes_is_removed_immediately() {
    let mut catalog = listed(&["x", "y"]);
    catalog.apply(at_revision(11), gone("x"), Source::Store, Duration::ZERO);
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_two_seconds_after_it() {
    let mut catalog = listed(&["x", "y"]);
    catalog.set_keep_until(at(7000));
    let newer = list(20, vec![target("y", BORN_MS, false)]);
    assert!(catalog.replace(newer, Source::Store, at(5100)));
    assert_eq!(serving_at(&catalog, at(6999)), ["x", "y"]);
    assert!(catalog.is_lapsed("x") && !catalog.is_lapsed("y"));
    assert!(catalog.expire(at(6999)).is_empty());
    assert_eq!(serving_at(&catalog, at(7000)), ["y"], "also before it is removed");
    assert_eq!(catalog.expire(at(7000)).len(), 1);
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn a_lapsed_entry_that_is_listed_again_stays() {
    let mut catalog = listed(&["x"]);
    catalog.set_keep_until(at(7000));
    catalog.apply(at_revision(20), gone("x"), Source::Store, at(5100));
    catalog.apply(
        at_revision(21),
        vec![Change::Put(target("x", BORN_MS, false))],
        Source::Store,
        at(5500),
    );
    assert!(catalog.expire(at(9000)).is_empty());
    assert_eq!(serving(&catalog), ["x"]);
}

#[test]
fn an_entry_that_vanishes_long_after_an_outage_is_removed_immediately() {
    let mut catalog = listed(&["x"]);
    catalog.set_keep_until(at(7000));
    catalog.apply(at_revision(20), gone("x"), Source::Store, at(7000));
    assert!(serving(&catalog).is_empty());
}

#[test]
fn a_leaving_target_does_not_lapse_in_an_outage() {
    let mut catalog = listed(&["x"]);
    catalog.apply(
        at_revision(11),
        vec![Change::Put(target("x", BORN_MS, true))],
        Source::Store,
        Duration::ZERO,
    );
    catalog.set_keep_until(Duration::MAX);
    catalog.apply(at_revision(12), gone("x"), Source::Store, at(100));
    assert!(catalog.is_empty());
}

#[test]
fn a_snapshot_names_the_lapsed_entries() {
    let mut catalog = listed(&["x", "y"]);
    catalog.set_keep_until(Duration::MAX);
    catalog.apply(at_revision(12), gone("x"), Source::Store, at(100));
    assert_eq!(catalog.snapshot().lapsed, [Arc::from("x")]);
    assert_matches!(catalog.since(at_revision(10)), Update::Changes(12, changes) => {
        assert_matches!(changes.as_slice(), [Change::Lapsed(id)] if &**id == "x");
    });
    let mut other = Catalog::default();
    other.set_keep_until(at(2300));
    other.replace(catalog.snapshot(), Source::Peer, at(200));
    assert!(other.is_lapsed("x"));
    assert_eq!(other.expire(at(2300)).len(), 1);
}

/// The gateway is cut off from a store that responds to its peers: a target that a peer saw leave
/// and vanish must not be kept here until the gateway's own connection to the store is back.
#[test]
fn an_entry_that_a_peer_saw_vanish_is_removed_immediately() {
    let mut catalog = listed(&["x", "y", "z"]);
    catalog.set_keep_until(Duration::MAX);
    catalog.apply(at_revision(11), gone("x"), Source::Peer, at(100));
    assert_eq!(serving(&catalog), ["y", "z"]);
    let whole = list(12, vec![target("z", BORN_MS, false)]);
    assert!(catalog.replace(whole, Source::Peer, at(200)));
    assert_eq!(serving(&catalog), ["z"]);
}

#[test]
fn no_entry_is_kept_once_the_outage_turns_out_to_be_none() {
    let mut catalog = listed(&["x", "y", "z"]);
    catalog.set_keep_until(Duration::MAX);
    catalog.apply(at_revision(15), gone("z"), Source::Store, at(4900));
    catalog.set_keep_until(at(2000));
    assert_eq!(serving_at(&catalog, at(5000)), ["x", "y"]);
    assert_eq!(catalog.expire(at(5000)), [Arc::from("z")]);
    let newer = list(20, vec![target("y", BORN_MS, false)]);
    assert!(catalog.replace(newer, Source::Store, at(5100)));
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn a_peer_that_is_slightly_behind_gets_only_the_changes() {
    let mut catalog = listed(&["x", "y", "z"]);
    catalog.apply(
        at_revision(11),
        vec![Change::Put(target("x", BORN_MS, true))],
        Source::Store,
        Duration::ZERO,
    );
    catalog.apply(at_revision(12), gone("y"), Source::Store, Duration::ZERO);
    catalog.apply(at_revision(13), gone("x"), Source::Store, Duration::ZERO);
    assert_matches!(catalog.since(at_revision(10)), Update::Changes(13, changes) if changes.len() == 2);
    assert_matches!(catalog.since(at_revision(12)), Update::Changes(13, changes) => {
        assert_matches!(changes.as_slice(), [Change::Gone(id)] if &**id == "x");
    });
    assert_matches!(catalog.since(at_revision(9)), Update::Whole(list) if list.targets.len() == 1);
}

#[test]
fn a_peer_that_is_far_behind_gets_the_whole_list() {
    let mut catalog = listed(&["x"]);
    for revision in 11..3000 {
        catalog.apply(
            at_revision(revision),
            vec![Change::Put(target("x", revision, false))],
            Source::Store,
            Duration::ZERO,
        );
    }
    assert_matches!(catalog.since(at_revision(11)), Update::Whole(_));
    assert_matches!(catalog.since(at_revision(2990)), Update::Changes(2999, changes) if changes.len() == 1);
}

/// A peer that has received a revision ignores the store's own event for it, so that the update has
/// to say which entries lapsed.
#[test]
fn an_update_with_changes_names_the_lapsed_entries() {
    let mut sender = listed(&["x", "y", "z"]);
    sender.set_keep_until(at(7000));
    let mut changes = gone("x");
    changes.push(Change::Put(target("v", BORN_MS, false)));
    sender.apply(at_revision(11), changes, Source::Store, at(5100));
    assert!(sender.is_lapsed("x"));
    let mut peer = listed(&["x", "y", "z"]);
    peer.set_keep_until(at(7200));
    assert_matches!(sender.since(at_revision(10)), Update::Changes(revision, changes) => {
        assert!(peer.apply(at_revision(revision), changes, Source::Peer, at(5200)));
    });
    assert!(
        !peer.apply(at_revision(11), gone("x"), Source::Store, at(5300)),
        "the revision is known"
    );
    assert_eq!(serving(&peer), ["v", "x", "y", "z"], "kept for the grace period");
    assert_eq!(peer.expire(at(7200)), [Arc::from("x")]);
    assert_eq!(serving(&peer), ["v", "y", "z"]);
}

#[test]
fn an_entry_that_only_a_peer_keeps_is_removed_immediately() {
    let mut peer = listed(&["x", "y"]);
    peer.set_keep_until(Duration::MAX);
    peer.apply(at_revision(11), gone("x"), Source::Store, at(5000));
    let mut catalog = listed(&["x", "y"]);
    catalog.set_keep_until(at(4000));
    assert_matches!(peer.since(at_revision(10)), Update::Changes(revision, changes) => {
        assert!(catalog.apply(at_revision(revision), changes, Source::Peer, at(5100)));
    });
    assert_eq!(serving(&catalog), ["y"]);
    let mut catalog = listed(&["y"]);
    catalog.set_keep_until(at(4000));
    assert!(catalog.replace(peer.snapshot(), Source::Peer, at(5100)));
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn a_later_report_of_the_same_lapse_does_not_keep_an_entry_longer() {
    let mut catalog = listed(&["x"]);
    catalog.set_keep_until(at(7000));
    catalog.apply(at_revision(11), gone("x"), Source::Store, at(5100));
    catalog.set_keep_until(Duration::MAX);
    let lapsed = vec![Change::Lapsed(Arc::from("x"))];
    catalog.apply(at_revision(12), lapsed, Source::Peer, at(5200));
    assert_eq!(serving_at(&catalog, at(6999)), ["x"]);
    assert!(serving_at(&catalog, at(7000)).is_empty());
    let whole =
        Snapshot { lapsed: vec![Arc::from("x")], ..list(13, vec![target("x", BORN_MS, false)]) };
    assert!(catalog.replace(whole, Source::Peer, at(5300)));
    assert_eq!(serving_at(&catalog, at(6999)), ["x"]);
    assert!(serving_at(&catalog, at(7000)).is_empty());
}

#[test]
fn a_list_of_a_later_era_is_newer_whatever_its_revision() {
    let mut catalog = listed(&["x", "y"]);
    let later = Position { era: 2, revision: 4 };
    let list = Snapshot { position: later, ..list(4, vec![target("y", BORN_MS, false)]) };
    assert!(catalog.replace(list, Source::Store, Duration::ZERO));
    assert_eq!((catalog.position(), serving(&catalog)), (later, vec!["y".to_owned()]));
    let earlier = Position { era: 1, revision: 99 };
    assert!(!catalog.apply(earlier, gone("y"), Source::Peer, Duration::ZERO));
}

#[test]
fn changes_of_another_era_are_not_applied() {
    let mut catalog = listed(&["x"]);
    let later = Position { era: 2, revision: 50 };
    assert!(!catalog.apply(later, gone("x"), Source::Store, Duration::ZERO));
    assert_eq!(serving(&catalog), ["x"]);
}

#[test]
fn a_peer_of_another_era_gets_the_whole_list() {
    let mut catalog = listed(&["x"]);
    catalog.apply(at_revision(11), gone("x"), Source::Peer, Duration::ZERO);
    assert_matches!(catalog.since(at_revision(10)), Update::Changes(11, _));
    for era in [0, 2] {
        let update = catalog.since(Position { era, revision: 10 });
        assert_matches!(update, Update::Whole(_), "era {era}; an older build names none");
    }
}

#[test]
fn lists_are_exchanged_with_processes_of_older_builds() {
    let text = r#"{"revision": 7, "targets": [], "lapsed": []}"#;
    let old: Snapshot = serde_json::from_str(text).expect("the form of an older build");
    assert_eq!(old.position, Position { era: 0, revision: 7 });
    let text = serde_json::to_value(listed(&["x"]).snapshot()).expect("a list");
    assert_eq!(text["revision"], 10, "an older build reads the revision there");
    let mut catalog = listed(&["x"]);
    let outdated = Snapshot { position: Position { era: 0, revision: 99 }, ..old };
    assert!(!catalog.replace(outdated, Source::Peer, Duration::ZERO));
    assert_eq!(serving(&catalog), ["x"]);
}

/// The copy of an entry that was removed says nothing; a later heartbeat of the same incarnation does.
#[test]
fn an_outdated_entry_does_not_bring_a_removed_target_back() {
    let entry = |heartbeat| Target { heartbeat, ..target("x", BORN_MS, false) };
    let put = |heartbeat| vec![Change::Put(entry(heartbeat))];
    let mut catalog = listed(&["y"]);
    catalog.apply(at_revision(11), put(4), Source::Store, Duration::ZERO);
    catalog.apply(at_revision(12), [put(7), gone("x")].concat(), Source::Store, Duration::ZERO);
    let copy = Snapshot {
        position: Position { era: 2, revision: 3 },
        ..list(3, vec![entry(5), target("y", BORN_MS, false)])
    };
    catalog.replace(copy, Source::Store, Duration::ZERO);
    assert_eq!(serving(&catalog), ["y"]);
    let later = Position { era: 2, revision: 4 };
    catalog.apply(later, put(8), Source::Store, Duration::ZERO);
    assert_eq!(serving(&catalog), ["x", "y"]);
}

#[test]
fn a_target_that_said_that_it_leaves_is_not_back_with_a_later_heartbeat() {
    let entry = |heartbeat, leaving| Target { heartbeat, ..target("x", BORN_MS, leaving) };
    let mut catalog = listed(&["y"]);
    let changes = vec![Change::Put(entry(5, true)), Change::Gone(Arc::from("x"))];
    catalog.apply(at_revision(11), changes, Source::Store, Duration::ZERO);
    let again = vec![Change::Put(entry(9, false))];
    catalog.apply(at_revision(12), again, Source::Store, Duration::ZERO);
    assert_eq!(serving(&catalog), ["y"]);
}

#[test]
fn the_departures_that_a_peer_knows_are_taken_over() {
    let entry = |id, heartbeat, leaving| Target { heartbeat, ..target(id, BORN_MS, leaving) };
    let mut peer = Catalog::default();
    let all = ["x", "y", "z"].map(|id| entry(id, 5, false)).to_vec();
    peer.replace(list(10, all), Source::Store, Duration::ZERO);
    let changes = vec![Change::Put(entry("x", 6, true)), Change::Gone(Arc::from("y"))];
    peer.apply(at_revision(11), changes, Source::Store, Duration::ZERO);
    let mut starting = Catalog::default();
    let copy = ["x", "y", "z"].map(|id| entry(id, 5, false)).to_vec();
    starting.replace(list(10, copy), Source::Store, Duration::ZERO);
    starting.merge_departures(peer.departures().clone());
    assert_eq!(serving(&starting), ["z"]);
}
