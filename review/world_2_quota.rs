//! More of a tenant's requests run than its quota allows, as hosts that start together own the same
//! parts of it.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{Caller, Request, Seen},
    fleet::{BOUNDS, Machine, Ports, Power, Process, Terms},
    store::{Mood, Store},
    upstream::{self, Runs, Work},
};

/// What is disturbed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Reads with `allowStale` are three seconds behind.
    StaleReads,
    /// The store turns three of the nine machines away in their first nine seconds.
    TurnedAway,
}

const MACHINES: usize = 9;
/// Within what time all machines start.
const START_SPAN: Duration = Duration::from_millis(300);
const STALE_BY: Duration = Duration::from_secs(3);
const TURNED_AWAY: usize = 3;
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);
/// When the traffic begins, and how long it lasts.
const LEAD: Duration = Duration::from_secs(10);
const TRAFFIC: Duration = Duration::from_secs(20);

/// How an upstream works.
const WORK: Work = Work { slots: 32, time: Duration::from_millis(20), answer_bytes: 100 };

const HOST: &str = "shop.example";
const RATE_PER_S: f64 = 120.0;
const BURST: f64 = 120.0;
/// What the hot tenant sends at first, its usual (its quota is 1.6 times that), and what others send.
const HOT_PER_S: f64 = 540.0;
const HOT_FOR: Duration = Duration::from_secs(8);
const USUAL_PER_S: f64 = RATE_PER_S / 1.6;
const CALM_PER_S: f64 = 10.0;
const TENANTS: [&str; 3] = ["team-8", "team-1", "team-2"];

const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

pub fn play(
    trouble: Trouble,
    has_trouble: bool,
    record: &Path,
    temp: &PathBuf,
) -> Result<Verdict, String> {
    let store = Store::new();
    store.put("config", "main", &config());
    let runs = Runs::default();
    for index in 0..8 {
        let id = format!("i-{index}");
        let address = upstream::start(&id, &WORK, &runs);
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let spec = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"desk\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":32}},\"status\":{{\"state\":\"ready\",\"sequence\":4,\"warmupLeftS\":0}},\"born\":1700000000000}}"
        );
        store.put("servers", &id, &spec);
    }
    // Long enough ago for any read, however stale.
    thread::sleep(STALE_BY);
    if trouble == Trouble::StaleReads && has_trouble {
        store.set_stale_by(STALE_BY);
    }

    let net = (std::process::id() % 200) as u8 + 10;
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|index| {
            let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
            Machine {
                name: format!("front-{zone}-{}", index / 3 + 1),
                zone: zone.to_owned(),
                ip: Ipv4Addr::new(127, net, index as u8 % 3 + 1, index as u8 / 3 + 10),
                store: store.listen(),
                power: Power { cpu_share: 0.5, memory_mb: 512, link_mbps: 200.0, max_fds: 8192 },
            }
        })
        .collect();
    let ips: Vec<Ipv4Addr> = machines.iter().map(|machine| machine.ip).collect();
    let ports = Ports::find(&ips);
    let terms = Terms { bounds: BOUNDS.to_owned(), bootstrap: true };
    let away: Vec<&Machine> = match trouble == Trouble::TurnedAway && has_trouble {
        true => machines.iter().rev().take(TURNED_AWAY).collect(),
        false => Vec::new(),
    };
    away.iter().for_each(|machine| store.set_mood(machine.store, Mood::Silent));

    let begun_at = Instant::now();
    let mut processes = Vec::new();
    for machine in &machines {
        let process = Process::start(machine, &ports, &terms, &ips, temp);
        processes.push(process.map_err(|error| format!("a gateway does not start: {error}"))?);
        thread::sleep(START_SPAN / MACHINES as u32);
    }
    sleep_until(begun_at + TURNED_AWAY_FOR);
    away.iter().for_each(|machine| store.set_mood(machine.store, Mood::Well));
    sleep_until(begun_at + LEAD);

    let seen = send_all(&machines, &ports);
    drop(processes);
    let runs = runs.lock().unwrap().clone();
    judge(&seen, &runs, begun_at, record)
}

fn config() -> String {
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[\"key-{name}\"],\"priority\":1,\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}"
            )
        })
        .collect();
    let tenants = tenants.join(",");
    format!(
        "{{\"version\":\"r7\",\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":1230}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":[{tenants}],\"baseVersion\":\"r5\",\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"r-1\",\"pathPrefix\":\"/a/\",\"routeType\":\"unsafe\",\"timeoutS\":5,\"targetLatencyS\":2,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2,\"anonymous\":false}}]}}]}}"
    )
}

/// Sends the traffic of all tenants, spread evenly over the machines.
fn send_all(machines: &[Machine], ports: &Ports) -> Vec<Seen> {
    /// Channels of each tenant to each machine.
    const CHANNELS: usize = 2;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (until, hot_until) = (Instant::now() + TRAFFIC, Instant::now() + HOT_FOR);
    let mut threads = Vec::new();
    for (tenant_index, tenant) in TENANTS.iter().enumerate() {
        let channels = machines.len() * CHANNELS;
        let gap = move |per_s: f64| Duration::from_secs_f64(channels as f64 / per_s);
        let gap_at = move |at: Instant| match tenant_index {
            0 if at < hot_until => gap(HOT_PER_S),
            0 => gap(USUAL_PER_S),
            _ => gap(CALM_PER_S),
        };
        for index in 0..channels {
            let front = machines[index % machines.len()].front(ports);
            let (seen, first) =
                (Arc::clone(&seen), gap_at(Instant::now()).mul_f64(index as f64 / channels as f64));
            threads.push(thread::spawn(move || {
                let mut caller = Caller::new(front);
                let mut next = Instant::now() + first;
                let mut number = 0;
                while next < until {
                    sleep_until(next);
                    next += gap_at(next);
                    number += 1;
                    let answer = caller.call(&Request {
                        method: "POST",
                        path: "/a/1",
                        host: HOST,
                        id: &format!("{tenant_index:02x}{index:04x}{number:010x}"),
                        key: &format!("key-{tenant}"),
                        tenant,
                        deadline: Duration::from_secs(5),
                        body: b"{}",
                    });
                    seen.lock().unwrap().push(answer);
                }
            }));
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    Arc::try_unwrap(seen).expect("all threads have ended").into_inner().unwrap()
}

/// QUOTA: in some window more requests are both sent and arrive than the quota allows.
fn judge(
    seen: &[Seen],
    runs: &[upstream::Run],
    begun_at: Instant,
    record: &Path,
) -> Result<Verdict, String> {
    let sent: HashMap<&str, &Seen> = seen.iter().map(|seen| (seen.id.as_str(), seen)).collect();
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let mut text = format!(
        "rate {RATE_PER_S}/s, burst {BURST}: at most {limit:.1} runs in any {} s\n",
        WINDOW.as_secs()
    );
    let mut verdict = Verdict::Held;
    for tenant in TENANTS {
        let mut spans: Vec<(Instant, Instant)> = runs
            .iter()
            .filter(|run| run.tenant == tenant)
            .filter_map(|run| Some((sent.get(run.id.as_str())?.sent, run.at)))
            .collect();
        spans.sort();
        let most = spans.iter().map(|(from, _)| {
            let within = |span: &&(Instant, Instant)| span.0 >= *from && span.1 <= *from + WINDOW;
            (spans.iter().filter(within).count(), *from)
        });
        let (count, from) = most.max().unwrap_or((0, begun_at));
        let of_tenant: Vec<&Seen> = seen.iter().filter(|seen| seen.tenant == tenant).collect();
        let answered = |status: u16| of_tenant.iter().filter(|s| s.status == status).count();
        let (asked, good, over) = (of_tenant.len(), answered(200), answered(429));
        let _ = writeln!(
            text,
            "tenant {tenant}: sent {asked}, answered 200 {good}, 429 {over}, other {}; run {}; most in a window {count}, from {:.2} s after the start",
            asked - good - over,
            spans.len(),
            (from - begun_at).as_secs_f64()
        );
        if count as f64 > limit {
            verdict = Verdict::Broken;
        }
        if good == 0 {
            return Err(format!("no request of {tenant} was served"));
        }
    }
    let _ = writeln!(
        text,
        "{}",
        match verdict {
            Verdict::Held => "QUOTA held",
            Verdict::Broken => "QUOTA broken",
        }
    );
    print!("{text}");
    let mut lines: Vec<(Instant, String)> = Vec::new();
    let at = |instant: Instant| (instant - begun_at).as_secs_f64();
    for seen in seen {
        let line = format!(
            "sent {:.3} {} {} to {} answered {:.3} {} {}",
            at(seen.sent),
            seen.tenant,
            seen.id,
            seen.front,
            at(seen.answered),
            seen.status,
            seen.reason
        );
        lines.push((seen.sent, line));
    }
    for run in runs {
        lines.push((
            run.at,
            format!("run {:.3} {} {} {}", at(run.at), run.tenant, run.id, run.upstream),
        ));
    }
    lines.sort();
    lines.iter().for_each(|(_, line)| text += &format!("{line}\n"));
    fs::write(record, text).map_err(|error| error.to_string())?;
    Ok(verdict)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
