//! Which gateways of a failure domain follow the store, and what that costs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    follower::{self, Confirmed, FOLLOW_ALL_MAX, Member, PeerConfirmations, Role},
    gateways::{Gateways, Report},
    outage::Contact,
    poller,
    position::Position,
    quota::ListReport,
    route::Edition,
    spread::{Load, Power},
};

/// After this long without a report a follower is replaced.
const POLLER_TIMEOUT: Duration = Duration::from_millis(1500);
const CONTACT: Contact = Contact { era: 1, since: Duration::ZERO, last: Duration::ZERO };

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n}")).collect()
}

/// Every 29th host is strong, as 6 of 173 are.
fn cpu_permille(n: usize) -> u32 {
    if n.is_multiple_of(29) { 500 } else { 70 }
}

fn load(cpu_permille: u32) -> Load {
    let cpu_share = f64::from(cpu_permille) / 1000.0;
    let power = Power { cpu_share, link_mbps: 10.0, memory_bytes: 1 << 27 };
    Load { power, requests_per_s: 0.0, lateness: Duration::ZERO, fullness: 0.0 }
}

fn report(domain: &str, in_contact: bool, cpu_permille: u32) -> Report {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Report {
        born_ms: 1,
        domain: Arc::from(domain),
        callers: address,
        peers: address,
        ready: true,
        accepts_keys: true,
        routes: Edition::from(1),
        targets_position: Position { era: 1, revision: 5 },
        fleet_hosts: 0,
        members: ListReport::default(),
        store_contact: in_contact.then_some(CONTACT),
        confirmed_at: None,
        store_silence: None,
        load: Some(load(cpu_permille)),
    }
}

/// Returns the followers of one failure domain, each as it selects itself, from reports that the
/// hosts for which `heard_at` returns a time sent then.
fn followers(
    hosts: &[String],
    in_contact: impl Fn(&str) -> bool,
    heard_at: impl Fn(&str) -> Option<Duration>,
    now: Duration,
) -> Vec<&str> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut gateways = Gateways::default();
    for (n, host) in hosts.iter().enumerate() {
        if let Some(at) = heard_at(host) {
            let report = report("a", in_contact(host), cpu_permille(n));
            gateways.apply_report(host, address, report, at);
        }
    }
    let mut chosen = Vec::new();
    for (n, host) in hosts.iter().enumerate() {
        let Some(heard) = heard_at(host).filter(|at| now - *at < POLLER_TIMEOUT) else { continue };
        let (cpu_permille, in_contact) = (cpu_permille(n), in_contact(host));
        // A gateway has no report of its own.
        gateways.apply_report(host, address, report("none", false, 0), heard);
        let own = Member { host, in_contact, cpu_permille };
        if gateways.is_follower(own, "a", FOLLOW_ALL_MAX, now) {
            chosen.push(host.as_str());
        }
        gateways.apply_report(host, address, report("a", in_contact, cpu_permille), heard);
    }
    chosen
}

fn all_followers(hosts: &[String]) -> Vec<&str> {
    followers(hosts, |_| true, |_| Some(Duration::ZERO), at(100))
}

macro_rules! follower_counts {
    ($($name:ident: $hosts:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(all_followers(&hosts($hosts)).len(), $expected);
        }
    )*};
}

follower_counts! {
    a_lone_gateway_follows: 1 => 1;
    all_gateways_of_a_small_domain_follow: 16 => 16;
    a_few_of_17_follow: 17 => 5;
    a_few_of_60_follow: 60 => 7;
    a_few_of_1000_follow: 1000 => 66;
}

/// Guards against weak hosts serving the pulls of a domain that has strong ones.
#[test]
fn strong_hosts_follow_first() {
    let hosts = hosts(60);
    let chosen = all_followers(&hosts);
    for strong in ["entry-0", "entry-29", "entry-58"] {
        assert!(chosen.contains(&strong), "{strong} is not among {chosen:?}");
    }
}

/// Guards against a selection that changes as a whole when one gateway comes or goes.
#[test]
fn the_loss_of_a_follower_changes_one_place() {
    for count in [17, 60, 1000] {
        let hosts = hosts(count);
        let before = all_followers(&hosts);
        for lost in before.iter().take(4) {
            let heard_at = |host: &str| Some(if host == *lost { at(0) } else { at(1600) });
            let after = followers(&hosts, |_| true, heard_at, at(1700));
            assert_eq!(after.len(), before.len(), "{count}: replaced after 1.5 s");
            let kept = before.iter().filter(|host| after.contains(host)).count();
            assert_eq!(kept, before.len() - 1, "{count}: only {lost} is replaced");
            assert!(!after.contains(lost));
        }
    }
}

#[test]
fn followers_that_all_die_at_once_are_replaced() {
    for count in [17, 60, 1000] {
        let hosts = hosts(count);
        let before = all_followers(&hosts);
        let heard_at = |host: &str| Some(if before.contains(&host) { at(0) } else { at(1600) });
        let after = followers(&hosts, |_| true, heard_at, at(1700));
        assert_eq!(after.len(), before.len(), "{count}");
        assert!(after.iter().all(|host| !before.contains(host)), "{count}");
    }
}

#[test]
fn gateways_that_the_store_turns_away_follow_last_but_never_none_does() {
    let hosts = hosts(60);
    let before = all_followers(&hosts);
    let after = followers(&hosts, |host| !before.contains(&host), |_| Some(at(0)), at(100));
    assert_eq!(after.len(), before.len());
    assert!(after.iter().all(|host| !before.contains(host)));
    assert_eq!(followers(&hosts, |_| false, |_| Some(at(0)), at(100)), before);
}

/// Guards against a watch that is opened and closed with each report that is late.
#[test]
fn a_follower_stands_down_only_after_a_while() {
    let mut role = Role::default();
    assert!(!role.update(false, false, at(0)), "a gateway that does not watch begins no watch");
    assert!(role.update(true, false, at(100)));
    assert!(role.update(false, true, at(200)));
    assert!(role.update(true, true, at(3000)));
    assert!(role.update(false, true, at(3500)));
    assert!(!role.update(false, true, at(6500)));
}

/// Guards against checks of the store that a gateway makes only because a peer has reported a newer
/// state before this gateway has taken it over.
#[test]
fn a_confirmation_outlives_the_report_that_brought_it() {
    let position = |revision| Position { era: 1, revision };
    let confirmed = |version, revision, millis| Confirmed {
        routes: Edition::from(version),
        targets_position: position(revision),
        at: at(millis),
    };
    let own = Edition::from(1);
    let mut confirmations = PeerConfirmations::default();
    confirmations.record(confirmed(1, 5, 100), own, position(5));
    confirmations.record(confirmed(1, 6, 400), own, position(5));
    assert_eq!(confirmations.state(), Some(at(100)), "the newer targets are not known here");
    assert_eq!(confirmations.routes(), Some(at(400)));
    confirmations.record(confirmed(2, 6, 700), own, position(6));
    assert_eq!(confirmations.routes(), Some(at(400)), "the newer routes are not known here");
}

/// Counts the calls per second that a fleet makes while targets change all the time: each follower
/// begins a watch of the targets each 300 ms, and one of the routes each 25 s; the pollers also check
/// the routes each 300 ms.
fn calls_per_s(follow_all_max: usize) -> f64 {
    let hosts = hosts(173);
    let domains = ["a", "b", "c"];
    let member =
        |n: usize| Member { host: &hosts[n], in_contact: true, cpu_permille: cpu_permille(n) };
    let mut followers = 0;
    for (d, _) in domains.iter().enumerate() {
        let members: Vec<_> = (0..hosts.len()).filter(|n| n % 3 == d).map(member).collect();
        let count = follower::follower_count(members.len(), follow_all_max);
        followers += members
            .iter()
            .filter(|own| {
                let others = members.iter().filter(|other| other.host != own.host).copied();
                follower::is_follower(**own, others, count)
            })
            .count();
    }
    let (batches_per_s, renewals_per_s) = (1.0 / 0.3, 1.0 / 25.0);
    followers as f64 * (batches_per_s + renewals_per_s) + poller::POLLERS as f64 * batches_per_s
}

#[test]
fn a_large_fleet_makes_less_than_a_fifth_of_the_calls() {
    let (before, after) = (calls_per_s(usize::MAX), calls_per_s(FOLLOW_ALL_MAX));
    println!("calls per second at 173 hosts: {before:.0} before, {after:.0} after");
    assert!(after * 5.0 < before, "{after:.0} of {before:.0}");
}
