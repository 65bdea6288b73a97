//! The table of peers: which record supersedes which, suspicion, and the platform's host list.

use std::{collections::BTreeSet, time::Duration};

use super::{Action, Member, Membership, NEWLY_LISTED_PINGS, Path, Record, State};

/// The state that this member keeps of another host.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// When this suspect is declared dead, unless it refutes the suspicion.
    pub(super) suspicion_deadline: Option<Duration>,
    /// When it was declared dead; zero for a host that only an earlier host list named.
    pub(super) dead_since: Option<Duration>,
    /// The highest sequence number of a ping received directly from it.
    pub(super) last_direct_ping: u64,
    /// The path that the last probes showed but that is not accepted yet, and how often in a row.
    pub(super) path_observation: (Path, u32),
}

impl Peer {
    fn new(record: Record, listed: bool) -> Self {
        Self {
            member: Member { record, listed, path: Path::OPEN },
            suspicion_deadline: None,
            dead_since: None,
            last_direct_ping: 0,
            path_observation: (Path::OPEN, 0),
        }
    }
}

impl Membership {
    /// Applies the platform's entry host list: adds unknown hosts, pings some of them, and marks
    /// the listed ones.
    ///
    /// The list lags, so it never declares a member dead.
    pub fn apply_host_list(&mut self, entries: &[Record]) -> Vec<Action> {
        let mut actions = Vec::new();
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
        for peer in self.peers.values_mut() {
            peer.member.listed = names.contains(peer.member.record.host.as_str());
            if !peer.member.listed && peer.member.record.incarnation == 0 {
                // Only an earlier host list named it, so it is removed without a delay.
                peer.dead_since.get_or_insert(Duration::ZERO);
            }
        }
        let mut newly_listed = Vec::new();
        for entry in entries {
            if entry.host != self.me.host && !self.peers.contains_key(&entry.host) {
                let record = Record { incarnation: 0, state: State::Dead, ..entry.clone() };
                self.peers.insert(entry.host.clone(), Peer::new(record, true));
                newly_listed.push(entry.host.clone());
            }
        }
        for host in newly_listed.iter().take(NEWLY_LISTED_PINGS) {
            self.ping(host, &mut actions);
        }
        self.check_invariants();
        actions
    }

    /// Applies a record of a member if it supersedes the known one, and refutes one of this host.
    pub(super) fn apply(&mut self, record: &Record, now: Duration, actions: &mut Vec<Action>) {
        if record.host == self.me.host {
            self.refute(record);
            return;
        }
        let before = match self.peers.get(&record.host) {
            None if record.state == State::Dead => return,
            None => {
                self.peers.insert(record.host.clone(), Peer::new(record.clone(), false));
                None
            }
            Some(peer) if record.supersedes(&peer.member.record) => {
                let known_by_gossip = peer.member.record.incarnation > 0;
                known_by_gossip.then_some(peer.member.record.state)
            }
            Some(_) => return,
        };
        let suspicion_timeout = self.suspicion_timeout();
        let Some(peer) = self.peers.get_mut(&record.host) else { return };
        assert!(
            record.incarnation >= peer.member.record.incarnation,
            "a member's incarnation must not decrease"
        );
        let revision = peer.member.record.revision.max(record.revision);
        peer.member.record = Record { revision, ..record.clone() };
        peer.suspicion_deadline = (record.state == State::Suspect).then(|| now + suspicion_timeout);
        peer.dead_since = (record.state == State::Dead).then_some(now);
        if record.state == State::Dead {
            peer.member.path = Path::OPEN;
            peer.path_observation = (Path::OPEN, 0);
        }
        self.updates.put(&record.host, record.clone(), record.max_encoded_len());
        if before != Some(record.state) {
            let host = record.host.clone();
            actions.push(Action::StateChanged { host, before, after: record.state });
        }
    }

    /// Applies the policy revision that a member reports of itself.
    pub(super) fn apply_revision(&mut self, from: &str, record: &Record) {
        if record.host != from {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            let known = &mut peer.member.record.revision;
            *known = record.revision.max(*known);
        }
    }

    /// Suspects a member that did not acknowledge a probe.
    pub(super) fn suspect(&mut self, host: &str, now: Duration, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(host) else { return };
        if matches!(peer.member.record.state, State::Alive | State::Leaving) {
            let record = Record { state: State::Suspect, ..peer.member.record.clone() };
            self.apply(&record, now, actions);
        }
    }

    /// Declares suspects dead whose deadline has passed, and removes dead members that are not
    /// listed.
    pub(super) fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let since_received = now.saturating_sub(self.last_received);
        let in_isolation_grace =
            self.is_isolated(now) && since_received < self.config.isolation_grace;
        let is_overdue =
            |deadline: Option<Duration>| deadline.is_some_and(|deadline| deadline <= now);
        let expired: Vec<Record> = self
            .peers
            .values()
            .filter(|peer| !in_isolation_grace && is_overdue(peer.suspicion_deadline))
            .map(|peer| Record { state: State::Dead, ..peer.member.record.clone() })
            .collect();
        for record in &expired {
            self.apply(record, now, actions);
        }
        self.forget(now, actions);
    }

    fn forget(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.config.forget_after;
        let expired: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.member.listed)
            .filter(|(_, peer)| {
                let known_by_gossip = peer.member.record.incarnation > 0;
                peer.dead_since
                    .is_some_and(|since| !known_by_gossip || now.saturating_sub(since) > limit)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            self.peers.remove(&host);
            self.updates.remove(&host);
            actions.push(Action::Forgotten { host });
        }
    }

    /// Refutes, with a higher incarnation, a record that reports this member as failed or that
    /// stems from an earlier process of the host.
    fn refute(&mut self, record: &Record) {
        let must_refute = record.incarnation > self.me.incarnation
            || (record.incarnation == self.me.incarnation && record.state > self.me.state);
        if must_refute {
            self.me.incarnation = record.incarnation + 1;
            self.queue_own_record();
        }
    }

    /// Restarts the suspicion timeout of all suspects, as their refutations could not arrive while
    /// this member was isolated.
    pub(super) fn renew_suspicions(&mut self, now: Duration) {
        let deadline = now + self.suspicion_timeout();
        for peer in self.peers.values_mut() {
            if peer.suspicion_deadline.is_some() {
                peer.suspicion_deadline = Some(deadline);
            }
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let doublings = usize::BITS - self.live_count().leading_zeros();
        let intervals = self.config.suspicion_factor * doublings.max(2);
        self.config.probe_interval * intervals * (1 + self.local_health_score / 2)
    }
}
