//! The connection to the agent of this host.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use citron::{attempt::ClaimDecision, choice, event::Kind, hlc};
use citron_wire as wire;
use tokio::{sync::mpsc, time};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use tonic::transport::{Channel, Endpoint};
use wire::agent_client::AgentClient;

use crate::{
    shared::Shared,
    shutdown,
    view::{PolicyAssembler, View},
};

/// How long opening a connection to the agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often an open connection is checked, and how long the response or the opening of the stream
/// may take.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long one claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// How many times an undecided claim is requested in total.
const CLAIM_ATTEMPTS: u32 = 2;
/// How often progress is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often evidence about targets is reported.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(200);
/// The first wait after a lost connection.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest wait after a lost connection.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// The most reports that wait to be sent.
const REPORT_QUEUE_CAPACITY: usize = 64;
/// The largest message from the agent, bytes.
const MESSAGE_LIMIT_BYTES: usize = 256 << 20;

/// A lazily connected channel to the agent.
#[derive(Debug, Clone)]
pub struct Link {
    channel: Channel,
}

impl Link {
    /// Prepares the channel, which connects on first use and reconnects after a loss.
    pub fn open(agent: SocketAddr) -> Self {
        let channel = Endpoint::from_shared(format!("http://{agent}"))
            .expect("an address and port make a valid URI")
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true)
            .connect_lazy();
        Self { channel }
    }

    fn client(&self) -> AgentClient<Channel> {
        AgentClient::new(self.channel.clone()).max_decoding_message_size(MESSAGE_LIMIT_BYTES)
    }

    /// Claims an idempotency key for `owner`, and retries for the same owner if undecided.
    pub async fn claim(&self, stamp: hlc::Stamp, digest: &str, owner: &str) -> ClaimDecision {
        for _ in 0..CLAIM_ATTEMPTS {
            let claim = wire::Claim { digest: digest.to_owned(), owner: owner.to_owned() };
            let request = wire::ClaimRequest {
                stamp: Some(to_wire(stamp)),
                claims: vec![claim],
                forwarded: false,
            };
            let mut client = self.client();
            let reply = time::timeout(CLAIM_TIMEOUT, client.claim(request)).await;
            let Ok(Ok(reply)) = reply else { continue };
            match reply.into_inner().results.first() {
                Some(&result) if result == wire::ClaimResult::Granted as i32 => {
                    return ClaimDecision::Granted;
                }
                Some(&result) if result == wire::ClaimResult::Taken as i32 => {
                    return ClaimDecision::Taken;
                }
                _ => {}
            }
        }
        ClaimDecision::Undecided
    }
}

/// Keeps the stream to the agent open and applies the updates. Never returns.
pub async fn run(shared: Arc<Shared>, listen: SocketAddr) {
    let mut assembler = PolicyAssembler::default();
    let mut backoff = BACKOFF_MIN;
    loop {
        match attach(&shared, listen, &mut assembler).await {
            Ok(()) => backoff = BACKOFF_MIN,
            Err(status) => log::debug!("the stream to the agent ended: {status}"),
        }
        if shared.metrics.agent_attached.get() == 1 {
            shared.metrics.agent_attached.set(0);
            backoff = BACKOFF_MIN;
        }
        time::sleep(backoff.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn attach(
    shared: &Arc<Shared>,
    listen: SocketAddr,
    assembler: &mut PolicyAssembler,
) -> Result<(), tonic::Status> {
    let (sender, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let loans = shared.loan_socket.local_addr().map(|addr| addr.to_string()).unwrap_or_default();
    let hello = wire::Hello { listen: listen.to_string(), loans };
    report(shared, &sender, wire::report::Body::Hello(hello));
    report(shared, &sender, wire::report::Body::Progress(progress(shared)));
    let mut client = shared.link.client();
    let attaching = client.attach(ReceiverStream::new(receiver));
    let mut updates = time::timeout(KEEP_ALIVE_INTERVAL, attaching)
        .await
        .map_err(|_| tonic::Status::deadline_exceeded("the agent did not respond in time"))??
        .into_inner();
    shared.metrics.agent_attached.set(1);
    let mut leaving = shared.leaving.subscribe();
    let mut ticks = time::interval(REPORT_INTERVAL);
    let mut evidence = time::interval(EVIDENCE_INTERVAL);
    // Evidence collected while no agent was attached is too old to use.
    let _ = shared.health.report();
    loop {
        tokio::select! {
            update = updates.next() => match update {
                Some(update) => apply(shared, assembler, update?),
                None => return Ok(()),
            },
            _ = ticks.tick() => {}
            _ = evidence.tick() => {
                if let Some(batch) = shared.health.report() {
                    report(shared, &sender, wire::report::Body::Evidence(batch.into()));
                }
                continue;
            }
            Ok(()) = leaving.changed() => {}
        }
        report(shared, &sender, wire::report::Body::Progress(progress(shared)));
        if sender.is_closed() {
            return Ok(());
        }
    }
}

fn progress(shared: &Shared) -> wire::Progress {
    wire::Progress {
        revision: shared.view.load().revision,
        leaving: shared.is_leaving(),
        in_flight: shared.in_flight() as u64,
    }
}

fn report(shared: &Shared, sender: &mpsc::Sender<wire::Report>, body: wire::report::Body) {
    let stamp = Some(to_wire(shared.recorder.stamp()));
    // The queue is full when the agent does not read; a later report replaces this one.
    let _ = sender.try_send(wire::Report { stamp, body: Some(body) });
}

fn apply(shared: &Arc<Shared>, assembler: &mut PolicyAssembler, update: wire::Update) {
    if let Some(stamp) = update.stamp {
        shared.recorder.observe(hlc::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical });
    }
    use wire::update::Body;
    match update.body {
        Some(Body::Policy(message)) => apply_policy(shared, assembler, &message),
        Some(Body::Members(table)) => {
            update_view(shared, |view| {
                let view = view.with_members(&table);
                shared.allowances.set_members(&view.members, shared.clock.now());
                shared.dispatcher.set_proxies(&serving_proxies(&view.members));
                view
            });
        }
        Some(Body::Targets(table)) => update_view(shared, |view| {
            let view = view.with_targets(&table);
            // Set before the view is stored, so that each target in the view can be dispatched to.
            shared.dispatcher.set_targets(&view.services);
            shared.health.apply_view(&view);
            view
        }),
        Some(Body::Leave(_)) => shutdown::begin(shared),
        Some(Body::Verdicts(table)) => {
            for verdict in table.verdicts {
                shared.health.apply_verdict(&verdict.into());
            }
        }
        Some(Body::Synced(_)) | None => {}
    }
}

/// Returns the proxies that accept new requests.
fn serving_proxies(members: &BTreeMap<String, wire::Member>) -> Vec<choice::Proxy> {
    members
        .values()
        .filter(|member| {
            [wire::MemberState::Alive as i32, wire::MemberState::Suspect as i32]
                .contains(&member.state)
        })
        .map(|member| choice::Proxy {
            domain: member.domain.as_str().into(),
            host: member.host.as_str().into(),
        })
        .collect()
}

fn apply_policy(shared: &Shared, assembler: &mut PolicyAssembler, message: &wire::Policy) {
    let Some((revision, policy)) = assembler.apply(message) else {
        return;
    };
    update_view(shared, |view| view.with_policy(revision, policy));
    shared.health.apply_view(&shared.view.load());
    shared.metrics.policy_revision.set(revision as i64);
    shared.recorder.record(Kind::PolicyApplied, &revision.to_string(), &[]);
}

/// Replaces the view. Only the task of the link calls this, so no update is lost.
fn update_view(shared: &Shared, next: impl FnOnce(&View) -> View) {
    let view = next(&shared.view.load());
    shared.view.store(Arc::new(view));
}

fn to_wire(stamp: hlc::Stamp) -> wire::Stamp {
    wire::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical }
}
