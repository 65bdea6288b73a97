//! Counts requests against their customers' allowances over the whole fleet.

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    hash::BuildHasher,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use citron::{
    event::Kind,
    limit::{LoanMessage, Outgoing, OwnerLookup, RateLimiter, Verdict},
    placement::{self, Host},
    policy::Allowance,
};
use citron_wire as wire;
use parking_lot::Mutex;
use prost::Message as _;
use tokio::{sync::Notify, time};

use crate::{loan, refusal::Reason, shared::Shared};

/// The number of separately locked parts of the accounts.
const PARTS: usize = 16;
/// How often the gates are told the time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest loan message, bytes.
const MESSAGE_LIMIT_BYTES: usize = 1024;

/// The accounts of all customers, in parts under their own locks.
pub struct Allowances {
    hasher: RandomState,
    parts: Vec<Part>,
    /// The hosts and failure domains of the host list in force.
    listed: Mutex<Option<Vec<(String, String)>>>,
    begun: Mutex<loan::Begun>,
}

struct Part {
    gate: Mutex<RateLimiter>,
    /// Wakes the requests that wait for a loan.
    granted: Notify,
}

impl Allowances {
    /// Opens the accounts of a process that has just started.
    pub fn open(host: &str, handover: Duration, now: Duration) -> Self {
        let part = || Part {
            gate: Mutex::new(RateLimiter::new(host, rand::random(), handover, now)),
            granted: Notify::new(),
        };
        let parts = (0..PARTS).map(|_| part()).collect();
        Self {
            hasher: RandomState::new(),
            parts,
            listed: Mutex::default(),
            begun: Mutex::default(),
        }
    }

    /// Puts the entry hosts that the platform lists in force.
    pub fn set_members(&self, members: &BTreeMap<String, wire::Member>, now: Duration) {
        let hosts: Vec<(String, String)> = members
            .values()
            .filter(|member| member.listed)
            .map(|member| (member.host.clone(), member.domain.clone()))
            .collect();
        let mut listed = self.listed.lock();
        // Without a list, the last one known stays in force.
        if hosts.is_empty() || listed.as_ref() == Some(&hosts) {
            return;
        }
        *listed = Some(hosts.clone());
        let finder: OwnerLookup = Arc::new(move |customer, service| {
            let hosts: Vec<Host<'_>> =
                hosts.iter().map(|(name, domain)| Host { name, domain }).collect();
            placement::owners(customer, service, &hosts).into_iter().map(Arc::from).collect()
        });
        for part in &self.parts {
            part.gate.lock().set_owner_lookup(Arc::clone(&finder), now);
        }
    }

    /// Returns whether all shares under the host list in force are in use.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.parts.iter().all(|part| part.gate.lock().is_settled(now))
    }

    fn is_listed(&self) -> bool {
        self.listed.lock().is_some()
    }

    fn part(&self, customer: &str, service: &str) -> &Part {
        let part = self.hasher.hash_one((customer, service)) as usize % PARTS;
        &self.parts[part]
    }
}

/// Counts a request, waiting shortly for a loan if one was asked for.
///
/// # Errors
/// Gives the reason to refuse it.
pub async fn admit(
    shared: &Shared,
    customer: &str,
    service: &str,
    allowance: &Allowance,
) -> Result<(), Reason> {
    if !shared.allowances.is_listed() {
        return Err(Reason::HostsMissing);
    }
    let part = shared.allowances.part(customer, service);
    let mut patience = None;
    loop {
        let mut granted = std::pin::pin!(part.granted.notified());
        granted.as_mut().enable();
        let now = shared.clock.now();
        let (verdict, out) = {
            let mut gate = part.gate.lock();
            (gate.admit(customer, service, allowance, now), gate.drain())
        };
        send(shared, out);
        match verdict {
            Verdict::Admitted => return Ok(()),
            Verdict::Borrowing { until } if now < *patience.get_or_insert(until) => {}
            Verdict::Borrowing { .. } | Verdict::Refused { .. } => {
                return Err(Reason::OverAllowance);
            }
        }
        let until = shared.clock.instant(patience.unwrap_or(now));
        let _ = time::timeout_at(until, granted).await;
    }
}

/// Receives loan messages and tells the gates the time, until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut buffer = [0; MESSAGE_LIMIT_BYTES];
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            received = shared.loans.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&shared, &buffer[..length]),
                Err(error) => log::debug!("cannot receive a loan message: {error}"),
            },
            _ = ticks.tick() => {
                let now = shared.clock.now();
                for part in &shared.allowances.parts {
                    part.gate.lock().tick(now);
                }
            }
        }
    }
}

fn receive(shared: &Shared, bytes: &[u8]) {
    let view = shared.view.load();
    let loan = wire::Loan::decode(bytes).ok().filter(|loan| view.members.contains_key(&loan.from));
    let Some((loan, message)) = loan.and_then(|loan| loan::read(&loan).map(|read| (loan, read)))
    else {
        log::debug!("a loan message of {} bytes is not valid", bytes.len());
        return;
    };
    if let Some(stamp) = loan.stamp {
        let (wall_ms, logical) = (stamp.wall_ms, stamp.logical);
        shared.recorder.observe(citron::hlc::Stamp { wall_ms, logical });
    }
    let (customer, service) = loan::subject(&message);
    let allowance = view.policy.as_ref().and_then(|policy| policy.allowance(customer, service));
    let part = shared.allowances.part(customer, service);
    let (moved, out) = {
        let mut gate = part.gate.lock();
        let now = shared.clock.now();
        (gate.receive(&loan.from, &message, allowance, now), gate.drain())
    };
    send(shared, out);
    let taken = matches!(message, LoanMessage::Grant(_));
    if taken {
        part.granted.notify_waiters();
    }
    if moved {
        let (peer, customer, service) = (loan.from, customer.to_owned(), service.to_owned());
        note(shared, &loan::Loan { taken, peer, customer, service });
    }
}

/// Counts a loan, and records an event if it is not the renewal of one.
fn note(shared: &Shared, loan: &loan::Loan) {
    let (kind, direction) =
        if loan.taken { (Kind::LoanTaken, "taken") } else { (Kind::LoanMade, "made") };
    shared.metrics.loans.with_label_values(&[direction]).inc();
    if shared.allowances.begun.lock().note(loan.clone(), shared.clock.now()) {
        let fields = [("service", &*loan.service), ("peer", &*loan.peer)];
        shared.recorder.record(kind, &loan.customer, &fields);
    }
}

/// Sends messages to the proxies of their hosts; one that cannot be sent is lost.
fn send(shared: &Shared, messages: Vec<Outgoing>) {
    if messages.is_empty() {
        return;
    }
    let view = shared.view.load();
    for Outgoing { to, message } in messages {
        let address = view.members.get(&*to).and_then(|member| member.loans.parse().ok());
        let Some(address): Option<SocketAddr> = address else {
            log::debug!("the address of {to} for loans is not known");
            continue;
        };
        let stamp = shared.recorder.stamp();
        let loan = loan::write(&shared.settings.host, stamp, view.revision, &message);
        if let Err(error) = shared.loans.try_send_to(&loan.encode_to_vec(), address) {
            log::debug!("cannot send a loan message to {to}: {error}");
        }
    }
}
