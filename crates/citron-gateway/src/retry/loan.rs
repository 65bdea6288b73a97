//! Retry tokens that gateways lend each other, as datagrams.
//!
//! A gateway without a token for a retry asks a few others, first in its own failure domain. The first
//! that grants one is the lender; a token that is not needed is returned at once. The lender counts a
//! lent token as a retry on its way until it is told that it arrived or was returned, or until it
//! cannot arrive any more, so that lost datagrams cost tokens and never create any.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::attempt::{Denial, Loan, LoanId, Ticket};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use super::Retry;
use crate::{
    loans::{LENDERS, Lent, Pending},
    peer::message::{LoanMessage, LoanStep},
    shared::Shared,
};

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// What became of a lent token.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum End {
    /// The retry has arrived at its target.
    Arrived,
    /// It was not used, and will not be.
    Returned,
}

/// What is counted about loans.
#[derive(Debug, Copy, Clone, Eq, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Event {
    /// This gateway asked others for a token.
    Asked,
    /// One of them lent it.
    Borrowed,
    /// This gateway lent a token.
    Lent,
    /// It had none to lend.
    Refused,
}

/// Why a message about a loan is ignored.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Ignored {
    /// Its sender is not known to be a host of the fleet.
    UnknownHost,
    /// It names a service without a route.
    UnknownService,
    /// It names an earlier process of this host.
    EarlierProcess,
    /// It is a grant that was not asked for, or not of this sender.
    NotAsked,
    /// Its step is not known to this version.
    UnknownStep,
}

/// Borrows a token for a retry, or returns `None` if none of those that were asked lends one.
pub async fn borrow(shared: &Arc<Shared>, service: &Arc<str>) -> Option<Retry> {
    let now = shared.clock.now();
    let may_ask = {
        let state = shared.loans.state.lock();
        state.asks.get(service).is_none_or(|asks| asks.may_ask(now))
    };
    if !may_ask {
        return None;
    }
    for near in [true, false] {
        let lenders = choose_lenders(shared, near, now);
        if let Some(lent) = ask(shared, service, lenders).await {
            count(shared, service, Event::Borrowed);
            return Some(Retry::lent(shared, service, lent));
        }
    }
    let mut state = shared.loans.state.lock();
    state.asks.entry(Arc::clone(service)).or_default().record_denial(shared.clock.now());
    None
}

fn choose_lenders(shared: &Shared, near: bool, now: Duration) -> SmallVec<[SocketAddr; LENDERS]> {
    let domain = shared.settings().domain.clone();
    let gateways = shared.gateways.lock();
    gateways.lenders(&domain, near, LENDERS, now, &mut rand::rng()).into_iter().collect()
}

/// Asks gateways for a token, and returns the first loan.
async fn ask(
    shared: &Arc<Shared>,
    service: &Arc<str>,
    lenders: SmallVec<[SocketAddr; LENDERS]>,
) -> Option<Lent> {
    if lenders.is_empty() {
        return None;
    }
    let (answers, mut answered) = mpsc::channel(LENDERS);
    let asked_at = shared.clock.now();
    let id = {
        let mut state = shared.loans.state.lock();
        state.last_ask += 1;
        let id = state.last_ask;
        let lenders = lenders.clone();
        let pending = Pending { service: Arc::clone(service), asked_at, lenders, answers };
        state.pending.insert(id, pending);
        id
    };
    let _guard = PendingGuard { shared, id };
    count(shared, service, Event::Asked);
    for lender in &lenders {
        let message = LoanMessage::ask(service, id);
        send(shared, *lender, message);
    }
    let until = Instant::now() + ANSWER_TIMEOUT;
    for _ in &lenders {
        if let Some(lent) = time::timeout_at(until, answered.recv()).await.ok()?? {
            return Some(lent);
        }
    }
    None
}

/// Ends an ask, also if its request ends while it waits.
struct PendingGuard<'a> {
    shared: &'a Arc<Shared>,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.shared.loans.state.lock().pending.remove(&self.id);
    }
}

/// Tells the lender what became of a token.
pub fn end(shared: &Shared, lent: &Lent, end: End) {
    let step = match end {
        End::Arrived => LoanStep::Arrived,
        End::Returned => LoanStep::Returned,
    };
    send(shared, lent.lender, LoanMessage::about(step, 0, &lent.loan.id));
}

/// Handles the messages about loans of one datagram.
pub fn handle(shared: &Arc<Shared>, messages: &[LoanMessage], host: &str, from: SocketAddr) {
    for message in messages {
        if let Err(reason) = handle_one(shared, message, host, from) {
            let reason: &str = reason.into();
            shared.metrics.loan_messages_ignored.with_label_values(&[reason]).inc();
            log::debug!("event=loan-message-ignored host={host} from={from} reason={reason}");
        }
    }
}

fn handle_one(
    shared: &Arc<Shared>,
    message: &LoanMessage,
    host: &str,
    from: SocketAddr,
) -> Result<(), Ignored> {
    if !shared.gateways.lock().is_member(host) {
        return Err(Ignored::UnknownHost);
    }
    match message.step() {
        LoanStep::Ask => lend(shared, message, from),
        LoanStep::Grant => accept(shared, message, from),
        LoanStep::Denial => {
            let state = shared.loans.state.lock();
            let pending = state.pending.get(&message.ask).ok_or(Ignored::NotAsked)?;
            // The receiver may have ended.
            let _ = pending.answers.try_send(None);
            Ok(())
        }
        LoanStep::Arrived => record_end(shared, message, End::Arrived),
        LoanStep::Returned => record_end(shared, message, End::Returned),
        LoanStep::Unknown => Err(Ignored::UnknownStep),
    }
}

/// Lends a token if there is one to spare, and answers.
fn lend(shared: &Shared, message: &LoanMessage, from: SocketAddr) -> Result<(), Ignored> {
    let routes = shared.routes().ok_or(Ignored::UnknownService)?;
    let known = routes.services.get_key_value(message.service.as_str());
    let (service, _) = known.ok_or(Ignored::UnknownService)?;
    let lent: Result<Ticket, Denial> = shared.budgets.lend(service, shared.clock.now());
    let answer = match lent {
        Ok(ticket) => {
            count(shared, service, Event::Lent);
            let lender_born_ms = shared.born_ms;
            let id = LoanId { service: Arc::clone(service), lender_born_ms, ticket };
            LoanMessage::about(LoanStep::Grant, message.ask, &id)
        }
        Err(denial) => {
            count(shared, service, Event::Refused);
            log::debug!("event=loan-refused service={service} to={from} reason={denial}");
            LoanMessage { step: LoanStep::Denial.into(), ..message.clone() }
        }
    };
    send(shared, from, answer);
    Ok(())
}

/// Accepts a loan that was asked for; returns one that is not needed any more.
fn accept(shared: &Shared, message: &LoanMessage, from: SocketAddr) -> Result<(), Ignored> {
    let ticket = Ticket(message.ticket);
    let lender_born_ms = message.lender_born_ms;
    let state = shared.loans.state.lock();
    let Some(pending) = state.pending.get(&message.ask) else {
        drop(state);
        let id = LoanId { service: Arc::from(message.service.as_str()), lender_born_ms, ticket };
        send(shared, from, LoanMessage::about(LoanStep::Returned, 0, &id));
        return Ok(());
    };
    if *pending.service != *message.service || !pending.lenders.contains(&from) {
        return Err(Ignored::NotAsked);
    }
    let id = LoanId { service: Arc::clone(&pending.service), lender_born_ms, ticket };
    let loan = Loan { id, asked_at: pending.asked_at };
    let unsent = pending.answers.try_send(Some(Lent { loan, lender: from }));
    drop(state);
    if let Err(unsent) = unsent
        && let Some(lent) = unsent.into_inner()
    {
        end(shared, &lent, End::Returned);
    }
    Ok(())
}

/// Records what became of a token that this gateway lent.
fn record_end(shared: &Shared, message: &LoanMessage, end: End) -> Result<(), Ignored> {
    if message.lender_born_ms != shared.born_ms {
        return Err(Ignored::EarlierProcess);
    }
    let ticket = Ticket(message.ticket);
    let now = shared.clock.now();
    shared.budgets.with_known(&message.service, |bucket| match end {
        End::Arrived => bucket.record_arrival(ticket, now),
        End::Returned => bucket.refund(ticket, now),
    });
    Ok(())
}

fn send(shared: &Shared, to: SocketAddr, message: LoanMessage) {
    if !shared.loans.outbox.push(to, message) {
        shared.metrics.datagrams_unsent.inc();
        log::debug!("event=loan-message-dropped to={to} reason=queue-full");
    }
}

fn count(shared: &Shared, service: &str, event: Event) {
    shared.metrics.retry_loans.with_label_values(&[service, event.into()]).inc();
}
