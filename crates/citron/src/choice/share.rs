//! Divides the slots of a service into equal shares, one per proxy.

use std::sync::Arc;

/// A proxy of the fleet.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub struct Proxy {
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its host.
    pub host: Arc<str>,
}

/// Returns for each target the number of slots that belong to the share of the host `me`.
///
/// Slots and proxies are both sorted by failure domain, so that a share lies mostly within the
/// proxy's own domain. Proxies with the same lists compute the same shares; differing lists only
/// make shares overlap.
pub(super) fn slot_shares(me: &str, proxies: &[Proxy], targets: &[(&str, &str, u32)]) -> Vec<u32> {
    let mut shares = vec![0; targets.len()];
    let mut proxies: Vec<&Proxy> = proxies.iter().collect();
    proxies.sort();
    proxies.dedup();
    let Some(mine) = proxies.iter().position(|proxy| &*proxy.host == me) else {
        return shares;
    };
    let mut order: Vec<usize> = (0..targets.len()).collect();
    order.sort_by_key(|&index| (targets[index].0, targets[index].1));
    let total: u64 = targets.iter().map(|target| u64::from(target.2)).sum();
    let count = proxies.len() as u64;
    let mut slot = 0;
    for index in order {
        for _ in 0..targets[index].2 {
            // Slots number `slot` of `total` belong to proxy number `slot * count / total`.
            if slot * count / total == mine as u64 {
                shares[index] += 1;
            }
            slot += 1;
        }
    }
    shares
}
