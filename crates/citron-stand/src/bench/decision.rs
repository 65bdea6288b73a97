//! The proxy's time and memory per decision, by the size of its tables.

use std::{
    fs, hint,
    sync::Arc,
    time::{Duration, Instant},
};

use citron::{
    catalog::{self, Catalog, Snapshot, Source},
    choice::{Balancer, Load, PickArgs, Proxy, State, Target, TargetReport},
    gray::{Criteria, Eligibility, Verdict, View, target_key},
    limit::{HANDOVER, RateLimiter},
    policy::{Allowance, Customer, Plan, Policy, Route},
    position::Position,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Summary;

const ROUNDS: usize = 200_000;
const SERVICE: &str = "lot-desk";
const PLAN: Allowance = Allowance { rate: 1e6, burst: 1e6 };
/// The rounds of a decision that looks at all targets of a service.
const GATEWAY_ROUNDS: usize = 2_000;
/// Gateways of the fleet and targets of the service.
const FLEETS: [(usize, usize); 3] = [(18, 19), (178, 585), (2_900, 585)];
/// The requests that each gateway has in flight.
const IN_FLIGHT: usize = 10;
const TARGETS: [usize; 2] = [54, 2_900];
const ROUTES: [usize; 2] = [20, 7_100];
const TEAMS: [usize; 2] = [1_000, 110_000];

/// Times each decision at today's and at the future size.
///
/// # Errors
/// Fails if the memory of the process cannot be read.
pub fn run(_: &[String]) -> eyre::Result<Summary> {
    let mut summary = Summary::default();
    println!("{:<10} {:>8} {:>10} {:>10}", "decision", "entries", "time_ns", "memory_kb");
    for (name, sizes, measure) in [
        ("choice", TARGETS, choice as fn(usize) -> eyre::Result<(f64, f64)>),
        ("route", ROUTES, route),
        ("allowance", TEAMS, allowance),
    ] {
        for size in sizes {
            let (time_ns, memory_kb) = measure(size)?;
            println!("{name:<10} {size:>8} {time_ns:>10.0} {memory_kb:>10.0}");
            summary.push(format!("{name}_{size}_ns"), time_ns);
            summary.push(format!("{name}_{size}_kb"), memory_kb);
        }
    }
    for (gateways, targets) in FLEETS {
        let (time_ns, memory_kb) = gateway_choice(gateways, targets)?;
        let entries = format!("{gateways}x{targets}");
        println!("{:<10} {entries:>8} {time_ns:>10.0} {memory_kb:>10.0}", "gateway");
        summary.push(format!("gateway_{entries}_ns"), time_ns);
        summary.push(format!("gateway_{entries}_kb"), memory_kb);
    }
    Ok(summary)
}

/// Times a gateway's choice with the end of its attempt, while all peers report their load.
fn gateway_choice(gateways: usize, targets: usize) -> eyre::Result<(f64, f64)> {
    let before = memory_kb()?;
    let name = |index: usize| format!("t{index}");
    let mut catalog = Catalog::default();
    let entry = |index| catalog::Target {
        id: name(index).into(),
        born_ms: 1,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: format!("domain-{}", index % 4).into(),
        slots: 3,
        leaving: false,
        warmup_ms: 0,
        heartbeat: 0,
    };
    let position = Position { era: 1, revision: 1 };
    let list =
        Snapshot { position, targets: (0..targets).map(entry).collect(), lapsed: Vec::new() };
    catalog.replace(list, Source::Store, Duration::ZERO);
    let mut view = View::new("domain-0");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for gateway in 1..gateways {
        let keys = (0..IN_FLIGHT).map(|_| target_key(&name(rng.random_range(0..targets))));
        let load = keys.map(|key| (key, 1)).collect();
        view.apply_peer_load(&format!("entry-{gateway}").into(), load, Duration::ZERO);
    }
    let memory = memory_kb()? - before;
    let start = Instant::now();
    for round in 0..GATEWAY_ROUNDS {
        let now = Duration::from_micros(round as u64);
        let criteria =
            Criteria { service: SERVICE, tried: &[], only: &[], eligibility: Eligibility::Any };
        let choice = view.begin_attempt(&catalog, criteria, |_| 0, &mut rng, now);
        if let Ok(choice) = hint::black_box(choice) {
            view.end_attempt(&choice.target, Some(Verdict::Served), now);
        }
    }
    Ok((start.elapsed().as_nanos() as f64 / GATEWAY_ROUNDS as f64, memory))
}

/// Times a choice with the start, the end and the answer of its request.
fn choice(size: usize) -> eyre::Result<(f64, f64)> {
    let before = memory_kb()?;
    let mut table = Balancer::new("proxy-00", "domain-0");
    let proxy = |index: usize| Proxy {
        domain: format!("domain-{}", index % 4).into(),
        host: format!("proxy-{index:02}").into(),
    };
    table.set_proxies((0..18).map(proxy).collect());
    table.upsert((0..size).map(target), Duration::ZERO);
    let memory = memory_kb()? - before;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(round as u64 * 100);
        let ask = PickArgs { service: SERVICE, exclude: &[], idempotent: true };
        if let Some(pick) = table.pick(&ask, now, &mut rng) {
            table.on_start(&pick.target);
            table.on_end(&pick.target);
            let load = Load { in_use: rng.random_range(0..3), slots: 3 };
            let answer =
                TargetReport { load: Some(load), state: State::Ready, ..TargetReport::default() };
            table.on_response(&pick.target, answer, Duration::from_millis(50), now);
        }
    }
    Ok((per_round(start), memory))
}

fn target(index: usize) -> Target {
    Target {
        name: format!("target-{index:05}").into(),
        service: SERVICE.into(),
        address: format!("10.0.{}.{}:80", index / 250, index % 250).into(),
        domain: format!("domain-{}", index % 4).into(),
        slots: 3,
        connections: 400,
        leaving: false,
    }
}

/// Times finding the route and the allowance of a request.
fn route(size: usize) -> eyre::Result<(f64, f64)> {
    let before = memory_kb()?;
    let mut policy = Policy::default();
    policy.customers.insert("team".to_owned(), Customer { plan: "gold".to_owned() });
    let uses = [(SERVICE.to_owned(), PLAN)].into();
    policy.grants.plans.insert("gold".to_owned(), Plan { uses });
    for index in 0..size {
        let prefix = format!("/api/v{index}/");
        let route = Route { prefix: prefix.clone(), service: SERVICE.to_owned(), idempotent: None };
        policy.grants.routes.insert(prefix, route);
    }
    let memory = memory_kb()? - before;
    let paths: Vec<String> = (0..size).map(|index| format!("/api/v{index}/lots/17")).collect();
    let start = Instant::now();
    for round in 0..ROUNDS {
        let route = policy.route(&paths[round * 7919 % size]);
        hint::black_box(route.and_then(|route| policy.allowance("team", &route.service)));
    }
    Ok((per_round(start), memory))
}

/// Times the admission of a request, with accounts of all teams in memory.
fn allowance(size: usize) -> eyre::Result<(f64, f64)> {
    let teams: Vec<String> = (0..size).map(|index| format!("team-{index:06}")).collect();
    let before = memory_kb()?;
    let mut gate = RateLimiter::new("proxy-00", 1, HANDOVER, Duration::ZERO);
    let homes: Arc<[Arc<str>]> = Arc::new([Arc::from("proxy-00")]);
    let finder = Arc::new(move |_: &str, _: &str| homes.iter().cloned().collect());
    gate.set_owner_lookup(finder, Duration::ZERO);
    let mut now = HANDOVER * 2;
    gate.tick(now);
    for team in &teams {
        gate.admit(team, SERVICE, &PLAN, now);
    }
    let memory = memory_kb()? - before;
    let start = Instant::now();
    for round in 0..ROUNDS {
        now += Duration::from_micros(5);
        hint::black_box(gate.admit(&teams[round * 7919 % size], SERVICE, &PLAN, now));
    }
    Ok((per_round(start), memory))
}

fn per_round(start: Instant) -> f64 {
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

/// Returns the resident memory of this process.
fn memory_kb() -> eyre::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or_else(|| eyre::eyre!("/proc/self/status has no VmRSS"))?.parse()?)
}
