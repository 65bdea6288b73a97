//! Lists of any size, published to a platform.

use std::{collections::BTreeMap, time::Duration};

use citron::policy::{
    Allowance, Class, Customer, Head, Plan, Policy, Profile, Route, Service, Shard, ShardRef,
};
use citron_platform::{Client, Expect};

/// How long a call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of plans.
const PLANS: usize = 20;

/// Both lists and the head that was published last.
#[derive(Debug, Default)]
pub(super) struct Lists {
    policy: Policy,
    head: Head,
    changes: usize,
}

impl Lists {
    /// Returns lists of today's four services with this many customers.
    pub(super) fn demo(customers: usize) -> Self {
        Self::sized(customers, 4, 16)
    }

    /// Returns lists whose allowances no load of one machine reaches.
    pub(super) fn unlimited() -> Self {
        let mut lists = Self::demo(1);
        for plan in lists.policy.grants.plans.values_mut() {
            plan.uses
                .values_mut()
                .for_each(|allowance| *allowance = Allowance { rate: 1e6, burst: 1e6 });
        }
        lists
    }

    /// Returns lists of the given size.
    pub(super) fn sized(customers: usize, services: usize, routes: usize) -> Self {
        let mut policy = Policy::default();
        for index in 0..services {
            let service = Service {
                profile: Profile::Fast,
                class: Class::Live,
                floor: 0.6,
                deadline_ms: 2000,
            };
            policy.grants.services.insert(format!("service-{index}"), service);
        }
        for index in 0..PLANS {
            let uses = (0..services.min(8))
                .map(|offset| (index * 8 + offset) % services)
                .map(|service| {
                    (format!("service-{service}"), Allowance { rate: 50.0, burst: 100.0 })
                })
                .collect::<BTreeMap<_, _>>();
            policy.grants.plans.insert(format!("plan-{index}"), Plan { uses });
        }
        for index in 0..routes {
            let prefix = format!("/route-{index}/");
            let service = format!("service-{}", index % services);
            policy
                .grants
                .routes
                .insert(prefix.clone(), Route { prefix, service, idempotent: None });
        }
        for index in 0..customers {
            let customer = Customer { plan: format!("plan-{}", index % PLANS) };
            policy.customers.insert(format!("team-{index:06}"), customer);
        }
        Self { policy, ..Self::default() }
    }

    /// Returns the revision that was published last.
    pub(super) fn revision(&self) -> u64 {
        self.head.revision
    }

    /// Moves one customer to another plan.
    pub(super) fn change(&mut self) {
        self.changes += 1;
        let index = self.changes % self.policy.customers.len();
        let plan = format!("plan-{}", (index + self.changes) % PLANS);
        if let Some(customer) = self.policy.customers.values_mut().nth(index) {
            customer.plan = plan;
        }
    }

    /// Writes the changed shards and the head.
    ///
    /// # Errors
    /// Fails if the platform refuses a write.
    pub(super) async fn publish(&mut self, platform: &str) -> eyre::Result<()> {
        let client = Client::open(platform, CALL_TIMEOUT)?;
        let mut shards = BTreeMap::new();
        for (key, shard) in Shard::split(&self.policy) {
            let (digest, bytes) = shard.encode();
            let known = self.head.shards.get(&key).is_some_and(|known| known.digest == digest);
            if !known {
                client.put("policy-shards", digest.as_str(), &bytes, Expect::Any).await?;
            }
            shards.insert(key, ShardRef { digest, bytes: bytes.len() as u64 });
        }
        self.head.shards = shards;
        self.head.revision += 1;
        self.head.term = 1;
        self.head.holder = "bench".to_owned();
        client.put("policy", "head", &serde_json::to_vec(&self.head)?, Expect::Any).await?;
        Ok(())
    }
}
