//! Enforces the customers' allowances over the whole fleet.

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

/// Accounts are spread over this many separately locked shards.
const SHARD_COUNT: usize = 16;
/// How often the rate limiters are ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The largest loan message, bytes.
const MESSAGE_LIMIT_BYTES: usize = 1024;

/// The allowance accounts of all customers, in separately locked shards.
pub struct Allowances {
    hasher: RandomState,
    shards: Vec<Shard>,
    /// The hosts of the current host list, with their failure domains.
    listed_hosts: Mutex<Option<Vec<(String, String)>>>,
    active_loans: Mutex<loan::ActiveLoans>,
}

struct Shard {
    limiter: Mutex<RateLimiter>,
    /// Wakes the requests that wait for a loan.
    loan_granted: Notify,
}

impl Allowances {
    /// Creates the accounts of a process that has just started.
    pub fn open(host: &str, handover: Duration, now: Duration) -> Self {
        let shard = || Shard {
            limiter: Mutex::new(RateLimiter::new(host, rand::random(), handover, now)),
            loan_granted: Notify::new(),
        };
        let shards = (0..SHARD_COUNT).map(|_| shard()).collect();
        Self {
            hasher: RandomState::new(),
            shards,
            listed_hosts: Mutex::default(),
            active_loans: Mutex::default(),
        }
    }

    /// Switches to the entry hosts that the platform lists.
    pub fn set_members(&self, members: &BTreeMap<String, wire::Member>, now: Duration) {
        let hosts: Vec<(String, String)> = members
            .values()
            .filter(|member| member.listed)
            .map(|member| (member.host.clone(), member.domain.clone()))
            .collect();
        let mut listed_hosts = self.listed_hosts.lock();
        // Without a list, the last known one stays in force.
        if hosts.is_empty() || listed_hosts.as_ref() == Some(&hosts) {
            return;
        }
        *listed_hosts = Some(hosts.clone());
        let owner_lookup: OwnerLookup = Arc::new(move |customer, service| {
            let hosts: Vec<Host<'_>> =
                hosts.iter().map(|(name, domain)| Host { name, domain }).collect();
            placement::owners(customer, service, &hosts).into_iter().map(Arc::from).collect()
        });
        for shard in &self.shards {
            shard.limiter.lock().set_owner_lookup(Arc::clone(&owner_lookup), now);
        }
    }

    /// Returns whether all shares under the current host list are in use.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.shards.iter().all(|shard| shard.limiter.lock().is_settled(now))
    }

    fn has_host_list(&self) -> bool {
        self.listed_hosts.lock().is_some()
    }

    fn shard(&self, customer: &str, service: &str) -> &Shard {
        let shard = self.hasher.hash_one((customer, service)) as usize % SHARD_COUNT;
        &self.shards[shard]
    }
}

/// Charges a request to the customer's account. If a loan was requested, waits for it until the
/// request for the loan times out.
///
/// # Errors
/// Returns the reason if the request must be refused.
pub async fn admit(
    shared: &Shared,
    customer: &str,
    service: &str,
    allowance: &Allowance,
) -> Result<(), Reason> {
    if !shared.allowances.has_host_list() {
        return Err(Reason::HostsMissing);
    }
    let shard = shared.allowances.shard(customer, service);
    let mut loan_deadline = None;
    loop {
        let mut granted = std::pin::pin!(shard.loan_granted.notified());
        granted.as_mut().enable();
        let now = shared.clock.now();
        let (verdict, out) = {
            let mut limiter = shard.limiter.lock();
            (limiter.admit(customer, service, allowance, now), limiter.drain())
        };
        send(shared, out);
        match verdict {
            Verdict::Admitted => return Ok(()),
            Verdict::Borrowing { until } if now < *loan_deadline.get_or_insert(until) => {}
            Verdict::Borrowing { .. } | Verdict::Refused { .. } => {
                return Err(Reason::OverAllowance);
            }
        }
        let until = shared.clock.instant(loan_deadline.unwrap_or(now));
        let _ = time::timeout_at(until, granted).await;
    }
}

/// Receives loan messages and ticks the rate limiters. Never returns.
pub async fn run(shared: Arc<Shared>) {
    let mut buffer = [0; MESSAGE_LIMIT_BYTES];
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            received = shared.loan_socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&shared, &buffer[..length]),
                Err(error) => log::debug!("cannot receive a loan message: {error}"),
            },
            _ = ticks.tick() => {
                let now = shared.clock.now();
                for shard in &shared.allowances.shards {
                    shard.limiter.lock().tick(now);
                }
            }
        }
    }
}

fn receive(shared: &Shared, bytes: &[u8]) {
    let view = shared.view.load();
    let loan = wire::Loan::decode(bytes).ok().filter(|loan| view.members.contains_key(&loan.from));
    let Some((loan, message)) =
        loan.and_then(|loan| loan::from_wire(&loan).map(|message| (loan, message)))
    else {
        log::debug!("ignored an invalid loan message of {} bytes", bytes.len());
        return;
    };
    if let Some(stamp) = loan.stamp {
        let (wall_ms, logical) = (stamp.wall_ms, stamp.logical);
        shared.recorder.observe(citron::hlc::Stamp { wall_ms, logical });
    }
    let (customer, service) = loan::subject(&message);
    let allowance = view.policy.as_ref().and_then(|policy| policy.allowance(customer, service));
    let shard = shared.allowances.shard(customer, service);
    let (is_new_loan, out) = {
        let mut limiter = shard.limiter.lock();
        let now = shared.clock.now();
        (limiter.receive(&loan.from, &message, allowance, now), limiter.drain())
    };
    send(shared, out);
    let borrowed = matches!(message, LoanMessage::Grant(_));
    if borrowed {
        shard.loan_granted.notify_waiters();
    }
    if is_new_loan {
        let (peer, customer, service) = (loan.from, customer.to_owned(), service.to_owned());
        record_loan(shared, &loan::Loan { borrowed, peer, customer, service });
    }
}

/// Counts a loan, and records an event unless it renews one that has not ended.
fn record_loan(shared: &Shared, loan: &loan::Loan) {
    let (kind, direction) =
        if loan.borrowed { (Kind::LoanTaken, "taken") } else { (Kind::LoanMade, "made") };
    shared.metrics.loans.with_label_values(&[direction]).inc();
    if shared.allowances.active_loans.lock().record(loan.clone(), shared.clock.now()) {
        let fields = [("service", &*loan.service), ("peer", &*loan.peer)];
        shared.recorder.record(kind, &loan.customer, &fields);
    }
}

/// Sends messages to the proxies of their hosts. A message that cannot be sent is dropped.
fn send(shared: &Shared, messages: Vec<Outgoing>) {
    if messages.is_empty() {
        return;
    }
    let view = shared.view.load();
    for Outgoing { to, message } in messages {
        let address = view.members.get(&*to).and_then(|member| member.loans.parse().ok());
        let Some(address): Option<SocketAddr> = address else {
            log::debug!("cannot send a loan message to {to}: no loan address known");
            continue;
        };
        let stamp = shared.recorder.stamp();
        let loan = loan::to_wire(&shared.settings.host, stamp, view.revision, &message);
        if let Err(error) = shared.loan_socket.try_send_to(&loan.encode_to_vec(), address) {
            log::debug!("cannot send a loan message to {to}: {error}");
        }
    }
}
