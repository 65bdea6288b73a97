//! Bounded buffers of updates that are piggybacked on datagrams, each a limited number of times.

use std::collections::BTreeMap;

/// Pending updates by key, each with the number of times it was sent.
#[derive(Debug, Clone)]
pub struct UpdateBuffer<V> {
    capacity: usize,
    entries: BTreeMap<String, Entry<V>>,
}

#[derive(Debug, Clone)]
struct Entry<V> {
    value: V,
    bytes: usize,
    sent: u32,
}

impl<V: Clone> UpdateBuffer<V> {
    /// Creates a buffer of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        assert!(capacity > 0, "the capacity of an update buffer must not be 0");
        Self { capacity, entries: BTreeMap::new() }
    }

    /// Adds an update of `bytes` encoded bytes, in place of an earlier one with the same key.
    ///
    /// A full buffer drops the update that was sent most often.
    pub fn put(&mut self, key: &str, value: V, bytes: usize) {
        self.entries.insert(key.to_owned(), Entry { value, bytes, sent: 0 });
        if self.entries.len() > self.capacity {
            let most_sent = self.entries.iter().max_by_key(|(_, entry)| entry.sent);
            if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
                self.entries.remove(&key);
            }
        }
        assert!(
            self.entries.len() <= self.capacity,
            "an update buffer must not exceed its capacity"
        );
    }

    /// Returns the least sent updates that fit into `budget_bytes`, and drops those that were now
    /// sent `transmit_limit` times.
    pub fn next_batch(&mut self, budget_bytes: usize, transmit_limit: u32) -> Vec<V> {
        let mut order: Vec<(u32, &String)> =
            self.entries.iter().map(|(key, entry)| (entry.sent, key)).collect();
        order.sort();
        let keys: Vec<String> = order.into_iter().map(|(_, key)| key.clone()).collect();
        let mut remaining = budget_bytes;
        let mut batch = Vec::new();
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if entry.bytes > remaining {
                continue;
            }
            remaining -= entry.bytes;
            entry.sent += 1;
            batch.push(entry.value.clone());
            if entry.sent >= transmit_limit {
                self.entries.remove(&key);
            }
        }
        batch
    }

    /// Drops the update with this key.
    pub fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Returns the number of pending updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no update is pending.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns how often a member sends an update so that it reaches all of `members` with high
/// probability.
pub fn transmit_limit(members: usize) -> u32 {
    /// Transmissions per doubling of the number of members.
    const PER_DOUBLING: u32 = 2;
    PER_DOUBLING * (usize::BITS - members.max(1).leading_zeros() + 1)
}
