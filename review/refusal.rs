//! An upstream fails part of its requests with 503 after it has run them.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    record::Record,
    requester::{Channel, Request},
    upstream::Manner,
    world::{Route, World},
    Verdict,
};

/// The upstreams, of which one fails: an eighth.
const UPSTREAMS: usize = 8;
/// How long it fails requests: for_s = 5.
const FAILS_FOR: Duration = Duration::from_secs(5);
/// How long orders are sent before that, and after it.
const CALM: Duration = Duration::from_secs(2);
/// The channels with orders.
const CHANNELS: usize = 10;
/// How long the requester of an order waits.
const DEADLINE: Duration = Duration::from_millis(2500);

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner = Manner { work: Duration::from_millis(50), answer_bytes: 400 };
    let routes = [Route { prefix: "/orders/", kind: "unsafe", service: "desk", timeout_s: 2 }];
    let world = World::start(record, &routes, &[("desk", &[manner; UPSTREAMS])])?;
    let is_done = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let channels: Vec<_> = (0..CHANNELS)
        .map(|n| {
            let front = world.gateway.front();
            let (record, is_done) = (Arc::clone(record), Arc::clone(&is_done));
            let answers = Arc::clone(&answers);
            thread::spawn(move || {
                let Ok(channel) = Channel::open(front) else { return };
                send_orders(channel, n, &record, &is_done, &answers);
            })
        })
        .collect();
    thread::sleep(CALM);
    let failing = &world.upstreams[0];
    failing.set_failing(trouble);
    record.line(&format!("upstream {} fails requests: {trouble}", failing.id));
    thread::sleep(FAILS_FOR);
    failing.set_failing(false);
    record.line(&format!("upstream {} is well", failing.id));
    thread::sleep(CALM);
    is_done.store(true, Ordering::Relaxed);
    for channel in channels {
        channel.join().expect("a channel's thread ends");
    }
    let answers = std::mem::take(&mut *answers.lock().unwrap());
    let promised = answers.iter().filter(|(_, status)| [408, 421, 429, 503].contains(status));
    let ran = |id: &str| world.upstreams.iter().any(|upstream| upstream.runs(id) > 0);
    let false_promises: Vec<&str> =
        promised.map(|(id, _)| id.as_str()).filter(|id| ran(id)).collect();
    record.say(&format!(
        "orders answered {}; orders answered with a status that promises that they have not run, and that an upstream ran {}: {false_promises:?}",
        answers.len(),
        false_promises.len()
    ));
    Some(if false_promises.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends one order after the other over one channel.
fn send_orders(
    mut channel: Channel,
    number: usize,
    record: &Record,
    is_done: &AtomicBool,
    answers: &Mutex<Vec<(String, u16)>>,
) {
    for n in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("order-{number}-{n}");
        let request = Request {
            id: id.clone(),
            method: "POST",
            path: "/orders/1".to_owned(),
            deadline: DEADLINE,
            body_bytes: 1000,
        };
        record.line(&format!("requester sends {id}"));
        match channel.send(&[request]).and_then(|()| channel.answer(DEADLINE * 2)) {
            Ok((status, _, _)) => {
                record.line(&format!("answer to {id} is {status}"));
                answers.lock().unwrap().push((id, status));
            }
            Err(error) => {
                record.line(&format!("no answer to {id}: {error}"));
                return;
            }
        }
    }
}
