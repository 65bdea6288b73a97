//! Datagrams between gateways: their state, their load and the outcomes of attempts at targets.

pub mod message;

mod broadcast;
mod export;
mod join;
mod pull;

pub use self::{
    broadcast::{
        repeat_statements, report_load, report_state, send_loans, send_outcomes, send_quotas,
    },
    export::{Coding, Export, Transfer},
    join::join,
    pull::{Subject, run as pull},
};

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use citron::{
    gateways::Report,
    gray::Verdict,
    outage::{Contact, Silence},
    position::Position,
    quota::ListReport,
    route::Edition,
    spread::{Load, Power},
    statement::{Origin, Statement},
};
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, time};

use self::{
    broadcast::{relay, send, state_datagram},
    message::{DATAGRAM_LIMIT_BYTES, Datagram, KnownGateway, Outcome, State},
};
use crate::{
    quota::{exchange, members},
    retry::loan,
    shared::Shared,
};

/// The delay before receiving again after a failure.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The maximum number of gateways that are named to a newcomer, or probed because they are silent.
const KNOWN_GATEWAYS_LIMIT: usize = 16;

/// Receives datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES * 2];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=datagram-failed reason={:?}", error.to_string());
                time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => handle(&shared, &socket, datagram, from).await,
            Err(error) => {
                shared.metrics.datagrams_unreadable.inc();
                log::debug!("event=datagram-ignored from={from} reason={:?}", error.to_string());
            }
        }
    }
}

async fn handle(shared: &Arc<Shared>, socket: &UdpSocket, datagram: Datagram, from: SocketAddr) {
    if datagram.host == shared.settings().host {
        return;
    }
    let now = shared.clock.now();
    relay(shared, socket, &datagram).await;
    apply_outcomes(shared, &datagram.outcomes, now);
    for statement in &datagram.statements {
        shared.apply_statement(&decode_statement(statement, now), Origin::Peer);
    }
    loan::handle(shared, &datagram.loans, &datagram.host, from);
    exchange::handle(shared, &datagram.quotas, &datagram.host, from);
    if let Some(load) = &datagram.load {
        let host = Arc::from(datagram.host.as_str());
        let load = load.keys.iter().copied().zip(load.counts.iter().copied()).collect();
        shared.targets.lock().view.apply_peer_load(&host, load, now);
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
    let delay = report_delay(shared, &datagram.host, &state, now);
    let Some(report) = decode_state(&state, now.saturating_sub(delay)) else {
        shared.metrics.datagrams_unreadable.inc();
        return;
    };
    let address = state.datagrams.parse().unwrap_or(from);
    let subjects = subjects_ahead(shared, &report);
    shared.record_confirmation(&datagram.host, &report);
    if shared.gateways.lock().apply_report(&datagram.host, address, report, now) {
        log::info!("event=gateway-heard host={} address={address}", datagram.host);
    }
    shared.notice_era();
    members::notice_awaited(shared);
    // The report may show that an outage of the store was none.
    shared.expire_targets();
    if state.wants_reply && address == from {
        reply(shared, socket, from).await;
    }
    for subject in subjects {
        subject.behind(shared).notify_one();
    }
}

fn apply_outcomes(shared: &Shared, outcomes: &[Outcome], now: Duration) {
    if outcomes.is_empty() {
        return;
    }
    let targets = &mut *shared.targets.lock();
    for outcome in outcomes {
        let verdict = u8::try_from(outcome.verdict).ok().and_then(Verdict::from_repr);
        let target = targets.catalog.get(&outcome.target);
        let (Some(verdict), Some(target)) = (verdict, target) else { continue };
        if target.born_ms == outcome.born_ms {
            let took = Duration::from_millis(outcome.took_ms.into());
            targets.view.apply_peer_outcome(target, verdict, took, now);
            shared.metrics.record_verdict(verdict.into(), "peer");
        }
    }
}

fn decode_statement(statement: &message::Statement, now: Duration) -> Statement {
    Statement {
        target: Arc::from(statement.target.as_str()),
        born_ms: statement.born_ms,
        leaving: statement.leaving,
        limit_per_s: statement.limit_per_s.filter(|limit| limit.is_finite() && *limit >= 0.0),
        at: now.saturating_sub(Duration::from_millis(statement.age_ms)),
    }
}

/// Returns in what a peer is ahead of this gateway.
fn subjects_ahead(shared: &Shared, report: &Report) -> impl Iterator<Item = Subject> + use<> {
    let routes = shared.routes_edition();
    let targets = shared.targets.lock().catalog.position();
    let routes = (report.routes > routes).then_some(Subject::Routes);
    let targets = (report.targets_position > targets).then_some(Subject::Targets);
    routes.into_iter().chain(targets)
}

/// Replies to a newcomer with this gateway's state and some of the gateways that are known here.
async fn reply(shared: &Shared, socket: &UdpSocket, to: SocketAddr) {
    let known = {
        let gateways = shared.gateways.lock();
        let chosen = gateways.iter().choose_multiple(&mut rand::rng(), KNOWN_GATEWAYS_LIMIT);
        chosen
            .into_iter()
            .map(|(host, gateway)| KnownGateway {
                host: host.to_string(),
                address: gateway.address.to_string(),
            })
            .collect()
    };
    let datagram = Datagram { known, ..state_datagram(shared, socket, false) };
    send(shared, socket, &datagram.encode_to_vec(), to).await;
}

/// Returns how long a report was held back on its way, zero if its sender tells no time.
fn report_delay(shared: &Shared, host: &str, state: &State, now: Duration) -> Duration {
    if state.sent_ms == 0 {
        return Duration::ZERO;
    }
    let sent_at = Duration::from_millis(state.sent_ms);
    // By this clock a report that waited while this host was suspended is as old as it is.
    let arrived_at = now + shared.clock.suspended();
    shared.gateways.lock().report_delay(host, state.born_ms, sent_at, arrived_at)
}

/// Decodes a report that was made at `made_at` by this gateway's clock.
fn decode_state(state: &State, made_at: Duration) -> Option<Report> {
    let ago = |age_ms| made_at.saturating_sub(Duration::from_millis(age_ms));
    let store_contact = state.store_response_age_ms.map(|age_ms| Contact {
        era: state.store_era,
        since: ago(state.store_answers_for_ms),
        last: ago(age_ms),
    });
    Some(Report {
        born_ms: state.born_ms,
        domain: Arc::from(state.domain.as_str()),
        callers: state.callers.parse().ok()?,
        peers: state.peers.parse().ok()?,
        ready: state.ready,
        accepts_keys: !state.refuses_keys,
        routes: decode_edition(state),
        targets_position: Position { era: state.targets_era, revision: state.targets_revision },
        fleet_hosts: state.fleet_hosts,
        members: ListReport {
            granting: state.granting.map(Position::from),
            awaited: state.awaited.map(Position::from),
        },
        store_contact,
        confirmed_at: state.confirmed_age_ms.map(ago),
        store_silence: state.store_silence.map(|silence| Silence {
            unanswered_at: ago(silence.unanswered_age_ms),
            returned_at: silence.returned_age_ms.map(ago),
        }),
        load: decode_load(state),
    })
}

/// Decodes which routes a gateway has. Processes of older builds tell no position.
fn decode_edition(state: &State) -> Edition {
    let has_version =
        !state.routes_unversioned && (state.routes_version > 0 || state.routes_position.is_some());
    Edition {
        version: has_version.then_some(state.routes_version),
        position: state.routes_position.map_or_else(Position::default, Position::from),
    }
}

/// Decodes the power and load in a report, `None` if it has none or they are not valid.
fn decode_load(state: &State) -> Option<Load> {
    let power = state.power?;
    let is_positive = |value: f64| value.is_finite() && value > 0.0;
    let is_amount = |value: f64| value.is_finite() && value >= 0.0;
    let is_valid = is_positive(power.cpu_share)
        && is_amount(power.link_mbps)
        && is_amount(state.requests_per_s)
        && is_amount(state.fullness);
    is_valid.then(|| Load {
        power: Power {
            cpu_share: power.cpu_share,
            link_mbps: power.link_mbps,
            memory_bytes: power.memory_bytes,
        },
        requests_per_s: state.requests_per_s,
        lateness: Duration::from_millis(state.lateness_ms.into()),
        fullness: state.fullness,
    })
}

/// Binds the datagram socket.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn bind(ip: IpAddr, port: u16) -> std::io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(SocketAddr::new(ip, port)).await.map(Arc::new)
}
