//! The settings file changes: the platform's store has another address. A SIGHUP tells it.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    gateway::Settings,
    record::Record,
    requester,
    upstream::Manner,
    world::{self, Route, World, IN_TOUCH},
    Verdict,
};

/// How long requests on the new route are sent.
const TRAFFIC: Duration = Duration::from_secs(10);

/// Plays the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let manner = Manner { work: Duration::from_millis(60), answer_bytes: 400 };
    let first = Route { prefix: "/lots/", kind: "safe", service: "desk", timeout_s: 2 };
    let added = Route { prefix: "/added/", ..first.clone() };
    let mut world = World::start(record, &[first.clone()], &[("desk", &[manner; 3])])?;
    if trouble {
        let (address, _door) = world.store.serve(std::net::Ipv4Addr::LOCALHOST);
        let before = world.settings.store;
        let settings = Settings { store: address, ..world.settings.clone() };
        world.gateway.reload(settings);
        record.line(&format!("settings name store {address} instead of {before}; SIGHUP"));
        // Both addresses serve the same content until the process has had time to follow.
        thread::sleep(IN_TOUCH);
        world.door.close(before);
        record.line(&format!("store no longer listens at {before}"));
    }
    thread::sleep(IN_TOUCH);
    world.store.put("config", "main", &world::configuration(8, &[first, added]));
    record.line("operator's r8 with another route is acknowledged");
    // More than configApplyS after the acknowledgement.
    thread::sleep(IN_TOUCH);
    let (served, refused) = requester::probe(&world, "/added/1", TRAFFIC);
    record.say(&format!(
        "requests on the added route: served {served}, refused with 404 {refused}"
    ));
    Some(if refused > 0 { Verdict::Broken } else { Verdict::Held })
}
