//! What a gateway sends to its peers, and which peers receive it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{gateways::Receiver, gray, statement::Statement};
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, time};

use super::{
    KNOWN_GATEWAYS_LIMIT,
    message::{self, Datagram, ListPosition, State},
};
use crate::{quota::members, shared::Shared};

/// The interval between reports of a state that does not change.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// The same at a gateway that others follow, which is replaced if its reports fail to arrive.
const FOLLOWER_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long outcomes wait to be sent in one datagram with later ones.
const OUTCOME_BATCH_DELAY: Duration = Duration::from_millis(5);
/// The interval between looks at whether the load has changed.
const LOAD_TICK: Duration = Duration::from_millis(50);
/// The interval after which a load that does not change is reported again.
const LOAD_REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of outcomes in one datagram.
const OUTCOMES_LIMIT: usize = 24;
/// The number of gateways that statements are repeated to at an interval.
const REPEAT_FANOUT: usize = 4;
/// The maximum number of statements in one datagram.
const STATEMENTS_LIMIT: usize = 8;

/// Sends this gateway's state at least every [`REPORT_INTERVAL`], and at once when it changes.
pub async fn report_state(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let port = shared.settings().internal_port;
    let mut wants_reply = true;
    let mut near_only = false;
    loop {
        let now = shared.clock.now();
        let mut datagram = state_datagram(&shared, &socket, wants_reply);
        let follows = shared.is_poller() || shared.is_domain_large() && shared.is_follower();
        let must_reach_all = shared.report_reaches_all.swap(false, Ordering::Relaxed);
        datagram.reaches_all = follows || must_reach_all || may_be_named(&shared);
        let skips_relays = near_only && !must_reach_all;
        broadcast(&shared, &socket, datagram.clone(), |to| !(skips_relays && to.relays)).await;
        let bytes = datagram.encode_to_vec();
        for address in silent_gateways(&shared, now) {
            send(&shared, &socket, &bytes, address).await;
        }
        let alone = shared.gateways.lock().alive(now).next().is_none();
        if alone {
            for seed in &shared.settings().seeds {
                send(&shared, &socket, &bytes, SocketAddr::new(seed.ip(), port)).await;
            }
        }
        wants_reply = alone;
        for host in shared.gateways.lock().expire(now) {
            log::info!("event=gateway-forgotten host={host}");
        }
        let interval = if follows { FOLLOWER_REPORT_INTERVAL } else { REPORT_INTERVAL };
        near_only = tokio::select! {
            biased;
            () = shared.state_changed.notified() => false,
            () = shared.state_changed_near.notified() => true,
            () = time::sleep(interval) => false,
        };
    }
}

/// Sends the targets' statements to the peers, a few at a time: to all when there is a new one, and
/// to some at intervals, so that a peer that missed one learns of it.
pub async fn repeat_statements(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    loop {
        let added = shared.statements_added.notified();
        let is_new = time::timeout(REPORT_INTERVAL, added).await.is_ok();
        let now = shared.clock.now();
        let statements = shared.targets.lock().statements.next(STATEMENTS_LIMIT);
        if statements.is_empty() {
            continue;
        }
        let statements = statements.iter().map(|s| encode_statement(s, now)).collect();
        let datagram = Datagram { host: host.clone(), statements, ..Datagram::default() };
        if is_new {
            broadcast(&shared, &socket, datagram, |_| true).await;
        } else {
            let bytes = datagram.encode_to_vec();
            for address in some_gateways(&shared, now) {
                send(&shared, &socket, &bytes, address).await;
            }
        }
    }
}

/// Returns true if callers may be sent to this gateway, among those of an uneven domain.
fn may_be_named(shared: &Shared) -> bool {
    let settings = shared.settings();
    shared.gateways.lock().is_watched(&settings.host, &settings.domain)
}

/// Returns the addresses of a few live gateways.
fn some_gateways(shared: &Shared, now: Duration) -> Vec<SocketAddr> {
    let gateways = shared.gateways.lock();
    gateways.alive(now).map(|(_, g)| g.address).choose_multiple(&mut rand::rng(), REPEAT_FANOUT)
}

/// Sends pending outcomes to the peers in batches.
pub async fn send_outcomes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    loop {
        shared.outcomes_added.notified().await;
        time::sleep(OUTCOME_BATCH_DELAY).await;
        let outcomes = std::mem::take(&mut *shared.pending_outcomes.lock());
        for part in outcomes.chunks(OUTCOMES_LIMIT) {
            let datagram =
                Datagram { host: host.clone(), outcomes: part.to_vec(), ..Datagram::default() };
            broadcast(&shared, &socket, datagram, |_| true).await;
        }
    }
}

/// Sends the messages about lent retry tokens until the process ends.
pub async fn send_loans(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    while let Some((to, message)) = shared.loans.outbox.next().await {
        let datagram = Datagram { host: host.clone(), loans: vec![message], ..Datagram::default() };
        send(&shared, &socket, &datagram.encode_to_vec(), to).await;
    }
}

/// Sends the messages about tokens of the customers' quotas until the process ends.
pub async fn send_quotas(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    while let Some((to, message)) = shared.quotas.next_message().await {
        let datagram =
            Datagram { host: host.clone(), quotas: vec![message], ..Datagram::default() };
        send(&shared, &socket, &datagram.encode_to_vec(), to).await;
    }
}

/// Reports this gateway's requests in flight at targets to the peers when they change, and again at
/// intervals while there are any.
pub async fn report_load(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let host = shared.settings().host.clone();
    let (mut sent_near, mut sent_far) = (SentLoad::default(), SentLoad::default());
    loop {
        time::sleep(LOAD_TICK).await;
        let now = shared.clock.now();
        let domain = shared.settings().domain.clone();
        let intervals = shared.gateways.lock().load_intervals(&domain, now);
        let load = shared.targets.lock().view.load();
        let near = sent_near.is_due(&load, intervals.near, now);
        let far = sent_far.is_due(&load, intervals.far, now);
        if !near && !far {
            continue;
        }
        let load_sent = Some(encode_load(&load));
        let datagram = Datagram { host: host.clone(), load: load_sent, ..Datagram::default() };
        broadcast(&shared, &socket, datagram, |to| if to.relays { far } else { near }).await;
        if far {
            sent_far = SentLoad { load: load.clone(), at: now };
        }
        if near {
            sent_near = SentLoad { load, at: now };
        }
    }
}

/// The latest report of this gateway's load to some of its peers.
#[derive(Debug, Default)]
struct SentLoad {
    load: gray::Load,
    at: Duration,
}

impl SentLoad {
    /// Returns true if `load` should be reported, with at least `interval` between two reports.
    fn is_due(&self, load: &gray::Load, interval: Duration, now: Duration) -> bool {
        // A tick may come a little early.
        let since = now.saturating_sub(self.at) + LOAD_TICK / 2;
        let is_outdated = !load.is_empty() && since >= LOAD_REPEAT_INTERVAL;
        since >= interval && (*load != self.load || is_outdated)
    }
}

/// Sends a datagram to the gateways of this failure domain and to one of each other domain, which
/// relays it there; skips receivers for which `wanted` returns false.
async fn broadcast(
    shared: &Shared,
    socket: &UdpSocket,
    mut datagram: Datagram,
    wanted: impl Fn(&Receiver) -> bool,
) {
    let domain = shared.settings().domain.clone();
    let now = shared.clock.now();
    let receivers = shared.gateways.lock().broadcast_receivers(&domain, now, &mut rand::rng());
    let mut bytes = Vec::new();
    for receiver in receivers.into_iter().filter(wanted) {
        let part = receiver.part.filter(|_| datagram.reaches_all);
        if bytes.is_empty()
            || (datagram.wants_relay, datagram.relay_part) != (receiver.relays, part)
        {
            (datagram.wants_relay, datagram.relay_part) = (receiver.relays, part);
            bytes = datagram.encode_to_vec();
        }
        send(shared, socket, &bytes, receiver.address).await;
    }
}

/// Relays a datagram from another failure domain to the gateways of this one, or one of this domain
/// to the part of it that the sender named.
pub async fn relay(shared: &Shared, socket: &UdpSocket, datagram: &Datagram) {
    if datagram.wants_relay {
        broadcast(shared, socket, datagram.clone(), |receiver| !receiver.relays).await;
    }
    let Some(part) = datagram.relay_part else { return };
    let domain = shared.settings().domain.clone();
    let now = shared.clock.now();
    let receivers = shared.gateways.lock().part_receivers(&domain, part, now);
    let bytes = Datagram { relay_part: None, ..datagram.clone() }.encode_to_vec();
    for address in receivers {
        send(shared, socket, &bytes, address).await;
    }
}

/// Returns the addresses of some known gateways that have never reported or not recently.
fn silent_gateways(shared: &Shared, now: Duration) -> Vec<SocketAddr> {
    let gateways = shared.gateways.lock();
    let silent = gateways
        .iter()
        .filter(|(_, g)| g.report.is_none() || g.last_seen + REPORT_INTERVAL * 10 <= now);
    silent.map(|(_, g)| g.address).choose_multiple(&mut rand::rng(), KNOWN_GATEWAYS_LIMIT)
}

fn encode_statement(statement: &Statement, now: Duration) -> message::Statement {
    message::Statement {
        target: statement.target.to_string(),
        born_ms: statement.born_ms,
        age_ms: now.saturating_sub(statement.at).as_millis() as u64,
        leaving: statement.leaving,
        limit_per_s: statement.limit_per_s,
    }
}

fn encode_load(load: &gray::Load) -> message::Load {
    let (keys, counts) = load.iter().copied().unzip();
    message::Load { keys, counts }
}

/// Returns a datagram that reports this gateway's state.
pub fn state_datagram(shared: &Shared, socket: &UdpSocket, wants_reply: bool) -> Datagram {
    let settings = shared.settings();
    let now = shared.clock.now();
    let contact = shared.link.contact(now);
    // Before what it confirms, which may be newer by then, but must not be older.
    let confirmed_at = shared.own_confirmed_at();
    let position = shared.targets.lock().catalog.position();
    let load = shared.load();
    let list = members::report(shared);
    let routes = shared.routes_edition();
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let state = State {
        born_ms: shared.born_ms,
        domain: settings.domain.clone(),
        callers: settings.callers.to_string(),
        peers: settings.peers.to_string(),
        ready: shared.is_ready(),
        refuses_keys: !shared.accepts_keys(),
        routes_version: routes.version.unwrap_or(0),
        routes_unversioned: routes.version.is_none(),
        routes_position: (routes.position.revision > 0).then(|| routes.position.into()),
        targets_revision: position.revision,
        targets_era: position.era,
        fleet_hosts: shared.gateways.lock().fleet_hosts(),
        granting: list.granting.map(ListPosition::from),
        awaited: list.awaited.map(ListPosition::from),
        power: Some(message::Power {
            cpu_share: load.power.cpu_share,
            link_mbps: load.power.link_mbps,
            memory_bytes: load.power.memory_bytes,
        }),
        requests_per_s: load.requests_per_s,
        lateness_ms: u32::try_from(load.lateness.as_millis()).unwrap_or(u32::MAX),
        fullness: load.fullness,
        wants_reply,
        datagrams: socket.local_addr().map_or_else(|_| String::new(), |own| own.to_string()),
        store_answers_for_ms: contact.map_or(0, |contact| age_ms(contact.since)),
        store_response_age_ms: contact.map(|contact| age_ms(contact.last)),
        store_era: contact.map_or(0, |contact| contact.era),
        sent_ms: now.as_millis() as u64,
        confirmed_age_ms: confirmed_at.map(age_ms),
        store_silence: shared.link.silence().map(|silence| message::Silence {
            unanswered_age_ms: age_ms(silence.unanswered_at),
            returned_age_ms: silence.returned_at.map(age_ms),
        }),
    };
    Datagram { host: settings.host.clone(), state: Some(state), ..Datagram::default() }
}

/// Sends a datagram; a failure is only counted and logged, as peers tolerate lost datagrams.
pub async fn send(shared: &Shared, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        shared.metrics.datagrams_unsent.inc();
        log::debug!("event=datagram-unsent to={to} reason={:?}", error.to_string());
    }
}
