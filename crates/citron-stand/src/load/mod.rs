//! A load of callers that check every answer and every order.

mod caller;
mod report;
mod verify;
mod workload;

pub use self::{
    caller::{Caller, Outcome},
    report::{Count, Report, Told},
    verify::{Audit, audit},
    workload::{Kind, Workload},
};

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// The most requests of one workload that are in flight at once.
const IN_FLIGHT_LIMIT: usize = 512;

/// How a load is set up.
#[derive(Debug, Clone)]
pub struct Settings {
    /// HTTP addresses of agents, asked where to connect.
    pub agents: Vec<String>,
    /// What is requested.
    pub workloads: Vec<Workload>,
    /// How long new requests are sent.
    pub duration: Duration,
    /// How long a caller waits for one answer before it sends the request again elsewhere.
    pub call_timeout: Duration,
    /// The seed of arrival times.
    pub seed: u64,
    /// Tells the orders of one load from those of another.
    pub name: String,
}

/// Sends the workloads and waits for every answer.
///
/// # Errors
/// Fails if the HTTP client cannot be set up.
pub async fn run(settings: &Settings) -> eyre::Result<Report> {
    let caller = Arc::new(Caller::open(&settings.agents, settings.call_timeout)?);
    let mut loads = JoinSet::new();
    for (index, workload) in settings.workloads.iter().enumerate() {
        let caller = Arc::clone(&caller);
        let workload = workload.clone();
        let duration = settings.duration;
        let seed = settings.seed.wrapping_add(index as u64);
        let name = format!("{}-{index}", settings.name);
        loads.spawn(async move { send(&caller, &workload, duration, seed, &name).await });
    }
    let mut report = Report::default();
    while let Some(part) = loads.join_next().await {
        report.merge(part?);
    }
    Ok(report)
}

async fn send(
    caller: &Arc<Caller>,
    workload: &Workload,
    duration: Duration,
    seed: u64,
    name: &str,
) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut report = Report::default();
    let mut calls = JoinSet::new();
    let end = Instant::now() + duration;
    let mut next = Instant::now();
    let mut number = 0_u64;
    while next < end {
        time::sleep_until(next).await;
        while calls.len() >= IN_FLIGHT_LIMIT {
            take(&mut report, workload, calls.join_next().await);
        }
        let request = workload.request(name, number);
        let caller = Arc::clone(caller);
        calls.spawn(async move {
            let sent = Instant::now();
            let outcome = caller.call(&request).await;
            (request, outcome, sent.elapsed())
        });
        number += 1;
        // Exponential gaps make a Poisson arrival process.
        let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / workload.rate;
        next += Duration::from_secs_f64(gap.min(duration.as_secs_f64()));
        while let Some(done) = calls.try_join_next() {
            take(&mut report, workload, Some(done));
        }
    }
    while let Some(done) = calls.join_next().await {
        take(&mut report, workload, Some(done));
    }
    report
}

type Done = Result<(workload::Request, Outcome, Duration), tokio::task::JoinError>;

fn take(report: &mut Report, workload: &Workload, done: Option<Done>) {
    match done {
        Some(Ok((request, outcome, elapsed))) => report.add(workload, &request, &outcome, elapsed),
        Some(Err(error)) => report.faults.push(format!("a call ended badly: {error}")),
        None => {}
    }
}
