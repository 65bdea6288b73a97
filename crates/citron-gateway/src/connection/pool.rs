//! Idle connections to targets, kept for their next request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::Instant;

use super::Connection;

/// The maximum number of idle connections that are kept for one target.
const MAX_IDLE_PER_TARGET: usize = 4;
/// The share of a target's keep-alive timeout during which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// A target's id and the start time of its incarnation.
type Incarnation = (Arc<str>, u64);

/// Idle connections by incarnation of their target.
#[derive(Debug)]
pub struct Pool {
    idle_timeout: Duration,
    idle: Mutex<HashMap<Incarnation, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Creates a pool that keeps connections for `idle_timeout`, or for [`KEEP_ALIVE_SHARE`] of the
    /// target's keep-alive timeout if that is shorter.
    pub fn new(idle_timeout: Duration) -> Self {
        Self { idle_timeout, idle: Mutex::default() }
    }

    /// Takes the most recently used connection that is open and has been idle for at most
    /// `idle_limit`.
    pub async fn take(
        &self,
        id: &Arc<str>,
        born_ms: u64,
        idle_limit: Duration,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.pop(id, born_ms)?;
            let now = Instant::now();
            if now > idle.until || now - idle.since > idle_limit {
                continue;
            }
            if idle.connection.is_idle().await {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection; `advertised` is the keep-alive timeout that its target sent, if any.
    pub fn put(
        &self,
        id: &Arc<str>,
        born_ms: u64,
        connection: Connection,
        advertised: Option<Duration>,
    ) {
        let now = Instant::now();
        let keep = advertised.map_or(self.idle_timeout, |time| {
            time.mul_f64(KEEP_ALIVE_SHARE).min(self.idle_timeout)
        });
        let mut pools = self.idle.lock();
        let pool = pools.entry((Arc::clone(id), born_ms)).or_default();
        pool.retain(|idle| idle.until > now);
        if pool.len() < MAX_IDLE_PER_TARGET {
            pool.push(Idle { connection, since: now, until: now + keep });
        }
    }

    /// Closes the connections that have expired.
    pub fn remove_expired(&self) {
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
