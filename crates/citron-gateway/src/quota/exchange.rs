//! Tokens that owners grant to other gateways, as datagrams.
//!
//! A lost datagram costs a token and never creates one. A grant is handled once, as the return of a
//! token whose grant arrives a second time would let two requests run with one token.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citron::quota::{OWNERS_MAX, RETURN_TERM, Ticket};
use parking_lot::Mutex;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use super::{Choice, Event, check_eligibility, count, quota_of};
use crate::{
    outbox::Outbox,
    peer::message::{QuotaMessage, QuotaStep},
    shared::Shared,
};

/// How long an owner's answer is waited for before the next one is asked too.
const NEXT_ASK_DELAY: Duration = Duration::from_millis(30);
/// How long the answers of all owners are waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a grant that arrives once more is recognized. A later return has no effect at its owner.
const SEEN_TERM: Duration = RETURN_TERM.saturating_mul(2);

/// The asks of this host, and the messages that it sends about tokens.
#[derive(Debug, Default)]
pub struct Exchange {
    state: Mutex<State>,
    /// The messages to send.
    pub outbox: Outbox<QuotaMessage>,
}

#[derive(Debug, Default)]
struct State {
    pending: HashMap<u64, Pending>,
    last_ask: u64,
    seen: VecDeque<(Grant, Duration)>,
}

/// A grant of another host.
#[derive(Debug, Clone, Eq, PartialEq)]
struct Grant {
    /// The customer; the tickets of each have numbers of their own.
    customer: Arc<str>,
    owner: SocketAddr,
    /// When the owner's process started; an earlier one numbered its tickets alike.
    owner_born_ms: u64,
    ticket: Ticket,
}

/// An ask that waits for answers.
#[derive(Debug)]
struct Pending {
    customer: Arc<str>,
    owners: SmallVec<[SocketAddr; OWNERS_MAX]>,
    answers: mpsc::Sender<(SocketAddr, Answer)>,
}

#[derive(Debug)]
enum Answer {
    Granted(Token),
    /// It has no token until this time.
    Empty(Duration),
    /// It may not grant.
    Unable,
}

/// Why a message is ignored.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Ignored {
    /// Its sender is not known to be a host of the fleet.
    UnknownHost,
    /// It names an earlier process of this host.
    EarlierProcess,
    /// It is an answer that was not asked for, or not of this sender, or that comes too late.
    NotAsked,
    /// It is a grant that arrived before.
    Repeated,
    /// The token cannot be returned any more.
    TooLate,
    /// Its step is not known to this version.
    UnknownStep,
}

/// A token that was taken for a request. Dropping it returns it unless the request may have run.
#[derive(Debug)]
pub struct Token {
    shared: Arc<Shared>,
    customer: Arc<str>,
    ticket: Ticket,
    /// Who granted it, if not this host.
    grant: Option<Grant>,
    /// The number of attempts that may have run.
    sent: AtomicUsize,
}

impl Token {
    /// Creates a token of this host.
    pub(super) fn own(shared: &Arc<Shared>, customer: &Arc<str>, ticket: Ticket) -> Self {
        let (shared, customer) = (Arc::clone(shared), Arc::clone(customer));
        Self { shared, customer, ticket, grant: None, sent: AtomicUsize::new(0) }
    }

    /// Records that an attempt is sent.
    pub fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an attempt that was sent has not run and never will.
    pub fn record_not_run(&self) {
        self.sent.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if *self.sent.get_mut() > 0 {
            return;
        }
        count(&self.shared, Event::Returned);
        match &self.grant {
            Some(grant) => return_grant(&self.shared, &self.customer, grant),
            None => {
                take_back(&self.shared, &self.customer, self.ticket);
            }
        }
    }
}

/// Ends an ask, also if its request ends while it waits.
struct PendingGuard<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.shared.quotas.exchange.state.lock().pending.remove(&self.id);
    }
}

/// Asks the other owners for a token, one after the other; `own_empty` is whether this host is an
/// owner without a token. What they answer is remembered.
pub(super) async fn ask(
    shared: &Arc<Shared>,
    customer: &Arc<str>,
    choice: &Choice,
    own_empty: bool,
) -> Option<Token> {
    let mut some_empty = own_empty;
    let order = {
        let state = &mut *shared.quotas.state.lock();
        let candidates = choice.candidates();
        let asks = state.asks(customer);
        some_empty |= asks.next_token_at(&candidates, shared.clock.now()).is_some();
        asks.order(&candidates, own_empty, shared.clock.now(), &mut rand::rng())
    };
    if order.is_empty() {
        return None;
    }
    let (answers, mut answered) = mpsc::channel(OWNERS_MAX);
    let guard = begin(shared, customer, answers);
    let give_up_at = Instant::now() + ANSWER_TIMEOUT;
    let mut waiting = 0;
    let mut order = order.into_iter();
    loop {
        let next = order.next().map(|index| &choice.others[index]);
        if let Some(other) = next {
            guard.send(customer, other.member.address);
            waiting += 1;
        } else if waiting == 0 || some_empty {
            return None;
        }
        let until = match next {
            Some(_) => give_up_at.min(Instant::now() + NEXT_ASK_DELAY),
            None => give_up_at,
        };
        match time::timeout_at(until, answered.recv()).await {
            Ok(Some((_, Answer::Granted(token)))) => return Some(token),
            Ok(Some((_, answer))) => {
                waiting -= 1;
                some_empty |= matches!(answer, Answer::Empty(_));
            }
            Ok(None) => return None,
            Err(_) => match next {
                Some(other) => {
                    let now = shared.clock.now();
                    shared
                        .quotas
                        .state
                        .lock()
                        .asks(customer)
                        .record_silence(&other.member.host, now);
                }
                None => return None,
            },
        }
    }
}

fn begin<'a>(
    shared: &'a Arc<Shared>,
    customer: &Arc<str>,
    answers: mpsc::Sender<(SocketAddr, Answer)>,
) -> PendingGuard<'a> {
    let mut state = shared.quotas.exchange.state.lock();
    state.last_ask += 1;
    let id = state.last_ask;
    let owners = SmallVec::new();
    let pending = Pending { customer: Arc::clone(customer), owners, answers };
    state.pending.insert(id, pending);
    PendingGuard { shared, id }
}

impl PendingGuard<'_> {
    fn send(&self, customer: &str, owner: SocketAddr) {
        if let Some(pending) = self.shared.quotas.exchange.state.lock().pending.get_mut(&self.id) {
            pending.owners.push(owner);
        }
        count(self.shared, Event::Asked);
        send(self.shared, owner, QuotaMessage::ask(customer, self.id));
    }
}

/// Handles the messages about tokens of one datagram.
pub fn handle(shared: &Arc<Shared>, messages: &[QuotaMessage], host: &str, from: SocketAddr) {
    for message in messages {
        if let Err(reason) = handle_one(shared, message, host, from) {
            let reason: &str = reason.into();
            shared.metrics.quota_messages_ignored.with_label_values(&[reason]).inc();
            log::debug!("event=quota-message-ignored host={host} from={from} reason={reason}");
        }
    }
}

fn handle_one(
    shared: &Arc<Shared>,
    message: &QuotaMessage,
    host: &str,
    from: SocketAddr,
) -> Result<(), Ignored> {
    if !shared.gateways.lock().is_member(host) {
        return Err(Ignored::UnknownHost);
    }
    match message.step() {
        QuotaStep::Ask => {
            send(shared, from, grant(shared, message));
            Ok(())
        }
        QuotaStep::Grant => accept(shared, message, host, from),
        QuotaStep::Empty => {
            let until = shared.clock.now() + Duration::from_micros(message.wait_us);
            answer(shared, message, host, from, Answer::Empty(until))
        }
        QuotaStep::Unable => answer(shared, message, host, from, Answer::Unable),
        QuotaStep::Returned if message.owner_born_ms != shared.born_ms => {
            Err(Ignored::EarlierProcess)
        }
        QuotaStep::Returned => match take_back(shared, &message.customer, Ticket(message.ticket)) {
            true => Ok(()),
            false => Err(Ignored::TooLate),
        },
        QuotaStep::Unknown => Err(Ignored::UnknownStep),
    }
}

/// Grants a token if this host is an owner that has one, and returns the answer.
fn grant(shared: &Shared, message: &QuotaMessage) -> QuotaMessage {
    let answer = |step: QuotaStep| QuotaMessage { step: step.into(), ..message.clone() };
    let table = shared.routes();
    let known = table.as_ref().and_then(|table| quota_of(table, &message.customer));
    let eligibility = check_eligibility(shared);
    let (Some((customer, quota)), Ok(())) = (known, eligibility) else {
        count(shared, Event::Ineligible);
        log::debug!("event=quota-barred customer={} eligibility={eligibility:?}", message.customer);
        return answer(QuotaStep::Unable);
    };
    let now = shared.clock.now();
    let host = shared.settings().host.clone();
    let state = &mut *shared.quotas.state.lock();
    let Some(share) = state.membership.owners().share_of(&host, &customer.name, quota) else {
        count(shared, Event::Ineligible);
        return answer(QuotaStep::Unable);
    };
    match state.bucket(&customer.name, share).grant(&share, now) {
        Ok(Ticket(ticket)) => {
            count(shared, Event::Granted);
            let owner_born_ms = shared.born_ms;
            QuotaMessage { owner_born_ms, ticket, ..answer(QuotaStep::Grant) }
        }
        Err(at) => {
            count(shared, Event::Denied);
            let wait_us = at.saturating_sub(now).as_micros() as u64;
            QuotaMessage { wait_us, ..answer(QuotaStep::Empty) }
        }
    }
}

/// Accepts a token that was asked for; returns one that is not needed any more.
fn accept(
    shared: &Arc<Shared>,
    message: &QuotaMessage,
    host: &str,
    from: SocketAddr,
) -> Result<(), Ignored> {
    let ticket = Ticket(message.ticket);
    let customer: Arc<str> = Arc::from(message.customer.as_str());
    let grant = Grant {
        customer: Arc::clone(&customer),
        owner: from,
        owner_born_ms: message.owner_born_ms,
        ticket,
    };
    if !is_first(shared, &grant) {
        return Err(Ignored::Repeated);
    }
    let mut token = Token::own(shared, &customer, ticket);
    token.grant = Some(grant);
    // A token that cannot be delivered is dropped, which returns it.
    answer(shared, message, host, from, Answer::Granted(token))?;
    count(shared, Event::Received);
    Ok(())
}

/// Returns true if a grant arrives for the first time.
fn is_first(shared: &Shared, grant: &Grant) -> bool {
    let now = shared.clock.now();
    let seen = &mut shared.quotas.exchange.state.lock().seen;
    while seen.front().is_some_and(|(_, at)| now >= *at + SEEN_TERM) {
        seen.pop_front();
    }
    if seen.iter().any(|(other, _)| other == grant) {
        return false;
    }
    seen.push_back((grant.clone(), now));
    true
}

/// Records an answer and delivers it to the request that waits for it.
fn answer(
    shared: &Shared,
    message: &QuotaMessage,
    host: &str,
    from: SocketAddr,
    answer: Answer,
) -> Result<(), Ignored> {
    let (customer, answers) = {
        let mut state = shared.quotas.exchange.state.lock();
        let pending = state.pending.get_mut(&message.ask).ok_or(Ignored::NotAsked)?;
        let index = pending.owners.iter().position(|owner| *owner == from);
        let index = index.filter(|_| *pending.customer == *message.customer);
        // An answer that arrives once more is not counted again.
        pending.owners.swap_remove(index.ok_or(Ignored::NotAsked)?);
        (Arc::clone(&pending.customer), pending.answers.clone())
    };
    let now = shared.clock.now();
    {
        let mut state = shared.quotas.state.lock();
        let asks = state.asks(&customer);
        match &answer {
            Answer::Granted(_) => asks.record_grant(host),
            Answer::Empty(until) => asks.record_empty(host, *until),
            Answer::Unable => asks.record_silence(host, now),
        }
    }
    // The request may have ended; a token that it does not take is returned as it is dropped.
    answers.try_send((from, answer)).map_err(|_| Ignored::NotAsked)
}

/// Takes back a token that this host granted; returns false if that is not possible any more.
fn take_back(shared: &Shared, customer: &str, ticket: Ticket) -> bool {
    if !shared.settings().quota_bound.allows_returns_within(RETURN_TERM) {
        return false;
    }
    let now = shared.clock.now();
    let state = &mut *shared.quotas.state.lock();
    let bucket = state.buckets.get_mut(customer);
    let is_back = bucket.is_some_and(|bucket| bucket.take_back(ticket, now));
    if is_back {
        count(shared, Event::TakenBack);
    }
    is_back
}

fn return_grant(shared: &Shared, customer: &str, grant: &Grant) {
    let Grant { owner, owner_born_ms, ticket, .. } = *grant;
    let message = QuotaMessage {
        step: QuotaStep::Returned.into(),
        customer: customer.to_owned(),
        owner_born_ms,
        ticket: ticket.0,
        ..QuotaMessage::default()
    };
    send(shared, owner, message);
}

fn send(shared: &Shared, to: SocketAddr, message: QuotaMessage) {
    if !shared.quotas.exchange.outbox.push(to, message) {
        shared.metrics.datagrams_unsent.inc();
        log::debug!("event=quota-message-dropped to={to} reason=queue-full");
    }
}
