//! A requester sends further requests before the first is answered, and an upstream breaks off the
//! long answer to the first one.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    requester::{Channel, Request},
    upstream::Manner,
    world::{Route, World},
    Verdict,
};

/// How long answers are broken off: for_s = 5.5.
const BREAKS_FOR: Duration = Duration::from_millis(5500);
/// How long requests are sent before that, and after it.
const CALM: Duration = Duration::from_secs(3);
/// The kept channels.
const CHANNELS: usize = 8;
/// The requests that are sent one behind the other.
const PIPELINED: usize = 5;
/// The upstreams, of which the first half breaks off answers in the disturbed run: share = .5.
const UPSTREAMS: usize = 16;
/// The length of an answer.
const ANSWER_BYTES: usize = 200_000;
/// How long requesters wait.
const DEADLINE: Duration = Duration::from_secs(5);
/// LOST is broken by more than so many requests.
const LOST_LIMIT: usize = 3;

/// A channel that ended with requests unanswered.
struct Cut {
    /// The request whose answer was broken off.
    first: String,
    /// Those behind it.
    behind: Vec<String>,
}

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner = Manner { work: Duration::from_millis(60), answer_bytes: ANSWER_BYTES };
    let routes = [Route { prefix: "/maps/", kind: "safe", service: "archive", timeout_s: 5 }];
    let mut world = World::start(record, &routes, &[("archive", &[manner; UPSTREAMS])])?;
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(Mutex::new(0));
    let end = Instant::now() + CALM + BREAKS_FOR + CALM;
    let channels: Vec<_> = (0..CHANNELS)
        .map(|n| {
            let (front, record) = (world.gateway.front(), Arc::clone(record));
            let (cuts, answered) = (Arc::clone(&cuts), Arc::clone(&answered));
            thread::spawn(move || {
                for life in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let Ok(channel) = Channel::open(front) else { continue };
                    let name = format!("c{n}-{life}");
                    let cut = use_channel(channel, &name, end, &record, &answered);
                    cuts.lock().unwrap().extend(cut);
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    let faulty = &world.upstreams[..UPSTREAMS / 2];
    faulty.iter().for_each(|upstream| upstream.set_breaking(trouble));
    record.line(&format!("half of the upstreams break off answers: {trouble}"));
    thread::sleep(BREAKS_FOR);
    faulty.iter().for_each(|upstream| upstream.set_breaking(false));
    record.line("all upstreams are well");
    for channel in channels {
        channel.join().expect("a channel's thread ends");
    }
    let is_running = world.gateway.ended().is_none();
    let cuts = std::mem::take(&mut *cuts.lock().unwrap());
    let lost = lost(&world, &cuts);
    let answered = *answered.lock().unwrap();
    record.say(&format!(
        "answered {answered}; channels closed by the gateway {}; requests passed on to a sound upstream and not answered {}; gateway running {is_running}",
        cuts.len(),
        lost.len()
    ));
    for id in &lost {
        record.line(&format!("lost {id}"));
    }
    Some(if lost.len() > LOST_LIMIT { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests in groups until `end`; returns the requests without an answer if the gateway
/// closes the channel, once it was kept for more than one answer.
fn use_channel(
    mut channel: Channel,
    name: &str,
    end: Instant,
    record: &Record,
    answered: &Mutex<usize>,
) -> Option<Cut> {
    for group in 0.. {
        if Instant::now() >= end {
            return None;
        }
        let requests: Vec<Request> = (0..PIPELINED)
            .map(|n| Request {
                id: format!("{name}-{group}-{n}"),
                method: "GET",
                path: "/maps/tile".to_owned(),
                deadline: DEADLINE,
                body_bytes: 0,
            })
            .collect();
        for request in &requests {
            record.line(&format!("requester sends {}", request.id));
        }
        if channel.send(&requests).is_err() {
            return None;
        }
        for (n, request) in requests.iter().enumerate() {
            match channel.answer(DEADLINE * 2) {
                Ok((status, id, bytes)) => {
                    record.line(&format!("answer to {} is {status} {id} {bytes}", request.id));
                    *answered.lock().unwrap() += 1;
                }
                Err(error) => {
                    record.line(&format!("no whole answer to {}: {error}", request.id));
                    let behind = requests[n + 1..].iter().map(|r| r.id.clone()).collect();
                    let is_kept = group > 0 || n > 0;
                    return is_kept.then(|| Cut { first: request.id.clone(), behind });
                }
            }
        }
    }
    None
}

/// Returns the requests that the gateway passed on to sound upstreams only, and did not answer
/// though no upstream broke off the answer to them.
fn lost(world: &World, cuts: &[Cut]) -> BTreeSet<String> {
    let (faulty, sound) = world.upstreams.split_at(UPSTREAMS / 2);
    let mut lost = BTreeSet::new();
    for Cut { first, behind } in cuts {
        world.record.line(&format!("channel closed at {first}, unanswered behind it {behind:?}"));
        for id in behind {
            let by_sound = sound.iter().any(|upstream| upstream.runs(id) > 0);
            let by_faulty = faulty.iter().any(|upstream| upstream.runs(id) > 0);
            if by_sound && !by_faulty {
                lost.insert(id.clone());
            }
        }
    }
    lost
}
