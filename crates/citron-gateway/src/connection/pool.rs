//! Idle connections to targets, kept for their next request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::Instant;

use super::Channel;

/// The most idle connections that are kept for one target.
const IDLE_LIMIT: usize = 4;
/// Share of the time that a target promises to keep an idle connection.
const PROMISE_SHARE: f64 = 0.6;

/// A target's identity and the start of its lifetime.
type Lifetime = (Arc<str>, u64);

/// Idle connections by target lifetime.
#[derive(Debug)]
pub struct Pool {
    keep: Duration,
    idle: Mutex<HashMap<Lifetime, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Creates a pool that keeps connections for `keep` where a target promises nothing.
    pub fn new(keep: Duration) -> Self {
        Self { keep, idle: Mutex::default() }
    }

    /// Takes the connection that was used last, if it is open and idle for at most `idle_limit`.
    pub async fn take(&self, id: &Arc<str>, born_ms: u64, idle_limit: Duration) -> Option<Channel> {
        loop {
            let mut idle = self.pop(id, born_ms)?;
            let now = Instant::now();
            if now > idle.until || now - idle.since > idle_limit {
                continue;
            }
            if idle.channel.is_idle().await {
                return Some(idle.channel);
            }
        }
    }

    /// Keeps a connection; `promised` is how long its target says that it keeps it open.
    pub fn put(&self, id: &Arc<str>, born_ms: u64, channel: Channel, promised: Option<Duration>) {
        let now = Instant::now();
        let keep = promised.map_or(self.keep, |time| time.mul_f64(PROMISE_SHARE).min(self.keep));
        let mut pools = self.idle.lock();
        let pool = pools.entry((Arc::clone(id), born_ms)).or_default();
        pool.retain(|idle| idle.until > now);
        if pool.len() < IDLE_LIMIT {
            pool.push(Idle { channel, since: now, until: now + keep });
        }
    }

    /// Closes the connections whose time is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, pool| {
            pool.retain(|idle| idle.until > now);
            !pool.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    fn pop(&self, id: &Arc<str>, born_ms: u64) -> Option<Idle> {
        self.idle.lock().get_mut(&(Arc::clone(id), born_ms))?.pop()
    }
}
