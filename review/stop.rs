//! A planned stop while requesters with slow links download long answers and send the next request
//! meanwhile.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway,
    record::Record,
    requester::{Channel, Request},
    upstream::Manner,
    world::{Route, World},
    Verdict,
};

/// The requesters, each with one kept channel.
const REQUESTERS: u32 = 12;
/// The length of an answer.
const ANSWER_BYTES: usize = 500_000;
/// A requester reads so many bytes ...
const READ_BYTES: usize = 12_500;
/// ... at this interval, which is 10 Mbit/s.
const READ_INTERVAL: Duration = Duration::from_millis(10);
/// How long requesters wait.
const DEADLINE: Duration = Duration::from_secs(5);
/// How long requests are sent before the stop.
const TRAFFIC: Duration = Duration::from_secs(4);
/// The time from SIGTERM to SIGKILL (`graceS`).
const GRACE: Duration = Duration::from_secs(6);

/// How a channel ended.
struct Ending {
    /// The request whose answer did not come whole, with the bytes of its body that came.
    cut: Option<(String, usize)>,
    /// When its first byte was sent.
    sent_at: Instant,
    ended_at: Instant,
}

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner =
        Manner { work: Duration::from_millis(50), answer_bytes: ANSWER_BYTES };
    let routes = [Route { prefix: "/maps/", kind: "safe", service: "archive", timeout_s: 5 }];
    let mut world = World::start(record, &routes, &[("archive", &[manner; 8])])?;
    let end = Arc::new(Mutex::new(None));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|n| {
            let (front, record, end) = (world.gateway.front(), Arc::clone(record), Arc::clone(&end));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(70) * n);
                download(front, n, &record, &end)
            })
        })
        .collect();
    thread::sleep(TRAFFIC);
    if trouble {
        gateway::signal(world.gateway.pid(), "TERM");
        record.line("platform sends SIGTERM");
        let kill_at = Instant::now() + GRACE;
        while world.gateway.ended().is_none() && Instant::now() < kill_at {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("gateway ended {:?}", world.gateway.ended()));
        world.gateway.kill();
    } else {
        *end.lock().unwrap() = Some(Instant::now());
    }
    let endings = requesters.into_iter().filter_map(|thread| thread.join().expect("it ends"));
    let cut: Vec<String> = endings.filter_map(|ending| lost(&world, &ending)).collect();
    record.say(&format!(
        "answers cut at a planned stop, of requests that an upstream ran: {}",
        cut.len()
    ));
    Some(if cut.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Returns the request whose answer was cut, unless it was not passed on or its time was over.
fn lost(world: &World, ending: &Ending) -> Option<String> {
    let (id, bytes) = ending.cut.as_ref()?;
    let is_run = world.upstreams.iter().any(|upstream| upstream.runs(id) > 0);
    let took = ending.ended_at - ending.sent_at;
    world.record.line(&format!(
        "{id} got {bytes} of {ANSWER_BYTES} bytes, {} ms after it was sent; run by an upstream: {is_run}",
        took.as_millis()
    ));
    // Without any byte the request may have been sent behind another one and not been read.
    (is_run && *bytes > 0 && took < DEADLINE).then(|| id.clone())
}

/// Downloads one answer after the other until the channel ends; sends the next request in the middle
/// of each answer, unless that says that it is the last one.
fn download(
    front: SocketAddr,
    number: u32,
    record: &Record,
    end: &Mutex<Option<Instant>>,
) -> Option<Ending> {
    let mut channel = Channel::open(front).ok()?;
    let request = |n: u32| Request {
        id: format!("map-{number}-{n}"),
        method: "GET",
        path: "/maps/tile".to_owned(),
        deadline: DEADLINE,
        body_bytes: 0,
    };
    let mut sent_at = Instant::now();
    channel.send(&[request(0)]).ok()?;
    for n in 0.. {
        let id = request(n).id;
        let is_last = end.lock().unwrap().is_some();
        let mut next_sent_at = None;
        let read = channel.read_slowly(READ_BYTES, READ_INTERVAL, |channel| {
            if !is_last {
                next_sent_at = Some(Instant::now());
                record.line(&format!("requester sends {}", request(n + 1).id));
                channel.send(&[request(n + 1)])?;
            }
            Ok(())
        });
        match read {
            Ok((status, bytes)) => record.line(&format!("answer to {id} is {status} {bytes}")),
            Err((error, bytes)) => {
                record.line(&format!("answer to {id} ends after {bytes} bytes: {error}"));
                let is_closed = bytes == 0 && error.kind() == ErrorKind::UnexpectedEof;
                let cut = (!is_closed).then_some((id, bytes));
                return Some(Ending { cut, sent_at, ended_at: Instant::now() });
            }
        }
        // A sound requester sends nothing behind an answer that closes the channel.
        sent_at = next_sent_at?;
    }
    None
}
