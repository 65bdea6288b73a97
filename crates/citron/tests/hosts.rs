//! Copies of the host list, and the buffers of updates to send.

use std::{collections::BTreeMap, env};

use citron::{
    dissemination::{self, UpdateBuffer},
    hosts::Table,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

type List = BTreeMap<String, u32>;

/// Returns a copy of `list` with one to three random entries removed or set.
fn edit(list: &List, rng: &mut ChaCha8Rng) -> List {
    let mut list = list.clone();
    for _ in 0..rng.random_range(1..4) {
        let name = format!("target-{}", rng.random_range(0..12));
        if rng.random_bool(0.4) {
            list.remove(&name);
        } else {
            list.insert(name, rng.random_range(0..3));
        }
    }
    list
}

fn content(table: &Table<u32>) -> List {
    table.iter().map(|(name, value)| (name.to_owned(), *value)).collect()
}

fn env_number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_copies_equal_the_list_of_their_version() {
    for seed in 0..env_number("CITRON_SEEDS", 20) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test hosts random (seed {seed})",
            seed + 1
        );
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut history = vec![List::new()];
        let mut copies = vec![Table::new(); 5];
        // Lists built only from the changes that each copy returned; they must equal the copy.
        let mut followers = vec![List::new(); 5];
        for _ in 0..env_number("CITRON_STEPS", 400) {
            if rng.random_bool(0.3) {
                let next = edit(&history[history.len() - 1], &mut rng);
                history.push(next);
            }
            let index = rng.random_range(0..5);
            let before = copies[index].version();
            let changes = if rng.random_bool(0.2) {
                // The platform's list lags and may be older than the copy.
                let version = rng.random_range(0..history.len());
                copies[index].install(version as u64, &history[version])
            } else {
                let other = rng.random_range(0..5);
                let changes = copies[other].changes_since(before);
                copies[index].apply(&changes)
            };
            assert!(copies[index].version() >= before, "the version of a copy decreased");
            followers[index].extend(changes.entries.iter().cloned());
            followers[index].retain(|name, _| !changes.removed.contains(name));
            let expected = &history[copies[index].version() as usize];
            assert_eq!(&content(&copies[index]), expected, "seed {seed}");
            assert_eq!(&followers[index], expected, "seed {seed}");
        }
    }
}

#[test]
fn changes_since_an_earlier_version_are_incremental() {
    let mut list: List = (0..100).map(|i| (format!("target-{i}"), 0)).collect();
    let mut table = Table::new();
    table.install(1, &list);
    list.insert("target-7".to_owned(), 1);
    table.install(2, &list);
    let changes = table.changes_since(1);
    assert!(!changes.full);
    assert_eq!(changes.entries, [("target-7".to_owned(), 1)]);
    assert!(table.changes_since(0).full);
}

#[test]
fn updates_are_sent_the_same_number_of_times_within_the_budget() {
    let mut buffer = UpdateBuffer::new(100);
    (0..20).for_each(|i| buffer.put(&format!("key-{i}"), i, 100));
    let mut sent = [0; 20];
    while !buffer.is_empty() {
        let batch = buffer.next_batch(350, 6);
        assert!(batch.len() <= 3);
        batch.into_iter().for_each(|i: usize| sent[i] += 1);
    }
    assert_eq!(sent, [6; 20]);
}

#[test]
fn a_newer_update_replaces_an_older_one_and_a_full_buffer_drops_the_most_sent() {
    let mut buffer = UpdateBuffer::new(2);
    buffer.put("a", 1, 10);
    buffer.put("a", 2, 10);
    assert_eq!(buffer.next_batch(100, 5), [2]);
    buffer.put("b", 3, 10);
    buffer.put("c", 4, 10);
    assert_eq!(buffer.len(), 2);
    assert_eq!(buffer.next_batch(100, 5), [3, 4]);
}

#[test]
fn the_transmit_limit_grows_with_the_logarithm_of_the_members() {
    assert!(dissemination::transmit_limit(2900) <= 2 * dissemination::transmit_limit(54));
    assert!(dissemination::transmit_limit(4) < dissemination::transmit_limit(54));
}
