//! The customers' quotas: takes a token for each request of a customer that has one, from this host's
//! own bucket or from another owner of the quota.

pub mod exchange;
pub mod members;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use citron::{
    customer::{Customer, Quota},
    gateways::Gateways,
    quota::{Asks, Bucket, Candidate, Ineligible, Member, Membership, OWNERS_MAX, Share, Standing},
    route::Table,
};
use parking_lot::Mutex;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};
use tokio::sync::Notify;

use self::exchange::{Exchange, Token};
use crate::{peer::message::QuotaMessage, shared::Shared};

/// The number of customers that metrics name, those with the highest rates.
const NAMED_CUSTOMERS: usize = 20;
/// The label of all other customers.
const OTHER: &str = "other";

/// Why a request gets no token.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denied {
    /// No owner has a token; the first one has its next token after this time.
    QuotaExceeded(Duration),
    /// No owner answered, or none may grant now.
    QuotaUnreachable,
}

/// What is counted about tokens.
#[derive(Debug, Copy, Clone, Eq, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Event {
    /// This host took a token of its own bucket.
    Taken,
    /// This host asked an owner.
    Asked,
    /// An owner granted a token to this host.
    Received,
    /// This host granted a token to another.
    Granted,
    /// This host had no token for another.
    Denied,
    /// This host may not grant.
    Ineligible,
    /// This host returned a token that was not used.
    Returned,
    /// This host took back a token that it had granted.
    TakenBack,
}

/// The right to run one request. Dropping it returns its token, unless a target may have run the
/// request.
#[derive(Debug, Default)]
pub struct Pass(Option<Token>);

impl Pass {
    /// Records that an attempt is sent, which may run from now on.
    pub fn record_sent(&self) {
        self.0.iter().for_each(Token::record_sent);
    }

    /// Records that an attempt that was sent has not run and never will.
    pub fn record_not_run(&self) {
        self.0.iter().for_each(Token::record_not_run);
    }
}

/// The quotas at this host.
#[derive(Debug)]
pub struct Quotas {
    state: Mutex<State>,
    exchange: Exchange,
    /// Wakes the task that reads the list of members when a peer waits for a newer one.
    pub list_awaited: Notify,
}

impl Quotas {
    /// Creates the quotas of a host that has not registered yet; `is_first_start` is whether the whole
    /// system starts for the first time.
    pub fn new(is_first_start: bool) -> Self {
        let membership = Membership::new(is_first_start);
        let state = State { membership, ..State::default() };
        Self {
            state: Mutex::new(state),
            exchange: Exchange::default(),
            list_awaited: Notify::new(),
        }
    }

    /// Returns the next message to send and its receiver, `None` once there will be none.
    pub async fn next_message(&self) -> Option<(SocketAddr, QuotaMessage)> {
        self.exchange.outbox.next().await
    }
}

#[derive(Debug, Default)]
struct State {
    membership: Membership,
    /// Whether nobody can have granted tokens of this host's parts before it.
    starts_full: bool,
    /// Since when this process may grant, zero if its host was active before it.
    owned_since: Duration,
    buckets: HashMap<Arc<str>, Bucket>,
    asks: HashMap<Arc<str>, Asks>,
    /// The customers that metrics name, and the version of the routes that they are from.
    named: (u64, HashSet<Arc<str>>),
}

impl State {
    fn bucket(&mut self, customer: &Arc<str>, share: Share) -> &mut Bucket {
        let (starts_full, owned_since) = (self.starts_full, self.owned_since);
        let create = || match starts_full {
            true => Bucket::full(share),
            false => Bucket::new(share, owned_since),
        };
        self.buckets.entry(Arc::clone(customer)).or_insert_with(create)
    }

    fn asks(&mut self, customer: &Arc<str>) -> &mut Asks {
        self.asks.entry(Arc::clone(customer)).or_default()
    }
}

/// The owners of one customer's quota that may be asked.
struct Choice {
    others: SmallVec<[Other; OWNERS_MAX]>,
    /// This host's part, if it is an owner.
    own: Option<Share>,
}

/// An owner that is another host.
struct Other {
    member: Member,
    is_near: bool,
    is_live: bool,
}

impl Choice {
    fn find(shared: &Shared, customer: &str, quota: &Quota) -> Self {
        let settings = shared.settings();
        let (members, own) = {
            let state = &mut *shared.quotas.state.lock();
            let own = state.membership.owners().share_of(&settings.host, customer, quota);
            let owners = state.membership.owners().of(customer, quota);
            let others = owners.into_iter().filter(|member| *member.host != *settings.host);
            (others.cloned().collect::<SmallVec<[Member; OWNERS_MAX]>>(), own)
        };
        let now = shared.clock.now();
        let gateways = shared.gateways.lock();
        let other = |member: Member| Other {
            is_near: *member.domain == *settings.domain,
            is_live: is_ready_to_grant(&gateways, &member, now),
            member,
        };
        Self { others: members.into_iter().map(other).collect(), own }
    }

    fn candidates(&self) -> SmallVec<[Candidate<'_>; OWNERS_MAX]> {
        let candidates = self.others.iter().map(|other| Candidate {
            host: &other.member.host,
            is_near: other.is_near,
            is_live: other.is_live,
        });
        candidates.collect()
    }
}

/// Returns true if a member is alive and known to be active, in the list or by a later report.
fn is_ready_to_grant(gateways: &Gateways, member: &Member, now: Duration) -> bool {
    let is_active = member.standing == Standing::Active
        || gateways.report(&member.host).is_some_and(|report| report.members.granting.is_some());
    is_active && gateways.has_reported(&member.host, now)
}

/// Takes a token for a request of a customer, if it has a quota.
///
/// # Errors
/// Fails with the reason if the request must not run.
pub async fn admit(shared: &Arc<Shared>, customer: &Customer) -> Result<Pass, Denied> {
    let Some(quota) = &customer.quota else { return Ok(Pass::default()) };
    let taken = take(shared, &customer.name, quota).await;
    let outcome = taken.as_ref().map_or_else(|denied| denied.into(), |_| "admitted");
    let label = label(shared, &customer.name);
    shared.metrics.customer_requests.with_label_values(&[&*label, outcome]).inc();
    taken.map(|token| Pass(Some(token)))
}

async fn take(shared: &Arc<Shared>, customer: &Arc<str>, quota: &Quota) -> Result<Token, Denied> {
    let choice = Choice::find(shared, customer, quota);
    let own_next_at = match choice.own.map(|share| take_own(shared, customer, &share)) {
        Some(Ok(token)) => return Ok(token),
        Some(Err(next_at)) => next_at,
        None => None,
    };
    if let Some(token) = exchange::ask(shared, customer, &choice, own_next_at.is_some()).await {
        return Ok(token);
    }
    let now = shared.clock.now();
    let candidates = choice.candidates();
    let asked_next_at = shared.quotas.state.lock().asks(customer).next_token_at(&candidates, now);
    match own_next_at.into_iter().chain(asked_next_at).min() {
        Some(at) => Err(Denied::QuotaExceeded(at.saturating_sub(now))),
        None => Err(Denied::QuotaUnreachable),
    }
}

/// Takes a token of this host's own bucket.
///
/// # Errors
/// Fails with the time of the next token, or with none if this host may not grant.
fn take_own(
    shared: &Arc<Shared>,
    customer: &Arc<str>,
    share: &Share,
) -> Result<Token, Option<Duration>> {
    check_eligibility(shared).map_err(|_| None)?;
    let now = shared.clock.now();
    let ticket = shared.quotas.state.lock().bucket(customer, *share).take(share, now);
    let ticket = ticket.map_err(Some)?;
    count(shared, Event::Taken);
    Ok(Token::own(shared, customer, ticket))
}

/// Decides whether this host may grant tokens.
fn check_eligibility(shared: &Shared) -> Result<(), Ineligible> {
    let others_in_contact = others_in_contact(shared);
    let now = time_with_suspension(shared);
    shared.quotas.state.lock().membership.check(others_in_contact, now)
}

/// Returns true if a live peer reports contact with the store.
fn others_in_contact(shared: &Shared) -> bool {
    shared.gateways.lock().store_contacts(shared.clock.now()).next().is_some()
}

/// Returns the time since the process's start, that in which the host was suspended included.
fn time_with_suspension(shared: &Shared) -> Duration {
    shared.clock.now() + shared.clock.suspended()
}

/// Returns true if the configuration has customers with quotas.
pub fn is_enabled(table: &Table) -> bool {
    table.customers.as_ref().is_some_and(|list| list.iter().any(|c| c.quota.is_some()))
}

/// Records that the process runs, and forgets customers that have no quota any more. Tokens that they
/// spent are remembered until they would have earned them back, as a customer may return.
pub fn sweep(shared: &Shared) {
    let now = shared.clock.now();
    let state = &mut *shared.quotas.state.lock();
    state.membership.tick(time_with_suspension(shared));
    let Some(table) =
        shared.routes().filter(|_| !state.asks.is_empty() || !state.buckets.is_empty())
    else {
        return;
    };
    let has_quota = |customer: &str| quota_of(&table, customer).is_some();
    state.membership.owners().retain(has_quota);
    state.asks.retain(|customer, _| has_quota(customer));
    state.buckets.retain(|customer, bucket| has_quota(customer) || !bucket.is_full(now));
}

fn quota_of<'a>(table: &'a Table, customer: &str) -> Option<(&'a Arc<Customer>, &'a Quota)> {
    let customer = table.customers.as_ref()?.get(customer)?;
    Some((customer, customer.quota.as_ref()?))
}

/// Returns the label of a customer in metrics.
fn label(shared: &Shared, customer: &Arc<str>) -> Arc<str> {
    let Some(table) = shared.routes() else { return Arc::from(OTHER) };
    let state = &mut *shared.quotas.state.lock();
    if state.named.0 != table.version {
        state.named = (table.version, named_customers(&table));
    }
    if state.named.1.contains(customer) { Arc::clone(customer) } else { Arc::from(OTHER) }
}

fn named_customers(table: &Table) -> HashSet<Arc<str>> {
    let all = table.customers.iter().flat_map(|list| list.iter());
    let mut rated: Vec<_> = all.filter_map(|c| Some((c.quota?.rate_per_s, &c.name))).collect();
    rated.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.cmp(y)));
    rated.into_iter().take(NAMED_CUSTOMERS).map(|(_, name)| Arc::clone(name)).collect()
}

fn count(shared: &Shared, event: Event) {
    let event: &str = event.into();
    shared.metrics.quota_tokens.with_label_values(&[event]).inc();
}
