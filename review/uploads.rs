//! Many requesters upload long bodies at once, while others send orders over kept channels.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    gateway::MEMORY_MB,
    record::Record,
    requester::{Channel, Request},
    upstream::Manner,
    world::{Route, World},
    Verdict,
};

/// The uploads at once on an ordinary day.
const UPLOADS: usize = 8;
/// The same in a burst, at most 1.4 times as many.
const UPLOADS_IN_BURST: usize = 11;
/// The length of an upload; the operator's limit is 64 MiB.
const UPLOAD_BYTES: usize = 62 * 1024 * 1024;
/// How fast one requester sends, so that the burst is over within 5 s; eleven fill little more than
/// half of the machine's link.
const UPLOAD_BYTES_PER_S: usize = 14_500_000;
/// The kept channels with orders.
const CHANNELS: usize = 10;
/// How long the requester of an order waits.
const ORDER_DEADLINE: Duration = Duration::from_millis(2500);
/// How long the requester of an upload waits.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(25);
/// The interval at which the platform looks at the memory of a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// LOST is broken by more than so many requests.
const LOST_LIMIT: usize = 3;

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner =
        Manner { work: Duration::from_millis(210), answer_bytes: 400 };
    let routes = [
        Route { prefix: "/orders/", kind: "unsafe", service: "desk", timeout_s: 2 },
        Route { prefix: "/bulk/", kind: "unsafe", service: "bulk", timeout_s: 25 },
    ];
    let services = [("desk", &[manner; 8][..]), ("bulk", &[manner; 8][..])];
    let mut world = World::start(record, &routes, &services)?;
    let front = world.gateway.front();
    let is_done = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(Mutex::new(0));
    let orders: Vec<_> = (0..CHANNELS)
        .map(|n| {
            let (record, is_done) = (Arc::clone(record), Arc::clone(&is_done));
            let (unanswered, answered) = (Arc::clone(&unanswered), Arc::clone(&answered));
            thread::spawn(move || {
                let Ok(channel) = Channel::open(front) else { return };
                let lost = send_orders(channel, n, &record, &is_done, &answered);
                unanswered.lock().unwrap().extend(lost);
            })
        })
        .collect();
    let count = if trouble { UPLOADS_IN_BURST } else { UPLOADS };
    let uploads: Vec<_> = (0..count)
        .map(|n| {
            let record = Arc::clone(record);
            thread::spawn(move || upload(front, n, &record))
        })
        .collect();
    let most_mb = watch_memory(&mut world, |_| uploads.iter().all(|upload| upload.is_finished()));
    // The last orders get their answers.
    is_done.store(true, Ordering::Relaxed);
    for thread in orders.into_iter().chain(uploads) {
        thread.join().expect("a requester's thread ends");
    }
    let unanswered = std::mem::take(&mut *unanswered.lock().unwrap());
    let ran = |id: &String| world.upstreams.iter().any(|upstream| upstream.runs(id) > 0);
    let lost: Vec<&String> = unanswered.iter().filter(|id| ran(id)).collect();
    let answered = *answered.lock().unwrap();
    record.say(&format!(
        "uploads at once {count}; most memory {most_mb} of {MEMORY_MB} MB; orders answered {answered}; orders that an upstream ran and whose channel closed without an answer {}: {lost:?}",
        lost.len()
    ));
    Some(if lost.len() > LOST_LIMIT { Verdict::Broken } else { Verdict::Held })
}

/// Does what the platform does: kills the gateway once its memory is over the limit. Returns the
/// most memory that was seen.
fn watch_memory(world: &mut World, is_done: impl Fn(&World) -> bool) -> u64 {
    let mut most_mb = 0;
    while !is_done(world) {
        let memory_mb = world.gateway.memory_mb();
        if memory_mb / 50 > most_mb / 50 {
            world.record.line(&format!("gateway has {memory_mb} MB"));
        }
        most_mb = most_mb.max(memory_mb);
        if memory_mb > MEMORY_MB {
            world.gateway.kill();
            world.record.line(&format!("platform kills the gateway, which has {memory_mb} MB"));
            return most_mb;
        }
        thread::sleep(WATCH_INTERVAL);
    }
    most_mb
}

/// Sends one order after the other over one channel; returns that without an answer if the gateway
/// closes the channel, once it was kept for an answer.
fn send_orders(
    mut channel: Channel,
    number: usize,
    record: &Record,
    is_done: &AtomicBool,
    answered: &Mutex<usize>,
) -> Option<String> {
    for n in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return None;
        }
        let id = format!("order-{number}-{n}");
        let request = Request {
            id: id.clone(),
            method: "POST",
            path: "/orders/1".to_owned(),
            deadline: ORDER_DEADLINE,
            body_bytes: 4000,
        };
        record.line(&format!("requester sends {id}"));
        let answer = channel.send(&[request]).and_then(|()| channel.answer(ORDER_DEADLINE * 2));
        match answer {
            Ok((status, _, bytes)) => {
                record.line(&format!("answer to {id} is {status} {bytes}"));
                *answered.lock().unwrap() += 1;
            }
            Err(error) => {
                record.line(&format!("no answer to {id}: {error}"));
                return (n > 0).then_some(id);
            }
        }
    }
    None
}

fn upload(front: std::net::SocketAddr, number: usize, record: &Record) {
    let id = format!("upload-{number}");
    let request = Request {
        id: id.clone(),
        method: "POST",
        path: "/bulk/1".to_owned(),
        deadline: UPLOAD_DEADLINE,
        body_bytes: UPLOAD_BYTES,
    };
    record.line(&format!("requester begins {id}"));
    let Ok(mut channel) = Channel::open(front) else { return };
    let sent = channel.send_slowly(&request, UPLOAD_BYTES_PER_S);
    match sent.and_then(|()| channel.answer(UPLOAD_DEADLINE)) {
        Ok((status, _, _)) => record.line(&format!("answer to {id} is {status}")),
        Err(error) => record.line(&format!("no answer to {id}: {error}")),
    }
}
