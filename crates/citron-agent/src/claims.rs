//! Decides claims of idempotency keys against the platform, at the preferred agent of the key's
//! bucket or locally.

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
/// How long the preferred agent of a bucket may take before the claim is decided locally.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which a bucket's timers are checked.
const TICK: Duration = Duration::from_millis(20);
/// How long an idle bucket's task runs before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The capacity of a bucket's queue of claims.
const CLAIM_CAPACITY: usize = 1024;

/// Decides claims, with one task per bucket so that claims of a bucket share platform calls.
#[derive(Debug)]
pub struct Claims {
    core: Arc<Core>,
    client: Client,
    peers: Arc<Peers>,
    buckets: Mutex<BTreeMap<String, mpsc::Sender<PendingClaim>>>,
}

/// A claim and the channel that receives its decision.
#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    decision_sender: oneshot::Sender<Decision>,
}

impl Claims {
    pub fn open(core: Arc<Core>, client: Client, peers: Arc<Peers>) -> Self {
        Self { core, client, peers, buckets: Mutex::default() }
    }

    /// Returns one result per claim, in order. Claims that another agent forwarded are decided
    /// locally.
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

    /// Returns the control address of the bucket's preferred agent, or `None` if that is this
    /// agent.
    ///
    /// Forwarding to it only makes batches larger: every agent decides claims correctly.
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

    /// Forwards a claim and returns its result, or `None` if the agent did not return one.
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
        // The task may just have ended because it was idle; the claim is then undecided.
        if self.task_queue(bucket).send(pending).await.is_err() {
            return ClaimResult::Undecided;
        }
        match decision.await {
            Ok(Decision::Granted) => ClaimResult::Granted,
            Ok(Decision::Taken) => ClaimResult::Taken,
            Ok(Decision::Undecided) | Err(_) => ClaimResult::Undecided,
        }
    }

    /// Returns the queue of the bucket's task, and starts the task if it does not run.
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

/// Executes the actions of one bucket: platform calls and responses to claims.
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
                    // The claimant may no longer be waiting.
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
