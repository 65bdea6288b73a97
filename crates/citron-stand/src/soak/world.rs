//! The system of a run and its surroundings: gateways as processes, the store, targets, relays.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use eyre::{WrapErr, bail};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};

use super::{
    Settings,
    plan::Fault,
    process::{Host, Process, free_block},
    record::{Record, Rejection, Run, Trouble, Version, What},
};
use crate::{
    gateway::{
        store::{Mood, Store},
        target::{Act, Seen, Target},
    },
    relay::{self, Cut, Relay},
};

/// The services that the routes go to by turns, and one that no route ever goes to.
const SERVICES: [&str; 4] = ["north", "south", "east", "forbidden"];
/// The routes.
const ROUTES: [&str; 2] = ["lots", "orders"];
/// The targets at which a request of any route may run.
pub const MAX_ATTEMPTS: usize = 3;
/// The failure domains of gateways, targets and callers.
pub const DOMAINS: usize = 3;
/// The time between SIGTERM and the kill.
const GRACE: Duration = Duration::from_secs(6);
/// How long the entry of a target that leaves stays.
const LEAVING_STAY: Duration = Duration::from_secs(6);
/// How long the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(500);
/// How long a process that ended stays down.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// One target of so many goes on as usual while the others reject requests.
const REJECTING_EVERY: usize = 10;
/// The share of requests that a target rejects meanwhile.
const REJECTED_SHARE: f64 = 0.8;
/// The pause between two looks at a process or a condition.
const POLL: Duration = Duration::from_millis(20);

/// The running system with its surroundings.
#[derive(Debug)]
pub struct World {
    /// What was seen.
    pub record: Arc<Mutex<Record>>,
    /// The gateways' hosts.
    pub hosts: Vec<Host>,
    folder: PathBuf,
    store: Store,
    /// The way of each gateway to the store.
    store_links: Vec<Relay>,
    gateways: Vec<Mutex<Slot>>,
    places: Mutex<Places>,
    version: Mutex<u64>,
    _lock: TcpListener,
}

/// A gateway's place, whether or not its process runs.
#[derive(Debug, Default)]
struct Slot {
    process: Option<Process>,
    /// Whether the harness is ending or restarting it.
    is_busy: bool,
}

/// The targets by place; a place keeps its service.
#[derive(Debug)]
struct Places {
    current: Vec<Arc<Place>>,
    /// Those that were replaced; they serve on for a while, and their ledgers count.
    past: Vec<Arc<Place>>,
    next: usize,
}

/// A target with the relay before it.
#[derive(Debug)]
struct Place {
    target: Target,
    link: Relay,
    domain: String,
}

impl World {
    /// Starts everything and waits until all gateways are ready.
    ///
    /// # Errors
    /// Fails if something cannot be started or a gateway does not become ready.
    pub async fn start(settings: &Settings, folder: PathBuf) -> eyre::Result<Self> {
        std::fs::create_dir_all(&folder).wrap_err("cannot create the folder of the run")?;
        let (block, lock) = free_block().await?;
        let store = Store::bind().await;
        let (mut hosts, mut store_links) = (Vec::new(), Vec::new());
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        for n in 0..settings.gateways {
            let link =
                relay::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), store.addr()).await?;
            let domain = n % DOMAINS;
            let ip = Ipv4Addr::new(127, block, domain as u8 + 1, (n / DOMAINS) as u8 + 1);
            hosts.push(Host {
                name: format!("entry-{n}"),
                ip,
                domain: format!("d{domain}"),
                cores: rng.random_range(1..3),
                store: link.addr(),
                seeds: Vec::new(),
                keep_limit_s: 2.0,
            });
            store_links.push(link);
        }
        let seeds: Vec<SocketAddr> = hosts.iter().take(DOMAINS).map(Host::control).collect();
        hosts.iter_mut().for_each(|host| host.seeds.clone_from(&seeds));
        let gateways = hosts.iter().map(|_| Mutex::default()).collect();
        let places = Places { current: Vec::new(), past: Vec::new(), next: 0 };
        let world = Self {
            record: Arc::default(),
            hosts,
            folder,
            store,
            store_links,
            gateways,
            places: Mutex::new(places),
            version: Mutex::new(0),
            _lock: lock,
        };
        for n in 0..settings.targets {
            let place = world.open(n).await?;
            world.register(&place, "ready");
            world.places.lock().current.push(place);
        }
        world.change();
        for n in 0..world.hosts.len() {
            world.spawn(n)?;
        }
        world.wait_ready(Duration::from_secs(30)).await?;
        Ok(world)
    }

    /// Waits until all gateways say that they are ready.
    ///
    /// # Errors
    /// Fails if they are not within `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> eyre::Result<()> {
        let end = Instant::now() + limit;
        for host in &self.hosts {
            let url = format!("http://{}/v1/ready", host.ready());
            while !reqwest::get(&url).await.is_ok_and(|answer| answer.status().is_success()) {
                if Instant::now() > end {
                    bail!("{} is not ready within {limit:?}", host.name);
                }
                time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Writes the next version of the configuration: each route goes to the next service.
    pub fn change(&self) {
        let mut version = self.version.lock();
        *version += 1;
        let services = services(*version);
        let config = configuration(*version, &services);
        // Recorded before it is written, so that no effect can come before its record.
        self.record.lock().versions.push(Version { services, at: Instant::now() });
        self.store.put("config", "main", config);
    }

    /// Writes the entry of a target again as it is, which is a change to those that watch.
    pub fn refresh_entry(&self) {
        self.register(&self.place(0), "ready");
    }

    /// Sets how the store treats all calls, for a while.
    pub async fn upset_store(&self, mood: Mood, time: Duration) {
        self.store.set(mood);
        let trouble = self.begin(None, What::Store);
        time::sleep(time).await;
        self.store.set(Mood::Well);
        self.end(trouble);
    }

    /// Lets the store come back from a copy that is `age` old; the operator and the targets then
    /// write again what it lost.
    pub async fn restore_store(&self, age: Duration) {
        let copy = self.store.copy();
        time::sleep(age).await;
        self.store.set(Mood::Silent);
        let trouble = self.begin(None, What::Store);
        time::sleep(RESTORE_TIME).await;
        let lost = self.store.objects("servers");
        self.store.restore(copy);
        self.store.set(Mood::Well);
        self.write_again(&lost);
        self.end(trouble);
    }

    /// Writes again what the operator and the targets had written, of which `entries` are the
    /// targets' latest.
    fn write_again(&self, entries: &BTreeMap<String, Value>) {
        for id in self.store.objects("servers").into_keys() {
            if !entries.contains_key(&id) {
                self.store.delete("servers", &id);
            }
        }
        let places = self.places.lock();
        for place in places.current.iter().chain(&places.past) {
            if let Some(entry) = entries.get(&place.target.id) {
                let state = entry["status"]["state"].as_str().unwrap_or("ready");
                self.register(place, state);
            }
        }
        drop(places);
        let version = *self.version.lock();
        self.store.put("config", "main", configuration(version, &services(version)));
    }

    /// Lets the store discard its history.
    pub fn forget_history(&self) {
        self.store.forget_history();
    }

    /// Lets one gateway's way to the store fail for a while.
    pub async fn upset_store_link(&self, gateway: usize, fault: Fault, time: Duration) {
        let trouble = self.begin(Some(gateway), What::Store);
        upset(&self.store_links[gateway], fault, time).await;
        self.end(trouble);
    }

    /// Lets a target treat its requests otherwise for a while.
    pub async fn upset_target(&self, place: usize, act: Act, time: Duration) {
        let place = self.place(place);
        let trouble = self.begin_target(&place);
        place.target.set(act);
        time::sleep(time).await;
        place.target.set_plan(work);
        self.end_target(trouble);
    }

    /// Lets most targets reject most requests for a while.
    pub async fn reject(&self, time: Duration) {
        let count = self.places.lock().current.len();
        let places: Vec<_> =
            (0..count).filter(|n| n % REJECTING_EVERY != 0).map(|n| self.place(n)).collect();
        let troubles: Vec<_> = places.iter().map(|place| self.begin_target(place)).collect();
        for (seed, place) in (0..).zip(&places) {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            place.target.set_plan(move |seen| {
                if rng.random_bool(REJECTED_SHARE) { Act::Shed } else { work(seen) }
            });
        }
        time::sleep(time).await;
        places.iter().for_each(|place| place.target.set_plan(work));
        troubles.into_iter().for_each(|trouble| self.end_target(trouble));
    }

    /// Lets the way to a target fail for a while.
    pub async fn upset_target_link(&self, place: usize, fault: Fault, time: Duration) {
        let place = self.place(place);
        let trouble = self.begin_target(&place);
        upset(&place.link, fault, time).await;
        self.end_target(trouble);
    }

    /// Puts another target in the place of one that leaves; with `says` it reports that before.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn replace(&self, index: usize, says: bool) -> eyre::Result<()> {
        let next = self.open(index).await?;
        self.register(&next, "ready");
        let past = std::mem::replace(&mut self.places.lock().current[index], next);
        if says {
            self.register(&past, "draining");
        } else {
            self.store.delete("servers", &past.target.id);
        }
        self.record.lock().leaving.insert(past.target.id.clone(), Instant::now());
        self.places.lock().past.push(Arc::clone(&past));
        if says {
            time::sleep(LEAVING_STAY).await;
            self.store.delete("servers", &past.target.id);
        }
        Ok(())
    }

    /// Sends SIGTERM to a gateway, checks that it ends in time, and starts it again.
    ///
    /// # Errors
    /// Fails if the process cannot be started again.
    pub async fn terminate(&self, gateway: usize) -> eyre::Result<()> {
        if !self.occupy(gateway) {
            return Ok(());
        }
        let trouble = self.begin(Some(gateway), What::Planned);
        self.signal(gateway, Signal::TERM)?;
        let told = Instant::now();
        let status = loop {
            if let Some(status) = self.ended(gateway)? {
                break Some(status);
            }
            if told.elapsed() > GRACE {
                break None;
            }
            time::sleep(POLL).await;
        };
        if !status.is_some_and(|status| status.success()) {
            let fault = format!("entry-{gateway} ended with {status:?} after SIGTERM");
            self.record.lock().faults.push(fault);
        }
        self.restart(gateway, trouble).await
    }

    /// Kills a gateway and starts it again.
    ///
    /// # Errors
    /// Fails if the process cannot be started again.
    pub async fn kill(&self, gateway: usize) -> eyre::Result<()> {
        if !self.occupy(gateway) {
            return Ok(());
        }
        let trouble = self.begin(Some(gateway), What::Process);
        self.restart(gateway, trouble).await
    }

    /// Stops a gateway's process for a while, as if the machine stood still.
    ///
    /// # Errors
    /// Fails if the process cannot be signalled.
    pub async fn pause(&self, gateway: usize, time: Duration) -> eyre::Result<()> {
        if !self.occupy(gateway) {
            return Ok(());
        }
        let trouble = self.begin(Some(gateway), What::Process);
        self.signal(gateway, Signal::STOP)?;
        time::sleep(time).await;
        self.signal(gateway, Signal::CONT)?;
        self.end(trouble);
        self.gateways[gateway].lock().is_busy = false;
        Ok(())
    }

    /// Changes a gateway's settings and sends it SIGHUP.
    ///
    /// # Errors
    /// Fails if the file cannot be written or the process cannot be signalled.
    pub async fn reload(&self, gateway: usize, keep_limit_s: f64) -> eyre::Result<()> {
        if !self.occupy(gateway) {
            return Ok(());
        }
        let trouble = self.begin(Some(gateway), What::Planned);
        Host { keep_limit_s, ..self.hosts[gateway].clone() }.write_settings(&self.folder)?;
        self.signal(gateway, Signal::HUP)?;
        self.end(trouble);
        self.gateways[gateway].lock().is_busy = false;
        Ok(())
    }

    /// Looks for processes that ended by themselves.
    ///
    /// # Errors
    /// Fails if the system cannot tell.
    pub fn look(&self) -> eyre::Result<()> {
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].lock().is_busy {
                continue;
            }
            if let Some(status) = self.ended(gateway)? {
                let fault = format!("entry-{gateway} ended by itself with {status:?}");
                self.record.lock().faults.push(fault);
                self.gateways[gateway].lock().process = None;
            }
        }
        Ok(())
    }

    /// Brings the targets' ledgers into the record.
    pub fn collect(&self) {
        let places: Vec<Arc<Place>> = {
            let places = self.places.lock();
            places.current.iter().chain(&places.past).cloned().collect()
        };
        let mut runs = Vec::new();
        let mut rejections = Vec::new();
        for Place { target, .. } in places.iter().map(|place| &**place) {
            let left: BTreeMap<String, Instant> = target.left_at().into_iter().collect();
            runs.extend(target.seen().into_iter().map(|seen| Run {
                target: target.id.clone(),
                service: target.service().to_owned(),
                left_at: left.get(seen.id()).copied(),
                seen,
            }));
            rejections.extend(target.refused().into_iter().map(|seen| Rejection {
                service: target.service().to_owned(),
                id: seen.id().to_owned(),
                at: seen.at,
            }));
        }
        let mut record = self.record.lock();
        record.runs = runs;
        record.rejections = rejections;
    }

    async fn open(&self, index: usize) -> eyre::Result<Arc<Place>> {
        let number = {
            let mut places = self.places.lock();
            places.next += 1;
            places.next
        };
        let service = SERVICES[index % SERVICES.len()];
        let target = Target::open(&format!("i-{number}"), service).await?;
        target.set_plan(work);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let link = relay::bind(any, target.addr()).await?;
        let domain = format!("d{}", (index / SERVICES.len()) % DOMAINS);
        Ok(Arc::new(Place { target, link, domain }))
    }

    fn register(&self, place: &Place, state: &str) {
        let entry = place.target.entry_at(place.link.addr(), &place.domain, state);
        self.store.put("servers", &place.target.id, entry);
    }

    fn place(&self, index: usize) -> Arc<Place> {
        Arc::clone(&self.places.lock().current[index])
    }

    fn spawn(&self, gateway: usize) -> eyre::Result<()> {
        let process = Process::spawn(&self.hosts[gateway], &self.folder)?;
        self.record.lock().starts.push((gateway, Instant::now()));
        self.gateways[gateway].lock().process = Some(process);
        Ok(())
    }

    /// Reserves a gateway for one fault of its process; returns false if another has it.
    fn occupy(&self, gateway: usize) -> bool {
        let mut slot = self.gateways[gateway].lock();
        if slot.is_busy || slot.process.is_none() {
            return false;
        }
        slot.is_busy = true;
        true
    }

    async fn restart(&self, gateway: usize, trouble: usize) -> eyre::Result<()> {
        // Dropping the process kills it if it still runs.
        drop(self.gateways[gateway].lock().process.take());
        time::sleep(RESTART_PAUSE).await;
        self.spawn(gateway)?;
        self.end(trouble);
        self.gateways[gateway].lock().is_busy = false;
        Ok(())
    }

    fn signal(&self, gateway: usize, signal: Signal) -> eyre::Result<()> {
        match &self.gateways[gateway].lock().process {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    fn ended(&self, gateway: usize) -> eyre::Result<Option<std::process::ExitStatus>> {
        match &mut self.gateways[gateway].lock().process {
            Some(process) => Ok(process.ended()?),
            None => Ok(None),
        }
    }

    fn begin(&self, gateway: Option<usize>, what: What) -> usize {
        let mut record = self.record.lock();
        record.troubles.push(Trouble { gateway, from: Instant::now(), until: None, what });
        record.troubles.len() - 1
    }

    fn end(&self, trouble: usize) {
        self.record.lock().troubles[trouble].until = Some(Instant::now());
    }

    fn begin_target(&self, place: &Place) -> usize {
        let mut record = self.record.lock();
        record.target_troubles.push((place.target.id.clone(), Instant::now(), None));
        record.target_troubles.len() - 1
    }

    fn end_target(&self, trouble: usize) {
        self.record.lock().target_troubles[trouble].2 = Some(Instant::now());
    }
}

/// Lets a link fail for a while.
async fn upset(link: &Relay, fault: Fault, time: Duration) {
    match fault {
        Fault::Delay(delay) => link.delay(delay),
        Fault::CutToServer => link.cut(Cut { to_server: true, ..Cut::default() }),
        Fault::CutToClient => link.cut(Cut { to_client: true, ..Cut::default() }),
        Fault::Silence => {
            return link.cut(Cut { to_server: true, to_client: true, existing_only: true });
        }
        Fault::Reset => return link.reset(),
    }
    time::sleep(time).await;
    link.delay(Duration::ZERO);
    link.cut(Cut::default());
}

/// A target's usual work: as long as the path says.
fn work(seen: &Seen) -> Act {
    let work = seen.first_line.split("?work=").nth(1);
    let millis = work.and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(1);
    Act::ServeAfter(millis)
}

/// Returns the service that each route goes to in a version of the configuration.
fn services(version: u64) -> BTreeMap<String, String> {
    let service = |n: usize| SERVICES[(version as usize + n) % (SERVICES.len() - 1)];
    let routes = ROUTES.iter().enumerate();
    routes.map(|(n, route)| ((*route).to_owned(), service(n).to_owned())).collect()
}

/// Returns a configuration in which each route goes to its service.
fn configuration(version: u64, services: &BTreeMap<String, String>) -> Value {
    let paths: Vec<Value> = services
        .iter()
        .map(|(route, service)| {
            let kind = if route == "orders" { "unsafe" } else { "safe" };
            json!({"name": route, "pathPrefix": format!("/{route}/"), "routeType": kind, "timeoutS": 2.5,
                   "targetLatencyS": 0.2, "priority": 1, "maxAttempts": MAX_ATTEMPTS, "service": service})
        })
        .collect();
    let names =
        SERVICES.map(|name| json!({"name": name, "healthPath": "/health", "maxConns": 390}));
    json!({
        "version": format!("r{version}"),
        "services": names,
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutS": 5, "idleTimeoutS": 10},
        "hosts": [{"host": "one.example", "paths": paths}]
    })
}
