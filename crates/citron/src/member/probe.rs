//! Direct and relayed probes, and what their acknowledgements show about a path.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, seq::SliceRandom};

use super::{Action, Body, Membership, Message, Origin, Path, State};

/// How many probes one member relays at a time.
const RELAY_CAPACITY: usize = 256;
/// Probe intervals after which a relayed probe is dropped.
const RELAY_INTERVALS: u32 = 4;
/// Equal observations in a row after which a change of a path is accepted.
const PATH_OBSERVATIONS: u32 = 6;

/// The own probe in progress, those that this member relays, and the probing order.
#[derive(Debug, Clone)]
pub(super) struct Probes {
    sequence: u64,
    next_probe: Duration,
    /// The members still to probe in this round, the next one last.
    round: Vec<String>,
    /// Members whose path may have changed; every second probe goes to one of them.
    recheck: VecDeque<String>,
    /// Whether the last probe was one for which `recheck` takes precedence.
    recheck_turn: bool,
    current: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
}

#[derive(Debug, Clone)]
struct Probe {
    sequence: u64,
    subject: String,
    relay_at: Duration,
    deadline: Duration,
    relays_asked: bool,
    /// Whether an acknowledgement arrived directly.
    direct_ack: bool,
    /// Whether an acknowledgement arrived over another member.
    relayed_ack: bool,
    /// Whether the subject reported that it received this member's direct ping.
    direct_ping_received: bool,
}

/// A probe that this member relays.
#[derive(Debug, Clone)]
struct Relay {
    /// The member that requested it, and the sequence number of its probe.
    origin: String,
    sequence: u64,
    deadline: Duration,
}

impl Probes {
    pub(super) fn open(first_sequence: u64, now: Duration) -> Self {
        Self {
            sequence: first_sequence,
            next_probe: now,
            round: Vec::new(),
            recheck: VecDeque::new(),
            recheck_turn: false,
            current: None,
            relays: BTreeMap::new(),
        }
    }

    /// Moves the times of the own probes by `offset`; relayed probes keep their deadlines.
    pub(super) fn shift(&mut self, offset: Duration) {
        self.next_probe += offset;
        if let Some(probe) = &mut self.current {
            probe.relay_at += offset;
            probe.deadline += offset;
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Membership {
    /// Starts the next probe when it is due.
    pub(super) fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.probes.next_probe || self.probes.current.is_some() {
            return;
        }
        self.probes.next_probe = self.jittered_deadline(now, self.config.probe_interval);
        let Some(subject) = self.next_subject() else { return };
        let sequence = self.probes.next_sequence();
        let relay_at = now + self.config.ack_timeout * (1 + self.local_health_score);
        let deadline = relay_at
            .max(now + self.config.probe_interval * (1 + self.local_health_score))
            + self.config.ack_timeout;
        self.probes.current = Some(Probe {
            sequence,
            subject: subject.clone(),
            relay_at,
            deadline,
            relays_asked: false,
            direct_ack: false,
            relayed_ack: false,
            direct_ping_received: false,
        });
        let body = Body::Ping { sequence, origin: None };
        actions.extend(self.message_to(&subject, Some(body)));
    }

    /// Requests relayed probes when the direct acknowledgement is late, and ends the probe at its
    /// deadline.
    pub(super) fn advance_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.probes.relays.retain(|_, relay| relay.deadline > now);
        let Some(probe) = &mut self.probes.current else { return };
        if !probe.relays_asked && now >= probe.relay_at {
            probe.relays_asked = true;
            let (sequence, subject) = (probe.sequence, probe.subject.clone());
            for relay in self.sample_peers(self.config.relay_count, Some(&subject)) {
                let body = Body::PingRequest { sequence, subject: subject.clone() };
                actions.extend(self.message_to(&relay, Some(body)));
            }
        } else if now >= probe.deadline {
            self.end_probe(now, actions);
        }
    }

    fn end_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.probes.current.take() else { return };
        if probe.direct_ack || probe.relayed_ack {
            self.improve_local_health();
            let path = Path { inbound: probe.direct_ack, outbound: probe.direct_ping_received };
            self.observe_path(&probe.subject, path, actions);
            return;
        }
        let isolated = self.is_isolated(now);
        self.worsen_local_health();
        if !isolated {
            self.suspect(&probe.subject, now, actions);
        }
    }

    /// Pings a host that is dead or known only from the host list, outside of the probe rounds.
    pub(super) fn ping(&mut self, host: &str, actions: &mut Vec<Action>) {
        let sequence = self.probes.next_sequence();
        actions.extend(self.message_to(host, Some(Body::Ping { sequence, origin: None })));
    }

    /// Periodically pings a random dead host and the seeds that no known member has as its address,
    /// so that the sides of a healed partition merge again.
    pub(super) fn reconcile(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_reconcile {
            return;
        }
        self.next_reconcile = self.jittered_deadline(now, self.config.reconcile_interval);
        let known: Vec<&str> =
            self.others().map(|member| member.record.addresses.gossip.as_str()).collect();
        let seeds: Vec<String> =
            self.seeds.iter().filter(|seed| !known.contains(&seed.as_str())).cloned().collect();
        for to in seeds {
            let body = Body::Ping { sequence: self.probes.next_sequence(), origin: None };
            let action = self.message(to, None, Some(body));
            actions.push(action);
        }
        let dead: Vec<String> = self
            .others()
            .filter(|member| member.record.state == State::Dead)
            .map(|member| member.record.host.clone())
            .collect();
        if !dead.is_empty() {
            let index = self.rng.random_range(0..dead.len());
            self.ping(&dead[index], actions);
        }
    }

    /// Handles a probe or its acknowledgement.
    pub(super) fn handle_body(
        &mut self,
        message: &Message,
        body: &Body,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Body::Ping { sequence, origin } => {
                self.handle_ping(&message.from, *sequence, origin.as_ref(), actions);
            }
            Body::Ack { sequence, subject, direct_ping_received } => {
                self.handle_ack(&message.from, *sequence, subject, *direct_ping_received, actions);
            }
            Body::PingRequest { sequence, subject } => {
                self.relay_ping(&message.from, *sequence, subject, now, actions);
            }
        }
    }

    fn handle_ping(
        &mut self,
        from: &str,
        sequence: u64,
        origin: Option<&Origin>,
        actions: &mut Vec<Action>,
    ) {
        let subject = self.me.host.clone();
        let Some(origin) = origin else {
            if let Some(peer) = self.peers.get_mut(from) {
                peer.last_direct_ping = peer.last_direct_ping.max(sequence);
            }
            let body = Body::Ack { sequence, subject, direct_ping_received: true };
            actions.extend(self.message_to(from, Some(body)));
            return;
        };
        let direct_ping_received = self
            .peers
            .get(&origin.host)
            .is_some_and(|peer| peer.last_direct_ping >= origin.sequence);
        let body = Body::Ack { sequence, subject: subject.clone(), direct_ping_received };
        actions.extend(self.message_to(from, Some(body)));
        // Acknowledging to the origin directly as well shows it whether the path from this member
        // works.
        let body = Body::Ack { sequence: origin.sequence, subject, direct_ping_received };
        let action = self.message(origin.gossip.clone(), None, Some(body));
        actions.push(action);
    }

    fn handle_ack(
        &mut self,
        from: &str,
        sequence: u64,
        subject: &str,
        direct_ping_received: bool,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.probes.relays.remove(&sequence) {
            let body = Body::Ack {
                sequence: relay.sequence,
                subject: subject.to_owned(),
                direct_ping_received,
            };
            actions.extend(self.message_to(&relay.origin, Some(body)));
            return;
        }
        let Some(probe) = &mut self.probes.current else { return };
        if probe.sequence != sequence || probe.subject != subject {
            return;
        }
        if from == subject {
            probe.direct_ack = true;
        } else {
            probe.relayed_ack = true;
        }
        probe.direct_ping_received |= direct_ping_received;
        if probe.direct_ack && probe.direct_ping_received {
            self.probes.current = None;
            self.improve_local_health();
            self.observe_path(subject, Path::OPEN, actions);
        }
    }

    fn relay_ping(
        &mut self,
        from: &str,
        sequence: u64,
        subject: &str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(origin) = self.peers.get(from) else { return };
        if self.probes.relays.len() >= RELAY_CAPACITY || !self.peers.contains_key(subject) {
            return;
        }
        let gossip = origin.member.record.addresses.gossip.clone();
        let relay_sequence = self.probes.next_sequence();
        let deadline = now + self.config.probe_interval * RELAY_INTERVALS;
        self.probes
            .relays
            .insert(relay_sequence, Relay { origin: from.to_owned(), sequence, deadline });
        let origin = Origin { host: from.to_owned(), gossip, sequence };
        let body = Body::Ping { sequence: relay_sequence, origin: Some(origin) };
        actions.extend(self.message_to(subject, Some(body)));
    }

    /// Accepts a change of a path once it was observed several times in a row.
    fn observe_path(&mut self, host: &str, path: Path, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(host) else { return };
        if peer.member.path == path {
            peer.path_observation = (path, 0);
            return;
        }
        let (observed, count) = peer.path_observation;
        let count = if observed == path { count + 1 } else { 1 };
        peer.path_observation = (path, count);
        if count < PATH_OBSERVATIONS {
            if !self.probes.recheck.iter().any(|known| known == host) {
                self.probes.recheck.push_back(host.to_owned());
            }
            return;
        }
        peer.member.path = path;
        peer.path_observation = (path, 0);
        actions.push(Action::PathChanged { host: host.to_owned(), path });
    }

    /// Returns the member to probe next. Each round visits every member that is not dead once, in
    /// random order; members to recheck take every second turn.
    fn next_subject(&mut self) -> Option<String> {
        self.probes.recheck_turn = !self.probes.recheck_turn;
        if self.probes.recheck_turn
            && let Some(host) = self.probes.recheck.pop_front()
            && self.is_probed(&host)
        {
            return Some(host);
        }
        for _ in 0..2 {
            while let Some(host) = self.probes.round.pop() {
                if self.is_probed(&host) {
                    return Some(host);
                }
            }
            let mut round: Vec<String> =
                self.peers.keys().filter(|host| self.is_probed(host)).cloned().collect();
            round.shuffle(&mut self.rng);
            self.probes.round = round;
        }
        None
    }

    fn is_probed(&self, host: &str) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.member.record.state != State::Dead)
    }
}
