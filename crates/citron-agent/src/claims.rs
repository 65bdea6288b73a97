//! Decides claims of idempotency keys with the platform, at the key's home or here.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use citron::{
    claim::{self, Action, Bucket, Decision, ReadResult, WriteResult},
    member::State,
    placement::{self, Host},
};
use citron_platform::{Client, Error, Expect, Version};
use citron_wire::{Claim, ClaimRequest, ClaimResult};
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{core::Core, peer::Peers};

/// The kind of the objects that hold claims.
pub const KIND: &str = "claims";
/// How long the home of a key may take until the claim is decided here.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time between two looks at a bucket's timers.
const TICK: Duration = Duration::from_millis(20);
/// How long the task of an idle bucket is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Claims that wait for a bucket's task.
const CLAIM_CAPACITY: usize = 1024;

/// Decides claims.
#[derive(Debug)]
pub struct Claims {
    core: Arc<Core>,
    client: Client,
    peers: Arc<Peers>,
    buckets: Mutex<BTreeMap<String, mpsc::Sender<PendingClaim>>>,
}

/// A claim and where to answer it.
#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    decision_sender: oneshot::Sender<Decision>,
}

impl Claims {
    /// Opens the claims of this agent.
    pub fn open(core: Arc<Core>, client: Client, peers: Arc<Peers>) -> Self {
        Self { core, client, peers, buckets: Mutex::default() }
    }

    /// Returns one result per claim, in order; claims that were forwarded are decided here.
    pub async fn decide(&self, claims: Vec<Claim>, forwarded: bool) -> Vec<ClaimResult> {
        let decided = claims.into_iter().map(|claim| self.decide_one(claim, forwarded));
        join_all(decided).await
    }

    async fn decide_one(&self, claim: Claim, forwarded: bool) -> ClaimResult {
        let bucket = claim::bucket_name(&claim.digest);
        let preferred = if forwarded { None } else { self.preferred_agent(&bucket) };
        let remote = match preferred {
            Some(control) => self.forward(&control, claim.clone()).await,
            None => None,
        };
        let result = match remote {
            Some(result) => result,
            None => self.decide_locally(bucket, claim).await,
        };
        let label = match result {
            ClaimResult::Granted => "granted",
            ClaimResult::Taken => "taken",
            ClaimResult::Undecided | ClaimResult::Unspecified => "undecided",
        };
        self.core.metrics.claims.with_label_values(&[label]).inc();
        result
    }

    /// Returns the control address of the bucket's home, or `None` if that is this host.
    ///
    /// The home only makes batches larger; any member decides as correctly.
    fn preferred_agent(&self, bucket: &str) -> Option<String> {
        self.core.with_members(|members| {
            let alive = members.others().filter(|member| member.record.state == State::Alive);
            let mut hosts: Vec<Host<'_>> = alive
                .map(|member| Host { name: &member.record.host, domain: &member.record.domain })
                .collect();
            let me = members.me();
            hosts.push(Host { name: &me.host, domain: &me.domain });
            let first = *placement::rank(&["claims", bucket], &hosts).first()?;
            members.get(first).map(|member| member.record.addresses.control.clone())
        })
    }

    /// Returns the home's result, or `None` if it gave none.
    async fn forward(&self, control: &str, claim: Claim) -> Option<ClaimResult> {
        let mut client = self.peers.client(control)?;
        self.core.metrics.peer_calls.with_label_values(&["claim"]).inc();
        let request = ClaimRequest { stamp: None, claims: vec![claim], forwarded: true };
        let reply = time::timeout(FORWARD_TIMEOUT, client.claim(request)).await;
        let Ok(Ok(reply)) = reply else {
            self.peers.forget(control);
            return None;
        };
        let result = *reply.into_inner().results.first()?;
        ClaimResult::try_from(result).ok().filter(|result| *result != ClaimResult::Unspecified)
    }

    async fn decide_locally(&self, bucket: String, claim: Claim) -> ClaimResult {
        let (decision_sender, decision) = oneshot::channel();
        let pending = PendingClaim { claim, decision_sender };
        // A task that just ended takes nothing more; the claim then has no decision.
        if self.task_queue(bucket).send(pending).await.is_err() {
            return ClaimResult::Undecided;
        }
        match decision.await {
            Ok(Decision::Granted) => ClaimResult::Granted,
            Ok(Decision::Taken) => ClaimResult::Taken,
            Ok(Decision::Undecided) | Err(_) => ClaimResult::Undecided,
        }
    }

    /// Returns the queue of the bucket's task, which is started if there is none.
    fn task_queue(&self, bucket: String) -> mpsc::Sender<PendingClaim> {
        let mut buckets = self.buckets.lock();
        buckets.retain(|_, queue| !queue.is_closed());
        let queue = buckets.entry(bucket.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(CLAIM_CAPACITY);
            let task = BucketTask {
                core: self.core.clone(),
                client: self.client.clone(),
                name: bucket,
                bucket: Bucket::new(),
                tickets: HashMap::new(),
                last_ticket: 0,
                results: mpsc::channel(1),
            };
            tokio::spawn(task.run(receiver));
            sender
        });
        queue.clone()
    }
}

/// The result of a call to the platform.
#[derive(Debug)]
enum CallResult {
    Read(ReadResult),
    Written(WriteResult),
}

/// Carries out what one bucket asks for.
struct BucketTask {
    core: Arc<Core>,
    client: Client,
    name: String,
    bucket: Bucket,
    tickets: HashMap<u64, oneshot::Sender<Decision>>,
    last_ticket: u64,
    results: (mpsc::Sender<CallResult>, mpsc::Receiver<CallResult>),
}

impl BucketTask {
    async fn run(mut self, mut queue: mpsc::Receiver<PendingClaim>) {
        let mut idle_since = self.core.now();
        loop {
            let actions = tokio::select! {
                pending = queue.recv() => match pending {
                    Some(pending) => self.add_claim(pending),
                    None => return,
                },
                Some(result) = self.results.1.recv() => self.handle_result(result),
                () = time::sleep(TICK), if !self.bucket.is_idle() => {
                    self.bucket.tick(self.core.now(), self.core.recorder.clock().wall_ms())
                }
                () = time::sleep(IDLE_TIMEOUT), if self.bucket.is_idle() => {
                    if self.core.now().saturating_sub(idle_since) >= IDLE_TIMEOUT {
                        queue.close();
                    }
                    Vec::new()
                }
            };
            if !actions.is_empty() {
                idle_since = self.core.now();
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn add_claim(&mut self, pending: PendingClaim) -> Vec<Action> {
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, pending.decision_sender);
        let (now, wall_ms) = (self.core.now(), self.core.recorder.clock().wall_ms());
        let Claim { digest, owner } = &pending.claim;
        self.bucket.claim(self.last_ticket, digest, owner, now, wall_ms)
    }

    fn handle_result(&mut self, result: CallResult) -> Vec<Action> {
        let (now, wall_ms) = (self.core.now(), self.core.recorder.clock().wall_ms());
        match result {
            CallResult::Read(read) => self.bucket.handle_read(read, now, wall_ms),
            CallResult::Written(write) => self.bucket.handle_write(write, now, wall_ms),
        }
    }

    fn execute(&mut self, action: Action) {
        let (client, name, sender) =
            (self.client.clone(), self.name.clone(), self.results.0.clone());
        let calls = &self.core.metrics.platform_calls;
        match action {
            Action::Respond { ticket, decision } => {
                if let Some(decision_sender) = self.tickets.remove(&ticket) {
                    // The claimant may have gone away.
                    let _ = decision_sender.send(decision);
                }
            }
            Action::Read => {
                calls.with_label_values(&["claims-read"]).inc();
                tokio::spawn(async move {
                    let read = match client.get(KIND, &name).await {
                        Ok(Some(object)) => ReadResult::Found(object.version.0, object.value),
                        Ok(None) => ReadResult::Absent,
                        Err(_) => ReadResult::Failed,
                    };
                    let _ = sender.send(CallResult::Read(read)).await;
                });
            }
            Action::Write { value, expect } => {
                calls.with_label_values(&["claims-write"]).inc();
                tokio::spawn(async move {
                    let expect = expect.map_or(Expect::Absent, |v| Expect::Version(Version(v)));
                    let written = match client.put(KIND, &name, &value, expect).await {
                        Ok(version) => WriteResult::Done(version.0),
                        Err(Error::Conflict { .. }) => WriteResult::Conflict,
                        Err(Error::Unknown { .. }) => WriteResult::Unknown,
                        Err(_) => WriteResult::Failed,
                    };
                    let _ = sender.send(CallResult::Written(written)).await;
                });
            }
        }
    }
}
