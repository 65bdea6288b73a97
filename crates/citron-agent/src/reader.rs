//! Reads the policy and the host list from the platform.

use std::{sync::Arc, time::Duration};

use citron::{
    event::Kind,
    policy::{Applied, Head},
    watcher::FallbackTimer,
};
use citron_platform::{Client, Error, Expect, Object, Version};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{self, MissedTickBehavior};

use crate::core::Core;

/// How long the platform holds a watch without changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The interval between a watcher's reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between a poller's reads of the policy.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The number of these intervals between the reads of a watcher that is no poller, as its watch may
/// hang and the pollers may be gone.
const WATCHER_READS_EVERY: u32 = 2;
/// The maximum number of unanswered reads of a poller.
const POLLS_LIMIT: usize = 4;
/// The interval at which an agent checks whether it has become a watcher.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// The first and the longest delay after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));
/// The shortest interval between two reads of an agent that is not a watcher.
const FALLBACK_MIN: Duration = Duration::from_secs(5);
/// The interval that each member adds, which bounds the calls of the whole fleet.
const FALLBACK_PER_MEMBER: Duration = Duration::from_millis(10);

/// The object that names the policy in force.
const HEAD_OBJECT: (&str, &str) = ("policy", "head");
/// The kind of the policy's shards.
const SHARD_KIND: &str = "policy-shards";

/// Reads from the platform; each reading task owns a clone.
#[derive(Debug, Clone)]
pub struct Reader {
    core: Arc<Core>,
    client: Client,
}

impl Reader {
    pub fn open(core: Arc<Core>, client: Client) -> Self {
        Self { core, client }
    }

    /// Keeps the policy up to date until the task is aborted: by a watch if this agent is a
    /// watcher,
    /// by infrequent reads otherwise.
    pub async fn follow_policy(self) {
        let mut link = PlatformLink::open(&self.core);
        // Every agent reads the policy once at the start, also if it is not a watcher.
        let mut after = loop {
            match self.read_policy().await {
                Ok(version) => {
                    link.set_up(true, "");
                    self.core.set_synced();
                    break version;
                }
                Err(error) => link.back_off(&error).await,
            }
        };
        let mut fallback = self.fallback();
        loop {
            let watcher = self.core.is_watcher();
            self.core.metrics.watcher.set(watcher.into());
            if watcher {
                after = self.watch(after, &mut link).await;
                continue;
            }
            time::sleep(ROLE_INTERVAL).await;
            let now = self.core.now();
            if self.core.with_rng(|rng| fallback.fire_if_due(rng, now)) {
                match self.read_policy().await {
                    Ok(version) => {
                        after = version;
                        link.set_up(true, "");
                    }
                    Err(error) => link.set_up(false, &error.to_string()),
                }
                fallback = self.fallback();
            }
        }
    }

    async fn watch(&self, after: Version, link: &mut PlatformLink) -> Version {
        self.count_call("watch");
        match self.client.watch(HEAD_OBJECT.0, after, WATCH_WAIT).await {
            Ok(changes) => {
                link.set_up(true, "");
                if changes.changes.iter().all(|change| change.name != HEAD_OBJECT.1) {
                    return changes.version.max(after);
                }
                match self.read_policy().await {
                    Ok(_) => changes.version.max(after),
                    Err(error) => {
                        link.back_off(&error).await;
                        after
                    }
                }
            }
            Err(error) => {
                link.back_off(&error).await;
                after
            }
        }
    }

    /// Reads the policy at short intervals while this agent is a poller or watcher, until the task is
    /// aborted.
    ///
    /// A watch on a connection that went silent delivers nothing. A read may stay unanswered too, so
    /// the next one does not wait for it.
    pub async fn poll_policy(self) {
        let mut reads = FuturesUnordered::new();
        let mut ticks = time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick: u32 = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    tick = tick.wrapping_add(1);
                    let is_check = tick.is_multiple_of(WATCHER_READS_EVERY);
                    let is_due = self.core.is_poller() || is_check && self.core.is_watcher();
                    if reads.len() < POLLS_LIMIT && is_due {
                        reads.push(self.read_policy());
                    }
                }
                Some(result) = reads.next() => {
                    if let Err(error) = result {
                        log::debug!("could not poll the policy on the platform: {error}");
                    }
                }
            }
        }
    }

    /// Keeps the host list up to date until the task is aborted.
    pub async fn follow_hosts(self) {
        let mut fallback = self.fallback();
        let mut never_read = true;
        loop {
            let now = self.core.now();
            let reads_now = never_read || self.core.is_watcher();
            if reads_now || self.core.with_rng(|rng| fallback.fire_if_due(rng, now)) {
                self.count_call("hosts");
                match self.client.hosts().await {
                    Ok(hosts) => {
                        self.core.install_hosts(&hosts);
                        never_read = false;
                    }
                    Err(error) => {
                        log::debug!("could not read the host list from the platform: {error}");
                    }
                }
                fallback = self.fallback();
            }
            let jitter = self.core.with_rng(|rng| rand::Rng::random_range(rng, 0.9..1.1));
            time::sleep(HOSTS_INTERVAL.mul_f64(jitter)).await;
        }
    }

    fn fallback(&self) -> FallbackTimer {
        let members = self.core.with_members(|members| members.live_count()) as u32;
        let interval = FALLBACK_MIN.max(FALLBACK_PER_MEMBER * members);
        let now = self.core.now();
        self.core.with_rng(|rng| FallbackTimer::open(interval, rng, now))
    }

    /// Reads the policy and applies it if it is newer. Returns the version of the head object.
    async fn read_policy(&self) -> Result<Version, Error> {
        self.count_call("head");
        let found = self.client.get(HEAD_OBJECT.0, HEAD_OBJECT.1).await?;
        if let Some(applied) = self.lost_policy(found.as_ref()) {
            return self.write_policy(&applied, found.map(|head| head.version)).await;
        }
        let Some(head) = found else { return Ok(Version::default()) };
        let source = "platform";
        let missing = match self.core.receive_head(&head.value, source) {
            Ok(missing) => missing,
            Err(reason) => {
                log::error!("rejected the policy head from the platform: {reason}");
                return Ok(head.version);
            }
        };
        for digest in missing {
            self.count_call("shard");
            let Some(shard) = self.client.get(SHARD_KIND, digest.as_str()).await? else {
                log::error!("the policy head names shard {digest}, which is not on the platform");
                break;
            };
            if let Err(reason) = self.core.receive_shard(&digest, &shard.value, source) {
                log::error!("rejected policy shard {digest} from the platform: {reason}");
            }
        }
        Ok(head.version)
    }

    /// Returns the policy in force if this agent is a poller and `stored` is an older one: the
    /// platform came back from an older copy.
    fn lost_policy(&self, stored: Option<&Object>) -> Option<Applied> {
        let revision = stored.and_then(|head| Head::decode(&head.value)).map(|head| head.revision);
        let applied = self.core.with_policy(|copy| copy.applied().cloned())?;
        let is_lost = applied.head.revision > revision.unwrap_or(0);
        (is_lost && self.core.is_poller()).then_some(applied)
    }

    /// Writes a policy again that the platform lost, if the head object still has `version`.
    /// Returns the new version of the head object.
    async fn write_policy(
        &self,
        applied: &Applied,
        version: Option<Version>,
    ) -> Result<Version, Error> {
        log::warn!(
            "the platform lost revision {} of the policy; writing it again",
            applied.head.revision
        );
        for shard in applied.head.shards.values() {
            let Some(bytes) = self.core.with_policy(|copy| copy.shard(&shard.digest)) else {
                continue;
            };
            self.count_call("shard-write");
            let name = shard.digest.as_str();
            match self.client.put(SHARD_KIND, name, &bytes, Expect::Absent).await {
                Ok(_) | Err(Error::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        self.count_call("head-write");
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let head = applied.head.encode();
        match self.client.put(HEAD_OBJECT.0, HEAD_OBJECT.1, &head, expect).await {
            // Another poller, or an editor, was first.
            Err(Error::Conflict { current }) => Ok(current.unwrap_or_default()),
            written => written,
        }
    }

    fn count_call(&self, call: &str) {
        self.core.metrics.platform_calls.with_label_values(&[call]).inc();
    }
}

/// Whether the last call to the platform succeeded, and the delay after failed calls, which doubles
/// with each of them.
#[derive(Debug)]
struct PlatformLink {
    core: Arc<Core>,
    up: Option<bool>,
    backoff: Duration,
}

impl PlatformLink {
    fn open(core: &Arc<Core>) -> Self {
        Self { core: core.clone(), up: None, backoff: BACKOFF.0 }
    }

    /// Sets whether the platform responds and records an event if that changed.
    fn set_up(&mut self, up: bool, reason: &str) {
        if up {
            self.backoff = BACKOFF.0;
        }
        if self.up.replace(up) == Some(up) {
            return;
        }
        let kind = if up { Kind::PlatformFound } else { Kind::PlatformLost };
        self.core.recorder.record(kind, &self.core.settings.platform, &[("reason", reason)]);
    }

    /// Records a failed call and waits before the next one.
    async fn back_off(&mut self, error: &Error) {
        self.set_up(false, &error.to_string());
        let jitter = self.core.with_rng(|rng| rand::Rng::random_range(rng, 0.5..1.5));
        time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF.1);
    }
}
