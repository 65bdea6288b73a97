//! What callers get under loads that exceed the room or the retry budget: with requests that wait, and
//! with requests that are refused at once.

mod wait_world;

use wait_world::{Count, Kind, World, play};

const SEEDS: [u64; 2] = [1, 2];

const ORDER: Kind = Kind {
    customer: "north",
    priority: 1,
    per_s: 390.0,
    surge: 1.0,
    work_ms: 480,
    objective_ms: 2000,
    timeout_ms: 6000,
};

/// A world of 40 targets that serve 1200 requests of 200 ms per second.
const WORLD: World =
    World { targets: 40, sick: 0, reject: 0.0, slow: 1.0, fault_ms: 5000, repeats: 0, waits: true };

const LOOKUP: Kind = Kind { work_ms: 200, objective_ms: 800, timeout_ms: 3000, ..ORDER };

/// Plays a load with and without waiting, and prints what each kind got.
fn compare(name: &str, kinds: &[Kind], world: &World, seed: u64) -> [Vec<Count>; 2] {
    [true, false].map(|waits| {
        let counts = play(kinds, &World { waits, ..world.clone() }, seed);
        for (kind, c) in kinds.iter().zip(&counts) {
            println!(
                "{name} seed={seed} waits={waits} customer={} priority={} sent={} good={} late={} refused={} timed_out={} told_late={} refusal_p50_ms={} refusal_p99_ms={}",
                kind.customer, kind.priority, c.sent, c.good, c.late, c.refused, c.timed_out,
                c.told_late, c.refusal_ms(0.5), c.refusal_ms(0.99)
            );
        }
        let total: usize = counts.iter().map(|c| c.told_late).sum();
        assert_eq!(total, 0, "no request is refused after its deadline");
        counts
    })
}

fn unserved(counts: &[Count]) -> usize {
    counts.iter().map(|c| c.refused + c.timed_out).sum()
}

/// Guards against refusals of requests that could wait for a retry token.
#[test]
fn fewer_are_refused_while_targets_reject_a_share() {
    for seed in SEEDS {
        let world = World { targets: 99, sick: 93, reject: 0.55, fault_ms: 8500, ..WORLD };
        let [waits, refuses] = compare("reject", &[ORDER], &world, seed);
        assert!(waits[0].refused < refuses[0].refused);
        assert!(unserved(&waits) < unserved(&refuses));
    }
}

/// Guards against an order in which the less urgent kind takes the room.
#[test]
fn the_more_urgent_kind_is_served_no_less_often() {
    for seed in SEEDS {
        let urgent = Kind { per_s: 300.0, ..LOOKUP };
        let plain = Kind { priority: 2, per_s: 700.0, surge: 2.5, ..LOOKUP };
        let [waits, _] = compare("burst", &[urgent, plain], &WORLD, seed);
        let [urgent, plain] = [&waits[0], &waits[1]].map(Count::served_share);
        assert!(urgent > plain - 0.05, "{urgent} {plain}");
        assert!(plain > 0.3, "the less urgent kind starves: {plain}");
    }
}

/// Guards against a customer whose load takes room from the others.
#[test]
fn other_customers_lose_nothing_by_the_surge_of_one() {
    for seed in SEEDS {
        let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let kinds = |surge| -> Vec<Kind> {
            let kind = |name| Kind { customer: name, per_s: 90.0, ..LOOKUP };
            let mut kinds: Vec<Kind> = names.iter().map(|name| kind(name)).collect();
            kinds[0].surge = surge;
            kinds
        };
        let [surge, _] = compare("surge", &kinds(7.0), &WORLD, seed);
        let [calm, _] = compare("calm", &kinds(1.0), &WORLD, seed);
        for (with, without) in surge[1..].iter().zip(&calm[1..]) {
            let [with, without] = [with, without].map(Count::served_share);
            assert!(with > without - 0.01, "{with} of {without}");
        }
    }
}

/// Guards against a queue that holds requests which are then too late, and against starvation.
#[test]
fn no_kind_starves_while_half_of_the_targets_are_slow() {
    for seed in SEEDS {
        for repeats in [0, 3] {
            let world = World { sick: 20, slow: 12.0, fault_ms: 9000, repeats, ..WORLD };
            let urgent = Kind { per_s: 300.0, ..LOOKUP };
            let plain = Kind { priority: 2, per_s: 400.0, ..LOOKUP };
            let name = if repeats > 0 { "slow-repeats" } else { "slow" };
            let [waits, refuses] = compare(name, &[urgent, plain], &world, seed);
            let [urgent, plain] = [&waits[0], &waits[1]].map(Count::served_share);
            assert!(urgent > plain - 0.05 && plain > 0.3, "{urgent} {plain}");
            assert!(unserved(&waits) <= unserved(&refuses) * 11 / 10);
        }
    }
}
