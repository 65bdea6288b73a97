//! Places services and customers on hosts: rendezvous hashing (Thaler and Ravishankar, 1998)
//! spread over failure domains, and shuffle sharding of customers within a service's pool.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// The number of hosts that hold shares of a customer's allowance for a service.
pub const OWNER_COUNT: usize = 3;
/// The least number of hosts in a service's pool; a fleet of no more hosts is a single pool.
pub const POOL_MIN_HOSTS: usize = 18;

/// An entry host.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Host<'a> {
    /// The host's name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Returns the rendezvous weight of `host` for `keys`. Every host computes the same value.
pub fn weight(keys: &[&str], host: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for key in keys.iter().chain([&host]) {
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
    }
    hasher.digest()
}

/// Returns all hosts in rendezvous order, round-robin over the failure domains.
///
/// The order of `hosts` does not matter. The best host of each domain comes before the second
/// best of any.
pub fn rank<'a>(keys: &[&str], hosts: &[Host<'a>]) -> Vec<&'a str> {
    let mut by_weight: Vec<(u64, Host<'a>)> =
        hosts.iter().map(|host| (weight(keys, host.name), *host)).collect();
    by_weight.sort_by(|(a, x), (b, y)| b.cmp(a).then(x.name.cmp(y.name)));
    by_weight.dedup_by(|(_, x), (_, y)| x.name == y.name);
    let mut last_ranks: Vec<(&str, usize)> = Vec::new();
    let mut ranked: Vec<(usize, &'a str)> = Vec::with_capacity(by_weight.len());
    for (_, host) in by_weight {
        let rank_in_domain = match last_ranks.iter_mut().find(|(domain, _)| *domain == host.domain)
        {
            Some((_, last)) => {
                *last += 1;
                *last
            }
            None => {
                last_ranks.push((host.domain, 0));
                0
            }
        };
        ranked.push((rank_in_domain, host.name));
    }
    // The sort is stable, so that hosts of equal rank in their domains keep their rendezvous order.
    ranked.sort_by_key(|(rank_in_domain, _)| *rank_in_domain);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the hosts that serve a service, at most `size` of them; a size of zero counts as one.
pub fn pool<'a>(service: &str, hosts: &[Host<'a>], size: usize) -> Vec<&'a str> {
    let mut ranked = rank(&["pool", service], hosts);
    ranked.truncate(size.max(1));
    ranked
}

/// Returns the pool size in a fleet of `hosts` hosts that serves `services` services.
pub fn pool_size(hosts: usize, services: usize) -> usize {
    hosts.div_ceil(services.max(1)).max(POOL_MIN_HOSTS)
}

/// Returns the hosts that own the shares of a customer's allowance for a service, in order.
///
/// `hosts` should be the platform's entry host list, so that members that cannot reach one another
/// still compute the same owners.
pub fn owners<'a>(customer: &str, service: &str, hosts: &[Host<'a>]) -> SmallVec<[&'a str; 4]> {
    let pool = pool(service, hosts, POOL_MIN_HOSTS);
    let inside: Vec<Host<'a>> =
        hosts.iter().filter(|host| pool.contains(&host.name)).copied().collect();
    // Any other key than "home" would give all customers other owners.
    rank(&["home", customer, service], &inside).into_iter().take(OWNER_COUNT).collect()
}

/// Returns the hosts that can serve a customer's requests, in the order in which to try them.
///
/// `listed` are the hosts of the platform's list, `known` all hosts that could serve, and `usable`
/// returns whether a host may be returned now. The customer's owners come first, then the rest of
/// the service's pool; if none of these is usable, any other host.
pub fn locate<'a>(
    customer: &str,
    service: &str,
    listed: &[Host<'a>],
    known: &[Host<'a>],
    usable: impl Fn(&str) -> bool,
    limit: usize,
) -> Vec<&'a str> {
    let owners = owners(customer, service, listed);
    let pool = pool(service, known, POOL_MIN_HOSTS);
    let ranked = rank(&["home", customer, service], known);
    let (inside, outside): (Vec<&str>, Vec<&str>) =
        ranked.into_iter().partition(|host| pool.contains(host));
    let mut found: Vec<&'a str> = owners.iter().copied().filter(|host| usable(host)).collect();
    found.extend(inside.into_iter().filter(|host| !owners.contains(host) && usable(host)));
    if found.is_empty() {
        found.extend(outside.into_iter().filter(|host| usable(host)));
    }
    found.truncate(limit);
    assert!(found.iter().all(|host| usable(host)), "locate must not return an unusable host");
    found
}
