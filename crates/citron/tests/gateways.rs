//! The gateways of the fleet: which are advertised to callers, and which have newer state.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    attempt::Sharer,
    catalog::Target,
    gateways::{Gateways, LoadIntervals, OwnAddress, Report},
    outage::{Contact, Silence},
    poller::{Member, POLLERS},
    position::Position,
    quota::ListReport,
    route::Edition,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn report(domain: &str, port: u16, ready: bool) -> Report {
    Report {
        born_ms: 1,
        domain: Arc::from(domain),
        callers: address(port),
        peers: address(port + 1),
        ready,
        accepts_keys: true,
        routes: Edition::from(u64::from(port)),
        targets_position: Position { era: 1, revision: 5 },
        fleet_hosts: 0,
        members: ListReport::default(),
        store_contact: None,
        confirmed_at: None,
        store_silence: None,
        load: None,
    }
}

fn at_revision(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn fleet() -> Gateways {
    let mut gateways = Gateways::default();
    for (host, domain, port) in [("a1", "a", 10), ("a2", "a", 20), ("b1", "b", 30)] {
        gateways.apply_report(host, address(port + 2), report(domain, port, true), at(0));
    }
    gateways
}

#[test]
fn callers_stay_in_a_domain_with_enough_gateways() {
    let gateways = fleet();
    assert_eq!(gateways.caller_addresses(None, "a", at(100)), [address(10), address(20)]);
    let own = Some(OwnAddress { domain: "b", callers: address(40), accepts_keys: true });
    assert_eq!(gateways.caller_addresses(own, "b", at(100)), [address(30), address(40)]);
}

#[test]
fn callers_of_a_small_domain_get_all_gateways() {
    assert_eq!(fleet().caller_addresses(None, "b", at(100)).len(), 3);
    assert_eq!(fleet().caller_addresses(None, "elsewhere", at(100)).len(), 3);
}

#[test]
fn a_silent_gateway_is_not_advertised() {
    let mut gateways = fleet();
    gateways.apply_report("a1", address(12), report("a", 10, true), at(4000));
    gateways.apply_report("a2", address(22), report("a", 20, true), at(4000));
    assert_eq!(gateways.caller_addresses(None, "b", at(4100)), [address(10), address(20)]);
}

#[test]
fn a_leaving_gateway_is_not_advertised() {
    let mut gateways = fleet();
    gateways.apply_report("a1", address(12), report("a", 10, false), at(50));
    assert_eq!(gateways.caller_addresses(None, "x", at(100)), [address(20), address(30)]);
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn newer_state_is_fetched_preferably_from_the_same_domain() {
    let gateways = fleet();
    assert_eq!(
        gateways.peer_with_newer_routes(Edition::from(5), Some("a"), at(100), &mut rng()),
        Some(address(21))
    );
    assert_eq!(
        gateways.peer_with_newer_routes(Edition::from(5), Some("b"), at(100), &mut rng()),
        Some(address(31))
    );
    assert_eq!(
        gateways.peer_with_newer_routes(Edition::from(20), Some("a"), at(100), &mut rng()),
        Some(address(31))
    );
    assert_eq!(
        gateways.peer_with_newer_routes(Edition::from(30), Some("a"), at(100), &mut rng()),
        None
    );
    assert_eq!(
        gateways.peer_with_newer_targets(at_revision(5), Some("a"), at(100), &mut rng()),
        None
    );
    assert_eq!(
        gateways.peer_with_newer_routes(Edition::from(10), Some("a"), at(20_000), &mut rng()),
        None,
        "not one that is silent"
    );
}

#[test]
fn a_gateway_is_first_with_state_that_no_peer_has_reported() {
    let gateways = fleet();
    assert!(gateways.is_first_with(Edition::from(31), at_revision(5), None, at(100)));
    assert!(gateways.is_first_with(Edition::from(10), at_revision(6), None, at(100)));
    assert!(!gateways.is_first_with(Edition::from(30), at_revision(5), None, at(100)));
}

#[test]
fn broadcasts_go_to_the_own_domain_and_to_one_gateway_of_each_other() {
    let mut gateways = fleet();
    gateways.apply_report("b2", address(52), report("b", 50, true), at(0));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut relays = BTreeSet::new();
    for _ in 0..40 {
        let receivers = gateways.broadcast_receivers("a", at(100), &mut rng);
        let near: Vec<_> = receivers.iter().filter(|r| !r.relays).collect();
        let far: Vec<_> = receivers.iter().filter(|r| r.relays).collect();
        assert_eq!((near.len(), far.len()), (2, 1));
        relays.insert(far[0].address);
    }
    assert_eq!(relays.len(), 2, "each gateway of the other domain is chosen sometimes");
}

#[test]
fn a_gateway_that_is_silent_for_long_is_removed() {
    let mut gateways = fleet();
    assert!(gateways.expire(at(60_000)).is_empty());
    assert_eq!(gateways.expire(at(120_000)).len(), 3);
}

#[test]
fn a_report_after_a_long_silence_is_recognized() {
    let mut gateways = fleet();
    assert!(!gateways.apply_report("a1", address(12), report("a", 10, true), at(1000)));
    assert!(gateways.apply_report("a1", address(12), report("a", 10, true), at(20_000)));
    assert!(
        !gateways.learn("a1", address(99), at(20_000)),
        "an address from a peer does not replace a report"
    );
}

#[test]
fn only_live_gateways_report_contact_with_the_store() {
    let contact = |since, last| Some(Contact { era: 1, since: at(since), last: at(last) });
    let mut gateways = fleet();
    for (host, store_contact, now) in
        [("a1", contact(1, 2), 2000), ("a2", None, 9000), ("b1", contact(3, 8000), 9000)]
    {
        let report = Report { store_contact, ..report("a", 10, true) };
        gateways.apply_report(host, address(12), report, at(now));
    }
    let reported: Vec<_> = gateways.store_contacts(at(12_500)).collect();
    assert_eq!(reported, [Contact { era: 1, since: at(3), last: at(8000) }]);
}

#[test]
fn the_gateways_of_a_targets_domain_come_first_in_sending_trials() {
    let gateways = fleet();
    let target = Target {
        id: Arc::from("t"),
        born_ms: 1,
        service: Arc::from("desk"),
        address: address(9),
        domain: Arc::from("a"),
        slots: 3,
        leaving: false,
        warmup_ms: 0,
        heartbeat: 0,
    };
    let rank = |host: &str, domain: &str, now| gateways.trial_rank(host, domain, &target, now);
    assert_eq!(rank("b2", "b", at(100)).min(2), 2, "both gateways of its domain come first");
    assert!(rank("a3", "a", at(100)) <= 2, "the gateway of another domain does not");
    assert_eq!(rank("b2", "b", at(60_000)), 0, "gateways that are silent for long do not count");
    let all = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let firsts = all.iter().filter(|(host, domain)| rank(host, domain, at(100)) == 0);
    assert_eq!(firsts.count(), 1, "exactly one gateway sends the first trial");
}

#[test]
fn only_reports_of_a_state_that_is_not_newer_confirm_ones_own() {
    let mut gateways = fleet();
    let reports = [("a1", 10, 1000), ("a2", 20, 2000), ("b1", 30, 3000)];
    for (host, version, confirmed_at) in reports {
        let confirmed_at = Some(at(confirmed_at));
        let report = Report { confirmed_at, ..report("a", version, true) };
        gateways.apply_report(host, address(12), report, at(3000));
    }
    assert_eq!(gateways.confirmed_at(Edition::from(20), at_revision(5)), Some(at(2000)));
    assert_eq!(
        gateways.confirmed_at(Edition::from(20), at_revision(4)),
        None,
        "all have newer targets"
    );
    assert_eq!(
        gateways.confirmed_at(Edition::from(9), at_revision(5)),
        None,
        "all have newer routes"
    );
}

#[test]
fn a_peer_that_noticed_a_silence_tells_when_the_store_returned() {
    let mut gateways = fleet();
    let store_silence = Some(Silence { unanswered_at: at(4000), returned_at: Some(at(5000)) });
    let report = Report { store_silence, ..report("a", 10, true) };
    gateways.apply_report("a1", address(12), report, at(5100));
    assert_eq!(gateways.store_returned_at(None, at(5200)), Some(at(5000)));
    assert_eq!(gateways.store_returned_at(None, at(60_000)), None, "it is long silent itself");
}

/// The hosts of a fleet that poll at `now`, of which `silent` have not reported since the start.
fn pollers(hosts: &[String], silent: &[String], now: Duration) -> Vec<String> {
    let is_poller = |own: &String| {
        let mut gateways = Gateways::default();
        for host in hosts.iter().filter(|host| *host != own) {
            let heard_at = if silent.contains(host) { at(0) } else { now };
            let contact = Some(Contact { era: 1, since: at(0), last: heard_at });
            let report = Report { store_contact: contact, ..report("a", 10, true) };
            gateways.apply_report(host, address(12), report, heard_at);
        }
        gateways.is_poller(Member { host: own, in_contact: true }, now)
    };
    hosts.iter().filter(|host| !silent.contains(host) && is_poller(host)).cloned().collect()
}

#[test]
fn lost_pollers_are_replaced_well_within_the_time_in_which_a_change_must_be_in_force() {
    let hosts: Vec<String> = (0..200).map(|n| format!("entry-{n}")).collect();
    let before = pollers(&hosts, &[], at(0));
    assert_eq!(before.len(), POLLERS);
    assert!(pollers(&hosts, &before, at(1400)).is_empty());
    let after = pollers(&hosts, &before, at(1500));
    assert_eq!(after.len(), POLLERS, "also in a failure domain larger than a broadcast reaches");
}

#[test]
fn what_must_reach_all_gateways_of_a_large_domain_is_passed_on_in_parts() {
    let mut gateways = Gateways::default();
    for n in 0..500_u16 {
        let report = report("a", 1000 + n, true);
        gateways.apply_report(&format!("entry-{n}"), address(1000 + n), report, at(0));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let receivers = gateways.broadcast_receivers("a", at(100), &mut rng);
    let parts = receivers.iter().filter_map(|receiver| receiver.part);
    let reached: BTreeSet<SocketAddr> =
        parts.flat_map(|part| gateways.part_receivers("a", part, at(100))).collect();
    assert_eq!(reached.len(), 500);
}

#[test]
fn a_peer_whose_list_is_of_an_earlier_era_is_not_ahead() {
    let mut gateways = fleet();
    for (host, era, revision) in [("a1", 0, 99), ("a2", 1, 96), ("b1", 2, 71)] {
        let targets_position = Position { era, revision };
        let report = Report { targets_position, ..report("a", 10, true) };
        gateways.apply_report(host, address(12), report, at(100));
    }
    let ahead = |era, revision| {
        gateways
            .peer_with_newer_targets(Position { era, revision }, Some("a"), at(100), &mut rng())
            .is_some()
    };
    assert!(!ahead(2, 71));
    assert!(ahead(2, 70) && ahead(1, 96));
    assert!(ahead(0, 0), "a list of an older build is better than none");
}

#[test]
fn gateways_that_fall_behind_together_spread_over_their_peers() {
    let mut gateways = Gateways::default();
    for n in 0..8 {
        let report = report("a", 20 + n, true);
        let report = Report { routes: Edition::from(30), ..report };
        gateways.apply_report(&format!("a{n}"), address(20 + n), report, at(100));
    }
    let mut rng = rng();
    let mut asked: Vec<_> = (0..200)
        .filter_map(|_| {
            gateways.peer_with_newer_routes(Edition::from(5), Some("a"), at(100), &mut rng)
        })
        .collect();
    asked.sort();
    let most = asked.chunk_by(|one, other| one == other).map(<[_]>::len).max();
    asked.dedup();
    assert_eq!(asked.len(), 8, "each is asked by some");
    assert!(most < Some(50), "one is asked {most:?} times of 200");
}

fn sharer(gateways: &Gateways, own: &str, now: Duration) -> Option<Sharer> {
    gateways.retry_sharer(own, now)
}

#[test]
fn a_gateway_that_does_not_know_the_fleet_has_no_share_of_the_retry_budget() {
    let mut gateways = fleet();
    assert_eq!(sharer(&gateways, "a3", at(100)), None);
    gateways.record_list();
    assert_eq!(sharer(&gateways, "a3", at(100)), Some(Sharer { hosts: 4, rank: 2 }));
}

#[test]
fn a_gateway_that_cannot_read_the_list_takes_the_number_of_hosts_from_a_peer() {
    let mut gateways = fleet();
    let known = Report { fleet_hosts: 9, ..report("b", 30, true) };
    gateways.apply_report("b1", address(32), known, at(100));
    assert_eq!(sharer(&gateways, "a0", at(200)), Some(Sharer { hosts: 9, rank: 0 }));
    assert_eq!(gateways.fleet_hosts(), 0, "what it took from a peer it does not tell");
    assert_eq!(sharer(&gateways, "a0", at(60_000)), None, "the peer is silent");
}

#[test]
fn a_silent_gateway_may_still_use_its_share_of_the_retry_budget() {
    let mut gateways = fleet();
    gateways.record_list();
    assert_eq!(gateways.expire(at(300_000)).len(), 3);
    assert_eq!(sharer(&gateways, "a3", at(300_000)), Some(Sharer { hosts: 4, rank: 2 }));
}

/// Defines a test of a fleet of gateways that are spread evenly over failure domains.
macro_rules! load_intervals {
    ($($name:ident: $hosts:literal hosts in $domains:literal domains => $near_ms:literal, $far_ms:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut gateways = Gateways::default();
            for n in 1..$hosts {
                let domain = (n % $domains).to_string();
                let host = format!("entry-{n}");
                gateways.apply_report(&host, address(n + 2), report(&domain, n, true), at(0));
            }
            let intervals = gateways.load_intervals("0", at(100));
            assert_eq!(intervals.near.as_millis(), $near_ms);
            assert_eq!(intervals.far.as_millis(), $far_ms);
            let LoadIntervals { near, far } = intervals;
            let near_per_s = f64::from($hosts / $domains - 1) / near.as_secs_f64();
            let far_per_s = f64::from($hosts - $hosts / $domains) / far.as_secs_f64();
            assert!(near_per_s <= 241.0 && far_per_s <= 401.0, "{near_per_s}, {far_per_s}");
        }
    )*};
}

load_intervals! {
    a_small_fleet_reports_its_load_often: 18_u16 hosts in 4_u16 domains => 50, 100;
    what_a_gateway_of_a_large_fleet_receives_is_bounded: 180_u16 hosts in 6_u16 domains => 120, 375;
    what_a_gateway_of_a_fleet_of_2900_receives_is_bounded: 2904_u16 hosts in 11_u16 domains => 1095, 6600;
}
