//! What the size of the policy and of the target list costs one agent.

use std::time::Duration;

use citron_platform::{Host, Hosts};
use eyre::bail;
use tokio::time::{Instant, sleep};

use super::{
    fleet::Fleet,
    sample::Node,
    slope::{Figure, push_lines},
};
use crate::{
    bench::{
        Summary,
        child::{Agent, target},
        policy::Lists,
    },
    metric,
    platform::{self, Mode},
};

/// The numbers of customers that are measured.
const CUSTOMERS: &[usize] = &[1_000, 10_000, 50_000, 110_000];
/// Services, routes and targets at the size of two years on.
const SERVICES: usize = 590;
const ROUTES: usize = 7_100;
const TARGETS: usize = 32_000;
/// How long an agent may take to know a policy.
const KNOWN_LIMIT: Duration = Duration::from_secs(60);

/// What is drawn a line through.
const FIGURES: &[Figure<Row>] = &[
    ("policy_rss_kb", |row| row.rss_mb * 1024.0),
    ("policy_start_ms", |row| row.start_ms),
    ("policy_start_bytes", |row| row.start_bytes),
    ("policy_change_bytes", |row| row.change_bytes),
];

/// Measures an agent that starts from a peer, and one change.
///
/// # Errors
/// Fails if an agent cannot be started or does not get the policy.
pub(super) async fn measure(summary: &mut Summary) -> eyre::Result<()> {
    println!("customers rss_mb start_ms start_cpu_ms start_bytes change_ms change_bytes");
    let mut rows = Vec::new();
    for &customers in CUSTOMERS {
        let row = measure_one(customers).await?;
        println!(
            "{customers:>9} {:>6.1} {:>8.0} {:>12.0} {:>11.0} {:>9.0} {:>12.0}",
            row.rss_mb,
            row.start_ms,
            row.start_cpu_ms,
            row.start_bytes,
            row.change_ms,
            row.change_bytes
        );
        rows.push((customers as f64, row));
    }
    push_lines(summary, "customers", &rows, FIGURES);
    Ok(())
}

struct Row {
    rss_mb: f64,
    start_ms: f64,
    start_cpu_ms: f64,
    start_bytes: f64,
    change_ms: f64,
    change_bytes: f64,
}

async fn measure_one(customers: usize) -> eyre::Result<Row> {
    let platform = platform::bind("127.0.0.1:0".parse()?, Hosts::default()).await?;
    let mut lists = Lists::sized(customers, SERVICES, ROUTES);
    lists.publish(&platform.url()).await?;
    let mut fleet = Fleet::spawn(&platform, 1)?;
    platform.set_hosts(Hosts { hosts: targets(), ..Hosts::default() });
    let first = fleet.agents[0].gossip().to_owned();
    wait_known(&fleet.agents[0], lists.revision()).await?;

    // The second agent has the first one only: the platform is away for it.
    let away = platform::bind("127.0.0.1:0".parse()?, Hosts::default()).await?;
    away.set_mode(Mode::Down);
    let started = Instant::now();
    let second = fleet.start(&away.url(), &first)?;
    wait_known(&second, lists.revision()).await?;
    let start_ms = started.elapsed().as_secs_f64() * 1e3;
    sleep(Duration::from_secs(2)).await;
    let before = Node::read(&second).await?;

    lists.change();
    lists.publish(&platform.url()).await?;
    let published = Instant::now();
    wait_known(&second, lists.revision()).await?;
    let change_ms = published.elapsed().as_secs_f64() * 1e3;
    let after = Node::read(&second).await?;
    let row = Row {
        rss_mb: after.rss_mb,
        start_ms,
        start_cpu_ms: before.cpu_s * 1e3,
        start_bytes: before.peer,
        change_ms,
        change_bytes: after.peer - before.peer,
    };
    drop(second);
    drop(fleet);
    away.stop().await;
    platform.stop().await;
    Ok(row)
}

async fn wait_known(agent: &Agent, revision: u64) -> eyre::Result<()> {
    let end = Instant::now() + KNOWN_LIMIT;
    while Instant::now() < end {
        let text = agent.metrics().await?;
        let known = metric::value(&text, "citron_agent_policy_revision", &[]).unwrap_or(0.0);
        if known >= revision as f64 {
            return Ok(());
        }
        sleep(Duration::from_millis(2)).await;
    }
    bail!("the agent did not know revision {revision} within {KNOWN_LIMIT:?}")
}

fn targets() -> Vec<Host> {
    (0..TARGETS)
        .map(|index| {
            let address =
                format!("127.{}.{}.{}:9000", 1 + index / 62_500, index / 250 % 250, index % 250);
            let (service, domain) =
                (format!("service-{}", index % SERVICES), format!("domain-{}", index % 11));
            target(&format!("target-{index:05}"), &service, &address, &domain)
        })
        .collect()
}
