//! Bounded buffers of news that ride on datagrams until each was sent often enough.

use std::collections::BTreeMap;

/// News by key, each sent a limited number of times.
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
        assert!(capacity > 0, "an update buffer must hold at least one entry");
        Self { capacity, entries: BTreeMap::new() }
    }

    /// Adds news of `bytes` encoded bytes, in place of earlier news with the same key.
    ///
    /// A full buffer drops what was sent most often.
    pub fn put(&mut self, key: &str, value: V, bytes: usize) {
        self.entries.insert(key.to_owned(), Entry { value, bytes, sent: 0 });
        if self.entries.len() > self.capacity {
            let most_sent = self.entries.iter().max_by_key(|(_, entry)| entry.sent);
            if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
                self.entries.remove(&key);
            }
        }
        assert!(self.entries.len() <= self.capacity, "an update buffer must stay bounded");
    }

    /// Takes the least sent news that fit into `budget_bytes`; news sent `transmit_limit` times are dropped.
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

    /// Drops the news with this key.
    pub fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there is no news.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns how often news must be sent so that all of `members` hear of it with high probability.
pub fn transmit_limit(members: usize) -> u32 {
    /// Transmissions for each doubling of the members.
    const PER_DOUBLING: u32 = 2;
    PER_DOUBLING * (usize::BITS - members.max(1).leading_zeros() + 1)
}
