//! The control path of one entry host: membership, policy, the platform's host list and locate
//! responses.

mod claims;
mod control;
mod convert;
mod coordinator;
mod core;
mod gossip;
mod http;
mod metrics;
mod peer;
mod pull;
mod reader;
mod settings;
mod sweep;

pub use self::{
    core::{Core, Lists, Notice, PeerVersions},
    http::locate,
    metrics::Metrics,
    settings::{SPECS, Settings},
};

use std::{sync::Arc, time::Duration};

use citron::{
    event::Kind,
    member::{self, Addresses, Membership, Record, State},
};
use citron_daemon::{Admin, Clock, Recorder};
use citron_platform::Client;
use citron_wire::agent_server::AgentServer;
use eyre::WrapErr;
use rand::{SeedableRng, rngs::OsRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time,
};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::{claims::Claims, control::Control, peer::Peers, reader::Reader};

/// How long a call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which a leaving agent checks its proxy.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// How long a leaving agent keeps running, so that its leaving state reaches other members, and
/// waits
/// for its proxy to start leaving.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);
/// The largest request message that the control service accepts.
const REQUEST_LIMIT_BYTES: usize = 64 << 20;

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    core: Arc<Core>,
    admin: Admin,
    tasks: JoinSet<()>,
}

impl Agent {
    /// Binds all addresses and starts the agent. The policy is read in the background.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the platform's URL is invalid.
    pub async fn bind(mut settings: Settings, clock: Clock) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(settings.gossip)
            .await
            .wrap_err_with(|| format!("cannot bind --gossip {}", settings.gossip))?;
        let listener = TcpListener::bind(settings.control)
            .await
            .wrap_err_with(|| format!("cannot bind --control {}", settings.control))?;
        settings.gossip = socket.local_addr()?;
        settings.control = listener.local_addr()?;
        let recorder = Recorder::open(&settings.host, "citron-agent", clock);
        let (slot, metrics) = (http::Slot::default(), Metrics::open());
        let admin = bind_admin(&settings, &metrics, &recorder, &slot).await?;
        settings.listen = admin.addr();
        let mut rng = ChaCha8Rng::try_from_rng(&mut OsRng)?;
        let members = open_members(&settings, &mut rng, clock);
        let (core, queues) = Core::open(settings, recorder, metrics, members, rng);
        slot.get_or_init(|| core.clone());
        let client = Client::open(&core.settings.platform, PLATFORM_TIMEOUT)
            .map_err(|error| eyre::eyre!("--platform cannot be used: {error}"))?;

        let (peers, socket) = (Arc::new(Peers::default()), Arc::new(socket));
        let claims = Arc::new(Claims::open(core.clone(), client.clone(), peers.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip::tick(core.clone()));
        tasks.spawn(gossip::send(core.clone(), socket.clone(), queues.datagrams));
        tasks.spawn(gossip::receive(core.clone(), socket));
        tasks.spawn(pull::pull_newer(core.clone(), peers.clone(), queues.newer_versions));
        tasks.spawn(pull::bootstrap(core.clone(), peers.clone()));
        tasks.spawn(pull::reconcile(core.clone(), peers));
        tasks.spawn(sweep::run(core.clone(), client.clone()));
        tasks.spawn(coordinator::run(core.clone()));
        let reader = Reader::open(core.clone(), client);
        tasks.spawn(reader.clone().follow_policy());
        tasks.spawn(reader.clone().poll_policy());
        tasks.spawn(reader.follow_hosts());
        tasks.spawn(serve(Control::new(core.clone(), claims), listener));
        core.recorder.record(Kind::Started, &core.settings.host, &[]);
        Ok(Self { core, admin, tasks })
    }

    /// Returns the shared state.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Returns the ready line, which contains the bound addresses.
    pub fn ready(&self) -> Value {
        let settings = &self.core.settings;
        json!({
            "ready": true, "program": "citron-agent", "host": settings.host,
            "domain": settings.domain, "listen": settings.listen, "control": settings.control,
            "gossip": settings.gossip,
        })
    }

    /// Waits until a task of the agent panics because an invariant was violated.
    pub async fn failed(&mut self) -> String {
        loop {
            match self.tasks.join_next().await {
                Some(Err(error)) => return error.to_string(),
                // The bootstrap task ends once the agent has its state.
                Some(Ok(())) => {}
                None => return "all tasks ended".to_owned(),
            }
        }
    }

    /// Leaves the membership and stops, after this host's proxy if that is leaving as well.
    ///
    /// A proxy that keeps running uses the last state it received until an agent is started again.
    pub async fn leave(self) {
        self.core.leave();
        let proxy_leaving =
            time::timeout(NOTICE_PERIOD, self.wait_until(Core::is_proxy_leaving)).await;
        if proxy_leaving.is_ok() {
            let detached = self.wait_until(|core| core.metrics.attached.get() == 0);
            if time::timeout(self.core.settings.grace, detached).await.is_err() {
                log::warn!(
                    "the proxy is still attached after the grace period; stopping without it"
                );
            }
        }
        self.core.recorder.record(Kind::Stopped, &self.core.settings.host, &[]);
        self.stop().await;
    }

    async fn wait_until(&self, holds: impl Fn(&Core) -> bool) {
        while !holds(&self.core) {
            time::sleep(LEAVE_POLL).await;
        }
    }

    /// Stops at once without leaving, as if the host had failed.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.admin.stop().await;
    }
}

fn open_members(settings: &Settings, rng: &mut ChaCha8Rng, clock: Clock) -> Membership {
    let me = Record {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: clock.wall_ms(),
        state: State::Alive,
        addresses: Addresses {
            gossip: settings.gossip.to_string(),
            control: settings.control.to_string(),
            admin: settings.listen.to_string(),
            ..Addresses::default()
        },
        revision: 0,
    };
    let members_rng = ChaCha8Rng::from_rng(rng);
    Membership::open(me, &settings.seeds, member::Config::default(), members_rng, clock.now())
}

async fn bind_admin(
    settings: &Settings,
    metrics: &Metrics,
    recorder: &Recorder,
    slot: &http::Slot,
) -> eyre::Result<Admin> {
    let (status_slot, route_slot) = (slot.clone(), slot.clone());
    let admin = citron_daemon::bind_admin(
        settings.listen,
        metrics.registry.clone(),
        recorder.clone(),
        move || status_slot.get().map_or(Value::Null, |core| http::status(core)),
        move |rocket| http::mount(rocket, route_slot),
    );
    admin.await.wrap_err("cannot serve --listen")
}

async fn serve(control: Control, listener: TcpListener) {
    let service = AgentServer::new(control).max_decoding_message_size(REQUEST_LIMIT_BYTES);
    let incoming = TcpListenerStream::new(listener);
    if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
        log::error!("the control service ended: {error}");
    }
}
