//! Runs the whole system on loopback, with a gray failure of a target and a killed proxy.

use std::{process::ExitCode, time::Duration};

use citron_tests::{Fleet, Load, Process, Settings, Summary};
use eyre::eyre;
use serde_json::{Value, json};
use tokio::time::sleep;

/// The target that gets the gray failure.
const GRAY_TARGET: &str = "tec-live-2";
/// How long the load runs, seconds.
const LOAD_SECONDS: u64 = 20;
/// How long a caller waits for a response before it retries the request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// When the target's gray failure starts, after the start of the load.
const GRAY_FAILURE_DELAY: Duration = Duration::from_secs(5);
/// When the proxy is killed, after the start of the gray failure.
const KILL_DELAY: Duration = Duration::from_secs(7);
/// The workloads of the callers.
const WORKLOADS: &[&str] = &[
    "lookup:izmir-roasters:lot-desk:/lots/:12:400",
    "order:izmir-roasters:lot-desk:/lots/:5:100",
    "lookup:bosphorus-blends:lot-desk:/lots/:15:400",
    "lookup:customs-broker:lot-desk:/lots/:5:400",
    "lookup:bosphorus-blends:quality-desk:/quality/:6:2000",
    "lookup:casablanca-survey:tec-live:/tec/live/:12:800",
    "lookup:port-pilots:tec-live:/tec/live/:30:800",
    "lookup:souss-farm-guidance:tec-live:/tec/live/:30:800",
    "order:casablanca-survey:tec-live:/tec/live/:4:100",
    "pull:casablanca-survey:tec-archive:/tec/archive/:1:500000",
];
/// Events that the demo does not print: one of each for every target, host and loan.
const OMITTED_KINDS: &[&str] = &["target-added", "loan-made", "loan-taken"];

#[tokio::main]
async fn main() -> ExitCode {
    // Dropping the fleet on an interrupt stops its processes by pid.
    let result = tokio::select! {
        result = run_demo() => result,
        _ = tokio::signal::ctrl_c() => Err(eyre!("interrupted")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo() -> eyre::Result<bool> {
    println!("starting a platform, 20 targets of four services and three hosts");
    let mut fleet = Fleet::spawn(Settings::demo()).await?;
    println!("sending lookups, orders and archive pulls for {LOAD_SECONDS} s");
    let load = Load::spawn(&fleet, "demo", LOAD_SECONDS, CALL_TIMEOUT, WORKLOADS)?;
    sleep(GRAY_FAILURE_DELAY).await;
    inject_gray_failure(&fleet).await?;
    sleep(KILL_DELAY).await;
    kill_proxy(&mut fleet)?;
    let summary = load.finish().await?;
    let timeline = fetch_timeline(&fleet).await?;
    print_timeline(&timeline);
    println!("\nby workload:");
    summary.text.lines().for_each(|line| println!("  {line}"));
    Ok(print_summary(&summary, &Detection::read(&timeline)))
}

async fn inject_gray_failure(fleet: &Fleet) -> eyre::Result<()> {
    let target = fleet.targets.iter().find(|target| target.name == GRAY_TARGET);
    let target = target.ok_or_else(|| eyre!("there is no target {GRAY_TARGET}"))?;
    println!("turning {GRAY_TARGET} gray: 30 times as slow, its health endpoint still answers");
    fleet.post_admin(&target.admin, "/fault", &json!({"kind": "slow", "factor": 30.0})).await
}

fn kill_proxy(fleet: &mut Fleet) -> eyre::Result<()> {
    let proxy: &mut Process = &mut fleet.hosts[1].proxy;
    println!("killing the proxy of entry-2, pid {}", proxy.pid());
    proxy.kill()
}

async fn fetch_timeline(fleet: &Fleet) -> eyre::Result<Vec<Value>> {
    let text =
        fleet.control(&["timeline", "--output", "json", "--admin", &fleet.admins()?]).await?;
    Ok(serde_json::from_str(&text)?)
}

fn print_timeline(events: &[Value]) {
    println!("\ntime line:");
    let start = events.first().and_then(|event| event["stamp"]["wall_ms"].as_u64()).unwrap_or(0);
    let is_omitted =
        |event: &&Value| event["kind"].as_str().is_some_and(|kind| OMITTED_KINDS.contains(&kind));
    println!(
        "  ({} events of kinds {} are left out)",
        events.iter().filter(is_omitted).count(),
        OMITTED_KINDS.join(", ")
    );
    for event in events.iter().filter(|event| !is_omitted(event)) {
        let text = |key: &str| event[key].as_str().unwrap_or_default();
        let at = event["stamp"]["wall_ms"].as_u64().unwrap_or(start).saturating_sub(start);
        let fields = event.get("fields").map(Value::to_string).unwrap_or_default();
        println!(
            "  {:>8.3} s  {:<14} {:<13} {:<17} {} {fields}",
            at as f64 / 1e3,
            text("host"),
            text("program"),
            text("kind"),
            text("subject"),
        );
    }
}

/// When the proxies reacted to the gray failure, milliseconds after it was injected.
#[derive(Debug, Default)]
struct Detection {
    /// When the first proxy lowered the target's weight because of its own requests.
    suspected: Option<u64>,
    /// When the last proxy had ejected it.
    ejected: Option<u64>,
}

impl Detection {
    fn read(events: &[Value]) -> Self {
        let at = |event: &Value| event["stamp"]["wall_ms"].as_u64();
        let is =
            |event: &Value, kind: &str| event["kind"] == kind && event["subject"] == GRAY_TARGET;
        let Some(fault) = events.iter().find(|event| is(event, "fault-set")).and_then(at) else {
            return Self::default();
        };
        let times = |kind: &'static str| {
            let found = events.iter().filter(move |event| is(event, kind)).filter_map(at);
            found.filter(|time| *time >= fault).map(|time| time - fault)
        };
        Self { suspected: times("target-suspected").min(), ejected: times("target-ejected").max() }
    }

    fn print(&self) {
        for (what, time) in [("first suspected", self.suspected), ("ejected by all", self.ejected)]
        {
            match time {
                Some(ms) => println!("  {what:<16} {ms} ms after {GRAY_TARGET} turned gray"),
                None => println!("  {what:<16} not during the load"),
            }
        }
    }
}

/// Prints the summary and returns whether no request was lost, unreached or treated wrongly.
fn print_summary(summary: &Summary, detection: &Detection) -> bool {
    println!("\nsummary:");
    for key in ["answered", "refused", "unknown", "unreached", "target_errors"] {
        println!("  {key:<16} {}", summary.count(key));
    }
    println!("  {:<16} {}", "refused because", summary.figures["refused_by_reason"]);
    println!("  {:<16} {}", "run twice", summary.count("run_twice"));
    println!("  {:<16} {}", "wrong answers", summary.count("wrong"));
    println!("  {:<16} {}", "lost", summary.count("lost"));
    println!("  {:<16} {}", "denied", summary.count("denied"));
    detection.print();
    summary.violations().is_empty() && summary.count("unreached") == 0
}
