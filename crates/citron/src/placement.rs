//! Where services and customers are served: rendezvous hashing (Thaler and Ravishankar, 1998)
//! spread over failure domains, and shuffle sharding of customers inside a pool.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// The number of owners of a customer for a service.
pub const OWNER_COUNT: usize = 3;
/// The smallest pool; a fleet of no more hosts is one pool.
pub const POOL_MIN_HOSTS: usize = 18;

/// An entry host as far as placement is concerned.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Host<'a> {
    /// The host's name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Returns the rendezvous weight of `host` for `keys`; equal at every member.
pub fn weight(keys: &[&str], host: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for key in keys.iter().chain([&host]) {
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
    }
    hasher.digest()
}

/// Returns all hosts in rendezvous order, taking the failure domains in turn.
///
/// The order of `hosts` does not matter. The best host of each domain comes before the second
/// best of any.
pub fn rank<'a>(keys: &[&str], hosts: &[Host<'a>]) -> Vec<&'a str> {
    let mut weighed: Vec<(u64, Host<'a>)> =
        hosts.iter().map(|host| (weight(keys, host.name), *host)).collect();
    weighed.sort_by(|(a, x), (b, y)| b.cmp(a).then(x.name.cmp(y.name)));
    weighed.dedup_by(|(_, x), (_, y)| x.name == y.name);
    let mut seen: Vec<(&str, usize)> = Vec::new();
    let mut turns: Vec<(usize, &'a str)> = Vec::with_capacity(weighed.len());
    for (_, host) in weighed {
        let turn = match seen.iter_mut().find(|(domain, _)| *domain == host.domain) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                seen.push((host.domain, 0));
                0
            }
        };
        turns.push((turn, host.name));
    }
    // Stable, so that hosts of one turn keep their rendezvous order.
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, name)| name).collect()
}

/// Returns the hosts that serve a service, at most `size` of them.
pub fn pool<'a>(service: &str, hosts: &[Host<'a>], size: usize) -> Vec<&'a str> {
    let mut ranked = rank(&["pool", service], hosts);
    ranked.truncate(size.max(1));
    ranked
}

/// Returns the size of a pool in a fleet that serves `services` services.
pub fn pool_size(hosts: usize, services: usize) -> usize {
    hosts.div_ceil(services.max(1)).max(POOL_MIN_HOSTS)
}

/// Returns the hosts that hold the shares of a customer's allowance for a service, in order.
///
/// Give the hosts of the platform's entry host list, so that members that cannot reach one
/// another still agree.
pub fn owners<'a>(customer: &str, service: &str, hosts: &[Host<'a>]) -> SmallVec<[&'a str; 4]> {
    let pool = pool(service, hosts, POOL_MIN_HOSTS);
    let inside: Vec<Host<'a>> =
        hosts.iter().filter(|host| pool.contains(&host.name)).copied().collect();
    rank(&["home", customer, service], &inside).into_iter().take(OWNER_COUNT).collect()
}

/// Returns the hosts of a locate answer in the order in which to try them.
///
/// `listed` are the hosts of the platform's list, `known` all that could serve, and `usable` tells
/// which of them may be named now. The customer's owners come first, then the rest of the service's
/// pool, then, if none of these is usable, any other host.
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
    let mut answer: Vec<&'a str> = owners.iter().copied().filter(|host| usable(host)).collect();
    answer.extend(inside.into_iter().filter(|host| !owners.contains(host) && usable(host)));
    if answer.is_empty() {
        answer.extend(outside.into_iter().filter(|host| usable(host)));
    }
    answer.truncate(limit);
    assert!(
        answer.iter().all(|host| usable(host)),
        "a locate answer must not name a host that may not be used"
    );
    answer
}
