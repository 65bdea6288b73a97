//! The state of an agent that its tasks share, each part under its own lock.

mod health;
mod lists;
mod members;
mod policy;

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use citron::{
    dissemination::UpdateBuffer,
    hosts::{Changes, Table},
    member::Membership,
    policy::Replica as PolicyReplica,
};
use citron_daemon::Recorder;
use citron_wire::{self as wire, Verdict};
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{broadcast, mpsc, watch};

use crate::{metrics::Metrics, settings::Settings};

/// The number of notices that a subscriber may lag behind before it has to read the whole state.
const NOTICE_CAPACITY: usize = 1024;
/// The capacity of the queues of datagrams and of newer versions.
const SEND_CAPACITY: usize = 4096;
/// The bytes of a datagram that verdicts may use.
const VERDICT_BUDGET_BYTES: usize = 400;
/// The largest datagram that is sent.
pub const DATAGRAM_LIMIT_BYTES: usize = 1400;
/// The number of verdicts that wait for dissemination.
const VERDICT_CAPACITY: usize = 1024;
/// The number of members to which an update is sent at once, besides gossip with probes.
const UPDATE_FANOUT: usize = 3;

/// A change of the shared state.
#[derive(Debug, Clone)]
pub enum Notice {
    /// A newer policy is in force.
    Policy,
    /// These members changed or were removed.
    Members(Vec<String>),
    /// Targets changed.
    Targets(Arc<Changes<wire::Target>>),
    /// Verdicts about targets changed.
    Verdicts(Arc<Vec<Verdict>>),
    /// An operator drains this host.
    Leave,
}

/// The versions of the replicated state that another member has.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct PeerVersions {
    /// The policy revision.
    pub revision: u64,
    /// The version of the host list.
    pub hosts_version: u64,
}

/// This agent's copy of the platform's host list.
#[derive(Debug, Default)]
pub struct Lists {
    /// Entry hosts.
    pub entries: Table<wire::Member>,
    /// Targets.
    pub targets: Table<wire::Target>,
}

/// The state that the agent's tasks share.
#[derive(Debug)]
pub struct Core {
    /// The settings, with the addresses that were bound.
    pub settings: Settings,
    /// Records events and provides the clock.
    pub recorder: Recorder,
    /// The metrics.
    pub metrics: Metrics,
    members: Mutex<Membership>,
    policy: Mutex<PolicyReplica>,
    lists: Mutex<Lists>,
    verdicts: Mutex<BTreeMap<String, Verdict>>,
    verdict_updates: Mutex<UpdateBuffer<Verdict>>,
    /// The newest versions that each host has sent.
    peer_versions: Mutex<BTreeMap<String, PeerVersions>>,
    rng: Mutex<ChaCha8Rng>,
    notices: broadcast::Sender<Notice>,
    evidence: broadcast::Sender<wire::EvidenceBatch>,
    datagrams: mpsc::Sender<(String, Vec<u8>)>,
    newer_versions: mpsc::Sender<PeerVersions>,
    synced: watch::Sender<bool>,
    /// Whether an operator drained this host; stays set until the agent ends.
    drained: AtomicBool,
    /// Whether the attached proxy reported that it is leaving.
    proxy_leaving: AtomicBool,
}

/// The receiving ends of the queues of a [`Core`].
#[derive(Debug)]
pub struct Queues {
    /// Datagrams to send, with the address of their receiver.
    pub datagrams: mpsc::Receiver<(String, Vec<u8>)>,
    /// Versions of other members that are newer than the local ones.
    pub newer_versions: mpsc::Receiver<PeerVersions>,
}

impl Core {
    /// Creates the state of an agent that has neither a policy nor a host list yet.
    pub fn open(
        settings: Settings,
        recorder: Recorder,
        metrics: Metrics,
        members: Membership,
        rng: ChaCha8Rng,
    ) -> (Arc<Self>, Queues) {
        let (datagrams, datagrams_receiver) = mpsc::channel(SEND_CAPACITY);
        let (newer_versions, newer_versions_receiver) = mpsc::channel(SEND_CAPACITY);
        let core = Self {
            settings,
            recorder,
            metrics,
            members: Mutex::new(members),
            policy: Mutex::default(),
            lists: Mutex::default(),
            verdicts: Mutex::default(),
            verdict_updates: Mutex::new(UpdateBuffer::new(VERDICT_CAPACITY)),
            peer_versions: Mutex::default(),
            rng: Mutex::new(rng),
            notices: broadcast::channel(NOTICE_CAPACITY).0,
            evidence: broadcast::channel(NOTICE_CAPACITY).0,
            datagrams,
            newer_versions,
            synced: watch::channel(false).0,
            drained: AtomicBool::new(false),
            proxy_leaving: AtomicBool::new(false),
        };
        (
            Arc::new(core),
            Queues { datagrams: datagrams_receiver, newer_versions: newer_versions_receiver },
        )
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        self.recorder.clock().now()
    }

    /// Calls `use_rng` with the agent's random number generator.
    pub fn with_rng<T>(&self, use_rng: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        use_rng(&mut self.rng.lock())
    }

    /// Subscribes to changes of the state.
    pub fn notices(&self) -> broadcast::Receiver<Notice> {
        self.notices.subscribe()
    }

    /// Watches whether the policy was read from the platform or from peers.
    pub fn synced(&self) -> watch::Receiver<bool> {
        self.synced.subscribe()
    }

    /// Marks the policy as read from the platform or from peers.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    fn notify(&self, notice: Notice) {
        // Sending fails if there is no subscriber.
        let _ = self.notices.send(notice);
    }
}
