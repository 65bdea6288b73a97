//! Which directions are cut, for the relay and for each of its connections.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

/// Which directions are cut.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// Drops what clients send.
    pub to_server: bool,
    /// Drops what the server sends.
    pub to_client: bool,
    /// Cuts only the connections open now, for good; new ones work.
    pub existing_only: bool,
}

/// A direction of a connection.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum Direction {
    ToServer,
    ToClient,
}

/// Cuts in force.
#[derive(Debug, Default)]
pub(super) struct Switch {
    all: Flags,
    delay_ms: AtomicU64,
    /// The bytes a second of all streams together, 0 if they are not limited.
    rate: AtomicU64,
    /// The bytes of all streams that were to be passed on so far.
    passed: AtomicU64,
    /// When the link has passed on what it was given.
    free_at: Mutex<Option<Instant>>,
    resets: Notify,
    flows: Mutex<Vec<Weak<Flow>>>,
}

/// A TCP connection, or the datagrams of one UDP client.
#[derive(Debug)]
pub(super) struct Flow {
    switch: Arc<Switch>,
    silent: Flags,
}

#[derive(Debug, Default)]
struct Flags {
    to_server: AtomicBool,
    to_client: AtomicBool,
}

impl Flags {
    fn of(&self, direction: Direction) -> &AtomicBool {
        match direction {
            Direction::ToServer => &self.to_server,
            Direction::ToClient => &self.to_client,
        }
    }

    fn get(&self, direction: Direction) -> bool {
        self.of(direction).load(Ordering::SeqCst)
    }

    fn raise(&self, direction: Direction) {
        self.of(direction).store(true, Ordering::SeqCst);
    }
}

impl Switch {
    /// Puts a cut in force.
    pub(super) fn set(&self, cut: Cut) {
        if !cut.existing_only {
            self.all.to_server.store(cut.to_server, Ordering::SeqCst);
            self.all.to_client.store(cut.to_client, Ordering::SeqCst);
            return;
        }
        for flow in self.flows.lock().iter().filter_map(Weak::upgrade) {
            if cut.to_server {
                flow.silent.raise(Direction::ToServer);
            }
            if cut.to_client {
                flow.silent.raise(Direction::ToClient);
            }
        }
    }

    /// Sets how long each part of a stream is held back.
    pub(super) fn delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets how many bytes a second all streams pass together, 0 for no limit.
    pub(super) fn limit_rate(&self, bytes_per_s: u64) {
        self.rate.store(bytes_per_s, Ordering::SeqCst);
    }

    /// Returns how many bytes of all streams came so far.
    pub(super) fn passed(&self) -> u64 {
        self.passed.load(Ordering::SeqCst)
    }

    /// Returns when the link has passed on `bytes` more.
    fn pass_at(&self, bytes: usize) -> Instant {
        self.passed.fetch_add(bytes as u64, Ordering::SeqCst);
        let now = Instant::now();
        let rate = self.rate.load(Ordering::SeqCst);
        if rate == 0 {
            return now;
        }
        let mut free_at = self.free_at.lock();
        let begin = free_at.map_or(now, |at| at.max(now));
        let end = begin + Duration::from_secs_f64(bytes as f64 / rate as f64);
        *free_at = Some(end);
        end
    }

    /// Resets the connections that are open now.
    pub(super) fn reset(&self) {
        self.resets.notify_waiters();
    }

    /// Adds a connection.
    pub(super) fn open(self: &Arc<Self>) -> Arc<Flow> {
        let flow = Arc::new(Flow { switch: self.clone(), silent: Flags::default() });
        let mut flows = self.flows.lock();
        flows.retain(|flow| flow.strong_count() > 0);
        flows.push(Arc::downgrade(&flow));
        flow
    }
}

impl Flow {
    /// Returns until when a part of the stream of this length is to be held back.
    pub(super) fn hold_until(&self, bytes: usize) -> Instant {
        let delay = Duration::from_millis(self.switch.delay_ms.load(Ordering::SeqCst));
        self.switch.pass_at(bytes).max(Instant::now() + delay)
    }

    /// Waits until the connection is to be reset.
    pub(super) async fn reset(&self) {
        self.switch.resets.notified().await;
    }

    /// Returns true if a datagram in this direction is dropped.
    pub(super) fn is_cut(&self, direction: Direction) -> bool {
        self.switch.all.get(direction) || self.silent.get(direction)
    }

    /// Returns true if bytes of a stream in this direction are dropped. Once bytes are dropped the
    /// direction stays silent for good: a stream never passes with a hole in it.
    pub(super) fn drops_stream(&self, direction: Direction) -> bool {
        let cut = self.is_cut(direction);
        if cut {
            self.silent.raise(direction);
        }
        cut
    }
}
