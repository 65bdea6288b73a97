//! The customers: whose requests are accepted, by their keys, and with which quota.
//!
//! Keys are kept as digests only, so that neither a log, a message nor a memory dump shows one.

mod unsettled;

pub use self::unsettled::{Claim, Unsettled};

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The operator's name for the customer; see [`is_name`].
    pub name: Arc<str>,
    /// The priority of its requests, 0 is the highest; `None` leaves it to their routes.
    pub priority: Option<u32>,
    /// How many requests it may send, `None` if there is no limit.
    pub quota: Option<Quota>,
}

/// How many requests a customer may send to all hosts together.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate_per_s: f64,
    /// How many requests may come at once, at least 1.
    pub burst: f64,
}

/// The digest of a key. Two of them are compared in constant time.
#[derive(Copy, Clone, Eq, PartialEq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key))
    }

    fn to_hex(self) -> String {
        self.0.to_hex().to_string()
    }

    fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(Self)
    }
}

/// Returns true if a name can be sent in a header as it is: it is not empty, has no control characters
/// and neither begins nor ends with white space.
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && !text.chars().any(char::is_control)
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A customer with the digests of its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// The customer.
    pub customer: Customer,
    /// The digests of its keys; it may have none.
    pub keys: Vec<KeyDigest>,
}

/// All customers of one configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Customers {
    by_name: BTreeMap<Arc<str>, Arc<Customer>>,
    by_key: HashMap<KeyDigest, Arc<Customer>>,
}

/// Why a list of customers is not valid. No message shows a key.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Error {
    /// The customer at which the list is not valid.
    pub customer: Arc<str>,
    /// What is wrong.
    pub reason: Reason,
}

/// What is wrong with an entry.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
pub enum Reason {
    /// Its name is empty or cannot be sent in a header.
    #[strum(serialize = "its name must be one that a header can carry")]
    Name,
    /// Its name is that of another customer.
    #[strum(serialize = "its name must not be used twice")]
    NameTwice,
    /// A key is that of another customer.
    #[strum(serialize = "its keys must not be those of another customer")]
    KeyTwice,
    /// A digest of a key cannot be decoded.
    #[strum(serialize = "the digests of its keys must be hexadecimal")]
    Digest,
    /// Its quota is negative or not a number.
    #[strum(serialize = "its rate and burst must be numbers from 0")]
    Quota,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "customer {:?} is not valid: {}", self.customer, self.reason)
    }
}

impl std::error::Error for Error {}

impl Quota {
    /// Returns the quota of a rate and a burst, `None` if the rate is 0, which means no limit. A burst
    /// under 1 counts as 1.
    ///
    /// # Errors
    /// Fails if either is negative or not finite.
    pub fn new(rate_per_s: f64, burst: f64) -> Result<Option<Self>, Reason> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(rate_per_s) || !is_valid(burst) {
            return Err(Reason::Quota);
        }
        Ok((rate_per_s > 0.0).then_some(Self { rate_per_s, burst: burst.max(1.0) }))
    }
}

impl Customers {
    /// Creates the list.
    ///
    /// # Errors
    /// Fails at the first customer that is not valid.
    pub fn new(holders: impl IntoIterator<Item = Holder>) -> Result<Self, Error> {
        let mut list = Self { by_name: BTreeMap::new(), by_key: HashMap::new() };
        for Holder { customer, keys } in holders {
            list.add(customer, &keys)?;
        }
        Ok(list)
    }

    fn add(&mut self, customer: Customer, keys: &[KeyDigest]) -> Result<(), Error> {
        let name = Arc::clone(&customer.name);
        let error = |reason| Error { customer: Arc::clone(&name), reason };
        if !is_name(&name) {
            return Err(error(Reason::Name));
        }
        let customer = Arc::new(customer);
        if self.by_name.insert(Arc::clone(&name), Arc::clone(&customer)).is_some() {
            return Err(error(Reason::NameTwice));
        }
        for key in keys {
            let holder = self.by_key.insert(*key, Arc::clone(&customer));
            if holder.is_some_and(|holder| holder.name != name) {
                return Err(error(Reason::KeyTwice));
            }
        }
        Ok(())
    }

    /// Returns the customer that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Customer>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the customer that holds the key with this digest.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)
    }

    /// Returns the digests of a customer's keys, in no order.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = KeyDigest> {
        let held = self.by_key.iter().filter(move |(_, holder)| &*holder.name == name);
        held.map(|(key, _)| *key)
    }

    /// Returns the customer of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns all customers, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns true if there are no customers, so that no key is accepted.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// A customer as it is sent between hosts, with its keys' digests in hexadecimal.
#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    customer: Customer,
    keys: Vec<String>,
}

impl From<Customers> for Vec<Entry> {
    fn from(list: Customers) -> Self {
        let mut keys: BTreeMap<Arc<str>, Vec<String>> = BTreeMap::new();
        for (key, holder) in &list.by_key {
            keys.entry(Arc::clone(&holder.name)).or_default().push(key.to_hex());
        }
        let entry = |customer: &Arc<Customer>| Entry {
            customer: (**customer).clone(),
            keys: keys.get(&customer.name).cloned().unwrap_or_default(),
        };
        list.by_name.values().map(entry).collect()
    }
}

impl TryFrom<Vec<Entry>> for Customers {
    type Error = Error;

    fn try_from(entries: Vec<Entry>) -> Result<Self, Error> {
        let holder = |Entry { customer, keys }: Entry| match keys
            .iter()
            .map(|text| KeyDigest::from_hex(text))
            .collect()
        {
            Some(keys) => Ok(Holder { customer, keys }),
            None => Err(Error { customer: customer.name, reason: Reason::Digest }),
        };
        Self::new(entries.into_iter().map(holder).collect::<Result<Vec<_>, _>>()?)
    }
}
