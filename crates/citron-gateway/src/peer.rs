//! Datagrams between gateways: their state, and what requests said about targets.

pub mod message;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{
    catalog::{Source, Update},
    gateways::{Receiver, Report},
    gray::{self, Verdict},
};
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, time};

use self::message::{Datagram, Known, LIMIT_BYTES, Outcome, State};
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
/// The most gateways that an answer to a newcomer names.
const KNOWN_LIMIT: usize = 16;
/// How long a gateway whose store answers may be behind a peer before it asks that peer.
const PULL_DELAY: Duration = Duration::from_millis(900);
/// The same while the store does not answer.
const PULL_DELAY_ALONE: Duration = Duration::from_millis(50);
/// How long a pull from a peer may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Receives datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, http: reqwest::Client) {
    let mut buffer = vec![0; LIMIT_BYTES * 2];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=datagram-failed reason={:?}", error.to_string());
                time::sleep(NEWS_GAP).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => take(&shared, &socket, &http, datagram, from).await,
            Err(error) => {
                shared.metrics.datagrams_bad.inc();
                log::debug!("event=datagram-ignored from={from} reason={:?}", error.to_string());
            }
        }
    }
}

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
    let receivers = shared.gateways.lock().spread(&domain, now, &mut rand::rng());
    let near = datagram.encode_to_vec();
    datagram.relays = true;
    let far = datagram.encode_to_vec();
    for receiver in receivers.into_iter().filter(wanted) {
        let bytes = if receiver.relays { &far } else { &near };
        send(shared, socket, bytes, receiver.address).await;
    }
}

/// Passes a datagram of another failure domain on in this one.
async fn relay(shared: &Shared, socket: &UdpSocket, datagram: &Datagram) {
    let domain = shared.settings().domain.clone();
    let now = shared.clock.now();
    let receivers = shared.gateways.lock().spread(&domain, now, &mut rand::rng());
    let bytes = Datagram { relays: false, ..datagram.clone() }.encode_to_vec();
    for receiver in receivers.into_iter().filter(|receiver| !receiver.relays) {
        send(shared, socket, &bytes, receiver.address).await;
    }
}

/// Returns some of the gateways that are known and were not heard lately.
fn unheard(shared: &Shared, now: Duration) -> Vec<SocketAddr> {
    let gateways = shared.gateways.lock();
    let silent =
        gateways.iter().filter(|(_, g)| g.report.is_none() || g.heard_at + REPORT_GAP * 10 <= now);
    silent.map(|(_, g)| g.address).choose_multiple(&mut rand::rng(), KNOWN_LIMIT)
}

fn encode_load(load: &gray::Load) -> message::Load {
    let (keys, counts) = load.iter().copied().unzip();
    message::Load { keys, counts }
}

async fn take(
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    http: &reqwest::Client,
    datagram: Datagram,
    from: SocketAddr,
) {
    if datagram.host == shared.settings().host {
        return;
    }
    let now = shared.clock.now();
    if datagram.relays {
        relay(shared, socket, &datagram).await;
    }
    hear_outcomes(shared, &datagram.outcomes, now);
    if let Some(load) = &datagram.load {
        let host = Arc::from(datagram.host.as_str());
        let load = load.keys.iter().copied().zip(load.counts.iter().copied()).collect();
        shared.targets.lock().view.hear_load(&host, load, now);
    }
    for known in &datagram.known {
        if let Ok(address) = known.address.parse()
            && known.host != shared.settings().host
            && shared.gateways.lock().learn(&known.host, address, now)
        {
            log::info!("event=gateway-learned host={} source={}", known.host, datagram.host);
        }
    }
    let Some(state) = datagram.state else { return };
    let Some(report) = decode_state(&state) else {
        shared.metrics.datagrams_bad.inc();
        return;
    };
    let address = state.datagrams.parse().unwrap_or(from);
    let ahead = is_ahead(shared, &report);
    if shared.gateways.lock().hear(&datagram.host, address, report, now) {
        log::info!("event=gateway-heard host={} address={address}", datagram.host);
    }
    if state.asks && address == from {
        answer(shared, socket, from).await;
    }
    if ahead && !shared.pulling.swap(true, Ordering::Relaxed) {
        tokio::spawn(pull(Arc::clone(shared), http.clone()));
    }
}

fn hear_outcomes(shared: &Shared, outcomes: &[Outcome], now: Duration) {
    if outcomes.is_empty() {
        return;
    }
    let targets = &mut *shared.targets.lock();
    for outcome in outcomes {
        let verdict = u8::try_from(outcome.verdict).ok().and_then(Verdict::from_repr);
        let target = targets.catalog.get(&outcome.target);
        let (Some(verdict), Some(target)) = (verdict, target) else { continue };
        if target.born_ms == outcome.born_ms {
            targets.view.hear(target, verdict, now);
        }
    }
}

fn is_ahead(shared: &Shared, report: &Report) -> bool {
    let routes = shared.routes().map_or(0, |routes| routes.version);
    let targets = shared.targets.lock().catalog.revision();
    report.routes_version > routes || report.targets_revision > targets
}

/// Answers a newcomer with some of the gateways known here.
async fn answer(shared: &Shared, socket: &UdpSocket, to: SocketAddr) {
    let known = {
        let gateways = shared.gateways.lock();
        let chosen = gateways.iter().choose_multiple(&mut rand::rng(), KNOWN_LIMIT);
        chosen
            .into_iter()
            .map(|(host, gateway)| Known {
                host: host.to_string(),
                address: gateway.address.to_string(),
            })
            .collect()
    };
    let host = shared.settings().host.clone();
    let datagram = Datagram { host, known, ..Datagram::default() }.encode_to_vec();
    send(shared, socket, &datagram, to).await;
}

/// Takes newer routes and targets from a peer if the store does not bring them in time.
async fn pull(shared: Arc<Shared>, http: reqwest::Client) {
    let alone = shared.link.is_lost();
    time::sleep(if alone { PULL_DELAY_ALONE } else { PULL_DELAY }).await;
    shared.pulling.store(false, Ordering::Relaxed);
    let now = shared.clock.now();
    let domain = shared.settings().domain.clone();
    let version = shared.routes().map_or(0, |routes| routes.version);
    let newer = shared.gateways.lock().newer_routes(version, &domain, now);
    if let Some(peer) = newer
        && let Some(table) = fetch(&shared, &http, peer, "routes", "routes").await
    {
        shared.take_routes(table, "peer");
    }
    let revision = shared.targets.lock().catalog.revision();
    let newer = shared.gateways.lock().newer_targets(revision, &domain, now);
    let Some(peer) = newer else { return };
    let path = format!("targets?since={revision}");
    match fetch(&shared, &http, peer, "targets", &path).await {
        Some(Update::Whole(snapshot)) => shared.take_targets(snapshot, Source::Peer),
        Some(Update::Changes(revision, changes)) => {
            shared.change_targets(revision, changes, Source::Peer);
        }
        None => {}
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    http: &reqwest::Client,
    peer: SocketAddr,
    what: &str,
    path: &str,
) -> Option<T> {
    let url = format!("http://{peer}/{path}");
    let result = async {
        http.get(url).timeout(PULL_TIMEOUT).send().await?.error_for_status()?.json().await
    };
    match result.await {
        Ok(value) => {
            shared.metrics.pulls.with_label_values(&[what, "ok"]).inc();
            Some(value)
        }
        Err(error) => {
            shared.metrics.pulls.with_label_values(&[what, "failed"]).inc();
            log::warn!("event=pull-failed what={what} peer={peer} reason={:?}", error.to_string());
            None
        }
    }
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
        store_answers_for_ms: shared.link.answers_for(shared.clock.now()).as_millis() as u64,
    };
    Datagram { host: settings.host.clone(), state: Some(state), ..Datagram::default() }
}

fn decode_state(state: &State) -> Option<Report> {
    Some(Report {
        born_ms: state.born_ms,
        domain: Arc::from(state.domain.as_str()),
        callers: state.callers.parse().ok()?,
        peers: state.peers.parse().ok()?,
        ready: state.ready,
        routes_version: state.routes_version,
        targets_revision: state.targets_revision,
        store_answers_for: Duration::from_millis(state.store_answers_for_ms),
    })
}

async fn send(shared: &Shared, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        shared.metrics.datagrams_unsent.inc();
        log::debug!("event=datagram-unsent to={to} reason={:?}", error.to_string());
    }
}

/// Binds the socket for datagrams.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(ip: IpAddr, port: u16) -> std::io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(SocketAddr::new(ip, port)).await.map(Arc::new)
}
