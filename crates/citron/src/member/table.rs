//! The table of peers: which news replaces which, suspicion, and the platform's host list.

use std::{collections::BTreeSet, time::Duration};

use super::{Action, FIRST_CONTACTS, Member, Membership, Path, Record, State};

/// Another host.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// When a suspect is declared dead.
    pub(super) suspected_until: Option<Duration>,
    /// When it was declared dead.
    pub(super) dead_since: Option<Duration>,
    /// The highest number of a ping heard directly from it.
    pub(super) pinged: u64,
    /// A path seen in the last probes that is not believed yet, and how often.
    pub(super) path_seen: (Path, u32),
}

impl Peer {
    fn new(record: Record, listed: bool) -> Self {
        Self {
            member: Member { record, listed, path: Path::OPEN },
            suspected_until: None,
            dead_since: None,
            pinged: 0,
            path_seen: (Path::OPEN, 0),
        }
    }
}

impl Membership {
    /// Takes the platform's entry host list, which lags: it adds hosts to ask and marks those
    /// that are listed, and never declares a member dead.
    pub fn apply_host_list(&mut self, entries: &[Record]) -> Vec<Action> {
        let mut actions = Vec::new();
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
        for peer in self.peers.values_mut() {
            peer.member.listed = names.contains(peer.member.record.host.as_str());
            if !peer.member.listed && peer.member.record.incarnation == 0 {
                // Never heard of; nothing but the list named it.
                peer.dead_since.get_or_insert(Duration::ZERO);
            }
        }
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.host != self.me.host && !self.peers.contains_key(&entry.host) {
                let record = Record { incarnation: 0, state: State::Dead, ..entry.clone() };
                self.peers.insert(entry.host.clone(), Peer::new(record, true));
                fresh.push(entry.host.clone());
            }
        }
        for host in fresh.iter().take(FIRST_CONTACTS) {
            self.contact(host, &mut actions);
        }
        self.check();
        actions
    }

    /// Takes in news about a member.
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
                let heard_of = peer.member.record.incarnation > 0;
                heard_of.then_some(peer.member.record.state)
            }
            Some(_) => return,
        };
        let suspicion = self.suspicion_timeout();
        let Some(peer) = self.peers.get_mut(&record.host) else { return };
        assert!(
            record.incarnation >= peer.member.record.incarnation,
            "a member's incarnation must not go back"
        );
        let revision = peer.member.record.revision.max(record.revision);
        peer.member.record = Record { revision, ..record.clone() };
        peer.suspected_until = (record.state == State::Suspect).then(|| now + suspicion);
        peer.dead_since = (record.state == State::Dead).then_some(now);
        if record.state == State::Dead {
            peer.member.path = Path::OPEN;
            peer.path_seen = (Path::OPEN, 0);
        }
        self.news.put(&record.host, record.clone(), record.max_encoded_len());
        if before != Some(record.state) {
            let host = record.host.clone();
            actions.push(Action::StateChanged { host, before, after: record.state });
        }
    }

    /// Takes a member's own word on its policy revision.
    pub(super) fn take_revision(&mut self, from: &str, record: &Record) {
        if record.host != from {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            let known = &mut peer.member.record.revision;
            *known = record.revision.max(*known);
        }
    }

    /// Suspects a member that did not answer a probe.
    pub(super) fn suspect(&mut self, host: &str, now: Duration, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(host) else { return };
        if matches!(peer.member.record.state, State::Alive | State::Leaving) {
            let record = Record { state: State::Suspect, ..peer.member.record.clone() };
            self.apply(&record, now, actions);
        }
    }

    /// Declares suspects dead whose time is up, and forgets dead members that are not listed.
    pub(super) fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let silence = now.saturating_sub(self.last_heard);
        let doubts_itself = self.is_isolated(now) && silence < self.config.isolation_grace;
        let overdue = |until: Option<Duration>| until.is_some_and(|until| until <= now);
        let expired: Vec<Record> = self
            .peers
            .values()
            .filter(|peer| !doubts_itself && overdue(peer.suspected_until))
            .map(|peer| Record { state: State::Dead, ..peer.member.record.clone() })
            .collect();
        for record in &expired {
            self.apply(record, now, actions);
        }
        self.forget(now, actions);
    }

    fn forget(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.config.forget_after;
        let gone: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.member.listed)
            .filter(|(_, peer)| {
                let fresh = peer.member.record.incarnation > 0;
                peer.dead_since.is_some_and(|since| !fresh || now.saturating_sub(since) > limit)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            self.peers.remove(&host);
            self.news.remove(&host);
            actions.push(Action::Forgotten { host });
        }
    }

    /// Answers news that this member has failed, or of an earlier process, with a higher incarnation.
    fn refute(&mut self, record: &Record) {
        let outdated = record.incarnation > self.me.incarnation
            || (record.incarnation == self.me.incarnation && record.state > self.me.state);
        if outdated {
            self.me.incarnation = record.incarnation + 1;
            self.announce();
        }
    }

    /// Gives all suspects the whole time again, as they could not be heard while this member was
    /// isolated.
    pub(super) fn renew_suspicions(&mut self, now: Duration) {
        let until = now + self.suspicion_timeout();
        for peer in self.peers.values_mut() {
            if peer.suspected_until.is_some() {
                peer.suspected_until = Some(until);
            }
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let doublings = usize::BITS - self.live_count().leading_zeros();
        let intervals = self.config.suspicion_factor * doublings.max(2);
        self.config.probe_interval * intervals * (1 + self.health / 2)
    }
}
