//! What one proxy adds to a request, against the same targets without it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citron_platform::Hosts;
use eyre::{bail, eyre};
use hdrhistogram::Histogram;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    Summary,
    child::{Agent, Child, target},
    policy::Lists,
};
use crate::{command, platform};

/// The number of targets.
const TARGETS: usize = 20;
/// The usual service time of a target, milliseconds.
const SERVICE_MS: &str = "2";
/// Requests per second while the answer times are compared.
const RATE: u64 = 400;
/// The length of one round on each side.
const ROUND: Duration = Duration::from_secs(2);
/// Rounds on each side.
const ROUNDS: usize = 5;
/// Callers at once while the throughput is measured.
const CALLERS: usize = 48;
/// How long the proxy may take to serve.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Runs the bench; it takes no words.
///
/// # Errors
/// Fails if a process cannot be started or a request is not answered.
pub fn run(_: &[String]) -> eyre::Result<Summary> {
    command::block_on(measure())
}

async fn measure() -> eyre::Result<Summary> {
    let platform = platform::bind("127.0.0.1:0".parse()?, Hosts::default()).await?;
    let count = TARGETS.to_string();
    let args = ["target", "--service", "service-0", "--count", &count, "--service-ms", SERVICE_MS];
    let stand = Child::spawn(&args)?;
    let targets = addresses(&stand)?;
    let agent = Agent::spawn("entry-0", "domain-0", &platform.url(), "")?;
    let proxy = agent.spawn_proxy()?;
    let mut hosts = vec![agent.host()];
    hosts.extend(targets.iter().enumerate().map(|(index, address)| {
        target(
            &format!("service-0-{index}"),
            "service-0",
            address,
            &format!("domain-{}", index % 4),
        )
    }));
    platform.set_hosts(Hosts { hosts, ..Hosts::default() });
    let mut lists = Lists::unlimited();
    lists.publish(&platform.url()).await?;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let through = Arc::new(vec![proxy.text("listen").to_owned()]);
    wait_ready(&client, &through[0]).await?;
    compare(&client, Arc::new(targets), through).await
}

async fn compare(
    client: &reqwest::Client,
    direct: Arc<Vec<String>>,
    through: Arc<Vec<String>>,
) -> eyre::Result<Summary> {
    let (mut without, mut with) = (new_histogram(), new_histogram());
    // The first round warms connections up and is left out.
    for round in 0..=ROUNDS {
        let (direct, through) =
            (send_steadily(client, &direct).await?, send_steadily(client, &through).await?);
        if round > 0 {
            without.add(direct)?;
            with.add(through)?;
        }
    }
    let rate = saturate(client, &through).await?;
    let mut summary = Summary::default();
    println!("quantile direct_ms proxy_ms added_ms");
    for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
        let (a, b) = (ms(&without, quantile), ms(&with, quantile));
        println!("{name:<8} {a:>9.3} {b:>8.3} {:>8.3}", b - a);
        summary.push(format!("added_{name}_ms"), b - a);
    }
    summary.push("requests_per_s", rate);
    Ok(summary)
}

/// Sends requests at a steady rate for one round and returns their answer times in microseconds.
async fn send_steadily(
    client: &reqwest::Client,
    addresses: &Arc<Vec<String>>,
) -> eyre::Result<Histogram<u64>> {
    let mut calls = JoinSet::new();
    let mut times = new_histogram();
    let start = Instant::now();
    for number in 0..RATE * ROUND.as_secs() {
        sleep_until(start + Duration::from_secs(1) / RATE as u32 * number as u32).await;
        let (client, addresses) = (client.clone(), Arc::clone(addresses));
        calls.spawn(async move {
            let sent = Instant::now();
            call(&client, &addresses[number as usize % addresses.len()]).await?;
            eyre::Ok(sent.elapsed())
        });
    }
    while let Some(done) = calls.join_next().await {
        times.saturating_record(done??.as_micros() as u64);
    }
    Ok(times)
}

/// Sends from a fixed number of callers without a pause and returns answers per second.
async fn saturate(client: &reqwest::Client, addresses: &Arc<Vec<String>>) -> eyre::Result<f64> {
    let answers = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    let start = Instant::now();
    for _ in 0..CALLERS {
        let (client, addresses, answers) =
            (client.clone(), Arc::clone(addresses), Arc::clone(&answers));
        callers.spawn(async move {
            while start.elapsed() < ROUND {
                call(&client, &addresses[0]).await?;
                answers.fetch_add(1, Ordering::Relaxed);
            }
            eyre::Ok(())
        });
    }
    while let Some(done) = callers.join_next().await {
        done??;
    }
    Ok(answers.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64())
}

async fn call(client: &reqwest::Client, address: &str) -> eyre::Result<()> {
    let url = format!("http://{address}/route-0/lots?size=300");
    let answer = client.get(url).header("citron-customer", "team-000000").send().await?;
    let status = answer.status();
    let body = answer.bytes().await?;
    if !status.is_success() {
        bail!("a request ended with status {status}: {}", String::from_utf8_lossy(&body));
    }
    Ok(())
}

async fn wait_ready(client: &reqwest::Client, address: &str) -> eyre::Result<()> {
    let end = Instant::now() + READY_LIMIT;
    while let Err(error) = call(client, address).await {
        if Instant::now() > end {
            return Err(error);
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn addresses(stand: &Child) -> eyre::Result<Vec<String>> {
    let targets =
        stand.ready()["targets"].as_array().ok_or_else(|| eyre!("no targets in the ready line"))?;
    Ok(targets.iter().filter_map(|target| target["address"].as_str()).map(str::to_owned).collect())
}

fn ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds of the histogram are valid")
}
