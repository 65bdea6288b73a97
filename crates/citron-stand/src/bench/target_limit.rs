//! A target's limit, divided among gateways that die, join and are cut off, against an equal split.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use citron::{
    gateways::{Gateways, Report},
    placement::Host,
    position::Position,
    quota::ListReport,
    route::Edition,
    target_limit::Limits,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Summary;

/// The length of a run.
const LENGTH: Duration = Duration::from_secs(90);
/// The simulated time step.
const STEP: Duration = Duration::from_millis(10);
/// The interval between the reports of a gateway.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between updates of a gateway's share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The probability that a report is lost on its way to one gateway.
const LOSS: f64 = 0.03;
/// The span over which the worst sum is taken.
const WINDOW: Duration = Duration::from_secs(4);
/// When enforcement begins, after the limit was first named.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long the fleet has run when the target names its limit.
const WARM_UP: Duration = Duration::from_secs(10);
const TARGET: &str = "t0";
const SEED: u64 = 23;

/// How a limit is divided.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Method {
    /// By [`Limits`].
    Shares,
    /// Each gateway takes an equal part among those that it hears.
    EqualSplit,
}

/// What happens to the gateways.
#[derive(Debug, Copy, Clone, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// One gateway after the other is killed and starts again.
    Restarts,
    /// A third of the gateways is cut off from the others for 20 s.
    Cut,
    /// More than half of the gateways are killed at once and start again.
    HerdKill,
    /// A third of the gateways is lost for good.
    Loss,
    /// A third of the gateways joins during the run.
    Joins,
}

/// What was measured from the enforcement of the limit on.
#[derive(Debug, Copy, Clone)]
pub struct Outcome {
    /// The requests, as a part of what the limit allows.
    pub used: f64,
    /// The most requests in any window of four seconds.
    pub worst: usize,
}

struct Gateway {
    host: String,
    domain: String,
    gateways: Gateways,
    limits: Limits,
    is_up: bool,
    started_at: Duration,
    /// The tokens of the equal split, and its last update.
    tokens: f64,
    updated_at: Duration,
}

/// Runs every method under every trouble.
///
/// # Errors
/// Never fails; the signature is that of all benches.
pub fn run(_words: &[String]) -> eyre::Result<Summary> {
    use strum::IntoEnumIterator;
    let mut summary = Summary::default();
    println!(
        "{:<9} {:>7} {:<10} {:<12} {:>6} {:>8} {:>8}",
        "gateways", "limit", "trouble", "method", "used", "worst_4s", "allowed"
    );
    for (gateways, limit_per_s) in [(18, 1.1), (18, 4.6), (50, 4.6), (18, 60.0)] {
        for trouble in Trouble::iter() {
            for method in Method::iter() {
                let outcome = simulate(gateways, limit_per_s, trouble, method);
                let allowed = 1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0;
                println!(
                    "{gateways:<9} {limit_per_s:>7} {trouble:<10} {method:<12} {:>6.2} {:>8} {allowed:>8.0}",
                    outcome.used, outcome.worst
                );
                let key = format!("{gateways}_{limit_per_s}_{trouble}_{method}");
                summary.push(format!("{key}_used"), outcome.used);
                summary.push(format!("{key}_worst_4s"), outcome.worst as f64);
            }
        }
    }
    Ok(summary)
}

/// Simulates a fleet whose callers always have a request for the limited target.
pub fn simulate(gateways: usize, limit_per_s: f64, trouble: Trouble, method: Method) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut fleet: Vec<Gateway> = (0..gateways).map(Gateway::new).collect();
    let mut sent: Vec<Duration> = Vec::new();
    let steps = (WARM_UP + LENGTH).div_duration_f64(STEP) as u32;
    for step in 0..steps {
        let now = STEP * step;
        for (index, gateway) in fleet.iter_mut().enumerate() {
            trouble.apply(index, gateways, gateway, now);
        }
        exchange_reports(&mut fleet, trouble, now, &mut rng);
        for gateway in fleet.iter_mut().filter(|gateway| gateway.is_up) {
            gateway.update(method, limit_per_s, now);
            if now >= WARM_UP && gateway.may_send(method, limit_per_s, now) {
                sent.push(now);
            }
        }
    }
    measure(&sent, limit_per_s)
}

fn measure(sent: &[Duration], limit_per_s: f64) -> Outcome {
    let from = WARM_UP + SETTLE_TIME;
    let sent: Vec<Duration> = sent.iter().copied().filter(|at| *at >= from).collect();
    let window = |first: usize| {
        let end = sent[first] + WINDOW;
        sent[first..].iter().take_while(|at| **at < end).count()
    };
    let allowed = limit_per_s * (LENGTH - SETTLE_TIME).as_secs_f64();
    Outcome {
        used: sent.len() as f64 / allowed,
        worst: (0..sent.len()).map(window).max().unwrap_or(0),
    }
}

fn exchange_reports(fleet: &mut [Gateway], trouble: Trouble, now: Duration, rng: &mut ChaCha8Rng) {
    let count = fleet.len();
    for sender in 0..count {
        let phase = REPORT_INTERVAL.mul_f64(sender as f64 / count as f64);
        if !fleet[sender].is_up || !is_tick(now, phase, REPORT_INTERVAL) {
            continue;
        }
        let (host, report) = (fleet[sender].host.clone(), fleet[sender].report());
        for (receiver, gateway) in fleet.iter_mut().enumerate() {
            let is_cut = trouble.separates(sender, receiver, count, now);
            if receiver == sender || is_cut || rng.random_bool(LOSS) {
                continue;
            }
            let local = now.saturating_sub(gateway.started_at);
            gateway.gateways.apply_report(&host, report.callers, report.clone(), local);
        }
    }
}

fn is_tick(now: Duration, phase: Duration, interval: Duration) -> bool {
    let step = |time: Duration| (time.as_nanos() / interval.as_nanos()) as u64;
    now >= phase && (now == phase || step(now - phase) > step((now - phase).saturating_sub(STEP)))
}

impl Trouble {
    /// Changes the state of one of `count` gateways at `now`.
    fn apply(self, index: usize, count: usize, gateway: &mut Gateway, now: Duration) {
        let since = now.saturating_sub(WARM_UP);
        let is_up = match self {
            Self::Calm | Self::Cut => true,
            Self::Restarts => {
                let down_from = Duration::from_secs(3) * (index as u32 + 1);
                !(down_from..down_from + Duration::from_secs(2)).contains(&since)
            }
            Self::HerdKill => {
                let is_down = (Duration::from_secs(30)..Duration::from_secs(32)).contains(&since);
                !(is_down && index * 10 < count * 6)
            }
            Self::Loss => !(index * 3 < count && since >= Duration::from_secs(30)),
            Self::Joins => !(index * 3 < count && since < Duration::from_secs(30)),
        };
        if is_up && !gateway.is_up {
            *gateway = Gateway { started_at: now, ..Gateway::new(index) };
        }
        gateway.is_up = is_up;
    }

    /// Returns true if two gateways cannot reach each other.
    fn separates(self, one: usize, other: usize, count: usize, now: Duration) -> bool {
        let is_cut_off = |index: usize| index * 3 < count;
        let span = WARM_UP + Duration::from_secs(30)..WARM_UP + Duration::from_secs(50);
        self == Self::Cut && span.contains(&now) && is_cut_off(one) != is_cut_off(other)
    }
}

impl Gateway {
    fn new(index: usize) -> Self {
        Self {
            host: format!("entry-{index}"),
            domain: format!("domain-{}", index % 4),
            gateways: Gateways::default(),
            limits: Limits::default(),
            is_up: true,
            started_at: Duration::ZERO,
            tokens: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    fn report(&self) -> Report {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        Report {
            born_ms: 1,
            domain: Arc::from(self.domain.as_str()),
            callers: address,
            peers: address,
            ready: true,
            accepts_keys: true,
            routes: Edition::from(1),
            targets_position: Position::default(),
            fleet_hosts: 0,
            members: ListReport::default(),
            store_contact: None,
            confirmed_at: None,
            store_silence: None,
            load: None,
        }
    }

    fn update(&mut self, method: Method, limit_per_s: f64, now: Duration) {
        let local = now.saturating_sub(self.started_at);
        if method != Method::Shares || now < WARM_UP {
            return;
        }
        let is_first = self.limits.is_empty();
        if is_first {
            self.limits.set(&Arc::from(TARGET), 1, Some(limit_per_s), local);
        }
        if is_first || is_tick(local, Duration::ZERO, UPDATE_INTERVAL) {
            let own = Host { name: &self.host, domain: &self.domain };
            let fleet = self.gateways.limit_fleet(own, true, local);
            self.limits.update(&fleet, |_| Some("domain-0"), local);
        }
    }

    fn may_send(&mut self, method: Method, limit_per_s: f64, now: Duration) -> bool {
        let local = now.saturating_sub(self.started_at);
        if method == Method::Shares {
            let is_allowed = self.limits.available_at(TARGET, 1, local) <= local;
            if is_allowed {
                self.limits.record_request(TARGET, local);
            }
            return is_allowed;
        }
        let others = self.gateways.alive(local).count();
        let elapsed = local.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * limit_per_s / (others + 1) as f64).min(1.0);
        self.updated_at = local;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
