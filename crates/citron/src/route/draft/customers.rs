//! The customers of a configuration, and the keys of which it does not tell whether it holds them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{CustomerDraft, Faults, Kept, Part, Unreadable};
use crate::{
    customer::{Claim, Customer, Customers, Holder, KeyDigest, Quota, Unsettled, is_name},
    route::Table,
};

/// The customers of a configuration.
pub(super) struct Settled {
    pub customers: Customers,
    pub unsettled: Unsettled,
}

/// Makes the customers from what was read, in place of those of `last`, which was confirmed last at
/// `confirmed_at`.
pub(super) fn settle(
    drafts: Part<Vec<CustomerDraft>>,
    last: Option<&Table>,
    confirmed_at: Option<Duration>,
    faults: &mut Faults,
) -> Settled {
    let mut settling = Settling { last, confirmed_at, ..Settling::default() };
    match drafts {
        Ok(drafts) => drafts.into_iter().for_each(|draft| settling.add(draft, faults)),
        Err(reason) => {
            let is_known = last.is_some_and(|table| table.customers.is_some());
            faults.add(reason, if is_known { Kept::Earlier } else { Kept::Nothing });
            settling.may_lack_keys = true;
            settling.has_nameless = true;
        }
    }
    settling.finish()
}

#[derive(Default)]
struct Settling<'a> {
    last: Option<&'a Table>,
    confirmed_at: Option<Duration>,
    customers: BTreeMap<Arc<str>, Customer>,
    holders: HashMap<KeyDigest, Arc<str>>,
    /// All names that were read, also of customers that cannot be served.
    names: HashSet<Arc<str>>,
    /// Customers whose keys could not be read.
    keyless: Vec<Arc<str>>,
    /// Keys of customers that cannot be served.
    orphans: Vec<KeyDigest>,
    /// Whether there are customers whose names could not be read.
    has_nameless: bool,
    may_lack_keys: bool,
}

impl Settling<'_> {
    fn add(&mut self, draft: CustomerDraft, faults: &mut Faults) {
        let CustomerDraft { name, keys, priority, quota } = draft;
        let keys = self.read_keys(keys, faults);
        let name = name.and_then(checked_name);
        let Some(name) = faults.read(name, Kept::Nothing) else {
            self.has_nameless = true;
            return self.orphans.extend(keys.into_iter().flatten());
        };
        self.names.insert(Arc::clone(&name));
        let earlier = self.last.and_then(|table| table.customers.as_ref()?.get(&name));
        let priority = faults.settle(priority, earlier.map(|customer| customer.priority), None);
        let kept = if earlier.is_some() { Kept::Earlier } else { Kept::Nothing };
        let quota = faults.read(quota, kept).or(earlier.map(|customer| customer.quota));
        // Without its quota a customer could take what others need.
        let Some(quota) = quota else {
            return self.orphans.extend(keys.into_iter().flatten());
        };
        self.add_customer(Customer { name: Arc::clone(&name), priority, quota }, faults);
        match keys {
            Some(keys) => keys.into_iter().for_each(|key| self.add_key(key, &name, faults)),
            None => self.keyless.push(name),
        }
    }

    /// Returns the keys that can be read, `None` if the whole list cannot be.
    fn read_keys(
        &mut self,
        keys: Part<Vec<Part<KeyDigest>>>,
        faults: &mut Faults,
    ) -> Option<Vec<KeyDigest>> {
        match keys {
            Ok(keys) => {
                Some(keys.into_iter().filter_map(|key| faults.read(key, Kept::Nothing)).collect())
            }
            Err(reason) => {
                faults.add(reason, Kept::Earlier);
                self.may_lack_keys = true;
                None
            }
        }
    }

    /// Adds a customer; of two with one name the smaller quota counts.
    fn add_customer(&mut self, customer: Customer, faults: &mut Faults) {
        let Some(known) = self.customers.get_mut(&customer.name) else {
            self.customers.insert(Arc::clone(&customer.name), customer);
            return;
        };
        if *known != customer {
            let reason = "is there twice, with other values".to_owned();
            let part = format!("customer {:?}", customer.name);
            faults.add(Unreadable { part, reason }, Kept::Default);
            known.quota = smaller(known.quota, customer.quota);
        }
    }

    /// Adds a key; of two customers that hold it, the one that held it before has it, or the first.
    fn add_key(&mut self, key: KeyDigest, name: &Arc<str>, faults: &mut Faults) {
        let known = self.holders.entry(key).or_insert_with(|| Arc::clone(name));
        if known == name {
            return;
        }
        let reason = format!("holds a key that customer {known:?} holds too");
        let earlier = self.last.and_then(|table| table.customers.as_ref()?.holder(key));
        let is_earlier = earlier.is_some_and(|customer| customer.name == *name);
        if is_earlier {
            *known = Arc::clone(name);
        }
        let kept = if is_earlier { Kept::Earlier } else { Kept::Default };
        faults.add(Unreadable { part: format!("customer {name:?}"), reason }, kept);
    }

    fn finish(mut self) -> Settled {
        if self.has_nameless {
            self.keep_unnamed();
        }
        let mut keys: BTreeMap<&Arc<str>, Vec<KeyDigest>> = BTreeMap::new();
        for (key, name) in &self.holders {
            keys.entry(name).or_default().push(*key);
        }
        let holder = |customer: &Customer| {
            let keys = keys.get(&customer.name).cloned().unwrap_or_default();
            Holder { customer: customer.clone(), keys }
        };
        let customers = Customers::new(self.customers.values().map(holder));
        let customers = customers.expect("names are valid, and each key has one holder");
        let unsettled = self.unsettled(&customers);
        Settled { customers, unsettled }
    }

    /// Keeps the customers that are not named any more: each may be one whose name cannot be read.
    fn keep_unnamed(&mut self) {
        self.may_lack_keys = true;
        let earlier = self.last.and_then(|table| table.customers.as_ref());
        for customer in earlier.into_iter().flat_map(Customers::iter) {
            if !self.names.contains(&customer.name) {
                self.customers.insert(Arc::clone(&customer.name), (**customer).clone());
                self.keyless.push(Arc::clone(&customer.name));
            }
        }
    }

    /// Returns the keys that the configuration may hold or not.
    fn unsettled(&self, customers: &Customers) -> Unsettled {
        let mut unsettled = Unsettled::default();
        unsettled.may_lack_keys = self.may_lack_keys;
        for name in &self.keyless {
            let customer = customers.get(name);
            for (key, confirmed_at) in self.earlier_keys(name) {
                unsettled.add(key, Claim { customer: customer.cloned(), confirmed_at });
            }
        }
        for key in &self.orphans {
            unsettled.add(*key, Claim { customer: None, confirmed_at: None });
        }
        self.holders.keys().for_each(|key| unsettled.remove(*key));
        unsettled
    }

    /// Returns the keys that a customer had before, with the last moments at which that was certain.
    fn earlier_keys(&self, name: &str) -> Vec<(KeyDigest, Option<Duration>)> {
        let Some(last) = self.last else { return Vec::new() };
        let held = last.customers.iter().flat_map(|customers| customers.keys_of(name));
        let held = held.map(|key| (key, self.confirmed_at));
        let claimed = last.unsettled.keys_of(name).map(|key| {
            let confirmed_at = last.unsettled.get(key).and_then(|claim| claim.confirmed_at);
            (key, confirmed_at)
        });
        held.chain(claimed).collect()
    }
}

fn checked_name(name: Arc<str>) -> Part<Arc<str>> {
    if is_name(&name) {
        return Ok(name);
    }
    let part = format!("customer {name:?}");
    Err(Unreadable { part, reason: "has a name that no header can carry".to_owned() })
}

/// Returns the smaller of two quotas, of which `None` is no limit.
fn smaller(a: Option<Quota>, b: Option<Quota>) -> Option<Quota> {
    let (Some(x), Some(y)) = (a, b) else { return a.or(b) };
    let (rate_per_s, burst) = (x.rate_per_s.min(y.rate_per_s), x.burst.min(y.burst));
    Some(Quota { rate_per_s, burst })
}
