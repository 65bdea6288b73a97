//! The routing table: which route matches a path, and how its requests are distributed over its
//! backends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citron::route::{Backend, Limits, Route, Split, Table};
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
        *counts.entry(split.next(&route)).or_default() += 1;
    }
    assert_eq!(counts.get("a"), Some(&180));
    assert_eq!(counts.get("b"), Some(&20));
}

#[test]
fn a_backend_of_low_weight_does_not_get_consecutive_requests() {
    let route = route("r", "/", &[("a", 3), ("b", 1)]);
    let mut split = Split::default();
    let chosen: Vec<_> = (0..8).map(|_| split.next(&route).to_string()).collect();
    assert!(chosen.windows(2).all(|pair| pair != ["b", "b"]), "{chosen:?}");
}

#[test]
fn a_split_resets_for_new_services() {
    let mut split = Split::default();
    split.next(&route("r", "/", &[("a", 1), ("b", 1)]));
    let next = split.next(&route("r", "/", &[("c", 1), ("d", 0)]));
    assert_eq!(&*next, "c");
}
