//! Which keys belong to which customer, and which lists of customers are refused.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use citron::{
    customer::{Customer, Customers, Error, Holder, KeyDigest, Quota, Reason},
    key_lease::KeyLease,
};

fn holder(name: &str, keys: &[&str]) -> Holder {
    let customer = Customer { name: Arc::from(name), priority: None, quota: None };
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Holder { customer, keys }
}

fn list() -> Customers {
    let holders = [holder("north", &["k1", "k2"]), holder("south", &["k3"]), holder("idle", &[])];
    Customers::new(holders).expect("a valid list")
}

macro_rules! finds {
    ($name:ident, $key:literal, $found:expr) => {
        #[test]
        fn $name() {
            let list = list();
            let found: Option<&str> = $found;
            assert_eq!(list.find($key).map(|customer| &*customer.name), found);
        }
    };
}

finds!(each_key_of_a_customer_is_accepted, b"k2", Some("north"));
finds!(an_unknown_key_is_not_accepted, b"k4", None);
finds!(an_empty_key_is_not_accepted, b"", None);
finds!(a_longer_key_is_not_accepted, b"k1 ", None);

#[test]
fn a_list_that_is_sent_to_a_peer_shows_no_key_and_finds_the_same() {
    let text = serde_json::to_string(&list()).expect("a list can be sent");
    assert!(!text.contains("k1"), "{text}");
    let received: Customers = serde_json::from_str(&text).expect("a list can be received");
    assert_eq!(received, list());
}

macro_rules! refuses {
    ($name:ident, $holders:expr, $customer:literal, $reason:ident) => {
        #[test]
        fn $name() {
            let Error { customer, reason } = Customers::new($holders).expect_err("not valid");
            assert_eq!((&*customer, reason), ($customer, Reason::$reason));
        }
    };
}

refuses!(a_name_twice, [holder("a", &["1"]), holder("a", &["2"])], "a", NameTwice);
refuses!(a_key_of_two_customers, [holder("a", &["1"]), holder("b", &["1"])], "b", KeyTwice);
refuses!(no_name, [holder("", &["1"])], "", Name);
refuses!(a_name_that_ends_a_header, [holder("a\r\nx", &["1"])], "a\r\nx", Name);

#[test]
fn quotas_that_are_no_numbers_are_refused() {
    for (rate, burst) in [(-1.0, 2.0), (f64::NAN, 2.0), (2.0, f64::INFINITY)] {
        assert_matches!(Quota::new(rate, burst), Err(Reason::Quota));
    }
    assert_eq!(Quota::new(0.0, 9.0), Ok(None));
    assert_eq!(Quota::new(2.0, 0.0), Ok(Some(Quota { rate_per_s: 2.0, burst: 1.0 })));
}

/// The bound on a removed key in these cases.
const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays every removal of a key against every confirmation before it: no request that was sent later
/// than the bound after the removal is accepted.
#[test]
fn a_removed_key_is_not_accepted_after_the_bound() {
    let lease = KeyLease::default();
    for confirmed in (0..8000).step_by(97) {
        for removed in (confirmed + 1..9000).step_by(131) {
            for sent in (removed..removed + 9000).step_by(173) {
                let accepted = lease.covers(at(sent), Some(at(confirmed)), BOUND);
                assert!(!accepted || sent <= removed + 5000, "{confirmed} {removed} {sent}");
            }
        }
    }
}

#[test]
fn a_key_is_accepted_for_most_of_the_bound_without_contact() {
    let lease = KeyLease::default();
    assert!(lease.covers(at(4500), Some(at(0)), BOUND));
    assert!(!lease.covers(at(100), None, BOUND), "nothing was ever confirmed");
}

/// The process's clock stands still while its host is suspended, so that an old confirmation looks
/// recent afterwards.
#[test]
fn a_suspension_ends_the_lease_until_the_next_confirmation() {
    let mut lease = KeyLease::default();
    assert!(!lease.record_suspended(at(20), at(900)), "readings of two clocks differ a little");
    assert!(lease.covers(at(1000), Some(at(800)), BOUND));
    assert!(lease.record_suspended(at(7000), at(1000)));
    assert!(!lease.covers(at(1001), Some(at(800)), BOUND));
    assert!(lease.covers(at(1100), Some(at(1050)), BOUND));
    assert!(!lease.record_suspended(at(7000), at(1200)), "the same suspension counts once");
}
