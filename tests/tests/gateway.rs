//! The gateway as a process: what happens if its log is not read, and whether its log explains
//! failed requests.

use std::{
    io::{BufRead, BufReader},
    time::Duration,
};

use citron_stand::{
    gateway::{caller::Caller, store::Mood, target::Act},
    soak::process::Process,
};
use citron_tests::{
    gateway::{World, configuration, send},
    run, wait_until,
};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

/// How long a gateway may take to log a line.
const LIMIT: Duration = Duration::from_secs(20);
/// The time between SIGTERM and SIGKILL on the users' machines.
const KILL_DELAY: Duration = Duration::from_secs(6);
/// Enough requests that their log lines overflow the pipe and the gateway's buffer.
const REQUESTS: usize = 4000;

async fn send_many(caller: &mut Caller, count: usize) -> usize {
    let mut served = 0;
    for n in 0..count {
        let id = format!("r{n}-{}", "x".repeat(100));
        let response = send(caller, "GET", &format!("/lots/{n}"), &id).await;
        served += usize::from(response.is_ok_and(|response| response.status == 200));
    }
    served
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_log_reader_loses_lines_but_no_request() -> eyre::Result<()> {
    let world = World::start().await?;
    let (_gateway, log) = Process::spawn_piped(&world.host, world.folder.path())?;
    world.wait_ready().await?;
    let mut caller = world.caller().await?;
    assert_eq!(send_many(&mut caller, REQUESTS).await, REQUESTS, "all requests are served");
    let dropped = tokio::task::spawn_blocking(move || {
        let lines = BufReader::new(log).lines().map_while(Result::ok);
        lines.into_iter().find(|line| line.contains("event=log-lines-dropped"))
    });
    // The log is being read now; another line makes the gateway write again.
    send_many(&mut caller, 1).await;
    let line = tokio::time::timeout(LIMIT, dropped)
        .await??
        .expect("a line that reports the dropped lines");
    let count = line.rsplit("count=").next().and_then(|count| count.parse::<u64>().ok());
    assert!(count.is_some_and(|count| count > 0), "{line}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_with_an_unread_log_exits_in_time() -> eyre::Result<()> {
    let world = World::start().await?;
    let (mut gateway, _log) = Process::spawn_piped(&world.host, world.folder.path())?;
    world.wait_ready().await?;
    send_many(&mut world.caller().await?, REQUESTS).await;
    gateway.signal(Signal::TERM)?;
    let end = Instant::now() + KILL_DELAY;
    while Instant::now() < end {
        if let Some(status) = gateway.ended()? {
            assert!(status.success(), "{status}");
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the gateway still runs {KILL_DELAY:?} after SIGTERM")
}

/// A gateway whose log is read with `citronctl explain`, as docs/OPERATIONS.md describes.
struct Case {
    // Before `world`, which releases the gateway's addresses when it is dropped.
    _gateway: Process,
    world: World,
}

impl Case {
    async fn start() -> eyre::Result<Self> {
        let world = World::start().await?;
        let gateway = Process::spawn(&world.host, world.folder.path())?;
        world.wait_ready().await?;
        Ok(Self { _gateway: gateway, world })
    }

    async fn send(&self, method: &str, path: &str, id: &str) -> eyre::Result<u16> {
        let response = send(&mut self.world.caller().await?, method, path, id).await;
        Ok(response.map_err(|end| eyre::eyre!("the gateway did not respond: {end:?}"))?.status)
    }

    /// Returns the lines that explain a request once its last line is written.
    async fn explain(&self, id: &str) -> eyre::Result<Vec<String>> {
        let log = self.world.folder.path().join("entry-1.log");
        let log = log.to_string_lossy().into_owned();
        wait_until("the request's last line", LIMIT, async || {
            let output = run("citronctl", &["explain", id, &log]).await.ok()?;
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            let is_complete =
                text.lines().any(|line| line.starts_with("* ") && has(line, "event=request"));
            is_complete.then(|| text.lines().map(str::to_owned).collect())
        })
        .await
    }

    /// Waits until the gateway has logged a line with these words.
    async fn wait_logged(&self, words: &str) -> eyre::Result<()> {
        let log = self.world.folder.path().join("entry-1.log");
        wait_until(words, LIMIT, async || {
            let text = std::fs::read_to_string(&log).ok()?;
            text.lines().any(|line| has(line, words)).then_some(())
        })
        .await
    }
}

fn has(line: &str, words: &str) -> bool {
    words.split(' ').all(|word| line.split(' ').any(|part| part == word))
}

fn assert_line(lines: &[String], words: &str) {
    assert!(lines.iter().any(|line| has(line, words)), "no line with {words:?} in {lines:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_target_failed_is_explained() -> eyre::Result<()> {
    let case = Case::start().await?;
    case.world.target.set(Act::Reset);
    assert_eq!(case.send("POST", "/orders/7", "lost").await?, 502);
    let lines = case.explain("lost").await?;
    assert_line(&lines, "* event=attempt target=i-1 ending=broken");
    assert_line(&lines, "* event=refused outcome=unknown reason=target-broken");
    assert_line(&lines, "* event=request status=502 attempts=1");
    assert_line(&lines, "event=belief target=i-1 verdict=reset");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_by_an_overloaded_target_is_explained() -> eyre::Result<()> {
    let case = Case::start().await?;
    case.world.target.set(Act::Shed);
    assert_eq!(case.send("POST", "/orders/7", "refused").await?, 503);
    let lines = case.explain("refused").await?;
    assert_line(&lines, "* event=attempt target=i-1 ending=shed");
    assert_line(&lines, "* event=refused outcome=not-run");
    assert_line(&lines, "event=belief target=i-1 verdict=shed");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_under_a_stale_configuration_is_explained() -> eyre::Result<()> {
    let case = Case::start().await?;
    case.world.store.set(Mood::Refusing(503));
    case.wait_logged("event=store-lost call=config").await?;
    case.world.store.put("config", "main", configuration(2, &["lots", "orders", "new"]));
    assert_eq!(case.send("GET", "/new/7", "early").await?, 404);
    let lines = case.explain("early").await?;
    assert_line(&lines, "* event=request reason=no-route status=404 routes=1");
    assert_line(&lines, "event=store-lost call=config");
    // docs/OPERATIONS.md compares the version with the newest one on any host.
    case.world.store.set(Mood::Well);
    case.wait_logged("event=routes-taken version=2 before=1").await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_metrics_count_requests_and_attempts() -> eyre::Result<()> {
    let case = Case::start().await?;
    assert_eq!(case.send("GET", "/lots/7", "served").await?, 200);
    case.world.target.set(Act::Fail);
    assert_eq!(case.send("POST", "/orders/7", "failed").await?, 500);
    case.world.target.set(Act::Reset);
    assert_eq!(case.send("POST", "/orders/7", "broken").await?, 502);
    let url = format!("http://{}/metrics", case.world.host.metrics());
    let text = reqwest::get(url).await?.text().await?;
    for line in [
        r#"citron_requests_total{route="lots",status="200"} 1"#,
        r#"citron_requests_total{route="orders",status="500"} 1"#,
        r#"citron_attempts_total{ending="broken"} 1"#,
        r#"citron_refusals_total{reason="target-broken"} 1"#,
        r#"citron_verdicts_total{source="own",verdict="failed"} 1"#,
        r#"citron_verdicts_total{source="own",verdict="silent"} 1"#,
        "citron_added_duration_seconds_count 2",
        r#"citron_request_duration_seconds_count{route="orders"} 2"#,
        "citron_store_lost 0",
        "citron_store_silent_seconds 0",
        "citron_log_lines_dropped 0",
        "citron_routes_version 1",
    ] {
        assert!(text.lines().any(|shown| shown == line), "{line} is missing in {text}");
    }
    Ok(())
}
