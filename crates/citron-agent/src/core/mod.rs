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

/// Notices that a slow listener may lag behind before it gets everything anew.
const NOTICE_CAPACITY: usize = 1024;
/// Datagrams that wait to be sent.
const SEND_CAPACITY: usize = 4096;
/// Verdict bytes in one datagram.
const VERDICT_BUDGET_BYTES: usize = 400;
/// The largest datagram.
pub const DATAGRAM_LIMIT_BYTES: usize = 1400;
/// Verdicts that wait to be sent.
const VERDICT_CAPACITY: usize = 1024;
/// Members that are told of a newer policy or host list at once.
const UPDATE_FANOUT: usize = 3;

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
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct PeerVersions {
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
    policy: Mutex<PolicyReplica>,
    lists: Mutex<Lists>,
    verdicts: Mutex<BTreeMap<String, Verdict>>,
    verdict_updates: Mutex<UpdateBuffer<Verdict>>,
    /// The newest versions that each peer reported, by host.
    peer_versions: Mutex<BTreeMap<String, PeerVersions>>,
    rng: Mutex<ChaCha8Rng>,
    notices: broadcast::Sender<Notice>,
    evidence: broadcast::Sender<wire::EvidenceBatch>,
    datagrams: mpsc::Sender<(String, Vec<u8>)>,
    newer_versions: mpsc::Sender<PeerVersions>,
    synced: watch::Sender<bool>,
    /// An operator drained this host, until the agent ends.
    drained: AtomicBool,
    /// The attached proxy said that it leaves.
    proxy_leaving: AtomicBool,
}

/// The receiving ends of the queues of a [`Core`].
#[derive(Debug)]
pub struct Queues {
    /// Datagrams to send, with their receivers.
    pub datagrams: mpsc::Receiver<(String, Vec<u8>)>,
    /// Hints that others have something newer.
    pub newer_versions: mpsc::Receiver<PeerVersions>,
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

    /// Returns the time since the process's origin.
    pub fn now(&self) -> Duration {
        self.recorder.clock().now()
    }

    /// Runs `draw` on the agent's random numbers.
    pub fn with_rng<T>(&self, use_rng: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        use_rng(&mut self.rng.lock())
    }

    /// Follows what changes from now on.
    pub fn notices(&self) -> broadcast::Receiver<Notice> {
        self.notices.subscribe()
    }

    /// Follows whether the policy is known from the platform or from peers.
    pub fn synced(&self) -> watch::Receiver<bool> {
        self.synced.subscribe()
    }

    /// Says that the policy is as new as the platform or the peers that were asked.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    fn notify(&self, notice: Notice) {
        // Nobody may be listening.
        let _ = self.notices.send(notice);
    }
}
