//! The list of targets from the platform's store, at one revision.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::position::Position;

/// The maximum number of incarnations that are remembered because they are leaving or gone.
const DEPARTURES_CAPACITY: usize = 4096;

/// One incarnation of a target.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The identity that the target reports, unique among live targets.
    pub id: Arc<str>,
    /// When this incarnation started, in milliseconds since the Unix epoch; distinguishes the
    /// incarnations of one identity.
    pub born_ms: u64,
    /// The service that it provides.
    pub service: Arc<str>,
    /// Where to connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many requests it executes concurrently, at least 1.
    pub slots: u32,
    /// Whether it is leaving and must receive no new requests.
    pub leaving: bool,
    /// The rest of its warm-up time, during which it is slow, in milliseconds.
    pub warmup_ms: u64,
    /// The number of its heartbeat that wrote this entry, 0 if it is not known.
    #[serde(default)]
    pub heartbeat: u64,
}

/// The maximum number of changes that are remembered for peers that are behind.
const CHANGE_LOG_CAPACITY: usize = 1024;

/// One change of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Change {
    /// The entry was added or changed.
    Put(Target),
    /// The entry with this identity was removed or no longer describes a usable target.
    Gone(Arc<str>),
    /// The entry with this identity vanished around an outage and is kept for a grace period.
    Lapsed(Arc<str>),
}

/// An incarnation of a target that is leaving or gone.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// When the incarnation started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The last heartbeat before its entry was removed, after which a later one shows that it is
    /// back; `None` if it said that it leaves, which is final.
    pub last_heartbeat: Option<u64>,
}

/// The whole list at one revision, as sent between hosts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's position of this list.
    #[serde(flatten)]
    pub position: Position,
    /// All usable targets.
    pub targets: Vec<Target>,
    /// Those of them whose entries vanished around an outage and are kept for a grace period.
    #[serde(default)]
    pub lapsed: Vec<Arc<str>>,
}

/// Where a list or a change comes from.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// The store itself.
    Store,
    /// Another gateway, which tells an entry that is gone from one that it keeps.
    Peer,
}

/// What a peer needs to catch up with this list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Update {
    /// The revision reached, in the era of the position that was asked for, and the changes up to
    /// it.
    Changes(u64, Vec<Change>),
    /// The whole list.
    Whole(Snapshot),
}

/// The current list of targets; its position never decreases.
#[derive(Debug, Default)]
pub struct Catalog {
    position: Position,
    targets: BTreeMap<Arc<str>, Target>,
    /// Targets whose entries vanished around an outage of the store, with the time until which
    /// they are kept.
    lapsed: BTreeMap<Arc<str>, Duration>,
    /// The incarnations known to be leaving or gone, so that an outdated entry does not bring them
    /// back.
    departures: BTreeMap<Arc<str>, Departure>,
    /// The identities that changed in this era, with the revision of the change, oldest first.
    change_log: VecDeque<(u64, Arc<str>)>,
    /// The change log contains all changes after this revision of this era.
    log_start: u64,
    /// Until when entries that vanish are kept.
    keep_until: Duration,
}

impl Catalog {
    /// Replaces the list; returns false without a change if the snapshot is not newer.
    pub fn replace(&mut self, snapshot: Snapshot, source: Source, now: Duration) -> bool {
        if snapshot.position <= self.position {
            return false;
        }
        let kept_until = self.lapsed.clone();
        let mut gone = std::mem::take(&mut self.targets);
        for target in snapshot.targets {
            gone.remove(&target.id);
            self.put(target);
        }
        for (id, target) in gone {
            self.targets.insert(Arc::clone(&id), target);
            self.remove(&id, source, now);
        }
        for id in snapshot.lapsed {
            let until = kept_until.get(&id).copied().unwrap_or(self.keep_until);
            self.lapse(&id, until, now);
        }
        self.position = snapshot.position;
        self.change_log.clear();
        self.log_start = self.position.revision;
        true
    }

    /// Applies the changes of this era up to `position`; returns false without a change if it is not
    /// newer or of another era.
    pub fn apply(
        &mut self,
        position: Position,
        changes: Vec<Change>,
        source: Source,
        now: Duration,
    ) -> bool {
        if position <= self.position || position.era != self.position.era {
            return false;
        }
        for change in changes {
            self.record_change(position.revision, &change);
            match change {
                Change::Put(target) => self.put(target),
                Change::Gone(id) => self.remove(&id, source, now),
                Change::Lapsed(id) => self.lapse(&id, self.keep_until, now),
            }
        }
        self.position = position;
        true
    }

    /// Sets until when entries that vanish are kept; entries that have already lapsed are kept no
    /// longer than that, and never longer than before.
    pub fn set_keep_until(&mut self, keep_until: Duration) {
        self.keep_until = keep_until;
        for until in self.lapsed.values_mut() {
            *until = keep_until.min(*until);
        }
    }

    /// Removes the lapsed entries whose grace period is over and returns their identities.
    pub fn expire(&mut self, now: Duration) -> Vec<Arc<str>> {
        let expired: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &expired {
            self.drop_target(id);
        }
        expired
    }

    /// Returns the store's position of the current list, revision 0 before the first one.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the target with this identity, even if it is leaving.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the incarnations known to be leaving or gone, by the identities of the targets.
    pub fn departures(&self) -> &BTreeMap<Arc<str>, Departure> {
        &self.departures
    }

    /// Takes over what a peer knows of incarnations that are leaving or gone.
    pub fn merge_departures(&mut self, departures: BTreeMap<Arc<str>, Departure>) {
        for (id, departure) in departures {
            self.record_departure(&id, departure.clone());
            if departure.last_heartbeat.is_none() {
                self.mark_leaving(&id, departure.born_ms);
            } else if let Some(target) = self.targets.remove(&id) {
                // Listed again only if its entry is newer than the departure.
                self.lapsed.remove(&id);
                self.put(target);
            }
        }
    }

    /// Marks an incarnation as leaving, also one that is not listed yet.
    pub fn mark_leaving(&mut self, id: &Arc<str>, born_ms: u64) {
        self.record_departure(id, Departure { born_ms, last_heartbeat: None });
        if let Some(target) = self.targets.get_mut(id).filter(|target| target.born_ms == born_ms) {
            target.leaving = true;
        }
    }

    /// Returns the targets of a service that may receive requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a Target> {
        let is_kept = move |t: &Target| self.lapsed.get(&t.id).is_none_or(|until| now < *until);
        let serving = self.targets.values().filter(move |t| &*t.service == service && !t.leaving);
        serving.filter(move |target| is_kept(target))
    }

    /// Returns the targets whose entries lapsed, with the time until which they are kept;
    /// [`Duration::MAX`] during an outage.
    pub fn lapsed(&self) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.lapsed.iter().map(|(id, until)| (id, *until))
    }

    /// Returns true if the target's entry vanished around an outage and is kept for a grace period.
    pub fn is_lapsed(&self, id: &str) -> bool {
        self.lapsed.contains_key(id)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns true if no target is listed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the whole list as it is sent to other hosts.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: self.position,
            targets: self.targets.values().cloned().collect(),
            lapsed: self.lapsed.keys().cloned().collect(),
        }
    }

    /// Returns the update for a peer at `position`; entries that lapsed here are sent as lapsed.
    pub fn since(&self, position: Position) -> Update {
        if position.era != self.position.era || position.revision < self.log_start {
            return Update::Whole(self.snapshot());
        }
        let newer = self.change_log.iter().filter(|(at, _)| *at > position.revision);
        let changed: BTreeSet<&Arc<str>> = newer.map(|(_, id)| id).collect();
        let change = |id: &Arc<str>| match self.targets.get(id) {
            Some(_) if self.is_lapsed(id) => Change::Lapsed(Arc::clone(id)),
            Some(target) => Change::Put(target.clone()),
            None => Change::Gone(Arc::clone(id)),
        };
        Update::Changes(self.position.revision, changed.into_iter().map(change).collect())
    }

    fn record_change(&mut self, revision: u64, change: &Change) {
        let id = match change {
            Change::Put(target) => &target.id,
            Change::Gone(id) | Change::Lapsed(id) => id,
        };
        self.change_log.push_back((revision, Arc::clone(id)));
        if self.change_log.len() > CHANGE_LOG_CAPACITY
            && let Some((dropped, _)) = self.change_log.pop_front()
        {
            self.log_start = dropped;
        }
    }

    fn put(&mut self, mut target: Target) {
        let departure = self.departures.get(&target.id);
        match departure.filter(|departure| departure.born_ms == target.born_ms) {
            Some(Departure { last_heartbeat: None, .. }) => target.leaving = true,
            Some(Departure { last_heartbeat: Some(last), .. }) if target.heartbeat <= *last => {
                return;
            }
            _ => {}
        }
        if target.leaving {
            self.mark_leaving(&Arc::clone(&target.id), target.born_ms);
        }
        self.lapsed.remove(&target.id);
        self.targets.insert(Arc::clone(&target.id), target);
    }

    fn remove(&mut self, id: &Arc<str>, source: Source, now: Duration) {
        match source {
            Source::Store => self.lapse(id, self.keep_until, now),
            Source::Peer => self.drop_target(id),
        }
    }

    /// Keeps a target whose entry vanished until `until`, or until the earlier time to which it is
    /// already kept; removes it if it is leaving or that time has passed.
    fn lapse(&mut self, id: &Arc<str>, until: Duration, now: Duration) {
        let Some(target) = self.targets.get(id) else { return };
        if target.leaving || now >= until {
            self.drop_target(id);
        } else {
            self.lapsed.entry(Arc::clone(id)).or_insert(until);
        }
    }

    /// Removes a target, and remembers its incarnation as gone.
    fn drop_target(&mut self, id: &Arc<str>) {
        self.lapsed.remove(id);
        let Some(target) = self.targets.remove(id) else { return };
        if target.heartbeat > 0 {
            let last_heartbeat = Some(target.heartbeat);
            self.record_departure(id, Departure { born_ms: target.born_ms, last_heartbeat });
        }
    }

    /// Remembers a departure, unless a later one of the target is known or the same one is final.
    fn record_departure(&mut self, id: &Arc<str>, departure: Departure) {
        let is_known = |known: &Departure| match known.born_ms.cmp(&departure.born_ms) {
            Ordering::Less => false,
            Ordering::Equal => known.last_heartbeat.is_none(),
            Ordering::Greater => true,
        };
        if self.departures.get(id).is_some_and(is_known) {
            return;
        }
        if self.departures.len() >= DEPARTURES_CAPACITY && !self.departures.contains_key(id) {
            let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.born_ms);
            if let Some(id) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.departures.remove(&id);
            }
        }
        self.departures.insert(Arc::clone(id), departure);
        assert!(
            self.departures.len() <= DEPARTURES_CAPACITY,
            "remembered departures must stay bounded"
        );
    }
}
