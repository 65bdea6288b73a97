//! Keys of which a configuration does not tell whether it holds them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Customer, KeyDigest};

/// The keys in parts of a configuration that cannot be read.
///
/// Such a key may have been taken away. So it is accepted, for its customer of before, only as long as
/// the lease that was confirmed last while it was certain; after that its requests are refused as
/// unconfirmed, and not as unknown.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Message", into = "Message")]
pub struct Unsettled {
    by_key: HashMap<KeyDigest, Claim>,
    /// Whether the configuration may hold keys that are not known at all.
    pub may_lack_keys: bool,
}

/// What is known of one such key.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Its customer before, `None` if it may not be accepted for any.
    pub customer: Option<Arc<Customer>>,
    /// The last moment at which a confirmed configuration held it, `None` if that is not known.
    pub confirmed_at: Option<Duration>,
}

impl Unsettled {
    /// Returns what is known of a key, `None` if it is no such key.
    pub fn find(&self, key: &[u8]) -> Option<&Claim> {
        self.get(KeyDigest::of(key))
    }

    /// Returns what is known of the key with this digest.
    pub fn get(&self, key: KeyDigest) -> Option<&Claim> {
        self.by_key.get(&key)
    }

    /// Adds a key, in place of what was known of it.
    pub fn add(&mut self, key: KeyDigest, claim: Claim) {
        self.by_key.insert(key, claim);
    }

    /// Removes a key that is settled.
    pub fn remove(&mut self, key: KeyDigest) {
        self.by_key.remove(&key);
    }

    /// Returns the digests of the keys of a customer, in no order.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = KeyDigest> {
        let is_holder =
            move |claim: &Claim| claim.customer.as_ref().is_some_and(|c| &*c.name == name);
        self.by_key.iter().filter(move |(_, claim)| is_holder(claim)).map(|(key, _)| *key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns true if there are no such keys.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

/// The keys as they are sent between hosts, as digests in hexadecimal. A moment means nothing to
/// another host.
#[derive(Default, Serialize, Deserialize)]
struct Message {
    #[serde(default)]
    keys: Vec<(String, Option<Customer>)>,
    #[serde(default)]
    may_lack_keys: bool,
}

impl From<Unsettled> for Message {
    fn from(unsettled: Unsettled) -> Self {
        let entry = |(key, claim): (KeyDigest, Claim)| {
            (key.to_hex(), claim.customer.map(|customer| (*customer).clone()))
        };
        let keys = unsettled.by_key.into_iter().map(entry).collect();
        Self { keys, may_lack_keys: unsettled.may_lack_keys }
    }
}

impl TryFrom<Message> for Unsettled {
    type Error = &'static str;

    fn try_from(message: Message) -> Result<Self, Self::Error> {
        let mut unsettled = Self { may_lack_keys: message.may_lack_keys, ..Self::default() };
        for (key, customer) in message.keys {
            let key = KeyDigest::from_hex(&key).ok_or("the digest of a key must be hexadecimal")?;
            unsettled.add(key, Claim { customer: customer.map(Arc::new), confirmed_at: None });
        }
        Ok(unsettled)
    }
}
