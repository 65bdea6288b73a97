//! The routing table: which route matches a path, and how its requests are distributed over its
//! backends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citron::route::{Backend, Limits, Route, Split, Table, backends_by_weight};
use smallvec::SmallVec;

fn route(name: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    Route {
        name: Arc::from(name),
        prefix: prefix.to_owned(),
        idempotent: true,
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(600),
        priority: 1,
        open: false,
        backends: backends
            .iter()
            .map(|(service, weight)| Backend { service: Arc::from(*service), weight: *weight })
            .collect::<SmallVec<_>>(),
    }
}

fn table(routes: Vec<(&str, Route)>) -> Table {
    let limits = Limits {
        head_bytes: 1024,
        body_bytes: 1024,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = routes.into_iter().map(|(host, route)| (host.to_owned(), route));
    Table::new(7, BTreeMap::new(), limits, routes)
}

fn next(split: &mut Split, route: &Route) -> Arc<str> {
    split.next(route).expect("a route with backends")
}

macro_rules! finds {
    ($name:ident, $host:literal, $path:literal, $found:expr) => {
        #[test]
        fn $name() {
            let table = table(vec![
                ("one.example", route("all", "/", &[("a", 1)])),
                ("one.example", route("lots", "/lots/", &[("a", 1)])),
                ("one.example", route("lots-green", "/lots/green/", &[("a", 1)])),
                ("two.example", route("maps", "/maps/", &[("b", 1)])),
            ]);
            let found: Option<&str> = $found;
            assert_eq!(table.find($host, $path).map(|route| &*route.name), found);
        }
    };
}

finds!(longest_prefix_wins, "one.example", "/lots/green/7", Some("lots-green"));
finds!(a_prefix_ends_with_its_slash, "one.example", "/lots/greenish", Some("lots"));
finds!(the_root_prefix_matches_all_other_paths, "one.example", "/other", Some("all"));
finds!(the_port_of_a_host_is_not_compared, "one.example:8080", "/lots/1", Some("lots"));
finds!(the_case_of_a_host_is_not_compared, "One.Example", "/lots/1", Some("lots"));
finds!(a_query_is_not_part_of_the_path, "two.example", "/maps?x=/maps/", None);
finds!(routes_of_other_hosts_do_not_match, "two.example", "/lots/1", None);
finds!(an_unknown_host_has_no_route, "three.example", "/", None);

#[test]
fn backends_get_their_shares() {
    let route = route("r", "/", &[("a", 90), ("b", 10)]);
    let mut split = Split::default();
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..200 {
        *counts.entry(next(&mut split, &route)).or_default() += 1;
    }
    assert_eq!(counts.get("a"), Some(&180));
    assert_eq!(counts.get("b"), Some(&20));
}

#[test]
fn a_backend_of_low_weight_does_not_get_consecutive_requests() {
    let route = route("r", "/", &[("a", 3), ("b", 1)]);
    let mut split = Split::default();
    let chosen: Vec<_> = (0..8).map(|_| next(&mut split, &route).to_string()).collect();
    assert!(chosen.windows(2).all(|pair| pair != ["b", "b"]), "{chosen:?}");
}

#[test]
fn a_split_resets_for_new_services() {
    let mut split = Split::default();
    next(&mut split, &route("r", "/", &[("a", 1), ("b", 1)]));
    let chosen = next(&mut split, &route("r", "/", &[("c", 1), ("d", 0)]));
    assert_eq!(&*chosen, "c");
}

/// Guards against a split that goes on with current weights of another scale, which would take as many
/// requests to even out as that scale is larger.
#[test]
fn a_split_resets_for_new_weights() {
    let mut split = Split::default();
    next(&mut split, &route("r", "/", &[("a", 1 << 29), ("b", 1 << 30)]));
    let even = route("r", "/", &[("a", 1), ("b", 1)]);
    let chosen: Vec<_> = (0..4).map(|_| next(&mut split, &even).to_string()).collect();
    assert_eq!(chosen, ["a", "b", "a", "b"]);
}

#[test]
fn a_route_without_backends_has_no_next_service() {
    assert_eq!(Split::default().next(&route("r", "/", &[])), None);
}

fn weights(given: &[f64]) -> Vec<u32> {
    let given: Vec<(Arc<str>, f64)> =
        given.iter().map(|weight| (Arc::from("a"), *weight)).collect();
    backends_by_weight(&given).iter().map(|backend| backend.weight).collect()
}

#[test]
fn weights_keep_their_proportions() {
    assert_eq!(weights(&[90.0, 10.0]), [90, 10], "whole numbers stay as they are");
    assert_eq!(weights(&[90.0, 0.0]), [90], "a weight of 0 is none");
    assert_eq!(weights(&[]), [0; 0]);
    let cases: [&[f64]; 6] =
        [&[99.5, 0.5], &[0.7, 0.2, 0.1], &[1e-300, 3e-300], &[1e300, 2e299], &[1e12, 1.0], &[0.5]];
    for given in cases {
        let (sum, whole) = (given.iter().sum::<f64>(), weights(given));
        let total: f64 = whole.iter().map(|weight| f64::from(*weight)).sum();
        for (weight, part) in given.iter().zip(&whole) {
            let off = f64::from(*part) / total - weight / sum;
            assert!(off.abs() < 1e-8, "{given:?}: {whole:?}");
        }
    }
}
