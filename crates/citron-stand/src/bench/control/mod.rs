//! What the control path costs a node and the platform, by the number of members and the size of the policy.

mod fleet;
mod sample;
mod size;
mod slope;

use std::time::Duration;

use citron_platform::Hosts;
use eyre::{WrapErr, bail};
use tokio::time::{Instant, sleep};

use self::{
    fleet::Fleet,
    sample::{Sample, Usage},
    slope::{Figure, push_lines},
};
use super::{Summary, policy};
use crate::{command, platform};

/// The numbers of agents that are measured.
const SIZES: &[usize] = &[4, 8, 16, 32, 64, 128];
/// How long one measurement lasts.
const WINDOW: Duration = Duration::from_secs(10);
/// The pause before the first measurement, and its part for each agent.
const SETTLE: Duration = Duration::from_secs(5);
const SETTLE_PER_AGENT: Duration = Duration::from_millis(300);
/// The time between two policy changes in the second phase.
const CHANGE_EVERY: Duration = Duration::from_secs(2);
/// The time between two replaced hosts in the second phase.
const REPLACE_EVERY: Duration = Duration::from_secs(3);

/// What is drawn a line through while nothing changes.
const STEADY: &[Figure<Usage>] = &[
    ("steady_cpu_percent", |usage| usage.cpu_percent),
    ("steady_rss_kb", |usage| usage.rss_mb * 1024.0),
    ("steady_sent_bytes_per_s", |usage| usage.sent_per_s),
    ("steady_peer_bytes_per_s", |usage| usage.peer_per_s),
    ("steady_platform_calls_per_s", |usage| usage.calls_per_s),
];
/// What is drawn a line through while the policy changes and hosts are replaced.
const BUSY: &[Figure<Usage>] = &[
    ("changes_cpu_percent", |usage| usage.cpu_percent),
    ("changes_sent_bytes_per_s", |usage| usage.sent_per_s),
    ("changes_peer_bytes_per_s", |usage| usage.peer_per_s),
    ("changes_platform_calls_per_s", |usage| usage.calls_per_s),
];

/// Runs the bench; words: the largest number of agents, 128 if absent, and `members` or `policy` for one table only.
///
/// # Errors
/// Fails if agents cannot be started or do not join.
pub fn run(words: &[String]) -> eyre::Result<Summary> {
    let largest = match words.first() {
        Some(word) => {
            word.parse().wrap_err("the first word is the largest number of agents, such as 64")?
        }
        None => SIZES[SIZES.len() - 1],
    };
    let only = words.get(1).map(String::as_str);
    if !matches!(only, None | Some("members" | "policy")) {
        bail!("the second word is members or policy");
    }
    command::block_on(async {
        let mut summary = Summary::default();
        if only != Some("policy") {
            measure_members(largest, &mut summary).await?;
        }
        if only != Some("members") {
            size::measure(&mut summary).await?;
        }
        Ok(summary)
    })
}

async fn measure_members(largest: usize, summary: &mut Summary) -> eyre::Result<()> {
    println!(
        "agents phase   cpu_percent_of_core rss_mb sent_bytes_per_s peer_bytes_per_s platform_calls_per_s waiting_watches"
    );
    let (mut steady_rows, mut busy_rows) = (Vec::new(), Vec::new());
    for &size in SIZES.iter().filter(|&&size| size <= largest) {
        let (steady, busy) =
            measure_size(size).await.wrap_err_with(|| format!("with {size} agents"))?;
        print_row(size, "steady", &steady);
        print_row(size, "changes", &busy);
        steady_rows.push((size as f64, steady));
        busy_rows.push((size as f64, busy));
    }
    push_lines(summary, "members", &steady_rows, STEADY);
    push_lines(summary, "members", &busy_rows, BUSY);
    Ok(())
}

/// Measures a steady fleet, then one with policy changes and replaced hosts.
async fn measure_size(size: usize) -> eyre::Result<(Usage, Usage)> {
    let platform = platform::bind("127.0.0.1:0".parse()?, Hosts::default()).await?;
    let mut lists = policy::Lists::demo(1000);
    lists.publish(&platform.url()).await?;
    let mut fleet = Fleet::spawn(&platform, size)?;
    fleet.wait_joined().await?;
    // Each member passes on the news of every join within a bound per datagram, which takes longer in a larger fleet.
    sleep(SETTLE + SETTLE_PER_AGENT * size as u32).await;

    let before = Sample::take(&fleet, &platform).await?;
    sleep(WINDOW).await;
    let steady = Sample::take(&fleet, &platform).await?.since(&before);

    let before = Sample::take(&fleet, &platform).await?;
    let (mut change, mut replace) = (Instant::now(), Instant::now() + REPLACE_EVERY);
    let end = Instant::now() + WINDOW;
    while Instant::now() < end {
        if Instant::now() >= change {
            lists.change();
            lists.publish(&platform.url()).await?;
            change += CHANGE_EVERY;
        }
        if Instant::now() >= replace {
            fleet.replace(&platform)?;
            replace += REPLACE_EVERY;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let busy = Sample::take(&fleet, &platform).await?.since(&before);
    drop(fleet);
    platform.stop().await;
    Ok((steady, busy))
}

fn print_row(size: usize, phase: &str, usage: &Usage) {
    println!(
        "{size:>6} {phase:<8} {:>18.2} {:>6.1} {:>16.0} {:>16.0} {:>20.2} {:>15}",
        usage.cpu_percent,
        usage.rss_mb,
        usage.sent_per_s,
        usage.peer_per_s,
        usage.calls_per_s,
        usage.waiting,
    );
}
