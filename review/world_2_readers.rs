//! Requesters that read slowly lose the answers to the requests behind a long one.

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::Request,
    fleet::{BOUNDS, Machine, Ports, Power, Process, Terms},
    link,
    store::Store,
    upstream::{self, Runs, Work},
};

/// The strongest machines of the site.
const POWER: Power = Power { cpu_share: 0.5, memory_mb: 512, link_mbps: 200.0, max_fds: 8192 };
const CHANNELS: usize = 5;
/// The short requests that each channel sends behind a long one.
const BEHIND: usize = 4;
const LONG_BYTES: usize = 4_000_000;
const SHORT_BYTES: usize = 400;
/// How much a slow reader reads each second, so that it has all answers in some 14 s.
const SLOW_BYTES_PER_S: usize = 290_000;
/// How long a requester waits for each answer.
const DEADLINE: Duration = Duration::from_secs(15);
/// LOST is broken by more requests than this.
const LOST_LIMIT: usize = 3;
const HOST: &str = "shop.example";

/// One channel: what came in, and when it ended.
struct Channel {
    ids: Vec<String>,
    sent: Instant,
    /// The answers that came whole, with their times, in the order of the requests.
    answers: Vec<(String, u16, Instant)>,
    received: usize,
    /// When the gateway closed the channel, if it did.
    closed: Option<Instant>,
}

pub fn play(has_trouble: bool, record: &Path, temp: &PathBuf) -> Result<Verdict, String> {
    let store = Store::new();
    store.put("config", "main", &config());
    let runs = Runs::default();
    for (service, answer_bytes) in [("long", LONG_BYTES), ("short", SHORT_BYTES)] {
        let work = Work { slots: 6, time: Duration::from_millis(50), answer_bytes };
        for index in 0..6 {
            let id = format!("i-{service}-{index}");
            let address = upstream::start(&id, &work, &runs);
            let spec = format!(
                "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":6}},\"status\":{{\"state\":\"ready\",\"sequence\":4,\"warmupLeftS\":0}},\"born\":1700000000000}}"
            );
            store.put("servers", &id, &spec);
        }
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
    let process = Process::start(&machine, &ports, &terms, &[machine.ip], temp)
        .map_err(|error| format!("the gateway does not start: {error}"))?;
    thread::sleep(Duration::from_secs(4));

    let front = machine.front(&ports);
    let begun_at = Instant::now();
    let readers: Vec<_> = (0..CHANNELS)
        .map(|channel| thread::spawn(move || read(front, channel, has_trouble)))
        .collect();
    let channels: io::Result<Vec<Channel>> =
        readers.into_iter().map(|reader| reader.join().expect("a reader ends")).collect();
    let channels = channels.map_err(|error| format!("a channel cannot be opened: {error}"))?;
    drop(process);
    let runs = runs.lock().unwrap().clone();
    judge(&channels, &runs, begun_at, record)
}

fn config() -> String {
    let route = |service: &str| {
        format!(
            "{{\"name\":\"r-{service}\",\"pathPrefix\":\"/{service}/\",\"routeType\":\"safe\",\"timeoutS\":15,\"targetLatencyS\":6,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":1,\"anonymous\":false}}"
        )
    };
    let paths = [route("long"), route("short")].join(",");
    format!(
        "{{\"version\":\"r7\",\"services\":[{{\"name\":\"long\",\"healthPath\":\"/health\",\"maxConns\":1230}},{{\"name\":\"short\",\"healthPath\":\"/health\",\"maxConns\":1230}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"baseVersion\":\"r5\",\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{paths}]}}]}}"
    )
}

/// Sends a long request and some short ones behind it, and reads the answers.
fn read(front: SocketAddr, channel: usize, is_slow: bool) -> io::Result<Channel> {
    /// The interval between two reads of a slow reader.
    const STEP: Duration = Duration::from_millis(20);
    let mut stream = link::connect(front)?;
    let mut ids = Vec::new();
    let mut out = Vec::new();
    for index in 0..=BEHIND {
        let id = format!("{channel:04x}{index:012x}");
        let path = if index == 0 { "/long/1" } else { "/short/1" };
        let request = Request {
            method: "GET",
            path,
            host: HOST,
            id: &id,
            key: "",
            tenant: "-",
            deadline: DEADLINE,
            body: b"",
        };
        out.extend_from_slice(&request.encode());
        ids.push(id);
    }
    stream.write_all(&out)?;
    let sent = Instant::now();
    let mut seen = Channel { ids, sent, answers: Vec::new(), received: 0, closed: None };
    stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    let step_bytes = match is_slow {
        true => SLOW_BYTES_PER_S * STEP.as_millis() as usize / 1000,
        false => 256 * 1024,
    };
    let (mut part, mut unread) = (vec![0; step_bytes], Vec::new());
    let mut next = sent;
    while seen.answers.len() < seen.ids.len() && sent.elapsed() < DEADLINE + Duration::from_secs(2)
    {
        match stream.read(&mut part) {
            Ok(0) => {
                seen.closed = Some(Instant::now());
                break;
            }
            Ok(count) => {
                seen.received += count;
                unread.extend_from_slice(&part[..count]);
                take_answers(&mut unread, &mut seen.answers);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => {
                seen.closed = Some(Instant::now());
                break;
            }
        }
        if is_slow {
            next += STEP;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
    Ok(seen)
}

/// Moves the whole answers from the front of `unread` to `answers`.
fn take_answers(unread: &mut Vec<u8>, answers: &mut Vec<(String, u16, Instant)>) {
    loop {
        let Some(end) = unread.windows(4).take(8192).position(|part| part == b"\r\n\r\n") else {
            return;
        };
        let head = String::from_utf8_lossy(&unread[..end]).into_owned();
        let header = |name: &str| {
            head.lines().filter_map(|line| line.split_once(": ")).find_map(|(other, value)| {
                other.eq_ignore_ascii_case(name).then(|| value.to_owned())
            })
        };
        let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if unread.len() < end + 4 + length {
            return;
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answers.push((header("attempt-id").unwrap_or_default(), status, Instant::now()));
        unread.drain(..end + 4 + length);
    }
}

/// LOST: requests that a sound upstream ran, on kept channels that were closed without an answer.
fn judge(
    channels: &[Channel],
    runs: &[upstream::Run],
    begun_at: Instant,
    record: &Path,
) -> Result<Verdict, String> {
    let ran: HashMap<&str, &upstream::Run> =
        runs.iter().map(|run| (run.id.as_str(), run)).collect();
    let at = |instant: Instant| (instant - begun_at).as_secs_f64();
    let (mut text, mut lost, mut whole) = (String::new(), 0, 0);
    for (index, channel) in channels.iter().enumerate() {
        whole += channel.answers.len();
        let _ = writeln!(
            text,
            "channel {index}: sent {} requests at {:.2} s, received {} bytes and {} whole answers, closed by the gateway {}",
            channel.ids.len(),
            at(channel.sent),
            channel.received,
            channel.answers.len(),
            channel.closed.map_or_else(|| "never".to_owned(), |end| format!("at {:.2} s", at(end)))
        );
        for (position, id) in channel.ids.iter().enumerate() {
            let run = ran.get(id.as_str());
            let answer = channel.answers.get(position);
            let is_lost = run.is_some() && answer.is_none() && channel.closed.is_some();
            lost += usize::from(is_lost);
            let _ = writeln!(
                text,
                "  {id} run {} answered {}",
                run.map_or_else(|| "never".to_owned(), |run| format!("{:.2} s", at(run.at))),
                answer.map_or_else(
                    || "never".to_owned(),
                    |(_, status, when)| format!("{status} at {:.2} s", at(*when))
                )
            );
        }
    }
    let _ = writeln!(
        text,
        "run by a sound upstream, and the channel closed without an answer: {lost} (more than {LOST_LIMIT} break LOST)"
    );
    let verdict = if lost > LOST_LIMIT { Verdict::Broken } else { Verdict::Held };
    let _ = writeln!(text, "{}", if lost > LOST_LIMIT { "LOST broken" } else { "LOST held" });
    print!("{text}");
    fs::write(record, text).map_err(|error| error.to_string())?;
    match lost + whole {
        0 => Err("no request was answered or lost".to_owned()),
        _ => Ok(verdict),
    }
}
