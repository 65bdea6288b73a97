//! The time until an accepted change is in force at the last proxy of 18 hosts.

use std::time::Duration;

use citron_platform::Hosts;
use eyre::bail;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{
    Summary,
    child::{Agent, Child},
    policy::Lists,
};
use crate::{
    command,
    platform::{self, Mode, Platform},
    relay::{self, Cut, Relay},
};

/// The number of hosts.
const HOSTS: usize = 18;
/// The number of failure domains.
const DOMAINS: usize = 4;
/// The changes in each case.
const CHANGES: usize = 10;
/// How long a change may take before the bench fails.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);
/// The delay of each call to the slow platform, milliseconds.
const SLOW_MS: u64 = 500;

/// Runs the bench; it takes no words.
///
/// # Errors
/// Fails if a process cannot be started or a change does not come into force.
pub fn run(_: &[String]) -> eyre::Result<Summary> {
    command::block_on(measure())
}

async fn measure() -> eyre::Result<Summary> {
    let platform = platform::bind("127.0.0.1:0".parse()?, Hosts::default()).await?;
    let relay = relay::bind("127.0.0.1:0".parse()?, platform.addr()).await?;
    let mut lists = Lists::demo(1000);
    lists.publish(&platform.url()).await?;
    let hosts = spawn_hosts(&platform, &relay)?;
    wait_in_force(&hosts, lists.revision()).await?;
    sleep(Duration::from_secs(5)).await;

    let mut summary = Summary::default();
    println!("case       p50_ms  max_ms");
    measure_case("up", &hosts, &mut lists, &platform, &mut summary).await?;
    platform.set_mode(Mode::Slow { delay_ms: SLOW_MS });
    measure_case("slow", &hosts, &mut lists, &platform, &mut summary).await?;
    platform.set_mode(Mode::Up);
    relay.cut(Cut { to_server: true, to_client: true, existing_only: false });
    measure_case("cut_domain", &hosts, &mut lists, &platform, &mut summary).await?;
    drop(hosts);
    platform.stop().await;
    Ok(summary)
}

/// Starts the hosts; those of the first failure domain reach the platform through the relay.
fn spawn_hosts(platform: &Platform, relay: &Relay) -> eyre::Result<Vec<(Agent, Child)>> {
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let domain = index % DOMAINS;
        let url = if domain == 0 { format!("http://{}", relay.addr()) } else { platform.url() };
        let agent = Agent::spawn(&format!("entry-{index}"), &format!("domain-{domain}"), &url, "")?;
        let proxy = agent.spawn_proxy()?;
        hosts.push((agent, proxy));
    }
    let listed = hosts.iter().map(|(agent, _)| agent.host()).collect();
    platform.set_hosts(Hosts { hosts: listed, ..Hosts::default() });
    Ok(hosts)
}

async fn measure_case(
    case: &str,
    hosts: &[(Agent, Child)],
    lists: &mut Lists,
    platform: &Platform,
    summary: &mut Summary,
) -> eyre::Result<()> {
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        lists.change();
        lists.publish(&platform.url()).await?;
        let accepted = Instant::now();
        wait_in_force(hosts, lists.revision()).await?;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        sleep(Duration::from_millis(500)).await;
    }
    times.sort_by(f64::total_cmp);
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{case:<10} {median:>6.0} {longest:>7.0}");
    summary.push(format!("{case}_p50_ms"), median);
    summary.push(format!("{case}_max_ms"), longest);
    Ok(())
}

async fn wait_in_force(hosts: &[(Agent, Child)], revision: u64) -> eyre::Result<()> {
    let end = Instant::now() + CHANGE_LIMIT;
    for (agent, proxy) in hosts {
        let url = format!("http://{}/status", proxy.text("admin"));
        loop {
            let status: Value = reqwest::get(&url).await?.json().await?;
            if status["revision"].as_u64() >= Some(revision) {
                break;
            }
            if Instant::now() > end {
                bail!(
                    "revision {revision} is not in force at {} within {CHANGE_LIMIT:?}",
                    agent.name
                );
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(())
}
