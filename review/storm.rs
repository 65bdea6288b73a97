//! Configurations of nearly the largest size come in quick succession.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    record::Record,
    requester,
    upstream::Manner,
    world::{self, Route, World, IN_TOUCH},
    Verdict,
};

/// The size of a configuration; an object has 1,048,576 bytes at most (`valueBytes`), its metadata
/// included.
const CONFIG_BYTES: usize = 1_048_450;
/// The interval between the changes of a `config_storm`.
const STORM_GAP: Duration = Duration::from_millis(60);
/// The interval between the same changes without the disturbance.
const CALM_GAP: Duration = Duration::from_millis(600);
/// How many changes come: for_s = 1.5 at the interval of the storm.
const CHANGES: u32 = 24;
/// How long requests on the new route are sent.
const TRAFFIC: Duration = Duration::from_secs(10);

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner = Manner { work: Duration::from_millis(60), answer_bytes: 400 };
    let first = Route { prefix: "/lots/", kind: "safe", service: "desk", timeout_s: 2 };
    let added = Route { prefix: "/added/", ..first.clone() };
    let world = World::start(record, &[first.clone()], &[("desk", &[manner; 3])])?;
    let write = |version: u32, routes: &[Route]| {
        let text = world::grown_configuration(version, routes, CONFIG_BYTES);
        world.store.put("config", "main", &text);
        record.line(&format!("operator's r{version} of {} bytes is acknowledged", text.len()));
    };
    write(8, &[first.clone()]);
    thread::sleep(IN_TOUCH);
    for n in 1..CHANGES {
        write(8 + n, &[first.clone()]);
        thread::sleep(if trouble { STORM_GAP } else { CALM_GAP });
    }
    write(8 + CHANGES, &[first, added]);
    // More than configApplyS after the acknowledgement.
    thread::sleep(IN_TOUCH);
    let (served, refused) = requester::probe(&world, "/added/1", TRAFFIC);
    record.say(&format!(
        "requests on the route that the last version added: served {served}, refused with 404 {refused}"
    ));
    Some(if refused > 0 { Verdict::Broken } else { Verdict::Held })
}
