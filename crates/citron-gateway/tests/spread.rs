//! Which gateways callers get from a real gateway of a domain whose hosts have unlike power.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use citron_gateway::message::{Datagram, Power, State};
use prost::Message;
use support::{
    BOUND, Gateway, Settings, config, eventually, ready, resolve, running_clock, settings,
    store::Store, target::Target,
};
use tokio::{net::UdpSocket, task::JoinHandle, time};

/// How long a domain must have been uneven before a subset is named.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// The address for callers of the peer that the test plays.
const PLAYED: &str = "127.0.0.1:9";

/// Starts gateways with these processors.
async fn start(store: &Store, shares: &[f64]) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for (n, cpu_share) in shares.iter().enumerate() {
        let host = format!("entry-{n}");
        let settings = Settings { cpu_share: *cpu_share, ..settings(&host, store.addr(), BOUND) };
        gateways.push(Gateway::bind(settings, None, running_clock()).await.expect("a gateway"));
    }
    for gateway in &gateways {
        eventually("a gateway is ready", async || ready(gateway).await == 200).await;
    }
    gateways
}

async fn store() -> (Store, Target) {
    let store = Store::bind().await;
    store.put("config", "main", config("r1", 1.0));
    let target = Target::bind("t0").await;
    store.put("servers", &target.id, target.entry("ready"));
    (store, target)
}

/// Reports a strong gateway to all others, as late as `lateness_ms` says, until the task is dropped.
fn play(store: &Store, gateways: usize, lateness_ms: &Arc<AtomicU32>) -> JoinHandle<()> {
    let address = |n| {
        let entry = store.get("citron-gateways", &format!("entry-{n}")).expect("an entry");
        entry["datagrams"].as_str().expect("an address").parse().expect("an address")
    };
    let to: Vec<SocketAddr> = (0..gateways).map(address).collect();
    let lateness_ms = Arc::clone(lateness_ms);
    tokio::spawn(async move {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        for tick in 1.. {
            let power = Power { cpu_share: 1.0, link_mbps: 200.0, memory_bytes: 1 << 29 };
            let state = State {
                born_ms: 1,
                domain: "a".to_owned(),
                callers: PLAYED.to_owned(),
                peers: PLAYED.to_owned(),
                ready: true,
                sent_ms: tick * 100,
                power: Some(power),
                lateness_ms: lateness_ms.load(Ordering::Relaxed),
                ..State::default()
            };
            let datagram =
                Datagram { host: "played".to_owned(), state: Some(state), ..Datagram::default() };
            for to in &to {
                socket.send_to(&datagram.encode_to_vec(), to).await.expect("a sent datagram");
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    })
}

/// Returns the addresses that a gateway names.
async fn named(gateway: &Gateway) -> Vec<String> {
    let (status, answer) = resolve(gateway).await;
    assert_eq!(status, 200);
    let addresses = answer["addresses"].as_array().expect("addresses");
    addresses.iter().map(|address| address.as_str().expect("text").to_owned()).collect()
}

/// Guards against callers that are sent to each host of an uneven domain alike, and to one that runs
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn strong_gateways_are_named_with_some_others_and_late_ones_are_not() {
    let (store, _target) = store().await;
    let gateways = start(&store, &[1.0, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1]).await;
    let lateness_ms = Arc::new(AtomicU32::new(0));
    let played = play(&store, gateways.len(), &lateness_ms);
    time::sleep(HOLD_TIME).await;
    for gateway in &gateways {
        eventually("a subset is named", async || named(gateway).await.len() == 4).await;
        let named = named(gateway).await;
        assert!(named.contains(&gateways[0].callers().to_string()), "{named:?}");
        assert!(named.contains(&PLAYED.to_owned()), "{named:?}");
    }
    lateness_ms.store(500, Ordering::Relaxed);
    for gateway in &gateways {
        eventually("the late gateway is not named", async || {
            let named = named(gateway).await;
            named.len() >= 4 && !named.contains(&PLAYED.to_owned())
        })
        .await;
    }
    played.abort();
}

/// Guards against an answer that changes where the hosts are alike.
#[tokio::test(flavor = "multi_thread")]
async fn all_gateways_of_an_even_domain_are_named() {
    let (store, _target) = store().await;
    let gateways = start(&store, &[1.0, 0.5, 0.5, 0.5, 0.5, 0.5]).await;
    time::sleep(HOLD_TIME).await;
    for gateway in &gateways {
        eventually("all are named", async || named(gateway).await.len() == 6).await;
    }
}
