//! The retry tokens that this gateway borrows.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use citron::attempt::{Asks, Loan};
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::{outbox::Outbox, peer::message::LoanMessage};

/// How many gateways are asked at once.
pub const LENDERS: usize = 2;

/// A loan with the address of its lender.
#[derive(Debug)]
pub struct Lent {
    /// The token.
    pub loan: Loan,
    /// Where the lender receives datagrams.
    pub lender: SocketAddr,
}

/// The answer of one gateway that was asked: a loan, or `None`.
pub type Answer = Option<Lent>;

/// An ask that waits for answers.
#[derive(Debug)]
pub struct Pending {
    /// The service whose budget is asked for.
    pub service: Arc<str>,
    /// When they were asked.
    pub asked_at: Duration,
    /// Those that were asked and have not answered.
    pub lenders: SmallVec<[SocketAddr; LENDERS]>,
    /// Takes the answers.
    pub answers: mpsc::Sender<Answer>,
}

/// What this gateway borrows, and the messages that it sends about loans.
#[derive(Debug, Default)]
pub struct Loans {
    /// The asks.
    pub state: Mutex<State>,
    /// The messages to send.
    pub outbox: Outbox<LoanMessage>,
}

/// The asks for tokens.
#[derive(Debug, Default)]
pub struct State {
    /// When each service may be asked for again.
    pub asks: HashMap<Arc<str>, Asks>,
    /// The asks that wait, by number.
    pub pending: HashMap<u64, Pending>,
    /// The number of the latest ask.
    pub last_ask: u64,
}
