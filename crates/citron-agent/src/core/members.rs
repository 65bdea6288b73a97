//! Inputs to the membership and the execution of its actions.

use std::{collections::BTreeSet, sync::atomic::Ordering};

use citron::{
    dissemination,
    event::Kind,
    member::{Action, Membership, Message, Record, State},
    placement::Host,
    poller,
};
use citron_wire as wire;
use prost::Message as _;

use super::{Core, DATAGRAM_LIMIT_BYTES, Notice, UPDATE_FANOUT, VERDICT_BUDGET_BYTES};
use crate::convert;

impl Core {
    /// Advances the membership's timers.
    pub fn tick(&self) {
        // The clock is read under the lock, so that the membership never sees time go backwards.
        let mut members = self.members.lock();
        let actions = members.tick(self.now());
        self.metrics.members.set(members.live_count() as i64);
        drop(members);
        self.execute(actions);
    }

    /// Handles a received datagram.
    pub fn receive(&self, gossip: wire::Gossip) {
        if let Some(stamp) = gossip.stamp {
            let stamp = citron::hlc::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
            self.recorder.observe(stamp);
        }
        let message = convert::message(&gossip);
        let mut members = self.members.lock();
        let actions = members.receive(&message, self.now());
        drop(members);
        self.execute(actions);
        self.merge_verdicts(gossip.verdicts);
        for batch in gossip.evidence {
            self.publish_evidence(batch);
        }
        self.record_peer_versions(&gossip.from, gossip.revision, gossip.hosts_version);
    }

    /// Merges the member table of a peer.
    pub fn merge_members(&self, table: wire::MemberTable) {
        let records: Vec<Record> = table.members.into_iter().filter_map(convert::record).collect();
        let actions = self.members.lock().merge(&records, self.now());
        self.execute(actions);
    }

    /// Sets the addresses of this host's proxy and sends them to other members. They are empty
    /// while
    /// no proxy is attached.
    pub fn set_proxy(&self, proxy: &str, loans: &str) {
        let mut members = self.members.lock();
        members.set_addresses(proxy, loans);
        let actions = members.send_updates(UPDATE_FANOUT);
        let host = members.me().host.clone();
        drop(members);
        self.execute(actions);
        self.notify(Notice::Members(vec![host]));
    }

    /// Sets the policy revision in force at this host's proxy, which datagrams carry to the others.
    pub fn set_proxy_revision(&self, revision: u64) {
        self.members.lock().set_revision(revision);
    }

    /// Marks this host as leaving and sends that to other members.
    pub fn leave(&self) {
        let mut members = self.members.lock();
        let newly_leaving = members.me().state != State::Leaving;
        let actions = members.leave();
        let host = members.me().host.clone();
        drop(members);
        self.execute(actions);
        if newly_leaving {
            self.recorder.record(Kind::Leaving, &host, &[]);
            self.notify(Notice::Members(vec![host]));
        }
    }

    /// Leaves until the agent is restarted, and asks this host's proxy to leave as well.
    pub fn drain(&self) {
        self.drained.store(true, Ordering::Relaxed);
        self.leave();
        self.notify(Notice::Leave);
    }

    /// Returns true if an operator drained this host.
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Relaxed)
    }

    /// Registers an attached proxy. The host becomes alive again if it was leaving because its
    /// previous proxy left.
    pub fn attach_proxy(&self, proxy: &str, loans: &str) {
        self.proxy_leaving.store(false, Ordering::Relaxed);
        if !self.is_drained() {
            let actions = self.members.lock().cancel_leave();
            self.execute(actions);
        }
        self.set_proxy(proxy, loans);
    }

    /// Leaves because the attached proxy reported that it is leaving.
    pub fn leave_with_proxy(&self) {
        self.proxy_leaving.store(true, Ordering::Relaxed);
        self.leave();
    }

    /// Returns true if the attached proxy reported that it is leaving.
    pub fn is_proxy_leaving(&self) -> bool {
        self.proxy_leaving.load(Ordering::Relaxed)
    }

    /// Calls `read` with the membership.
    pub fn with_members<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.members.lock())
    }

    /// Returns all members, this one included.
    pub fn member_table(&self) -> wire::MemberTable {
        let listed = self.listed();
        let members = self.members.lock();
        let me = convert::member(members.me(), listed.contains(&members.me().host));
        let others = members.others().map(|member| convert::member(&member.record, member.listed));
        wire::MemberTable {
            full: true,
            members: std::iter::once(me).chain(others).collect(),
            removed: Vec::new(),
        }
    }

    /// Returns the current records of `hosts`; those that are no longer members are in `removed`.
    pub fn member_changes(&self, hosts: &[String]) -> wire::MemberTable {
        let listed = self.listed();
        let members = self.members.lock();
        let mut table = wire::MemberTable::default();
        for host in hosts {
            if *host == members.me().host {
                table.members.push(convert::member(members.me(), listed.contains(host)));
            } else if let Some(member) = members.get(host) {
                table.members.push(convert::member(&member.record, member.listed));
            } else {
                table.removed.push(host.clone());
            }
        }
        table
    }

    /// Returns the control addresses of up to `count` random live members, the first in another
    /// failure domain if there is one.
    pub fn pick_controls(&self, count: usize) -> Vec<String> {
        let mut members = self.members.lock();
        let hosts = members.sample_peers(count, None);
        hosts
            .iter()
            .filter_map(|host| members.get(host))
            .map(|member| member.record.addresses.control.clone())
            .filter(|control| !control.is_empty())
            .collect()
    }

    /// Returns the live host whose agent runs the coordinator of a service.
    pub fn coordinator_of(&self, service: &str) -> Option<String> {
        let members = self.members.lock();
        let live: Vec<Host<'_>> = std::iter::once(members.me())
            .chain(members.others().map(|member| &member.record))
            .filter(|record| record.state == State::Alive)
            .map(|record| Host { name: &record.host, domain: &record.domain })
            .collect();
        citron::placement::pool(service, &live, 1).first().map(|host| (*host).to_owned())
    }

    /// Returns true if this agent is one of its failure domain's watchers of the platform.
    pub fn is_watcher(&self) -> bool {
        let members = self.members.lock();
        let live: Vec<Host<'_>> = members
            .others()
            .map(|member| &member.record)
            .filter(|record| record.state == State::Alive)
            .map(|record| Host { name: &record.host, domain: &record.domain })
            .collect();
        citron::watcher::is_watcher(&self.settings.host, &self.settings.domain, &live)
    }

    /// Returns true if this agent is one of the fleet's few pollers of the platform.
    pub fn is_poller(&self) -> bool {
        let members = self.members.lock();
        let alive = members.others().filter(|member| member.record.state == State::Alive);
        // Members do not report whether the platform responds to them.
        let poller = |host| poller::Member { host, in_contact: true };
        let others = alive.map(|member| poller(&member.record.host));
        poller::is_poller(poller(&self.settings.host), others)
    }

    pub(super) fn execute(&self, actions: Vec<Action>) {
        let mut changed = BTreeSet::new();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_message(&to, message),
                Action::StateChanged { host, before, after } => {
                    self.record_state_change(&host, before, after);
                    changed.insert(host);
                }
                Action::PathChanged { host, path } => {
                    log::info!(
                        "path to {host}: inbound {}, outbound {}",
                        path.inbound,
                        path.outbound
                    );
                    if path.is_one_way() {
                        let fields = [
                            ("hears", if path.inbound { "true" } else { "false" }),
                            ("heard", if path.outbound { "true" } else { "false" }),
                        ];
                        self.recorder.record(Kind::PathOneWay, &host, &fields);
                    }
                }
                Action::Forgotten { host } => {
                    self.peer_versions.lock().remove(&host);
                    changed.insert(host);
                }
            }
        }
        if !changed.is_empty() {
            self.notify(Notice::Members(changed.into_iter().collect()));
        }
    }

    fn record_state_change(&self, host: &str, before: Option<State>, after: State) {
        let kind = match (before, after) {
            (_, State::Suspect) => Kind::MemberSuspected,
            (_, State::Dead) => Kind::MemberDead,
            (_, State::Leaving) => Kind::MemberLeaving,
            (None, State::Alive) => Kind::MemberJoined,
            (Some(_), State::Alive) => Kind::MemberRecovered,
        };
        self.recorder.record(kind, host, &[]);
    }

    fn send_message(&self, to: &str, message: Message) {
        let limit = dissemination::transmit_limit(self.metrics.members.get() as usize);
        let stamp = self.recorder.stamp();
        let mut gossip = wire::Gossip {
            stamp: Some(wire::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical }),
            revision: self.revision(),
            hosts_version: self.hosts_version(),
            ..convert::datagram(message)
        };
        let room = DATAGRAM_LIMIT_BYTES.saturating_sub(gossip.encoded_len());
        let budget = room.min(VERDICT_BUDGET_BYTES);
        gossip.verdicts = self.verdict_updates.lock().next_batch(budget, limit);
        self.send_datagram(to, &gossip);
    }

    /// Queues a datagram to be sent. It is dropped if it is too large or the queue is full; senders
    /// tolerate that like any other lost datagram.
    pub fn send_datagram(&self, to: &str, gossip: &wire::Gossip) {
        let bytes = gossip.encode_to_vec();
        if bytes.len() > DATAGRAM_LIMIT_BYTES {
            log::error!("a datagram of {} bytes to {to} is too large and was dropped", bytes.len());
        } else if self.datagrams.try_send((to.to_owned(), bytes)).is_err() {
            log::warn!("a datagram to {to} was dropped: the send queue is full");
        }
    }

    /// Sends pending updates to a few members at once, without waiting for the next probe.
    pub(super) fn send_updates(&self) {
        let actions = self.members.lock().send_updates(UPDATE_FANOUT);
        self.execute(actions);
    }
}
