//! The gRPC service for this host's proxy and for other agents.

use std::{collections::BTreeSet, pin::Pin, sync::Arc};

use citron::policy::{Applied, Digest};
use citron_wire::{
    self as wire, ClaimReply, ClaimRequest, HeadRequest, Report, ShardRequest, TablesRequest,
    Update, agent_server::Agent, report, update,
};
use futures::Stream;
use tokio::sync::{broadcast::error::RecvError, mpsc};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use tonic::{Request, Response, Status, Streaming};

use crate::{
    claims::Claims,
    core::{Core, Notice},
    pull::wait_synced,
};

/// The capacity of the queue of updates to one proxy.
const UPDATE_CAPACITY: usize = 16;

/// The gRPC service of an agent.
#[derive(Debug, Clone)]
pub struct Control {
    core: Arc<Core>,
    claims: Arc<Claims>,
}

impl Control {
    pub fn new(core: Arc<Core>, claims: Arc<Claims>) -> Self {
        Self { core, claims }
    }
}

type Updates = Pin<Box<dyn Stream<Item = Result<Update, Status>> + Send>>;

#[tonic::async_trait]
impl Agent for Control {
    type AttachStream = Updates;

    async fn attach(
        &self,
        request: Request<Streaming<Report>>,
    ) -> Result<Response<Updates>, Status> {
        let reports = request.into_inner();
        let (sender, receiver) = mpsc::channel(UPDATE_CAPACITY);
        let feed = Feed {
            core: self.core.clone(),
            sender,
            sent_shards: BTreeSet::new(),
            sent_revision: 0,
        };
        tokio::spawn(feed.run());
        tokio::spawn(receive_reports(self.core.clone(), reports));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver).map(Ok))))
    }

    async fn fetch_head(&self, _: Request<HeadRequest>) -> Result<Response<wire::Head>, Status> {
        Ok(Response::new(head(&self.core)))
    }

    async fn fetch_shard(
        &self,
        request: Request<ShardRequest>,
    ) -> Result<Response<wire::Shard>, Status> {
        let digest = request.into_inner().digest;
        let json = self.core.with_policy(|copy| copy.shard(&Digest::from_hex(&*digest)));
        match json {
            Some(json) => Ok(Response::new(wire::Shard { digest, json: json.to_vec() })),
            None => Err(Status::not_found("the policy in force here has no such shard")),
        }
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let request = request.into_inner();
        let results = self.claims.decide(request.claims, request.forwarded).await;
        Ok(Response::new(ClaimReply { results: results.into_iter().map(i32::from).collect() }))
    }

    async fn fetch_tables(
        &self,
        request: Request<TablesRequest>,
    ) -> Result<Response<wire::Tables>, Status> {
        let request = request.into_inner();
        let mut tables = self.core.with_lists(|lists| {
            let entries = lists.entries.changes_since(request.hosts_version);
            let targets = lists.targets.changes_since(request.hosts_version);
            wire::Tables {
                hosts_version: targets.version,
                entries: Some(wire::MemberTable {
                    full: entries.full,
                    members: entries.entries.into_iter().map(|(_, entry)| entry).collect(),
                    removed: entries.removed,
                }),
                targets: Some(wire::TargetTable {
                    full: targets.full,
                    targets: targets.entries.into_iter().map(|(_, target)| target).collect(),
                    removed: targets.removed,
                }),
                ..wire::Tables::default()
            }
        });
        tables.verdicts = Some(self.core.verdict_table());
        tables.members = request.members.then(|| self.core.member_table());
        Ok(Response::new(tables))
    }
}

/// Returns the policy head in force, with revision 0 if there is none.
fn head(core: &Core) -> wire::Head {
    core.with_policy(|copy| copy.applied().map_or_else(wire::Head::default, encode))
}

fn encode(applied: &Applied) -> wire::Head {
    let json = serde_json::to_vec(&applied.head).expect("a head has only string keys");
    wire::Head { revision: applied.head.revision, json }
}

/// Receives the reports of an attached proxy until it detaches.
async fn receive_reports(core: Arc<Core>, mut reports: Streaming<Report>) {
    core.metrics.attached.inc();
    let mut address = String::new();
    while let Ok(Some(report)) = reports.message().await {
        if let Some(stamp) = report.stamp {
            let stamp = citron::hlc::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
            core.recorder.observe(stamp);
        }
        match report.body {
            Some(report::Body::Hello(hello)) => {
                core.attach_proxy(&hello.listen, &hello.loans);
                address = hello.listen;
            }
            Some(report::Body::Evidence(batch)) => core.publish_evidence(batch),
            Some(report::Body::Progress(progress)) => {
                core.set_proxy_revision(progress.revision);
                if progress.leaving {
                    core.leave_with_proxy();
                }
            }
            None => {}
        }
    }
    core.metrics.attached.dec();
    let current = core.with_members(|members| members.me().addresses.proxy.clone());
    // A restarted proxy may already have attached with another address.
    if current == address {
        core.set_proxy("", "");
    }
}

/// Sends the state and its changes to one attached proxy.
struct Feed {
    core: Arc<Core>,
    sender: mpsc::Sender<Update>,
    /// The digests of the shards that the last policy sent refers to.
    sent_shards: BTreeSet<Digest>,
    /// The policy revision that was sent last.
    sent_revision: u64,
}

impl Feed {
    async fn run(mut self) {
        let mut notices = self.core.notices();
        let mut synced = self.core.synced();
        let mut synced_sent = false;
        if self.send_all().await.is_none() {
            return;
        }
        loop {
            let sent = tokio::select! {
                () = self.sender.closed() => return,
                sender_open = wait_synced(&mut synced), if !synced_sent => {
                    synced_sent = true;
                    if !sender_open { return }
                    self.send_synced().await
                }
                notice = notices.recv() => match notice {
                    Ok(notice) => self.send_notice(notice).await,
                    Err(RecvError::Lagged(_)) => self.send_all().await,
                    Err(RecvError::Closed) => return,
                }
            };
            if sent.is_none() {
                return;
            }
        }
    }

    async fn send_all(&mut self) -> Option<()> {
        self.send_policy().await?;
        self.send(update::Body::Members(self.core.member_table())).await?;
        self.send(update::Body::Targets(self.core.target_table())).await?;
        self.send(update::Body::Verdicts(self.core.verdict_table())).await?;
        if self.core.is_drained() {
            self.send(update::Body::Leave(wire::Leave {})).await?;
        }
        Some(())
    }

    async fn send_synced(&mut self) -> Option<()> {
        self.send_policy().await?;
        self.send(update::Body::Synced(wire::Synced {})).await
    }

    async fn send_notice(&mut self, notice: Notice) -> Option<()> {
        match notice {
            Notice::Policy => self.send_policy().await,
            Notice::Members(hosts) => {
                let table = self.core.member_changes(&hosts);
                self.send(update::Body::Members(table)).await
            }
            Notice::Targets(changes) => {
                let targets = changes.entries.iter().map(|(_, target)| target.clone()).collect();
                let removed = changes.removed.clone();
                let table = wire::TargetTable { full: changes.full, targets, removed };
                self.send(update::Body::Targets(table)).await
            }
            Notice::Verdicts(verdicts) => {
                let table = wire::VerdictTable { verdicts: verdicts.to_vec() };
                self.send(update::Body::Verdicts(table)).await
            }
            Notice::Leave => self.send(update::Body::Leave(wire::Leave {})).await,
        }
    }

    async fn send_policy(&mut self) -> Option<()> {
        let policy = self.core.with_policy(|copy| {
            let applied =
                copy.applied().filter(|applied| applied.head.revision > self.sent_revision)?;
            let digests = applied.head.shards.values().map(|shard| shard.digest.clone());
            let digests: BTreeSet<Digest> = digests.collect();
            let unsent = digests.difference(&self.sent_shards);
            let shards = unsent.filter_map(|digest| {
                let json = copy.shard(digest)?.to_vec();
                Some(wire::Shard { digest: digest.to_string(), json })
            });
            let policy = wire::Policy { head: Some(encode(applied)), shards: shards.collect() };
            Some((policy, applied.head.revision, digests))
        });
        let Some((policy, revision, digests)) = policy else { return Some(()) };
        self.sent_revision = revision;
        self.sent_shards = digests;
        self.send(update::Body::Policy(policy)).await
    }

    async fn send(&mut self, body: update::Body) -> Option<()> {
        let stamp = self.core.recorder.stamp();
        let stamp = wire::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
        self.sender.send(Update { stamp: Some(stamp), body: Some(body) }).await.ok()
    }
}
