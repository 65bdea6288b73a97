//! Which gateways poll the store.

use citron::poller::{self, Member, POLLERS};

fn pollers<'a>(members: &[Member<'a>]) -> Vec<&'a str> {
    let others = |own: &str| {
        let own = own.to_owned();
        members.iter().copied().filter(move |member| member.host != own)
    };
    let chosen = members.iter().filter(|own| poller::is_poller(**own, others(own.host)));
    chosen.map(|member| member.host).collect()
}

fn members<'a>(hosts: &'a [String], out_of_contact: &[&str]) -> Vec<Member<'a>> {
    let member =
        |host: &'a String| Member { host, in_contact: !out_of_contact.contains(&host.as_str()) };
    hosts.iter().map(member).collect()
}

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n}")).collect()
}

#[test]
fn the_number_of_pollers_does_not_grow_with_the_fleet() {
    for (count, expected) in [(1, 1), (2, POLLERS), (18, POLLERS), (2900, POLLERS)] {
        let hosts = hosts(count);
        assert_eq!(pollers(&members(&hosts, &[])).len(), expected, "{count} gateways");
    }
}

#[test]
fn gateways_to_which_the_store_responds_poll_first() {
    let hosts = hosts(18);
    let before = pollers(&members(&hosts, &[]));
    let after = pollers(&members(&hosts, &before));
    assert_eq!(after.len(), POLLERS);
    assert!(after.iter().all(|host| !before.contains(host)), "{after:?}");
}

#[test]
fn some_gateways_poll_although_the_store_responds_to_none() {
    let hosts = hosts(18);
    let all: Vec<&str> = hosts.iter().map(String::as_str).collect();
    assert_eq!(pollers(&members(&hosts, &all)).len(), POLLERS);
}
