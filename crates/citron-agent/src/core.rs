//! The state of an agent that its tasks share, each part under its own lock.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use citron::{
    event::Kind,
    home::Host,
    hosts::{Changes, Table},
    member::{Action, Membership, Message, Record, State},
    policy::Grants,
    rumor::{self, Buffer},
};
use citron_daemon::Recorder;
use citron_wire::{self as wire, Verdict};
use parking_lot::Mutex;
use prost::Message as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{broadcast, mpsc, watch};

use crate::{
    convert,
    metrics::Metrics,
    settings::Settings,
    shelf::{Copy, Refusal},
};

/// Notices that a slow listener may lag behind before it gets everything anew.
const NOTICE_CAPACITY: usize = 1024;
/// Datagrams that wait to be sent.
const SEND_CAPACITY: usize = 4096;
/// Verdict bytes in one datagram.
const VERDICT_BUDGET_BYTES: usize = 250;
/// Verdicts that wait to be sent.
const VERDICT_CAPACITY: usize = 1024;
/// Members that are told of a newer policy or host list at once.
const NUDGE_MEMBERS: usize = 3;

/// What changed, for those who follow the state.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A newer policy is in force.
    Policy,
    /// These members changed or are gone.
    Members(Vec<String>),
    /// Targets changed.
    Targets(Arc<Changes<wire::Target>>),
    /// Verdicts about targets changed.
    Verdicts(Arc<Vec<Verdict>>),
    /// The operator asks this host to leave.
    Leave,
}

/// Something newer that another member has.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Hint {
    /// The policy revision that it knows.
    pub revision: u64,
    /// The host list version that it knows.
    pub hosts_version: u64,
}

/// The platform's host list as this agent knows it.
#[derive(Debug, Default)]
pub struct Lists {
    /// Entry hosts.
    pub entries: Table<wire::Member>,
    /// Targets.
    pub targets: Table<wire::Target>,
}

/// The shared state.
#[derive(Debug)]
pub struct Core {
    /// Checked settings, with the addresses that were bound.
    pub settings: Settings,
    /// Events and the clock.
    pub recorder: Recorder,
    /// Counters.
    pub metrics: Metrics,
    members: Mutex<Membership>,
    policy: Mutex<Copy>,
    grants: Mutex<Arc<Grants>>,
    lists: Mutex<Lists>,
    verdicts: Mutex<BTreeMap<String, Verdict>>,
    verdict_news: Mutex<Buffer<Verdict>>,
    holders: Mutex<BTreeMap<String, Hint>>,
    rng: Mutex<ChaCha8Rng>,
    notices: broadcast::Sender<Notice>,
    evidence: broadcast::Sender<wire::EvidenceBatch>,
    datagrams: mpsc::Sender<(String, Vec<u8>)>,
    hints: mpsc::Sender<Hint>,
    synced: watch::Sender<bool>,
}

/// The receiving ends of the queues of a [`Core`].
#[derive(Debug)]
pub struct Queues {
    /// Datagrams to send, with their receivers.
    pub datagrams: mpsc::Receiver<(String, Vec<u8>)>,
    /// Hints that others have something newer.
    pub hints: mpsc::Receiver<Hint>,
}

impl Core {
    /// Opens the state of an agent that knows nothing yet.
    pub fn open(
        settings: Settings,
        recorder: Recorder,
        metrics: Metrics,
        members: Membership,
        rng: ChaCha8Rng,
    ) -> (Arc<Self>, Queues) {
        let (datagrams, datagrams_end) = mpsc::channel(SEND_CAPACITY);
        let (hints, hints_end) = mpsc::channel(SEND_CAPACITY);
        let core = Self {
            settings,
            recorder,
            metrics,
            members: Mutex::new(members),
            policy: Mutex::default(),
            grants: Mutex::default(),
            lists: Mutex::default(),
            verdicts: Mutex::default(),
            verdict_news: Mutex::new(Buffer::new(VERDICT_CAPACITY)),
            holders: Mutex::default(),
            rng: Mutex::new(rng),
            notices: broadcast::channel(NOTICE_CAPACITY).0,
            evidence: broadcast::channel(NOTICE_CAPACITY).0,
            datagrams,
            hints,
            synced: watch::channel(false).0,
        };
        (Arc::new(core), Queues { datagrams: datagrams_end, hints: hints_end })
    }

    /// Returns the time since the process's origin.
    pub fn now(&self) -> Duration {
        self.recorder.clock().now()
    }

    /// Runs `draw` on the agent's random numbers.
    pub fn draw<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.lock())
    }

    /// Follows what changes from now on.
    pub fn notices(&self) -> broadcast::Receiver<Notice> {
        self.notices.subscribe()
    }

    /// Follows the evidence of this host's proxy and what other agents forward.
    pub fn evidence(&self) -> broadcast::Receiver<wire::EvidenceBatch> {
        self.evidence.subscribe()
    }

    /// Takes evidence about targets.
    pub fn take_evidence(&self, batch: wire::EvidenceBatch) {
        // Nobody may be listening.
        let _ = self.evidence.send(batch);
    }

    /// Follows whether the policy is known from the platform or from peers.
    pub fn synced(&self) -> watch::Receiver<bool> {
        self.synced.subscribe()
    }

    /// Says that the policy is as new as the platform or the peers that were asked.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    // Members.

    /// Advances the membership.
    pub fn tick(&self) {
        // The clock is read under the lock, so that time does not go back between two users.
        let mut members = self.members.lock();
        let actions = members.tick(self.now());
        self.metrics.members.set(members.live_count() as i64);
        drop(members);
        self.carry_out(actions);
    }

    /// Takes in a datagram.
    pub fn receive(&self, gossip: wire::Gossip) {
        if let Some(stamp) = gossip.stamp {
            let stamp = citron::hlc::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
            self.recorder.observe(stamp);
        }
        let message = convert::message(&gossip);
        let mut members = self.members.lock();
        let actions = members.receive(&message, self.now());
        drop(members);
        self.carry_out(actions);
        self.take_verdicts(gossip.verdicts);
        for batch in gossip.evidence {
            self.take_evidence(batch);
        }
        self.take_hint(&gossip.from, gossip.revision, gossip.hosts_version);
    }

    /// Takes in the member table of a peer.
    pub fn absorb(&self, table: wire::MemberTable) {
        let records: Vec<Record> = table.members.into_iter().filter_map(convert::record).collect();
        let actions = self.members.lock().absorb(&records, self.now());
        self.carry_out(actions);
    }

    /// Says to the members where this host's proxy is reached; empty when it is not.
    pub fn set_proxy(&self, proxy: &str, loans: &str) {
        let mut members = self.members.lock();
        members.set_addresses(proxy, loans);
        let actions = members.nudge(NUDGE_MEMBERS);
        let host = members.me().host.clone();
        drop(members);
        self.carry_out(actions);
        self.notify(Notice::Members(vec![host]));
    }

    /// Says to the members which policy revision is in force at this host's proxy.
    pub fn set_progress(&self, revision: u64) {
        self.members.lock().set_revision(revision);
    }

    /// Begins to leave.
    pub fn leave(&self) {
        let mut members = self.members.lock();
        let fresh = members.me().state != State::Leaving;
        let actions = members.leave();
        let host = members.me().host.clone();
        drop(members);
        self.carry_out(actions);
        if fresh {
            self.recorder.record(Kind::Leaving, &host, &[]);
            self.notify(Notice::Members(vec![host]));
        }
    }

    /// Asks this host's proxy to leave as well.
    pub fn drain(&self) {
        self.leave();
        self.notify(Notice::Leave);
    }

    /// Calls `read` with the membership.
    pub fn with_members<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.members.lock())
    }

    /// Returns the messages of all members, this one included.
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

    /// Returns the messages of some members, and which of them are gone.
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

    /// Returns the control addresses of up to `count` random live members, one of another failure
    /// domain first.
    pub fn pick_controls(&self, count: usize) -> Vec<String> {
        let mut members = self.members.lock();
        let hosts = members.pick(count, None);
        hosts
            .iter()
            .filter_map(|host| members.get(host))
            .map(|member| member.record.addresses.control.clone())
            .filter(|control| !control.is_empty())
            .collect()
    }

    /// Returns true if this agent is to watch the platform.
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

    fn carry_out(&self, actions: Vec<Action>) {
        let mut changed = BTreeSet::new();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, message),
                Action::Changed { host, before, after } => {
                    self.record_change(&host, before, after);
                    changed.insert(host);
                }
                Action::Path { host, path } => {
                    log::info!("path to {host}: hears {} heard {}", path.hears, path.heard);
                    if path.is_one_way() {
                        let fields = [
                            ("hears", if path.hears { "true" } else { "false" }),
                            ("heard", if path.heard { "true" } else { "false" }),
                        ];
                        self.recorder.record(Kind::PathOneWay, &host, &fields);
                    }
                }
                Action::Forgotten { host } => {
                    self.holders.lock().remove(&host);
                    changed.insert(host);
                }
            }
        }
        if !changed.is_empty() {
            self.notify(Notice::Members(changed.into_iter().collect()));
        }
    }

    fn record_change(&self, host: &str, before: Option<State>, after: State) {
        let kind = match (before, after) {
            (_, State::Suspect) => Kind::MemberSuspected,
            (_, State::Dead) => Kind::MemberDead,
            (_, State::Leaving) => Kind::MemberLeaving,
            (None, State::Alive) => Kind::MemberJoined,
            (Some(_), State::Alive) => Kind::MemberRecovered,
        };
        self.recorder.record(kind, host, &[]);
    }

    fn send(&self, to: &str, message: Message) {
        let limit = rumor::transmissions(self.metrics.members.get() as usize);
        let stamp = self.recorder.stamp();
        let gossip = wire::Gossip {
            stamp: Some(wire::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical }),
            revision: self.policy.lock().head.revision,
            hosts_version: self.lists.lock().targets.version(),
            verdicts: self.verdict_news.lock().fill(VERDICT_BUDGET_BYTES, limit),
            ..convert::datagram(message)
        };
        self.post(to, &gossip);
    }

    /// Sends a datagram; one that does not fit in the queue is lost like any other.
    pub fn post(&self, to: &str, gossip: &wire::Gossip) {
        let bytes = gossip.encode_to_vec();
        if self.datagrams.try_send((to.to_owned(), bytes)).is_err() {
            log::warn!("the queue of datagrams is full");
        }
    }

    /// Sends evidence to the agent of `host`; lost if the host is not known.
    pub fn post_evidence(&self, host: &str, batch: wire::EvidenceBatch) {
        if host == self.settings.host {
            return self.take_evidence(batch);
        }
        let to = self.with_members(|members| {
            members.get(host).map(|member| member.record.addresses.gossip.clone())
        });
        let Some(to) = to else { return };
        let gossip = wire::Gossip {
            from: self.settings.host.clone(),
            evidence: vec![batch],
            ..wire::Gossip::default()
        };
        self.post(&to, &gossip);
    }

    fn nudge(&self) {
        let actions = self.members.lock().nudge(NUDGE_MEMBERS);
        self.carry_out(actions);
    }

    fn notify(&self, notice: Notice) {
        // Nobody may be listening.
        let _ = self.notices.send(notice);
    }

    // Policy.

    /// Calls `read` with the policy as stored.
    pub fn with_policy<T>(&self, read: impl FnOnce(&Copy) -> T) -> T {
        read(&self.policy.lock())
    }

    /// Returns the second list of the policy in force.
    pub fn grants(&self) -> Arc<Grants> {
        self.grants.lock().clone()
    }

    /// Takes a policy from `source` if it is newer, whole and valid.
    ///
    /// # Errors
    /// Says why it was not taken.
    pub fn install(
        &self,
        json: &[u8],
        fresh: &BTreeMap<String, Vec<u8>>,
        source: &str,
    ) -> Result<(), Refusal> {
        let mut copy = self.policy.lock();
        let result = copy.install(json, fresh);
        if let Err(Refusal::BadLists(_) | Refusal::BadHead | Refusal::BadShard(_)) = &result {
            log::warn!("a policy from {source} was refused: {result:?}");
        }
        let policy = result?;
        let revision = copy.head.revision;
        *self.grants.lock() = Arc::new(policy.grants);
        drop(copy);
        self.metrics.revision.set(revision as i64);
        self.recorder.record(Kind::PolicyApplied, &revision.to_string(), &[("source", source)]);
        self.notify(Notice::Policy);
        self.nudge();
        Ok(())
    }

    // The platform's host list.

    /// Returns the host list's version.
    pub fn hosts_version(&self) -> u64 {
        self.lists.lock().targets.version()
    }

    /// Takes the whole host list from the platform.
    pub fn install_hosts(&self, hosts: &citron_platform::Hosts) {
        let of = |role| hosts.hosts.iter().filter(move |host| host.role == role);
        let entries: BTreeMap<String, wire::Member> = of(citron_platform::Role::Entry)
            .map(|host| (host.name.clone(), convert::entry(host)))
            .collect();
        let targets: BTreeMap<String, wire::Target> = of(citron_platform::Role::Target)
            .filter_map(|host| Some((host.name.clone(), convert::target(host)?)))
            .collect();
        let mut lists = self.lists.lock();
        let before = lists.targets.version();
        let entry_changes = lists.entries.install(hosts.version, &entries);
        let target_changes = lists.targets.install(hosts.version, &targets);
        let newer = lists.targets.version() > before;
        drop(lists);
        if newer {
            self.spread_hosts(&entry_changes, target_changes);
        }
    }

    /// Takes the changes of the host list that a peer gave.
    pub fn apply_hosts(&self, entries: &Changes<wire::Member>, targets: &Changes<wire::Target>) {
        let mut lists = self.lists.lock();
        let before = lists.targets.version();
        let entry_changes = lists.entries.apply(entries);
        let target_changes = lists.targets.apply(targets);
        let newer = lists.targets.version() > before;
        drop(lists);
        if newer {
            self.spread_hosts(&entry_changes, target_changes);
        }
    }

    fn spread_hosts(&self, entries: &Changes<wire::Member>, targets: Changes<wire::Target>) {
        self.record_targets(&targets);
        if !entries.entries.is_empty() || !entries.removed.is_empty() {
            self.list_entries(entries);
        }
        if !targets.entries.is_empty() || !targets.removed.is_empty() {
            self.notify(Notice::Targets(Arc::new(targets)));
        }
        self.nudge();
    }

    fn list_entries(&self, changes: &Changes<wire::Member>) {
        let records: Vec<Record> = {
            let lists = self.lists.lock();
            lists.entries.iter().filter_map(|(_, entry)| convert::record(entry.clone())).collect()
        };
        let actions = self.members.lock().list(&records, self.now());
        self.carry_out(actions);
        let mut hosts: Vec<String> = changes.entries.iter().map(|(name, _)| name.clone()).collect();
        hosts.extend(changes.removed.iter().cloned());
        self.notify(Notice::Members(hosts));
    }

    fn record_targets(&self, changes: &Changes<wire::Target>) {
        for (name, target) in &changes.entries {
            let kind = if target.leaving { Kind::TargetLeaving } else { Kind::TargetAdded };
            self.recorder.record(kind, name, &[("service", &target.service)]);
        }
        for name in &changes.removed {
            self.recorder.record(Kind::TargetRemoved, name, &[]);
        }
    }

    /// Calls `read` with the host list.
    pub fn with_lists<T>(&self, read: impl FnOnce(&Lists) -> T) -> T {
        read(&self.lists.lock())
    }

    /// Returns the listed entry hosts.
    pub fn listed(&self) -> BTreeSet<String> {
        self.lists.lock().entries.iter().map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns all targets.
    pub fn target_table(&self) -> wire::TargetTable {
        let lists = self.lists.lock();
        let targets = lists.targets.iter().map(|(_, target)| target.clone()).collect();
        wire::TargetTable { full: true, targets, removed: Vec::new() }
    }

    // Verdicts.

    /// Takes verdicts; a higher epoch replaces a lower one.
    pub fn take_verdicts(&self, verdicts: Vec<Verdict>) {
        let mut fresh = Vec::new();
        let mut known = self.verdicts.lock();
        for verdict in verdicts {
            let newer = known
                .get(&verdict.target)
                .is_none_or(|old| (verdict.epoch, &verdict.steward) > (old.epoch, &old.steward));
            if newer {
                known.insert(verdict.target.clone(), verdict.clone());
                fresh.push(verdict);
            }
        }
        drop(known);
        if fresh.is_empty() {
            return;
        }
        let mut news = self.verdict_news.lock();
        for verdict in &fresh {
            news.put(&verdict.target, verdict.clone(), verdict.encoded_len() + 4);
        }
        drop(news);
        self.notify(Notice::Verdicts(Arc::new(fresh)));
        self.nudge();
    }

    /// Returns all verdicts.
    pub fn verdict_table(&self) -> wire::VerdictTable {
        wire::VerdictTable { verdicts: self.verdicts.lock().values().cloned().collect() }
    }

    // What others know.

    fn take_hint(&self, from: &str, revision: u64, hosts_version: u64) {
        let hint = Hint { revision, hosts_version };
        self.holders.lock().insert(from.to_owned(), hint);
        let newer = revision > self.policy.lock().head.revision
            || hosts_version > self.lists.lock().targets.version();
        if newer {
            // A full queue already leads to a pull.
            let _ = self.hints.try_send(hint);
        }
    }

    /// Returns control addresses of members for which `has` holds, of the own failure domain first.
    pub fn holders(&self, has: impl Fn(&Hint) -> bool) -> Vec<String> {
        let holders = self.holders.lock();
        let members = self.members.lock();
        let mut found: Vec<(bool, String)> = holders
            .iter()
            .filter(|(_, hint)| has(hint))
            .filter_map(|(host, _)| members.get(host))
            .filter(|member| member.record.state != State::Dead)
            .map(|member| &member.record)
            .map(|record| (record.domain != self.settings.domain, record.addresses.control.clone()))
            .filter(|(_, control)| !control.is_empty())
            .collect();
        drop(members);
        drop(holders);
        self.draw(|rng| rand::seq::SliceRandom::shuffle(&mut found[..], rng));
        found.sort_by_key(|(away, _)| *away);
        found.into_iter().map(|(_, control)| control).collect()
    }
}
