//! A stand-in for the agent, which sends the updates that a test provides.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use citron::policy::{Head, Policy, Shard, ShardRef};
use citron_wire as wire;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio_stream::{
    Stream, StreamExt,
    wrappers::{TcpListenerStream, UnboundedReceiverStream},
};
use tonic::{Request, Response, Status, Streaming};
use wire::{agent_server, update::Body};

pub type ClaimScript = Arc<dyn Fn(&wire::Claim) -> Result<wire::ClaimResult, Status> + Send + Sync>;

#[derive(Clone)]
pub struct Agent {
    pub addr: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    log: Mutex<Vec<wire::Update>>,
    streams: Mutex<Vec<mpsc::UnboundedSender<Result<wire::Update, Status>>>>,
    reports: Mutex<Vec<wire::Report>>,
    claims: Mutex<Vec<wire::Claim>>,
    script: Mutex<ClaimScript>,
    attached: AtomicU32,
}

impl Agent {
    pub async fn spawn() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let inner = Arc::new(Inner {
            log: Mutex::default(),
            streams: Mutex::default(),
            reports: Mutex::default(),
            claims: Mutex::default(),
            script: Mutex::new(Arc::new(|_| Ok(wire::ClaimResult::Granted))),
            attached: AtomicU32::new(0),
        });
        let service = agent_server::AgentServer::new(Service(Arc::clone(&inner)));
        let server = tonic::transport::Server::builder().add_service(service);
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Self { addr, inner }
    }

    pub fn send(&self, body: Body) {
        let update = wire::Update { stamp: None, body: Some(body) };
        self.inner.log.lock().push(update.clone());
        self.inner.streams.lock().retain(|stream| stream.send(Ok(update.clone())).is_ok());
    }

    /// Sends a policy with all its shards.
    pub fn send_policy(&self, revision: u64, customers: &str, grants: &str) {
        let policy = Policy::parse(customers, grants).expect("the lists must be valid");
        self.send(Body::Policy(policy_message(revision, &policy)));
    }

    /// Sends members, each as its host, its address for loans, and whether the platform lists it.
    pub fn send_members(&self, members: &[(&str, &str, bool)]) {
        let members = members
            .iter()
            .map(|(host, loans, listed)| wire::Member {
                host: (*host).to_owned(),
                domain: "a".to_owned(),
                state: wire::MemberState::Alive as i32,
                loans: (*loans).to_owned(),
                listed: *listed,
                ..wire::Member::default()
            })
            .collect();
        self.send(Body::Members(wire::MemberTable { full: true, members, removed: vec![] }));
    }

    /// Sends targets `t0`, `t1`, ... of lot-desk.
    pub fn send_targets(&self, addrs: &[SocketAddr]) {
        let targets = addrs.iter().enumerate().map(|(i, addr)| target_entry(i, *addr)).collect();
        self.send(Body::Targets(wire::TargetTable { full: true, targets, removed: vec![] }));
    }

    /// Ends all open streams.
    pub fn drop_streams(&self) {
        self.inner.streams.lock().clear();
    }

    pub fn set_claims(&self, script: ClaimScript) {
        *self.inner.script.lock() = script;
    }

    pub fn claims(&self) -> Vec<wire::Claim> {
        self.inner.claims.lock().clone()
    }

    pub fn reports(&self) -> Vec<wire::Report> {
        self.inner.reports.lock().clone()
    }

    /// Returns how many times a proxy has attached.
    pub fn attached(&self) -> u32 {
        self.inner.attached.load(Ordering::SeqCst)
    }
}

pub fn target_entry(index: usize, addr: SocketAddr) -> wire::Target {
    wire::Target {
        name: format!("t{index}"),
        service: "lot-desk".to_owned(),
        address: addr.to_string(),
        domain: "a".to_owned(),
        slots: 3,
        connections: 400,
        leaving: false,
    }
}

pub fn policy_message(revision: u64, policy: &Policy) -> wire::Policy {
    let mut head = Head { revision, ..Head::default() };
    let mut shards = Vec::new();
    for (key, shard) in Shard::split(policy) {
        let (digest, json) = shard.encode();
        shards.push(wire::Shard { digest: digest.to_string(), json: json.clone() });
        head.shards.insert(key, ShardRef { digest, bytes: json.len() as u64 });
    }
    let json = serde_json::to_vec(&head).expect("a head is JSON");
    wire::Policy { head: Some(wire::Head { revision, json }), shards }
}

struct Service(Arc<Inner>);

#[tonic::async_trait]
impl agent_server::Agent for Service {
    type AttachStream = Pin<Box<dyn Stream<Item = Result<wire::Update, Status>> + Send>>;

    async fn attach(
        &self,
        request: Request<Streaming<wire::Report>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for update in self.0.log.lock().iter() {
            sender.send(Ok(update.clone())).expect("the receiver is open");
        }
        self.0.streams.lock().push(sender);
        self.0.attached.fetch_add(1, Ordering::SeqCst);
        let inner = Arc::clone(&self.0);
        let mut reports = request.into_inner();
        tokio::spawn(async move {
            while let Some(Ok(report)) = reports.next().await {
                inner.reports.lock().push(report);
            }
        });
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver))))
    }

    async fn claim(
        &self,
        request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimReply>, Status> {
        let script = Arc::clone(&self.0.script.lock());
        let mut results = Vec::new();
        for claim in &request.get_ref().claims {
            self.0.claims.lock().push(claim.clone());
            results.push(script(claim)? as i32);
        }
        Ok(Response::new(wire::ClaimReply { results }))
    }

    async fn fetch_head(
        &self,
        _: Request<wire::HeadRequest>,
    ) -> Result<Response<wire::Head>, Status> {
        Err(Status::unimplemented("not used by a proxy"))
    }

    async fn fetch_shard(
        &self,
        _: Request<wire::ShardRequest>,
    ) -> Result<Response<wire::Shard>, Status> {
        Err(Status::unimplemented("not used by a proxy"))
    }

    async fn fetch_tables(
        &self,
        _: Request<wire::TablesRequest>,
    ) -> Result<Response<wire::Tables>, Status> {
        Err(Status::unimplemented("not used by a proxy"))
    }
}
