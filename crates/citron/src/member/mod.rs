//! Membership of the entry hosts by random probes and gossip (after SWIM, Das et al., 2002, with
//! the local health of Lifeguard, Dadgar et al., 2017).
//!
//! Each member probes one other at a time, in random order and round by round, and asks several
//! others to probe it when it does not answer. Relayed probes also tell in which direction a
//! path fails, so that a cut in one direction kills no member that others hear. News rides on the
//! probes, so that a member's messages per second do not grow with the fleet.

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

/// How often members are probed and how long failures are waited for.
#[derive(Debug, Copy, Clone)]
pub struct Config {
    /// The time between two probes of this member.
    pub probe_interval: Duration,
    /// How long a direct answer is waited for before others are asked.
    pub ack_timeout: Duration,
    /// How many others are asked to probe.
    pub relay_count: usize,
    /// Probe intervals for each doubling of the members until a suspect is declared dead.
    pub suspicion_factor: u32,
    /// The time between two pings to members that are dead, or listed and not heard of.
    pub reconcile_interval: Duration,
    /// How long a dead member that is not listed is remembered.
    pub forget_after: Duration,
    /// How long a member that hears nobody doubts itself before it declares others dead.
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

/// Bytes of records in one datagram, which leaves room for the rest under 1,400 bytes.
const RECORDS_BUDGET_BYTES: usize = 1000;
/// Records that wait to be sent.
const UPDATES_CAPACITY: usize = 4096;
/// The worst local health; timeouts grow by this factor at most.
const MAX_LOCAL_HEALTH_SCORE: u32 = 7;
/// Probe intervals without any datagram after which a member counts as isolated.
const ISOLATION_INTERVALS: u32 = 4;
/// Probe intervals between two ticks after which a member counts as paused.
const PAUSE_INTERVALS: u32 = 2;
/// Pings sent at once to hosts that the list names for the first time.
const NEWLY_LISTED_PINGS: usize = 8;

/// The members as one of them sees them.
#[derive(Debug, Clone)]
pub struct Membership {
    config: Config,
    rng: ChaCha8Rng,
    me: Record,
    peers: BTreeMap<String, Peer>,
    /// Gossip addresses of the settings, asked while nobody else is known.
    seeds: Vec<String>,
    updates: UpdateBuffer<Record>,
    probes: Probes,
    /// 0 is healthy; raised by failed probes and late timers.
    local_health_score: u32,
    last_tick: Duration,
    last_received: Duration,
    next_reconcile: Duration,
}

impl Membership {
    /// Opens the membership of a host that knows nobody yet.
    ///
    /// `me.incarnation` must exceed that of every earlier process of the host; the wall time in
    /// milliseconds does.
    pub fn open(
        me: Record,
        seeds: &[String],
        config: Config,
        rng: ChaCha8Rng,
        now: Duration,
    ) -> Self {
        assert!(me.state == State::Alive, "a member starts alive");
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

    /// Returns true if this member has heard nobody for a while though it knows others.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let limit = self.config.probe_interval * ISOLATION_INTERVALS;
        self.live_count() > 1 && now.saturating_sub(self.last_received) > limit
    }

    /// Changes what this host says about itself and spreads it.
    pub fn set_addresses(&mut self, proxy: &str, loans: &str) {
        if self.me.addresses.proxy == proxy && self.me.addresses.loans == loans {
            return;
        }
        self.me.addresses.proxy = proxy.to_owned();
        self.me.addresses.loans = loans.to_owned();
        self.me.incarnation += 1;
        self.queue_own_record();
    }

    /// Takes the policy revision in force at this host's proxy; told with its own datagrams.
    pub fn set_revision(&mut self, revision: u64) {
        self.me.revision = self.me.revision.max(revision);
    }

    /// Says that this host leaves, and tells some members at once.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.me.state != State::Leaving {
            self.me.state = State::Leaving;
            self.me.incarnation += 1;
            self.queue_own_record();
        }
        self.send_updates(self.config.relay_count)
    }

    /// Takes back that this host leaves, and tells some members at once.
    pub fn cancel_leave(&mut self) -> Vec<Action> {
        if self.me.state != State::Leaving {
            return Vec::new();
        }
        self.me.state = State::Alive;
        self.me.incarnation += 1;
        self.queue_own_record();
        self.send_updates(self.config.relay_count)
    }

    /// Advances time: sends the probes that are due and declares suspects dead.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        assert!(now >= self.last_tick, "time must not go back");
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

    /// Takes in a datagram.
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

    /// Takes in the table of another member.
    pub fn merge(&mut self, records: &[Record], now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for record in records {
            self.apply(record, now, &mut actions);
        }
        self.check_invariants();
        actions
    }

    /// Sends news to up to `count` random members without probing them, the first in another
    /// failure domain if there is one.
    pub fn send_updates(&mut self, count: usize) -> Vec<Action> {
        let hosts = self.sample_peers(count, None);
        hosts.iter().filter_map(|host| self.message_to(host, None)).collect()
    }

    /// Picks up to `count` random live members, the first in another failure domain if there is one.
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

    /// Puts this host's record among the news.
    fn queue_own_record(&mut self) {
        self.updates.put(&self.me.host, self.me.clone(), self.me.max_encoded_len());
    }

    /// Builds a datagram to a known host.
    fn message_to(&mut self, host: &str, body: Option<Body>) -> Option<Action> {
        let record = &self.peers.get(host)?.member.record;
        let to = record.addresses.gossip.clone();
        // The receiver must learn that it is suspected, to refute it.
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

    /// Shifts what this member waits for by the time that it did not run.
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

    /// Returns a jittered time after `now`.
    fn jittered_deadline(&mut self, now: Duration, interval: Duration) -> Duration {
        now + interval.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn check_invariants(&self) {
        assert!(
            matches!(self.me.state, State::Alive | State::Leaving),
            "a member must not believe itself to have failed"
        );
        assert!(!self.peers.contains_key(&self.me.host), "a member must not be its own peer");
        assert!(
            self.local_health_score <= MAX_LOCAL_HEALTH_SCORE,
            "local health must stay bounded"
        );
    }
}
