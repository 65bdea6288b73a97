//! The gateway as a process: its log under a reader that stops.

use std::{
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use citron_stand::{
    gateway::{caller::Caller, store::Store, target::Target},
    soak::process::{Host, Process, free_block},
};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// How long a gateway may take to start or to end.
const LIMIT: Duration = Duration::from_secs(20);
/// The time between SIGTERM and the kill on the users' machines.
const GRACE: Duration = Duration::from_secs(6);
/// Requests whose lines are more than a pipe and the gateway's buffer hold.
const REQUESTS: usize = 4000;

/// A store, a target and the host of one gateway.
struct World {
    host: Host,
    folder: tempfile::TempDir,
    _store: Store,
    _target: Target,
    _lock: TcpListener,
}

impl World {
    async fn start() -> eyre::Result<Self> {
        let (block, lock) = free_block().await?;
        let store = Store::bind().await;
        let target = Target::open("i-1", "desk").await?;
        store.put("config", "main", configuration());
        store.put("servers", &target.id, target.entry("ready"));
        let host = Host {
            name: "entry-1".to_owned(),
            ip: Ipv4Addr::new(127, block, 1, 1),
            domain: "a".to_owned(),
            cores: 1,
            store: store.addr(),
            seeds: Vec::new(),
            keep_limit_s: 2.0,
        };
        let folder = tempfile::tempdir()?;
        Ok(Self { host, folder, _store: store, _target: target, _lock: lock })
    }

    async fn ready(&self) -> eyre::Result<()> {
        let url = format!("http://{}/v1/ready", self.host.ready());
        let end = Instant::now() + LIMIT;
        while !reqwest::get(&url).await.is_ok_and(|answer| answer.status().is_success()) {
            eyre::ensure!(Instant::now() < end, "the gateway is not ready in time");
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

fn configuration() -> Value {
    json!({
        "version": "r1",
        "services": [{"name": "desk", "healthPath": "/health", "maxConns": 390}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4096, "headerTimeoutS": 5, "idleTimeoutS": 10},
        "hosts": [{"host": "one.example", "paths": [
            {"name": "lots", "pathPrefix": "/lots/", "routeType": "safe", "timeoutS": 2,
             "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2, "service": "desk"}]}]
    })
}

async fn ask(address: SocketAddr, count: usize) -> eyre::Result<usize> {
    let mut caller = Caller::open(address).await?;
    let mut served = 0;
    for n in 0..count {
        let id = format!("r{n}-{}", "x".repeat(100));
        let text = format!(
            "GET /lots/{n} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining-Ms: 2000\r\n\r\n"
        );
        caller.try_send(&text).await?;
        let answer = caller.try_answer(LIMIT).await;
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    Ok(served)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_of_the_log_that_stops_costs_lines_and_no_request() -> eyre::Result<()> {
    let world = World::start().await?;
    let (_gateway, log) = Process::spawn_piped(&world.host, world.folder.path())?;
    world.ready().await?;
    assert_eq!(ask(world.host.callers(), REQUESTS).await?, REQUESTS, "all requests are served");
    let dropped = tokio::task::spawn_blocking(move || {
        let lines = BufReader::new(log).lines().map_while(Result::ok);
        lines.into_iter().find(|line| line.contains("event=log-lines-dropped"))
    });
    // Another line makes the gateway write on, now that its log is read.
    ask(world.host.callers(), 1).await?;
    let line = tokio::time::timeout(LIMIT, dropped).await??.expect("a line that tells of it");
    let count = line.rsplit("count=").next().and_then(|count| count.parse::<u64>().ok());
    assert!(count.is_some_and(|count| count > 0), "{line}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_whose_log_nobody_reads_ends_in_time() -> eyre::Result<()> {
    let world = World::start().await?;
    let (mut gateway, _log) = Process::spawn_piped(&world.host, world.folder.path())?;
    world.ready().await?;
    ask(world.host.callers(), REQUESTS).await?;
    gateway.signal(Signal::TERM)?;
    let end = Instant::now() + GRACE;
    while Instant::now() < end {
        if let Some(status) = gateway.ended()? {
            assert!(status.success(), "{status}");
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the gateway runs {GRACE:?} after SIGTERM")
}
