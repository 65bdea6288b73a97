//! The share of a target's limit that one gateway may use.

use std::{sync::Arc, time::Duration};

use citron::{
    placement::Host,
    target_limit::{Fleet, Limits},
};

const HANDOVER: Duration = Duration::from_secs(3);
/// A time after the handover of a gateway that started at time zero.
const START: Duration = Duration::from_secs(10);

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n}")).collect()
}

/// The fleet of these gateways as seen by the one at `own`; the first three are in the target's
/// failure domain.
fn fleet(names: &[String], own: usize) -> Fleet<'_> {
    let host = |n: usize| Host { name: &names[n], domain: if n < 3 { "a" } else { "b" } };
    Fleet {
        own: host(own),
        may_share: true,
        others: (0..names.len()).filter(|n| *n != own).map(host).collect(),
        handover: HANDOVER,
    }
}

fn limits(fleet: &Fleet<'_>, per_s: f64, now: Duration) -> Limits {
    let mut limits = Limits::default();
    limits.set(&Arc::from("t0"), 1, Some(per_s), now);
    limits.update(fleet, |_| Some("a"), now);
    limits
}

/// Returns the requests that a gateway sends in a span if it always has one.
fn sent(limits: &mut Limits, from: Duration, span: Duration) -> usize {
    let step = Duration::from_millis(10);
    let times = (0..span.div_duration_f64(step) as u32).map(|n| from + step * n);
    let mut send = |now: Duration| {
        let may_send = limits.available_at("t0", 1, now) <= now;
        if may_send {
            limits.record_request("t0", now);
        }
        may_send
    };
    times.filter(|now| send(*now)).count()
}

/// Names a case: the number of gateways, the limit, and how many of them share it.
macro_rules! shared {
    ($($name:ident: $gateways:literal gateways, $per_s:literal => $sharers:literal sharers;)*) => {$(
        #[test]
        fn $name() {
            let names = names($gateways);
            let span = Duration::from_secs(100);
            let sent: Vec<usize> = (0..$gateways)
                .map(|own| sent(&mut limits(&fleet(&names, own), $per_s, START), START, span))
                .collect();
            assert_eq!(sent.iter().filter(|sent| **sent > 0).count(), $sharers, "{sent:?}");
            let sum = sent.iter().sum::<usize>() as f64;
            let allowed = $per_s * 100.0_f64;
            assert!((allowed * 0.95..=allowed).contains(&sum), "{sum} of {allowed}");
        }
    )*};
}

shared! {
    a_small_limit_has_one_sharer: 18 gateways, 0.7 => 1 sharers;
    a_limit_is_divided_among_some: 18 gateways, 4.6 => 9 sharers;
    a_large_limit_is_divided_among_all: 18 gateways, 90.0 => 18 sharers;
    a_single_gateway_uses_all_of_a_limit: 1 gateways, 2.5 => 1 sharers;
    a_large_fleet_has_no_more_sharers: 600 gateways, 4.6 => 9 sharers;
}

#[test]
fn gateways_in_the_failure_domain_of_the_target_share_first() {
    let names = names(18);
    let shares = |own| limits(&fleet(&names, own), 1.6, START);
    let span = Duration::from_secs(10);
    assert!((0..3).all(|own| sent(&mut shares(own), START, span) > 0));
    assert!((3..18).all(|own| sent(&mut shares(own), START, span) == 0));
}

#[test]
fn a_gateway_that_hears_half_of_the_fleet_or_less_sends_nothing() {
    let names = names(1);
    let alone = Fleet { may_share: false, ..fleet(&names, 0) };
    assert_eq!(sent(&mut limits(&alone, 5.0, START), START, Duration::from_secs(60)), 0);
}

#[test]
fn a_share_of_a_gateway_that_is_gone_is_used_after_a_handover() {
    let names = names(18);
    let others = (0..18).find(|own| {
        sent(&mut limits(&fleet(&names, *own), 0.7, START), START, Duration::from_secs(9)) == 0
    });
    let own = others.expect("all but one have no share");
    let mut limits = limits(&fleet(&names, own), 0.7, START);
    let alone = Fleet { others: Vec::new(), ..fleet(&names, own) };
    limits.update(&alone, |_| Some("a"), START);
    assert_eq!(sent(&mut limits, START, HANDOVER), 0);
    assert!(sent(&mut limits, START + HANDOVER, Duration::from_secs(20)) >= 13);
    limits.update(&fleet(&names, own), |_| Some("a"), START * 4);
    assert_eq!(sent(&mut limits, START * 4, Duration::from_secs(20)), 0, "it is back");
}

#[test]
fn a_gateway_uses_no_share_just_after_its_start() {
    let names = names(1);
    let mut limits = limits(&fleet(&names, 0), 5.0, Duration::ZERO);
    assert_eq!(sent(&mut limits, Duration::ZERO, HANDOVER), 0);
    assert!(sent(&mut limits, HANDOVER, Duration::from_secs(2)) >= 9);
}

#[test]
fn a_changed_limit_holds_at_once() {
    let names = names(1);
    let fleet = fleet(&names, 0);
    let mut limits = limits(&fleet, 8.0, START);
    limits.set(&Arc::from("t0"), 1, Some(1.0), START);
    limits.update(&fleet, |_| Some("a"), START);
    assert_eq!(sent(&mut limits, START, Duration::from_secs(4)), 3);
    limits.set(&Arc::from("t0"), 1, None, START * 2);
    assert_eq!(limits.available_at("t0", 1, START * 2), Duration::ZERO);
}

#[test]
fn another_incarnation_has_no_limit() {
    let names = names(1);
    let limits = limits(&fleet(&names, 0), 0.5, START);
    assert!(limits.available_at("t0", 1, START) > START);
    assert_eq!(limits.available_at("t0", 2, START), Duration::ZERO);
}

#[test]
fn a_limit_that_is_not_named_again_lapses() {
    let names = names(18);
    let mut limits = limits(&fleet(&names, 0), 0.6, START);
    limits.expire(18, START + Duration::from_secs(119));
    assert!(!limits.is_empty(), "18 gateways ask once in two minutes each, 0.15 a second in all");
    limits.expire(18, START + Duration::from_secs(120));
    assert!(limits.is_empty());
}
