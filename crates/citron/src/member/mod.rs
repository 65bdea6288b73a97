//! Membership of the entry hosts by random probes and gossip (after SWIM, Das et al., 2002, with
//! the local health of Lifeguard, Dadgar et al., 2017).
//!
//! Each member probes one other at a time, in random order and round by round. When a probe is not
//! acknowledged in time, it requests that several other members relay it. Relayed probes also show
//! in which direction a path fails, so that a member is not declared dead because of a cut in one
//! direction while others reach it. Updates are piggybacked on the probes, so that a member's
//! messages per second do not grow with the fleet.

mod message;
mod probe;
mod record;
mod table;

pub use self::{
    message::{Action, Body, Message, Origin},
    record::{Addresses, Member, Path, Record, State},
};

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use self::{probe::Probes, table::Peer};
use crate::dissemination::{self, UpdateBuffer};

/// Intervals and timeouts of probing and failure detection.
#[derive(Debug, Copy, Clone)]
pub struct Config {
    /// The interval between two probes that this member sends.
    pub probe_interval: Duration,
    /// How long to wait for a direct acknowledgement before relayed probes are requested.
    pub ack_timeout: Duration,
    /// How many members are asked to relay a probe.
    pub relay_count: usize,
    /// Probe intervals until a suspect is declared dead, per doubling of the number of members.
    pub suspicion_factor: u32,
    /// The interval between two pings to members that are dead or known only from the host list.
    pub reconcile_interval: Duration,
    /// How long a dead member that is not listed is kept.
    pub forget_after: Duration,
    /// How long an isolated member waits, since its own network may be at fault, before it declares
    /// others dead.
    pub isolation_grace: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(300),
            ack_timeout: Duration::from_millis(100),
            relay_count: 3,
            suspicion_factor: 2,
            reconcile_interval: Duration::from_secs(2),
            forget_after: Duration::from_secs(600),
            isolation_grace: Duration::from_secs(30),
        }
    }
}

/// The budget for records in one datagram, which leaves room for the rest under 1,400 bytes.
const RECORDS_BUDGET_BYTES: usize = 1000;
/// Capacity of the buffer of records that wait to be sent.
const UPDATES_CAPACITY: usize = 4096;
/// The worst local health score. Timeouts grow by at most this many times their base value.
const MAX_LOCAL_HEALTH_SCORE: u32 = 7;
/// Probe intervals without any datagram after which a member counts as isolated.
const ISOLATION_INTERVALS: u32 = 4;
/// Probe intervals between two ticks after which a member counts as paused.
const PAUSE_INTERVALS: u32 = 2;
/// How many hosts that a host list names for the first time are pinged at once.
const NEWLY_LISTED_PINGS: usize = 8;

/// The state machine of one member, with its view of all others.
#[derive(Debug, Clone)]
pub struct Membership {
    config: Config,
    rng: ChaCha8Rng,
    me: Record,
    peers: BTreeMap<String, Peer>,
    /// Configured gossip addresses, pinged for as long as no known member has that address.
    seeds: Vec<String>,
    updates: UpdateBuffer<Record>,
    probes: Probes,
    /// Local health as in Lifeguard: 0 is healthy; raised by failed probes and late timers.
    local_health_score: u32,
    last_tick: Duration,
    last_received: Duration,
    next_reconcile: Duration,
}

impl Membership {
    /// Creates the membership of a host that knows no other member yet.
    ///
    /// `me.incarnation` must exceed that of every earlier process of the host. The wall time in
    /// milliseconds meets this.
    pub fn open(
        me: Record,
        seeds: &[String],
        config: Config,
        rng: ChaCha8Rng,
        now: Duration,
    ) -> Self {
        assert!(me.state == State::Alive, "a new member must be alive");
        let mut membership = Self {
            config,
            rng,
            probes: Probes::open(me.incarnation, now),
            seeds: seeds.iter().filter(|seed| **seed != me.addresses.gossip).cloned().collect(),
            me,
            peers: BTreeMap::new(),
            updates: UpdateBuffer::new(UPDATES_CAPACITY),
            local_health_score: 0,
            last_tick: now,
            last_received: now,
            next_reconcile: now,
        };
        membership.queue_own_record();
        membership
    }

    /// Returns this host's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns all other hosts that are known, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns another host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.peers.get(host).map(|peer| &peer.member)
    }

    /// Returns the number of members that are not dead, this one included.
    pub fn live_count(&self) -> usize {
        1 + self.others().filter(|member| member.record.state != State::Dead).count()
    }

    /// Returns true if this member has received no datagram for several probe intervals though it
    /// knows others that are not dead.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let limit = self.config.probe_interval * ISOLATION_INTERVALS;
        self.live_count() > 1 && now.saturating_sub(self.last_received) > limit
    }

    /// Updates the addresses of this host's proxy and queues its record if they changed.
    pub fn set_addresses(&mut self, proxy: &str, loans: &str) {
        if self.me.addresses.proxy == proxy && self.me.addresses.loans == loans {
            return;
        }
        self.me.addresses.proxy = proxy.to_owned();
        self.me.addresses.loans = loans.to_owned();
        self.me.incarnation += 1;
        self.queue_own_record();
    }

    /// Sets the policy revision in force at this host's proxy, which is sent with this host's own
    /// datagrams. It never decreases.
    pub fn set_revision(&mut self, revision: u64) {
        self.me.revision = self.me.revision.max(revision);
    }

    /// Marks this host as leaving and sends that to some members at once.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.me.state != State::Leaving {
            self.me.state = State::Leaving;
            self.me.incarnation += 1;
            self.queue_own_record();
        }
        self.send_updates(self.config.relay_count)
    }

    /// Marks a leaving host as alive again and sends that to some members at once.
    pub fn cancel_leave(&mut self) -> Vec<Action> {
        if self.me.state != State::Leaving {
            return Vec::new();
        }
        self.me.state = State::Alive;
        self.me.incarnation += 1;
        self.queue_own_record();
        self.send_updates(self.config.relay_count)
    }

    /// Advances time: sends the probes that are due and declares overdue suspects dead.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        assert!(now >= self.last_tick, "time must not decrease");
        let elapsed = now - self.last_tick;
        self.last_tick = now;
        if elapsed > self.config.probe_interval * PAUSE_INTERVALS {
            self.compensate_for_pause(elapsed);
        }
        let mut actions = Vec::new();
        self.advance_probe(now, &mut actions);
        self.start_probe(now, &mut actions);
        self.reconcile(now, &mut actions);
        self.expire(now, &mut actions);
        self.check_invariants();
        actions
    }

    /// Handles a datagram.
    pub fn receive(&mut self, message: &Message, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if message.from == self.me.host {
            return actions;
        }
        if self.is_isolated(now) {
            self.renew_suspicions(now);
        }
        self.last_received = self.last_received.max(now);
        for record in &message.updates {
            self.apply(record, now, &mut actions);
            self.apply_revision(&message.from, record);
        }
        if let Some(body) = &message.body {
            self.handle_body(message, body, now, &mut actions);
        }
        self.check_invariants();
        actions
    }

    /// Merges the member table of another member.
    pub fn merge(&mut self, records: &[Record], now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for record in records {
            self.apply(record, now, &mut actions);
        }
        self.check_invariants();
        actions
    }

    /// Sends pending updates to up to `count` random members without probing them, the first in
    /// another failure domain if there is one.
    pub fn send_updates(&mut self, count: usize) -> Vec<Action> {
        let hosts = self.sample_peers(count, None);
        hosts.iter().filter_map(|host| self.message_to(host, None)).collect()
    }

    /// Picks up to `count` random members that are alive or leaving, the first in another failure
    /// domain if there is one.
    pub fn sample_peers(&mut self, count: usize, except: Option<&str>) -> Vec<String> {
        let mut hosts: Vec<&Record> = self
            .others()
            .map(|member| &member.record)
            .filter(|record| matches!(record.state, State::Alive | State::Leaving))
            .filter(|record| Some(record.host.as_str()) != except)
            .collect();
        let mut rng = self.rng.clone();
        hosts.shuffle(&mut rng);
        if let Some(index) = hosts.iter().position(|record| record.domain != self.me.domain) {
            hosts.swap(0, index);
        }
        let picked = hosts.iter().take(count).map(|record| record.host.clone()).collect();
        self.rng = rng;
        picked
    }

    /// Queues this host's own record for sending.
    fn queue_own_record(&mut self) {
        self.updates.put(&self.me.host, self.me.clone(), self.me.max_encoded_len());
    }

    /// Builds a datagram to a known host.
    fn message_to(&mut self, host: &str, body: Option<Body>) -> Option<Action> {
        let record = &self.peers.get(host)?.member.record;
        let to = record.addresses.gossip.clone();
        // A suspected receiver must learn of the suspicion to refute it.
        let about =
            (record.state >= State::Suspect && record.incarnation > 0).then(|| record.clone());
        Some(self.message(to, about, body))
    }

    fn message(&mut self, to: String, about: Option<Record>, body: Option<Body>) -> Action {
        let mut updates = vec![self.me.clone()];
        updates.extend(about);
        let limit = dissemination::transmit_limit(self.live_count());
        let used: usize = updates.iter().map(Record::max_encoded_len).sum();
        for record in self.updates.next_batch(RECORDS_BUDGET_BYTES.saturating_sub(used), limit) {
            if !updates.iter().any(|known| known.host == record.host) {
                updates.push(record);
            }
        }
        let message =
            Message { from: self.me.host.clone(), incarnation: self.me.incarnation, body, updates };
        Action::Send { to, message }
    }

    /// Moves this member's deadlines by the time that its process did not run, and worsens its
    /// local health.
    fn compensate_for_pause(&mut self, pause: Duration) {
        self.local_health_score = MAX_LOCAL_HEALTH_SCORE.min(self.local_health_score + 2);
        self.last_received += pause;
        self.probes.shift(pause);
        for peer in self.peers.values_mut() {
            if let Some(deadline) = &mut peer.suspicion_deadline {
                *deadline += pause;
            }
        }
    }

    fn worsen_local_health(&mut self) {
        self.local_health_score = MAX_LOCAL_HEALTH_SCORE.min(self.local_health_score + 1);
    }

    fn improve_local_health(&mut self) {
        self.local_health_score = self.local_health_score.saturating_sub(1);
    }

    /// Returns `now` plus the interval, with 10% jitter either way.
    fn jittered_deadline(&mut self, now: Duration, interval: Duration) -> Duration {
        now + interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn check_invariants(&self) {
        assert!(
            matches!(self.me.state, State::Alive | State::Leaving),
            "a member's own state must be alive or leaving"
        );
        assert!(!self.peers.contains_key(&self.me.host), "a member must not be its own peer");
        assert!(
            self.local_health_score <= MAX_LOCAL_HEALTH_SCORE,
            "the local health score must stay bounded"
        );
    }
}
