//! What a gateway tells its peers, and to whom.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{gateways::Receiver, gray};
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, time};

use super::{
    KNOWN_LIMIT,
    message::{self, Datagram, State},
};
use crate::shared::Shared;

/// The time between two reports of a gateway that does not change.
const REPORT_GAP: Duration = Duration::from_millis(1000);
/// How long outcomes wait for others to go with them.
const NEWS_GAP: Duration = Duration::from_millis(5);
/// The time between two reports of a load that changes, to gateways of the same failure domain.
const LOAD_GAP: Duration = Duration::from_millis(50);
/// Other failure domains get each such report after so many.
const LOAD_FAR_EVERY: u32 = 2;
/// A load that does not change is reported again after so many gaps.
const LOAD_REPEAT_EVERY: u32 = 10;
/// The most outcomes in one datagram.
const OUTCOMES_LIMIT: usize = 24;

/// Sends this gateway's state at least every [`REPORT_GAP`], and at once when it changes.
pub async fn report(shared: Arc<Shared>, socket: Arc<UdpSocket>, born_ms: u64) {
    let port = shared.settings().internal_port;
    let own = socket.local_addr().map_or_else(|_| String::new(), |address| address.to_string());
    let mut asks = true;
    loop {
        let now = shared.clock.now();
        let datagram = state(&shared, born_ms, asks, &own);
        spread(&shared, &socket, datagram.clone(), |_| true).await;
        let bytes = datagram.encode_to_vec();
        for address in unheard(&shared, now) {
            send(&shared, &socket, &bytes, address).await;
        }
        let alone = shared.gateways.lock().alive(now).next().is_none();
        if alone {
            for seed in &shared.settings().seeds {
                send(&shared, &socket, &bytes, SocketAddr::new(seed.ip(), port)).await;
            }
        }
        asks = alone;
        for host in shared.gateways.lock().expire(now) {
            log::info!("event=gateway-forgotten host={host}");
        }
        let _ = time::timeout(REPORT_GAP, shared.state_changed.notified()).await;
    }
}

/// Sends outcomes to the peers soon after they are known.
pub async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    loop {
        shared.news_waits.notified().await;
        time::sleep(NEWS_GAP).await;
        let outcomes = std::mem::take(&mut *shared.news.lock());
        for part in outcomes.chunks(OUTCOMES_LIMIT) {
            let datagram =
                Datagram { host: host.clone(), outcomes: part.to_vec(), ..Datagram::default() };
            spread(&shared, &socket, datagram, |_| true).await;
        }
    }
}

/// Tells the peers of this gateway's requests at targets while they change.
pub async fn report_load(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    let mut sent = [gray::Load::new(), gray::Load::new()];
    for tick in 0_u32.. {
        time::sleep(LOAD_GAP).await;
        let load = shared.targets.lock().view.load();
        let repeat = tick % LOAD_REPEAT_EVERY == 0 && !load.is_empty();
        let far = tick % LOAD_FAR_EVERY == 0 && (load != sent[1] || repeat);
        let near = load != sent[0] || repeat;
        if !near && !far {
            continue;
        }
        let load_sent = Some(encode_load(&load));
        let datagram = Datagram { host: host.clone(), load: load_sent, ..Datagram::default() };
        spread(&shared, &socket, datagram, |to| if to.relays { far } else { near }).await;
        if far {
            sent[1] = load.clone();
        }
        sent[0] = load;
    }
}

/// Sends a datagram to the gateways of the own failure domain, and to one of each other domain,
/// which passes it on there.
async fn spread(
    shared: &Shared,
    socket: &UdpSocket,
    mut datagram: Datagram,
    wanted: impl Fn(&Receiver) -> bool,
) {
    let domain = shared.settings().domain.clone();
    let now = shared.clock.now();
    let receivers = shared.gateways.lock().broadcast_receivers(&domain, now, &mut rand::rng());
    let near = datagram.encode_to_vec();
    datagram.relays = true;
    let far = datagram.encode_to_vec();
    for receiver in receivers.into_iter().filter(wanted) {
        let bytes = if receiver.relays { &far } else { &near };
        send(shared, socket, bytes, receiver.address).await;
    }
}

/// Passes a datagram of another failure domain on in this one.
pub async fn relay(shared: &Shared, socket: &UdpSocket, datagram: &Datagram) {
    let domain = shared.settings().domain.clone();
    let now = shared.clock.now();
    let receivers = shared.gateways.lock().broadcast_receivers(&domain, now, &mut rand::rng());
    let bytes = Datagram { relays: false, ..datagram.clone() }.encode_to_vec();
    for receiver in receivers.into_iter().filter(|receiver| !receiver.relays) {
        send(shared, socket, &bytes, receiver.address).await;
    }
}

/// Returns some of the gateways that are known and were not heard lately.
fn unheard(shared: &Shared, now: Duration) -> Vec<SocketAddr> {
    let gateways = shared.gateways.lock();
    let silent =
        gateways.iter().filter(|(_, g)| g.report.is_none() || g.last_seen + REPORT_GAP * 10 <= now);
    silent.map(|(_, g)| g.address).choose_multiple(&mut rand::rng(), KNOWN_LIMIT)
}

fn encode_load(load: &gray::Load) -> message::Load {
    let (keys, counts) = load.iter().copied().unzip();
    message::Load { keys, counts }
}

fn state(shared: &Shared, born_ms: u64, asks: bool, own: &str) -> Datagram {
    let settings = shared.settings();
    let state = State {
        born_ms,
        domain: settings.domain.clone(),
        callers: settings.callers.to_string(),
        peers: settings.peers.to_string(),
        ready: shared.is_ready(),
        routes_version: shared.routes().map_or(0, |routes| routes.version),
        targets_revision: shared.targets.lock().catalog.revision(),
        asks,
        datagrams: own.to_owned(),
        store_answers_for_ms: shared.link.up_for(shared.clock.now()).as_millis() as u64,
    };
    Datagram { host: settings.host.clone(), state: Some(state), ..Datagram::default() }
}

/// Sends a datagram; one that cannot be sent is counted, as peers bear the loss.
pub async fn send(shared: &Shared, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        shared.metrics.datagrams_unsent.inc();
        log::debug!("event=datagram-unsent to={to} reason={:?}", error.to_string());
    }
}
