//! Loan messages under loss, repetition, reordering and one-way cuts.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use citron::limit::{LoanMessage, Outgoing};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Faults;

/// A message under way.
#[derive(Debug, Clone)]
pub struct Letter {
    pub from: Arc<str>,
    pub to: Arc<str>,
    pub message: LoanMessage,
}

/// Delivers messages in the order of their arrival.
#[derive(Debug, Default)]
pub struct Network {
    letters: Vec<Letter>,
    due: BinaryHeap<Reverse<(Duration, usize)>>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub cuts: BTreeSet<(Arc<str>, Arc<str>)>,
}

impl Network {
    pub fn send(
        &mut self,
        from: &Arc<str>,
        out: Outgoing,
        faults: &Faults,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        let letter = Letter { from: Arc::clone(from), to: out.to, message: out.message };
        let cut = self.cuts.contains(&(Arc::clone(&letter.from), Arc::clone(&letter.to)));
        if cut || rng.random_bool(faults.loss) {
            return;
        }
        let copies = if faults.repeats && rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let late = faults.repeats && rng.random_bool(0.1);
            let delay_us = if late { rng.random_range(0..4_000_000) } else { 600 };
            let at = now + Duration::from_micros(delay_us);
            self.keep(letter.clone(), at);
        }
    }

    /// Keeps a message until a time.
    pub fn keep(&mut self, letter: Letter, until: Duration) {
        self.due.push(Reverse((until, self.letters.len())));
        self.letters.push(letter);
    }

    pub fn receive(&mut self, now: Duration) -> Option<Letter> {
        let Reverse((at, index)) = *self.due.peek()?;
        if at > now {
            return None;
        }
        self.due.pop();
        Some(self.letters[index].clone())
    }
}
