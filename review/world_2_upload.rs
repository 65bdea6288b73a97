//! A stopping gateway breaks off uploads whose upstreams read slowly.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, Read},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{Caller, Request, Seen},
    fleet::{BOUNDS, Machine, Ports, Power, Process, Terms},
    http,
    store::Store,
};

const POWER: Power = Power { cpu_share: 0.5, memory_mb: 512, link_mbps: 200.0, max_fds: 8192 };
const CHANNELS: usize = 5;
/// The longest upload of the site.
const UPLOAD_BYTES: usize = 360_000;
const DEADLINE: Duration = Duration::from_secs(15);
/// How long an upstream works on an upload. One that reads slowly leaves the rest of the body unread
/// meanwhile.
const WORK: Duration = Duration::from_millis(3400);
/// When the gateway is told to stop, after the uploads were sent, and when it is killed.
const STOP_AFTER: Duration = Duration::from_millis(700);
const GRACE: Duration = Duration::from_secs(6);
const HOST: &str = "shop.example";

/// What an upstream saw of one request.
#[derive(Debug, Clone, Copy)]
struct Run {
    begun: Instant,
    /// How much of the body came, and when the upstream answered or noticed the end of the channel.
    body_bytes: usize,
    ended: Option<Instant>,
    answered: bool,
}

type Runs = Arc<Mutex<HashMap<String, Run>>>;

pub fn play(has_trouble: bool, record: &Path, temp: &PathBuf) -> Result<Verdict, String> {
    let store = Store::new();
    store.put("config", "main", &config());
    let runs = Runs::default();
    for index in 0..6 {
        let id = format!("i-{index}");
        let address = start_upstream(&id, has_trouble, &runs);
        let spec = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"archive\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":6}},\"status\":{{\"state\":\"ready\",\"sequence\":4,\"warmupLeftS\":0}},\"born\":1700000000000}}"
        );
        store.put("servers", &id, &spec);
    }
    let net = (std::process::id() % 200) as u8 + 10;
    let machine = Machine {
        name: "front-zone-a-1".to_owned(),
        zone: "zone-a".to_owned(),
        ip: Ipv4Addr::new(127, net, 1, 10),
        store: store.listen(),
        power: POWER,
    };
    let ports = Ports::find(&[machine.ip]);
    let terms = Terms { bounds: BOUNDS.to_owned(), bootstrap: true };
    let mut process = Process::start(&machine, &ports, &terms, &[machine.ip], temp)
        .map_err(|error| format!("the gateway does not start: {error}"))?;
    thread::sleep(Duration::from_secs(4));

    let front = machine.front(&ports);
    let begun_at = Instant::now();
    let callers: Vec<_> =
        (0..CHANNELS).map(|channel| thread::spawn(move || upload(front, channel))).collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    process.signal("TERM");
    if !process.wait(GRACE) {
        process.kill();
    }
    let ended_at = Instant::now();
    let seen: Vec<Seen> = callers.into_iter().map(|caller| caller.join().expect("ends")).collect();
    // The upstreams finish what they read.
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().unwrap().clone();
    judge(&seen, &runs, [begun_at, stopped_at, ended_at], record)
}

fn config() -> String {
    format!(
        "{{\"version\":\"r7\",\"services\":[{{\"name\":\"archive\",\"healthPath\":\"/health\",\"maxConns\":1230}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"baseVersion\":\"r5\",\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"r-1\",\"pathPrefix\":\"/archive/\",\"routeType\":\"upload\",\"timeoutS\":5,\"targetLatencyS\":5,\"priority\":1,\"service\":\"archive\",\"maxAttempts\":2,\"anonymous\":false}}]}}]}}"
    )
}

fn upload(front: SocketAddr, channel: usize) -> Seen {
    Caller::new(front).call(&Request {
        method: "POST",
        path: "/archive/1",
        host: HOST,
        id: &format!("{channel:016x}"),
        key: "",
        tenant: "-",
        deadline: DEADLINE,
        body: &vec![b'.'; UPLOAD_BYTES],
    })
}

fn start_upstream(id: &str, reads_late: bool, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for an upstream");
    let addr = listener.local_addr().expect("an address");
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs) = (id.clone(), Arc::clone(&runs));
            thread::spawn(move || serve(stream, &id, reads_late, &runs));
        }
    });
    addr
}

/// Begins to work on a request with its head, reads the body late or at once, and answers.
fn serve(mut stream: TcpStream, id: &str, reads_late: bool, runs: &Runs) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(16 * 1024, clone);
    loop {
        let (mut attempt, mut length, mut expected) = (String::new(), 0, String::new());
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                return;
            }
            if line == "\r\n" {
                break;
            }
            let Some((name, value)) = line.trim_end().split_once(": ") else { continue };
            match name.to_ascii_lowercase().as_str() {
                "attempt-id" => attempt = value.to_owned(),
                "content-length" => length = value.parse().unwrap_or(0),
                "expect-instance" => expected = value.to_owned(),
                _ => {}
            }
        }
        if expected != id {
            let _ = http::respond(&mut stream, 421, &[("Attempt-Id", &attempt)], b"");
            return;
        }
        let begun = Instant::now();
        let run = Run { begun, body_bytes: 0, ended: None, answered: false };
        runs.lock().unwrap().insert(attempt.clone(), run);
        if reads_late {
            thread::sleep(WORK);
        }
        let mut body_bytes = 0;
        let mut part = vec![0; 16 * 1024];
        while body_bytes < length {
            match reader.read(&mut part) {
                Ok(count @ 1..) => body_bytes += count,
                _ => break,
            }
        }
        if !reads_late {
            thread::sleep(WORK);
        }
        let signature = format!("{id}.{attempt}");
        let headers = [("Attempt-Id", attempt.as_str()), ("Upstream-Signature", &signature)];
        let answered =
            body_bytes == length && http::respond(&mut stream, 200, &headers, b"kept").is_ok();
        let run = Run { begun, body_bytes, ended: Some(Instant::now()), answered };
        runs.lock().unwrap().insert(attempt, run);
        if !answered {
            return;
        }
    }
}

/// LOST: after a SIGTERM a request that an upstream was at work on was broken off, and the channel
/// ended without an answer or with one of the gateway's own.
fn judge(
    seen: &[Seen],
    runs: &HashMap<String, Run>,
    [begun_at, stopped_at, ended_at]: [Instant; 3],
    record: &Path,
) -> Result<Verdict, String> {
    let at = |instant: Instant| (instant - begun_at).as_secs_f64();
    let mut text =
        format!("SIGTERM at {:.2} s, the process ended at {:.2} s\n", at(stopped_at), at(ended_at));
    let mut lost = 0;
    for seen in seen {
        let Some(run) = runs.get(&seen.id) else {
            let _ =
                writeln!(text, "{} never run, answered {} {}", seen.id, seen.status, seen.reason);
            continue;
        };
        // An answer of an upstream bears the request's id; the gateway's own names a reason.
        let is_own = seen.status == 0 || seen.reason != "-";
        let was_at_work = run.ended.is_none_or(|ended| ended > seen.answered) || !run.answered;
        let is_early = seen.answered < stopped_at + GRACE.mul_f64(5.0 / 6.0);
        lost += usize::from(is_own && was_at_work && is_early && seen.answered > stopped_at);
        let _ = writeln!(
            text,
            "{} sent {:.2} s, upstream at work from {:.2} s, answered {} {} at {:.2} s; upstream got {} bytes and {} at {:.2} s",
            seen.id,
            at(seen.sent),
            at(run.begun),
            seen.status,
            seen.reason,
            at(seen.answered),
            run.body_bytes,
            if run.answered { "answered" } else { "saw the channel end" },
            run.ended.map_or(f64::NAN, at)
        );
    }
    let _ = writeln!(text, "broken off while the upstream was at work: {lost} (one breaks LOST)");
    let verdict = if lost > 0 { Verdict::Broken } else { Verdict::Held };
    let _ = writeln!(text, "{}", if lost > 0 { "LOST broken" } else { "LOST held" });
    print!("{text}");
    fs::write(record, text).map_err(|error| error.to_string())?;
    if runs.is_empty() {
        return Err("no upload reached an upstream".to_owned());
    }
    Ok(verdict)
}
