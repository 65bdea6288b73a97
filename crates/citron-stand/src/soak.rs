//! A randomised soak of real gateways as processes, with faults put in from outside.
//!
//! A seed gives the faults and the traffic. The promises are judged while the run goes on, from
//! what callers and targets saw; see [`promise::Promise`].

pub mod budget;
pub mod plan;
pub mod process;
pub mod promise;
pub mod record;
pub mod traffic;
pub mod world;

use std::{
    collections::BTreeMap,
    fmt,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::gateway::store::Mood;

use self::{
    plan::{Action, Kind, Step},
    promise::Bounds,
    record::{End, Record, Trouble, What},
    traffic::Traffic,
    world::World,
};

/// The time between two judgements while a run goes on.
const JUDGE_GAP: Duration = Duration::from_secs(2);
/// Requests this young are not judged yet, as their ends may not be known.
const SETTLE: Duration = Duration::from_secs(6);
/// After this long without faults the system must serve again.
const RECOVERY: Duration = Duration::from_secs(15);
/// The time at the end of a run in which the system is measured.
const MEASURED: Duration = Duration::from_secs(3);
/// The least share of requests that must be answered well after the recovery.
const RECOVERED_SHARE: f64 = 0.95;

/// By when the watches that wait have returned a change; the gateways' next ones begin later.
const WATCH_ANSWERED: Duration = Duration::from_millis(100);
/// The time between two looks at whether the harness stands still.
const TICK: Duration = Duration::from_millis(50);
/// A look so much later than planned tells that it did.
const STALL: Duration = Duration::from_millis(200);

/// How a run is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the faults and the traffic are drawn from.
    pub seed: u64,
    /// How long faults are put in.
    pub length: Duration,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of targets, over four services.
    pub targets: usize,
    /// The number of callers.
    pub callers: usize,
    /// Where settings files and logs go, by seed.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The faults that were put in, by kind.
    pub faults: BTreeMap<Kind, usize>,
    /// The requests, and those of them that were answered with success.
    pub requests: (usize, usize),
    /// The runs at targets that were judged.
    pub runs: usize,
    /// The most that any window of ten seconds held of the retries that it allows.
    pub budget_used: f64,
    /// How often the harness itself stood still; requests around that are not held to times.
    pub stalls: usize,
    /// What was found.
    pub findings: Vec<String>,
    /// Where the logs are.
    pub folder: PathBuf,
}

/// Plays one run.
///
/// # Errors
/// Fails if the system cannot be started or a process cannot be handled; what the system does wrong
/// is in the report instead.
pub async fn run(settings: &Settings) -> eyre::Result<Report> {
    let folder = settings.folder.join(format!("seed-{}", settings.seed));
    let world = Arc::new(World::start(settings, folder.clone()).await?);
    let steps = plan::draw(settings.seed, settings.length, settings.gateways, settings.targets);
    let mut callers = call(settings, &world);
    callers.spawn(watch_harness(Arc::clone(&world.record)));
    let started = Instant::now();
    let mut findings = Vec::new();
    let mut faults = JoinSet::new();
    let mut judged = started;
    for step in &steps {
        time::sleep_until(started + step.at).await;
        faults.spawn(act(Arc::clone(&world), step.clone()));
        if judged.elapsed() > JUDGE_GAP {
            judged = Instant::now();
            findings = judge(&world, judged - SETTLE).await?;
            if !findings.is_empty() {
                break;
            }
        }
    }
    while let Some(ended) = faults.join_next().await {
        ended??;
    }
    if findings.is_empty() {
        findings = recover(&world).await?;
    }
    // Ends the callers first, so that no request is judged that the end of the run cut.
    callers.shutdown().await;
    let record = world.record.lock();
    Ok(Report {
        seed: settings.seed,
        faults: count(&steps),
        requests: (record.sent.len(), served(&record, started)),
        runs: record.runs.len(),
        budget_used: budget::usages(&record, &Bounds::default())
            .iter()
            .map(budget::Usage::part)
            .fold(0.0, f64::max),
        stalls: record.troubles.iter().filter(|t| t.what == What::Harness).count(),
        findings,
        folder,
    })
}

/// Starts the callers of a run, which end when the set is dropped.
pub fn call(settings: &Settings, world: &World) -> JoinSet<()> {
    let traffic = Arc::new(Traffic {
        directories: world.hosts.iter().map(process::Host::directory).collect(),
        gateways: world.hosts.iter().map(process::Host::callers).collect(),
        record: Arc::clone(&world.record),
        next: AtomicU64::new(1),
        http: reqwest::Client::new(),
    });
    let seeds = (0..settings.callers as u64).map(|n| settings.seed.wrapping_mul(1000) + n);
    seeds.map(|seed| traffic::call(Arc::clone(&traffic), seed)).collect()
}

/// Waits until the system must serve again, and judges everything.
async fn recover(world: &World) -> eyre::Result<Vec<String>> {
    time::sleep(RECOVERY).await;
    let calm = Instant::now();
    time::sleep(MEASURED + SETTLE).await;
    let mut findings = judge(world, calm + MEASURED).await?;
    let record = world.record.lock();
    let during = record.sent.iter().filter(|s| s.at >= calm && s.at < calm + MEASURED);
    let kept = during.filter(|sent| !matches!(sent.end, Some((_, End::Left | End::Behind))));
    let (mut all, mut well) = (0, 0);
    for sent in kept {
        all += 1;
        well += usize::from(is_served(&sent.end));
    }
    if (well as f64) < RECOVERED_SHARE * f64::from(all) || all == 0 {
        findings.push(format!("after the recovery only {well} of {all} requests were served"));
    }
    Ok(findings)
}

/// Judges what is known; requests sent at `until` or later are not over yet.
async fn judge(world: &World, until: Instant) -> eyre::Result<Vec<String>> {
    world.look()?;
    world.collect();
    // Neither callers nor targets may wait for the judgement.
    let record = world.record.lock().clone();
    let lines = tokio::task::spawn_blocking(move || {
        let findings = promise::judge(&record, &Bounds::default(), until);
        let mut lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        lines.extend(record.faults);
        lines
    });
    Ok(lines.await?)
}

/// Records when the harness stands still, until it is dropped.
async fn watch_harness(record: Arc<Mutex<Record>>) {
    loop {
        let from = Instant::now();
        time::sleep(TICK).await;
        if from.elapsed() > TICK + STALL {
            let until = Some(Instant::now());
            let trouble = Trouble { gateway: None, from, until, what: What::Harness };
            record.lock().troubles.push(trouble);
        }
    }
}

async fn act(world: Arc<World>, step: Step) -> eyre::Result<()> {
    log::info!("at {:?}: {:?}", step.at, step.action);
    match step.action {
        Action::Terminate(gateway) => world.terminate(gateway).await,
        Action::Kill(gateway) => world.kill(gateway).await,
        Action::KillAll => {
            let kills = (0..world.hosts.len()).map(|gateway| world.kill(gateway));
            futures::future::try_join_all(kills).await.map(drop)
        }
        Action::Pause(gateway, time) => world.pause(gateway, time).await,
        Action::Reload(gateway) => {
            let keep_limit_s = 1.0 + (step.at.as_millis() % 4) as f64;
            world.reload(gateway, keep_limit_s).await
        }
        Action::Store(mood, time) => {
            world.upset_store(mood, time).await;
            Ok(())
        }
        Action::SilenceAfterChange(time) => {
            world.change();
            world.refresh_entry();
            time::sleep(WATCH_ANSWERED).await;
            world.upset_store(Mood::Silent, time).await;
            Ok(())
        }
        Action::Restore(age) => {
            world.restore_store(age).await;
            Ok(())
        }
        Action::ForgetHistory => {
            world.forget_history();
            Ok(())
        }
        Action::StoreLink(gateway, fault, time) => {
            world.upset_store_link(gateway, fault, time).await;
            Ok(())
        }
        Action::Target(place, act, time) => {
            world.upset_target(place, act, time).await;
            Ok(())
        }
        Action::Reject(time) => {
            world.reject(time).await;
            Ok(())
        }
        Action::TargetLink(place, fault, time) => {
            world.upset_target_link(place, fault, time).await;
            Ok(())
        }
        Action::Replace(place) => world.replace(place, true).await,
        Action::Vanish(place) => world.replace(place, false).await,
        Action::Change => {
            world.change();
            Ok(())
        }
    }
}

fn count(steps: &[Step]) -> BTreeMap<Kind, usize> {
    let mut counts = BTreeMap::new();
    for step in steps {
        *counts.entry(Kind::from(&step.action)).or_default() += 1;
    }
    counts
}

fn served(record: &Record, since: Instant) -> usize {
    record.sent.iter().filter(|sent| sent.at >= since && is_served(&sent.end)).count()
}

fn is_served(end: &Option<(Instant, End)>) -> bool {
    matches!(end, Some((_, End::Answered(answer))) if (200..300).contains(&answer.status))
}

impl Report {
    /// Returns the command that plays the run again.
    pub fn command(&self, settings: &Settings) -> String {
        let Settings { gateways, targets, callers, length, .. } = settings;
        format!(
            "citron-stand soak --seed {} --seconds {} --gateways {gateways} --targets {targets} --callers {callers}",
            self.seed,
            length.as_secs()
        )
    }

    /// Removes the logs of a run that found nothing.
    pub fn clean(&self) {
        if self.findings.is_empty()
            && let Err(error) = std::fs::remove_dir_all(Path::new(&self.folder))
        {
            log::warn!("cannot remove {}: {error}", self.folder.display());
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        let faults: usize = self.faults.values().sum();
        write!(
            f,
            "seed {}: {faults} faults, {requests} requests, {served} served, {} runs, {:.2} of a window's retries, {} stalls of the harness, {} findings",
            self.seed,
            self.runs,
            self.budget_used,
            self.stalls,
            self.findings.len()
        )
    }
}
