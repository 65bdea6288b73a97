//! Retry tokens that gateways lend each other.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use citron::attempt::RetryBound;
use citron_gateway::{
    Gateway,
    message::{Datagram, LoanMessage, LoanStep},
};
use parking_lot::Mutex;
use prost::Message;
use support::{
    TestFleet, caller::Caller, eventually, gateway_with, lookup, ready, running_clock, target::Act,
};
use tokio::{net::UdpSocket, time};

/// Of two hosts each may make two retries at once; requests add nothing.
const BOUND: RetryBound = RetryBound { ratio: 0.0, slack: 8.0, window: Duration::from_secs(10) };
/// How long a test waits for a datagram.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts two gateways before targets that fail each request once and serve it then.
async fn two_gateways() -> (TestFleet, Gateway) {
    let fleet = TestFleet::start_with(2, BOUND).await;
    let failed: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for target in &fleet.targets {
        let failed = Arc::clone(&failed);
        target.set_plan(move |seen| {
            if failed.lock().insert(seen.id().to_owned()) { Act::Fail } else { Act::Serve }
        });
    }
    let other = gateway_with("entry-2", fleet.store.addr(), running_clock(), BOUND).await;
    eventually("the other is ready", async || ready(&other).await == 200).await;
    // Until each has computed its share.
    time::sleep(Duration::from_millis(1500)).await;
    (fleet, other)
}

async fn status(gateway: &Gateway, id: &str) -> u16 {
    let mut caller = Caller::connect(gateway.callers()).await;
    caller.send(&lookup(id).text()).await;
    caller.answer().await.status
}

#[tokio::test]
async fn a_gateway_without_a_token_borrows_one_that_another_does_not_need() {
    let (fleet, other) = two_gateways().await;
    for id in ["own-1", "own-2", "borrowed-1", "borrowed-2"] {
        assert_eq!(status(&fleet.gateway, id).await, 200, "{id}");
    }
    assert_eq!(status(&fleet.gateway, "denied").await, 500, "nobody has a token left");
    assert_eq!(status(&other, "denied-2").await, 500);
}

/// A peer that a test plays, registered as a host of the fleet.
struct Peer {
    socket: UdpSocket,
    gateway: SocketAddr,
    host: &'static str,
}

impl Peer {
    async fn bind(fleet: &TestFleet, host: &'static str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let entry = fleet.store.get("citron-gateways", "entry-1").expect("an entry");
        let gateway = entry["datagrams"].as_str().expect("an address");
        Self { socket, gateway: gateway.parse().expect("an address"), host }
    }

    async fn send(&self, loan: LoanMessage) {
        let datagram =
            Datagram { host: self.host.to_owned(), loans: vec![loan], ..Datagram::default() };
        self.socket.send_to(&datagram.encode_to_vec(), self.gateway).await.expect("a datagram");
    }

    /// Asks for a token and returns the answer, if one comes.
    async fn ask(&self, service: &str) -> Option<LoanMessage> {
        self.send(LoanMessage::ask(service, 1)).await;
        time::timeout(ANSWER_TIMEOUT, self.receive()).await.ok()
    }

    async fn receive(&self) -> LoanMessage {
        let mut buffer = vec![0; 2048];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.expect("a datagram");
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram of a gateway");
            if let Some(loan) = datagram.loans.into_iter().next() {
                return loan;
            }
        }
    }
}

#[tokio::test]
async fn a_token_is_lent_again_only_after_its_lender_was_told() {
    let (fleet, _other) = two_gateways().await;
    let peer = Peer::bind(&fleet, "entry-2").await;
    peer.ask("desk").await.expect("an answer");
    let lent = peer.ask("desk").await.expect("an answer");
    assert_eq!(lent.step(), LoanStep::Grant);
    let asked_again = async || peer.ask("desk").await.expect("an answer").step();
    assert_eq!(asked_again().await, LoanStep::Denial, "both tokens are lent");
    let returned = LoanMessage { step: LoanStep::Returned.into(), ..lent.clone() };
    let of_an_earlier_process = LoanMessage { lender_born_ms: 1, ..returned.clone() };
    peer.send(of_an_earlier_process).await;
    assert_eq!(asked_again().await, LoanStep::Denial);
    peer.send(returned).await;
    assert_eq!(asked_again().await, LoanStep::Grant);
}

/// Defines a test of an ask that must not be answered.
macro_rules! ask_that_is_ignored {
    ($($name:ident: $host:literal, $service:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (fleet, _other) = two_gateways().await;
            let peer = Peer::bind(&fleet, $host).await;
            assert_eq!(peer.ask($service).await, None);
        }
    )*};
}

ask_that_is_ignored! {
    a_host_that_is_not_of_the_fleet_is_lent_nothing: "stranger", "desk";
    no_token_is_lent_for_a_service_without_a_route: "entry-2", "nowhere";
}

#[tokio::test]
async fn a_grant_that_was_not_asked_for_is_returned() {
    let (fleet, _other) = two_gateways().await;
    let peer = Peer::bind(&fleet, "entry-2").await;
    let forged =
        LoanMessage { step: LoanStep::Grant.into(), ask: 99, ..LoanMessage::ask("desk", 9) };
    peer.send(forged).await;
    let answer = time::timeout(ANSWER_TIMEOUT, peer.receive()).await.expect("an answer");
    assert_eq!(answer.step(), LoanStep::Returned);
}
