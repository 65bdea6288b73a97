//! Placement of services and customers, and the selection of watchers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citron::{
    placement::{self, Host, OWNER_COUNT, POOL_MIN_HOSTS},
    watcher::{self, FallbackTimer, WATCHERS_PER_DOMAIN},
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The names and failure domains of a fleet's hosts.
type Fleet = Vec<(String, String)>;

fn fleet(count: usize, domains: usize) -> Fleet {
    (0..count).map(|i| (format!("host-{i}"), format!("domain-{}", i % domains))).collect()
}

fn hosts(fleet: &Fleet) -> Vec<Host<'_>> {
    fleet.iter().map(|(name, domain)| Host { name, domain }).collect()
}

#[test]
fn owners_are_spread_evenly_over_domains_and_hosts() {
    let fleet = fleet(18, 4);
    let hosts = hosts(&fleet);
    let domain: BTreeMap<&str, &str> = hosts.iter().map(|host| (host.name, host.domain)).collect();
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    for customer in 0..3000 {
        let owners = placement::owners(&format!("customer-{customer}"), "lot-desk", &hosts);
        assert_eq!(owners.len(), OWNER_COUNT);
        let domains: BTreeSet<&str> = owners.iter().map(|owner| domain[owner]).collect();
        assert_eq!(domains.len(), OWNER_COUNT, "{owners:?}");
        owners.iter().for_each(|owner| *load.entry(owner).or_default() += 1);
    }
    let mean = 3000 * OWNER_COUNT / 18;
    for (host, count) in load {
        assert!(
            (mean / 2..mean * 2).contains(&count),
            "{host} owns shares of {count} customers, mean {mean}"
        );
    }
}

#[test]
fn a_small_fleet_is_one_pool() {
    let fleet = fleet(17, 4);
    assert_eq!(placement::pool("lot-desk", &hosts(&fleet), POOL_MIN_HOSTS).len(), 17);
}

#[test]
fn a_pool_of_a_large_fleet_covers_every_domain() {
    let fleet = fleet(290, 11);
    let hosts = hosts(&fleet);
    let pool = placement::pool("lot-desk", &hosts, POOL_MIN_HOSTS);
    let domains: BTreeSet<&str> =
        hosts.iter().filter(|h| pool.contains(&h.name)).map(|h| h.domain).collect();
    assert_eq!((pool.len(), domains.len()), (POOL_MIN_HOSTS, 11));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_order_of_hosts_does_not_matter(count in 1usize..40, domains in 1usize..6, rotation in 0usize..40) {
        let mut fleet = fleet(count, domains);
        let before = placement::owners("izmir", "lot-desk", &hosts(&fleet))
            .iter().map(ToString::to_string).collect::<Vec<_>>();
        fleet.rotate_left(rotation % count);
        fleet.reverse();
        let after = placement::owners("izmir", "lot-desk", &hosts(&fleet))
            .iter().map(ToString::to_string).collect::<Vec<_>>();
        prop_assert_eq!(before, after);
    }

    #[test]
    fn a_lost_host_moves_only_its_own_customers(gone in 0usize..17, customer in 0u32..10_000) {
        let whole = fleet(17, 17);
        let mut rest = whole.clone();
        let (lost, _) = rest.remove(gone);
        let customer = format!("customer-{customer}");
        let before = placement::owners(&customer, "lot-desk", &hosts(&whole)).to_vec();
        let after = placement::owners(&customer, "lot-desk", &hosts(&rest)).to_vec();
        let kept: Vec<&str> = before.iter().copied().filter(|owner| *owner != lost).collect();
        prop_assert!(after.starts_with(&kept), "{:?} became {:?} without {}", before, after, lost);
    }

    #[test]
    fn locate_returns_only_usable_hosts_and_owners_first(
        count in 1usize..40,
        mask in any::<u64>(),
        listed in any::<u64>(),
        limit in 1usize..8,
    ) {
        let fleet = fleet(count, 4);
        let known = hosts(&fleet);
        let index = |name: &str| name[5..].parse::<usize>().unwrap();
        let usable = |name: &str| mask >> index(name) & 1 == 1;
        let listed: Vec<Host<'_>> =
            known.iter().filter(|host| listed >> index(host.name) & 1 == 1).copied().collect();
        let found = placement::locate("izmir", "lot-desk", &listed, &known, usable, limit);
        prop_assert!(found.len() <= limit);
        prop_assert_eq!(found.is_empty(), !known.iter().any(|host| usable(host.name)));
        let distinct: BTreeSet<&&str> = found.iter().collect();
        prop_assert_eq!(distinct.len(), found.len());
        let owners = placement::owners("izmir", "lot-desk", &listed);
        let owners: Vec<&str> = owners.iter().copied().filter(|owner| usable(owner)).collect();
        let first = owners.len().min(limit);
        prop_assert_eq!(&found[..first], &owners[..first]);
    }

    #[test]
    fn every_domain_has_its_watchers(count in 1usize..60, domains in 1usize..12) {
        let fleet = fleet(count, domains);
        let hosts = hosts(&fleet);
        let chosen = watcher::watchers(&hosts);
        for domain in hosts.iter().map(|host| host.domain) {
            let members = hosts.iter().filter(|host| host.domain == domain).count();
            prop_assert_eq!(chosen[domain].len(), members.min(WATCHERS_PER_DOMAIN));
        }
    }
}

#[test]
fn a_lost_watcher_is_replaced_and_the_other_stays() {
    let mut fleet = fleet(12, 3);
    let before: Vec<String> =
        watcher::watchers(&hosts(&fleet))["domain-1"].iter().map(ToString::to_string).collect();
    fleet.retain(|(name, _)| *name != before[0]);
    let hosts = hosts(&fleet);
    let after = &watcher::watchers(&hosts)["domain-1"];
    assert_eq!(after.len(), WATCHERS_PER_DOMAIN);
    assert!(after.contains(&before[1].as_str()) && !after.contains(&before[0].as_str()));
}

#[test]
fn fallback_reads_are_rare_and_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let second = Duration::from_secs(1);
    let mut fallback = FallbackTimer::open(second * 5, &mut rng, Duration::ZERO);
    let mut times = BTreeSet::new();
    for now in (0..300).map(|now| second * now) {
        if fallback.fire_if_due(&mut rng, now) {
            times.insert(now);
        }
    }
    let times: Vec<Duration> = times.into_iter().collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= second * 5), "{times:?}");
    assert!(times.windows(2).any(|pair| pair[1] - pair[0] != times[1] - times[0]), "no jitter");
}
