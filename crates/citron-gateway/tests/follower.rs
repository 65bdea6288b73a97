//! A failure domain in which only some gateways follow the store.

mod support;

use std::time::Duration;

use citron_daemon::Clock;
use citron_gateway::Gateway;
use citron_stand::relay::{self, Cut, Relay};
use support::{
    BOUND, Request, Settings, config, eventually, lookup, ready, settings,
    store::{Mood, Store},
    target::Target,
};
use tokio::time;

/// The number of gateways: 4 are selected as followers, and up to 2 others poll.
const GATEWAYS: usize = 9;
/// The failure domain's size up to which all gateways would follow the store.
const FOLLOW_ALL_MAX: usize = 2;

/// A gateway with its own path to the store.
struct Member {
    gateway: Gateway,
    link: Relay,
}

/// A failure domain with its store and targets.
struct Domain {
    store: Store,
    targets: Vec<Target>,
    members: Vec<Member>,
}

impl Domain {
    /// Starts a domain in which gateways have taken their roles.
    async fn start() -> Self {
        let store = Store::bind().await;
        store.put("config", "main", config("r1", 1.0));
        let mut targets = Vec::new();
        for n in 0..2 {
            let target = Target::bind(&format!("t{n}")).await;
            store.put("servers", &target.id, target.entry("ready"));
            targets.push(target);
        }
        let mut members = Vec::new();
        for n in 0..GATEWAYS {
            let link = relay::bind("127.0.0.1:0".parse().expect("an address"), store.addr());
            let link = link.await.expect("a relay");
            let own = settings(&format!("entry-{n}"), link.addr(), BOUND);
            let own = Settings { follow_all_max: FOLLOW_ALL_MAX, ..own };
            let gateway = Gateway::bind(own, None, Clock::start()).await.expect("a gateway");
            eventually("the gateway is ready", async || ready(&gateway).await == 200).await;
            members.push(Member { gateway, link });
        }
        let domain = Self { store, targets, members };
        time::sleep(Duration::from_secs(6)).await;
        domain
    }

    fn followers(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.gateway.follows_store())
    }

    /// Moves the route and lets the first target leave.
    fn change(&self) {
        let mut spec = config("r9", 1.0);
        spec["hosts"][0]["paths"][0]["pathPrefix"] = "/moved/".into();
        self.store.put("config", "main", spec);
        let draining = &self.targets[0];
        self.store.put("servers", &draining.id, draining.entry("draining"));
    }

    /// Asserts that all gateways apply the change.
    async fn assert_changed(&self) {
        for (gateway, member) in self.members.iter().enumerate() {
            for n in 0..4 {
                let id = format!("id-{gateway}-{n}");
                let request = Request { path: "/moved/1", ..lookup(&id) };
                let mut caller = support::caller::Caller::connect(member.gateway.callers()).await;
                caller.send(&request.text()).await;
                assert_eq!(caller.answer().await.status, 200, "gateway {gateway}");
                assert_eq!(self.targets[0].runs(&id), 0, "gateway {gateway}");
            }
        }
    }
}

fn cut() -> Cut {
    Cut { to_server: true, to_client: true, existing_only: false }
}

/// Guards against calls of gateways that stand by while others confirm their state, and against
/// changes that do not reach these.
#[tokio::test]
async fn a_change_reaches_gateways_that_make_no_call() {
    let domain = Domain::start().await;
    let followers = domain.followers().count();
    assert!((4..=6).contains(&followers), "{followers} followers of {GATEWAYS}");
    let before = domain.store.calls();
    time::sleep(Duration::from_secs(3)).await;
    let calls = domain.store.calls() - before;
    println!("{calls} calls of {GATEWAYS} gateways in 3 s without a change");
    // Two pollers ask each 300 ms.
    assert!(calls <= 30, "{calls} calls in 3 s");
    domain.change();
    time::sleep(Duration::from_millis(1000)).await;
    domain.assert_changed().await;
}

#[tokio::test]
async fn a_change_reaches_all_gateways_although_all_followers_lost_the_store() {
    let domain = Domain::start().await;
    domain.followers().for_each(|member| member.link.cut(cut()));
    domain.change();
    time::sleep(Duration::from_millis(2400)).await;
    domain.assert_changed().await;
}

#[tokio::test]
async fn a_change_reaches_gateways_that_the_store_turns_away() {
    let domain = Domain::start().await;
    let others = domain.members.iter().filter(|member| !member.gateway.follows_store());
    others.for_each(|member| member.link.cut(cut()));
    domain.change();
    time::sleep(Duration::from_millis(1500)).await;
    domain.assert_changed().await;
}

/// Guards against a follower whose death leaves its place empty.
#[tokio::test]
async fn a_follower_that_stops_is_replaced() {
    let mut domain = Domain::start().await;
    let place = domain.members.iter().position(|member| member.gateway.follows_store());
    let stopped = domain.members.remove(place.expect("a follower"));
    stopped.gateway.shut_down().await;
    drop(stopped.link);
    domain.change();
    time::sleep(Duration::from_millis(2400)).await;
    domain.assert_changed().await;
    assert!(domain.followers().count() >= 4);
}

/// Guards against gateways that stand by taking a silence of the store for a lasting one, or lose
/// their targets in it.
#[tokio::test]
async fn a_change_after_a_silence_of_the_store_reaches_all_gateways() {
    let domain = Domain::start().await;
    domain.store.set(Mood::Silent);
    time::sleep(Duration::from_millis(2500)).await;
    domain.store.set(Mood::Well);
    domain.change();
    time::sleep(Duration::from_millis(2400)).await;
    domain.assert_changed().await;
}
