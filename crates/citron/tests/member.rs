//! Membership: one table of faults, and long random runs over a network in memory.

mod net;

use std::{env, time::Duration};

use citron::member::{Path, State};
use net::{Net, name, record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time within which a failure must be known to all, from the stated goal of 5 s for news and
/// the time that a suspect has to refute.
const SOON: Duration = Duration::from_secs(12);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Starts a fleet and waits until all know one another.
fn whole(count: usize) -> Net {
    let mut net = Net::new(count, 7);
    net.run_until(secs(20), "all know one another", Net::is_whole);
    net
}

macro_rules! case {
    ($name:ident, $count:literal, $body:expr) => {
        #[test]
        fn $name() {
            let body: fn(&mut Net) = $body;
            body(&mut whole($count));
        }
    };
}

case!(a_failed_host_is_dead_to_all, 18, |net| {
    net.stop(5);
    net.run_until(SOON, "dead to all", |net| {
        net.running().iter().all(|host| net.sees(*host, 5) == Some(State::Dead))
    });
    assert!(net.is_whole());
});
case!(a_failed_domain_is_dead_to_all, 18, |net| {
    (0..18).filter(|host| host % 3 == 1).for_each(|host| net.stop(host));
    net.run_until(secs(40), "dead to all", Net::is_whole);
});
case!(loss_of_a_tenth_kills_nobody, 18, |net| {
    net.loss = 0.1;
    net.run(secs(300));
    assert!(net.nobody_died());
});
case!(a_cut_in_one_direction_kills_nobody_and_is_told, 9, |net| {
    net.set_cut(2, 6, true);
    net.run_until(secs(30), "both see the direction", |net| {
        let path = |from, to| net.nodes[&name(from)].paths.get(&name(to)).copied();
        path(2, 6) == Some(Path { inbound: true, outbound: false })
            && path(6, 2) == Some(Path { inbound: false, outbound: true })
    });
    net.run(secs(120));
    assert!(net.nobody_died());
    net.set_cut(2, 6, false);
    net.run_until(secs(30), "open again", |net| {
        let path = |from, to| net.nodes[&name(from)].paths.get(&name(to)).copied();
        path(2, 6) == Some(Path::OPEN) && path(6, 2) == Some(Path::OPEN)
    });
});
case!(a_cut_in_both_directions_between_two_kills_nobody, 9, |net| {
    net.set_cut(2, 6, true);
    net.set_cut(6, 2, true);
    net.run(secs(120));
    assert!(net.nobody_died());
    let path = net.nodes[&name(2)].paths[&name(6)];
    assert_eq!(path, Path { inbound: false, outbound: false });
});
case!(loss_makes_no_path_look_cut, 9, |net| {
    net.loss = 0.03;
    net.run(secs(600));
    let told: usize = net.nodes.values().map(|node| node.paths.len()).sum();
    assert_eq!(told, 0);
});
case!(a_paused_host_that_wakes_declares_nobody_dead, 9, |net| {
    net.node(3).paused = true;
    net.run(secs(30));
    assert!(net.running().iter().all(|host| *host == 3 || net.sees(*host, 3) == Some(State::Dead)));
    net.node(3).paused = false;
    net.run(secs(30));
    assert_eq!(net.node(3).dead, Vec::<String>::new());
    assert!(net.is_whole());
});
case!(a_pause_is_not_counted_against_a_suspect, 9, |net| {
    net.node(5).paused = true;
    net.run_until(SOON, "suspected", |net| net.sees(3, 5) == Some(State::Suspect));
    net.node(5).paused = false;
    net.node(3).paused = true;
    net.run(secs(60));
    net.node(3).paused = false;
    net.run(secs(30));
    assert_eq!(net.node(3).dead, Vec::<String>::new());
});
case!(a_host_that_nobody_reaches_doubts_itself, 9, |net| {
    net.split(|host| host == 4);
    net.run(secs(20));
    assert_eq!(net.node(4).dead, Vec::<String>::new());
    net.cut.clear();
    net.run_until(secs(60), "whole again", Net::is_whole);
});
case!(a_restarted_host_joins_again, 9, |net| {
    net.stop(3);
    net.run(secs(20));
    net.start(3);
    net.run_until(SOON, "whole again", Net::is_whole);
});
case!(a_quick_restart_is_taken_for_the_same_host, 9, |net| {
    net.stop(3);
    net.run(secs(1));
    net.start(3);
    net.run_until(SOON, "whole again", Net::is_whole);
});
case!(two_halves_merge_after_a_partition, 18, |net| {
    net.split(|host| host < 9);
    net.run(secs(60));
    assert_eq!(net.sees(0, 17), Some(State::Dead));
    assert_eq!(net.sees(17, 0), Some(State::Dead));
    net.cut.clear();
    net.run_until(secs(60), "whole again", Net::is_whole);
});
case!(a_leaving_host_is_known_to_all_and_not_suspected, 18, |net| {
    let actions = net.node(4).members.leave();
    net.carry_out(&name(4), actions);
    net.run_until(secs(5), "leaving to all", |net| {
        net.running().iter().all(|host| *host == 4 || net.sees(*host, 4) == Some(State::Leaving))
    });
    net.run(secs(60));
    assert!(net.nobody_died());
    assert_eq!(net.sees(0, 4), Some(State::Leaving));
    let actions = net.node(4).members.cancel_leave();
    net.carry_out(&name(4), actions);
    net.run_until(secs(5), "alive to all", |net| {
        net.running().iter().all(|host| *host == 4 || net.sees(*host, 4) == Some(State::Alive))
    });
});
case!(a_list_kills_nobody_and_forgets_only_the_dead, 5, |net| {
    let listed = [record(&name(1), 1, 0), record("host-900", 0, 0)];
    let actions = net.node(0).members.apply_host_list(&listed);
    net.carry_out(&name(0), actions);
    for host in 1..5 {
        assert_eq!(net.sees(0, host), Some(State::Alive), "the list must not kill");
    }
    let unheard = net.node(0).members.get("host-900").unwrap().clone();
    assert!(unheard.listed && unheard.record.state == State::Dead);
    net.run(secs(60));
    assert!(net.nobody_died(), "a host that was never heard of did not die");
    assert_eq!(net.sees(0, 2), Some(State::Alive), "dropped by the list but answering");
    net.stop(1);
    net.stop(2);
    net.run(secs(700));
    assert_eq!(net.sees(0, 1), Some(State::Dead), "still listed");
    assert_eq!(net.sees(0, 2), None, "neither listed nor answering");
    let actions = net.node(0).members.apply_host_list(&[]);
    net.carry_out(&name(0), actions);
    net.run(secs(2));
    assert!(net.node(0).members.get("host-900").is_none());
});

/// Returns the datagrams of one member in a steady minute.
fn datagrams(count: usize) -> f64 {
    let mut net = whole(count);
    net.run(secs(30));
    net.nodes.values_mut().for_each(|node| node.sent = 0);
    net.run(secs(60));
    net.nodes.values().map(|node| node.sent).sum::<u64>() as f64 / count as f64
}

#[test]
fn datagrams_of_a_member_do_not_grow_with_the_fleet() {
    let (few, many) = (datagrams(6), datagrams(48));
    assert!(many <= few * 1.05, "{few} a minute with 6 members, {many} with 48");
}

fn setting(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Does something at random to a fleet of which the two seed hosts keep running.
fn disturb(net: &mut Net, rng: &mut ChaCha8Rng) {
    let count = net.nodes.len();
    let (a, b) = (rng.random_range(2..count), rng.random_range(0..count));
    match rng.random_range(0..9) {
        0 => net.stop(a),
        1 => net.start(a),
        2 => net.node(a).paused = true,
        3 => (0..count).for_each(|host| net.node(host).paused = false),
        4 => net.set_cut(a, b, true),
        5 => net.cut.clear(),
        6 => net.loss = rng.random_range(0.0..0.3),
        7 => net.split(|host| host % 3 == b % 3),
        _ => {
            let listed: Vec<_> = (0..count)
                .filter(|_| rng.random_bool(0.5))
                .map(|i| record(&name(i), i % 3, 0))
                .collect();
            let actions = net.node(b).members.apply_host_list(&listed);
            net.carry_out(&name(b), actions);
        }
    }
    net.run(Duration::from_millis(rng.random_range(100..8000)));
}

#[test]
fn random_faults_end_in_one_view() {
    for seed in 0..setting("CITRON_SEEDS", 6) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test member random (seed {seed})",
            seed + 1
        );
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Net::new(rng.random_range(4..14), seed);
        for _ in 0..setting("CITRON_STEPS", 40) {
            disturb(&mut net, &mut rng);
        }
        net.loss = 0.0;
        net.cut.clear();
        net.nodes.values_mut().for_each(|node| node.paused = false);
        net.run_until(secs(120), "one view", Net::is_whole);
    }
}
