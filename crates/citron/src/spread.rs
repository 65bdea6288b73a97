//! Which gateways of a failure domain callers are sent to, where its hosts have unlike power.
//!
//! Callers draw one of the addresses of an answer with equal probability. A weak gateway in each
//! answer would therefore receive as many connections as a strong one. The subset of a domain
//! consists of strong gateways, which every answer names, and of others, of which each answer names
//! a few drawn at random. The number of others is chosen so that the share of each is within its
//! capacity.

pub mod meter;

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, seq::IndexedRandom};
use strum::{AsRefStr, IntoStaticStr};

use crate::placement;

/// The weakest gateway of an uneven domain has at most this share of the processor of the strongest.
const UNEVEN_SHARE: f64 = 0.25;
/// A strong gateway has at least this share of the processor of the strongest.
const STRONG_SHARE: f64 = 0.5;
/// How many requests a second a gateway is expected to carry with a whole processor core. A request
/// costs about 1 ms of a core; the margin covers retries, reports and the store.
const REQUESTS_PER_CORE_S: f64 = 800.0;
/// The share of its capacity that a gateway of the subset should use at the measured demand.
const TARGET_USE: f64 = 0.5;
/// The least number of gateways in an answer, if there are as many.
const ANSWER_MIN: usize = 4;
/// The least number of strong gateways in the subset, if there are as many.
const STRONG_MIN: usize = 4;
/// The least number of other gateways in an answer, if there are as many.
const OTHERS_MIN: usize = 2;
/// The most gateways that an answer names.
const ANSWER_MAX: usize = 64;
/// A gateway whose process runs later than this is excluded.
const LATENESS_MAX: Duration = Duration::from_millis(100);
/// A gateway whose process runs later than this counts as near its limits, so that the subset grows.
const LATENESS_NEAR_LIMIT: Duration = Duration::from_millis(50);
/// A gateway that uses more of its link or memory than this share is excluded.
const FULLNESS_MAX: f64 = 0.9;
/// A gateway that uses more of its link or memory than this share counts as near its limits.
const FULLNESS_NEAR_LIMIT: f64 = 0.6;
/// How long an excluded gateway must be well before it is readmitted.
const READMIT_AFTER: Duration = Duration::from_secs(3);
/// The least time between two readmissions.
const READMIT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a gateway must have been ready before it is named.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// For how long the subset stays large enough for the demand of a moment.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// The least number of gateways whose reports reach their whole domain.
const WATCHED_MIN: usize = 16;

/// What a host offers to its gateway.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Power {
    /// The processor cores, or the part of one, that the gateway may use.
    pub cpu_share: f64,
    /// The bandwidth of the link, in Mbit/s.
    pub link_mbps: f64,
    /// The memory above which the gateway is killed, in bytes.
    pub memory_bytes: u64,
}

/// What a gateway reports about its power and load.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Load {
    /// What its host offers.
    pub power: Power,
    /// How many requests a second it receives, as a moving mean.
    pub requests_per_s: f64,
    /// How late its process runs, as a moving maximum.
    pub lateness: Duration,
    /// The share of its link or of its memory that is in use, whichever is greater.
    pub fullness: f64,
}

impl Load {
    /// Returns why callers should not be sent to the gateway, if so.
    pub fn overload(&self) -> Option<Reason> {
        if self.lateness > LATENESS_MAX {
            Some(Reason::Late)
        } else if self.fullness > FULLNESS_MAX {
            Some(Reason::Full)
        } else {
            None
        }
    }

    /// Returns true if the gateway is near its limits.
    pub fn is_near_limit(&self) -> bool {
        self.lateness > LATENESS_NEAR_LIMIT || self.fullness > FULLNESS_NEAR_LIMIT
    }

    /// Returns how many requests a second the gateway should receive at most.
    fn target_per_s(&self) -> f64 {
        self.power.cpu_share * REQUESTS_PER_CORE_S * TARGET_USE
    }
}

/// A gateway of the domain.
#[derive(Debug, Copy, Clone)]
pub struct Candidate<'a> {
    /// Its host.
    pub host: &'a str,
    /// When its process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// Whether callers may be sent to it: it is ready, and has reported recently.
    pub is_ready: bool,
    /// Its last reported load, `None` if it reports none.
    pub load: Option<Load>,
}

/// A gateway with the load that it reports.
type Ranked<'a> = (Candidate<'a>, Load);

/// Why the subset of a domain changed.
#[derive(Debug, Copy, Clone, Eq, PartialEq, AsRefStr, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// A gateway of the subset runs late.
    Late,
    /// A gateway of the subset has a full link or memory.
    Full,
    /// A gateway of the subset is not ready or does not report.
    Lost,
    /// A gateway has become usable.
    Joined,
    /// The demand has risen, or members of the subset are near their limits.
    Demand,
    /// The demand has been lower for some time.
    Calm,
    /// The domain has become even or uneven.
    Evenness,
}

/// The gateways that callers are sent to.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct Subset {
    /// Those that every answer names.
    pub strong: Vec<SocketAddr>,
    /// The others.
    pub others: Vec<SocketAddr>,
    /// How many of the others an answer names.
    pub drawn: usize,
}

impl Subset {
    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.strong.len() + self.others.len()
    }

    /// Returns the gateways.
    pub fn iter(&self) -> impl Iterator<Item = &SocketAddr> {
        self.strong.iter().chain(&self.others)
    }

    /// Returns true if there are no gateways.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns true if a gateway is part of the subset.
    pub fn contains(&self, callers: &SocketAddr) -> bool {
        self.strong.contains(callers) || self.others.contains(callers)
    }

    /// Returns the addresses of one answer, of those for which `is_usable` returns true.
    pub fn draw(
        &self,
        is_usable: impl Fn(&SocketAddr) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let usable = |addresses: &[SocketAddr]| -> Vec<SocketAddr> {
            addresses.iter().copied().filter(&is_usable).collect()
        };
        let (mut answer, others) = (usable(&self.strong), usable(&self.others));
        let lost = self.strong.len() - answer.len();
        answer.extend(others.choose_multiple(rng, self.drawn + lost));
        answer
    }
}

/// The subset of one failure domain over time, as one gateway sees it.
#[derive(Debug, Default)]
pub struct Spread {
    watched: BTreeMap<Arc<str>, Watched>,
    /// Since when the domain has been uneven.
    since: Option<Duration>,
    demand: Peak,
    others: Peak,
    readmitted_at: Option<Duration>,
    subset: Option<Subset>,
    /// The gateways whose reports should reach the whole domain.
    first: Vec<Arc<str>>,
}

/// What is remembered of a gateway.
#[derive(Debug, Default)]
struct Watched {
    born_ms: u64,
    /// Since when it has been ready.
    ready_since: Option<Duration>,
    /// When it was last overloaded, if it is excluded for that.
    excluded: Option<(Duration, Reason)>,
}

impl Spread {
    /// Returns the subset, or `None` if all ready gateways are named.
    pub fn subset(&self) -> Option<&Subset> {
        self.subset.as_ref()
    }

    /// Returns true if the domain has hosts of unlike power.
    pub fn is_uneven(&self) -> bool {
        self.since.is_some()
    }

    /// Returns true if all gateways of the domain should receive the reports of `host`, as it may be
    /// part of the subset.
    pub fn is_watched(&self, host: &str) -> bool {
        self.first.iter().any(|first| &**first == host)
    }

    /// Decides again, from all gateways of the domain; returns why the subset has changed, if it has.
    pub fn update(
        &mut self,
        candidates: &[Candidate<'_>],
        domain: &str,
        now: Duration,
    ) -> Option<Reason> {
        let Some(strongest) = strongest_if_uneven(candidates) else {
            let was_uneven = self.subset.is_some();
            *self = Self::default();
            return was_uneven.then_some(Reason::Evenness);
        };
        self.watch(candidates, now);
        let ranked = rank(candidates, domain);
        self.readmit(&ranked, now);
        let usable = self.usable(&ranked, now);
        let demand = self.effective_demand(candidates);
        self.demand.record(demand, now);
        let subset = self.choose(&usable, demand, strongest, now);
        let first = ranked.iter().take(WATCHED_MIN.max(subset.len() * 2));
        self.first = first.map(|(candidate, _)| Arc::from(candidate.host)).collect();
        // Before it has seen the demand for a while, a gateway does not know how few would do.
        if now < *self.since.get_or_insert(now) + HOLD_TIME {
            return None;
        }
        let reason = self.reason(&subset, candidates, now);
        self.subset = Some(subset);
        reason
    }

    /// Records which gateways are ready and which are overloaded.
    fn watch(&mut self, candidates: &[Candidate<'_>], now: Duration) {
        if self.watched.len() > candidates.len() {
            let hosts: BTreeSet<&str> = candidates.iter().map(|candidate| candidate.host).collect();
            self.watched.retain(|host, _| hosts.contains(&**host));
        }
        for candidate in candidates {
            let watched = match self.watched.get_mut(candidate.host) {
                Some(watched) => watched,
                None => self.watched.entry(Arc::from(candidate.host)).or_default(),
            };
            if watched.born_ms != candidate.born_ms {
                *watched = Watched { born_ms: candidate.born_ms, ..Watched::default() };
            }
            watched.ready_since = candidate.is_ready.then(|| watched.ready_since.unwrap_or(now));
            if let Some(reason) = candidate.load.and_then(|load| load.overload()) {
                watched.excluded = Some((now, reason));
            }
        }
    }

    /// Readmits the first gateway that has been well for long enough.
    fn readmit(&mut self, ranked: &[Ranked<'_>], now: Duration) {
        if self.readmitted_at.is_some_and(|at| now < at + READMIT_INTERVAL) {
            return;
        }
        for (candidate, _) in ranked.iter().filter(|(candidate, _)| candidate.is_ready) {
            let Some(watched) = self.watched.get_mut(candidate.host) else { continue };
            if watched.excluded.is_some_and(|(at, _)| now >= at + READMIT_AFTER) {
                watched.excluded = None;
                self.readmitted_at = Some(now);
                return;
            }
        }
    }

    /// Returns the gateways that may be named, in order. Those that have just become ready and those
    /// that are excluded are among them only if there are too few others.
    fn usable<'a>(&self, ranked: &[Ranked<'a>], now: Duration) -> Vec<Ranked<'a>> {
        let tier = |host: &str| {
            let watched = &self.watched[host];
            let is_settled = watched.ready_since.is_some_and(|since| now >= since + SETTLE_TIME);
            (watched.excluded.is_some(), !is_settled)
        };
        let ready = ranked.iter().filter(|(candidate, _)| candidate.is_ready).copied();
        let mut ready: Vec<_> = ready.map(|entry| (tier(entry.0.host), entry)).collect();
        // The sort is stable, so that gateways of one tier keep their order.
        ready.sort_by_key(|(tier, _)| *tier);
        let settled_count = ready.iter().filter(|(tier, _)| *tier == (false, false)).count();
        ready.truncate(settled_count.max(ANSWER_MIN));
        ready.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns how many requests a second the subset should be able to carry. It rises where members
    /// of the subset are near their limits, as they carry less than expected.
    fn effective_demand(&self, candidates: &[Candidate<'_>]) -> f64 {
        let demand: f64 = candidates
            .iter()
            .filter(|candidate| candidate.is_ready)
            .filter_map(|candidate| Some(candidate.load?.requests_per_s))
            .sum();
        let Some(subset) = &self.subset else { return demand };
        let near_limit = candidates.iter().filter(|candidate| {
            subset.contains(&candidate.callers)
                && candidate.load.is_some_and(|load| load.is_near_limit())
        });
        demand * (1.0 + near_limit.count() as f64 / subset.len().max(1) as f64)
    }

    /// Chooses the subset from the usable gateways, in order.
    fn choose(
        &mut self,
        usable: &[Ranked<'_>],
        demand: f64,
        strongest: f64,
        now: Duration,
    ) -> Subset {
        let is_strong = |(_, load): &&Ranked<'_>| load.power.cpu_share >= strongest * STRONG_SHARE;
        let (mut strong, mut others): (Vec<&Ranked<'_>>, Vec<_>) =
            usable.iter().partition(is_strong);
        let first = strong.first().or(others.first());
        let peak = self.demand.value();
        let needed = first.map_or(0.0, |(_, load)| peak / load.target_per_s()).ceil() as usize;
        strong.truncate(needed.clamp(STRONG_MIN, ANSWER_MAX - OTHERS_MIN));
        // The count is held by itself, so that others stay for a while when a strong one returns.
        let (drawn, count) = draw_size(demand, needed, &strong, &others);
        self.others.record(count as f64, now);
        others.truncate(self.others.value() as usize);
        let addresses = |entries: &[&Ranked<'_>]| {
            entries.iter().map(|(candidate, _)| candidate.callers).collect()
        };
        Subset { strong: addresses(&strong), others: addresses(&others), drawn }
    }

    /// Returns why the subset changes to `next`, if its members do.
    fn reason(&self, next: &Subset, candidates: &[Candidate<'_>], now: Duration) -> Option<Reason> {
        let Some(before) = &self.subset else { return Some(Reason::Evenness) };
        let gateway = |callers: &SocketAddr| candidates.iter().find(|c| c.callers == *callers);
        let removed: Vec<_> = before.iter().filter(|callers| !next.contains(callers)).collect();
        let added: Vec<_> = next.iter().filter(|callers| !before.contains(callers)).collect();
        if removed.is_empty() && added.is_empty() {
            return None;
        }
        let departure = removed.iter().find_map(|callers| {
            let Some(gateway) = gateway(callers) else { return Some(Reason::Lost) };
            let excluded = self.watched.get(gateway.host).and_then(|watched| watched.excluded);
            excluded.map(|(_, reason)| reason).or((!gateway.is_ready).then_some(Reason::Lost))
        });
        let has_joined = added.iter().filter_map(|callers| gateway(callers)).any(|gateway| {
            let ready_since = self.watched.get(gateway.host).and_then(|w| w.ready_since);
            self.readmitted_at == Some(now)
                || ready_since.is_some_and(|since| now < since + SETTLE_TIME * 2)
        });
        Some(departure.unwrap_or(match next.len().cmp(&before.len()) {
            _ if has_joined => Reason::Joined,
            Ordering::Greater => Reason::Demand,
            Ordering::Less => Reason::Calm,
            Ordering::Equal => Reason::Joined,
        }))
    }
}

/// Returns how many of the others an answer names, and among how many of them these are drawn.
/// `needed` is how many of the strongest gateways would carry the demand.
fn draw_size(
    demand: f64,
    needed: usize,
    strong: &[&Ranked<'_>],
    others: &[&Ranked<'_>],
) -> (usize, usize) {
    let most = needed.clamp(ANSWER_MIN, ANSWER_MAX).saturating_sub(strong.len()).max(OTHERS_MIN);
    let share = |drawn: usize| demand * drawn as f64 / (strong.len() + drawn) as f64;
    let enough = |drawn: usize| {
        let fits =
            |count: &usize| share(drawn) / *count as f64 <= others[count - 1].1.target_per_s();
        (1..=others.len()).find(fits).map(|count| (drawn, count.max(drawn)))
    };
    if let Some(found) = enough(most) {
        return found;
    }
    // All together cannot carry the demand at the target: the answer with the least overload.
    let overload = |drawn: &usize| {
        let use_of = |entry: Option<&&Ranked<'_>>, per_s: f64| {
            entry.map_or(0.0, |(_, load)| per_s / load.target_per_s())
        };
        let strong_use = use_of(strong.last(), demand / (strong.len() + drawn) as f64);
        let others_use = use_of(others.last(), share(*drawn) / others.len().max(1) as f64);
        strong_use.max(others_use)
    };
    let least = (OTHERS_MIN..=most).min_by(|a, b| overload(a).total_cmp(&overload(b)));
    (least.unwrap_or(most), others.len())
}

/// Returns the processor of the strongest gateway if the domain is uneven. A domain with a gateway
/// that does not report its power counts as even.
fn strongest_if_uneven(candidates: &[Candidate<'_>]) -> Option<f64> {
    let shares: Option<Vec<f64>> =
        candidates.iter().map(|candidate| Some(candidate.load?.power.cpu_share)).collect();
    let shares = shares?;
    let strongest = shares.iter().copied().reduce(f64::max)?;
    let weakest = shares.iter().copied().reduce(f64::min)?;
    (weakest <= strongest * UNEVEN_SHARE).then_some(strongest)
}

/// Returns the gateways in the order in which they are named: the strongest first, those of equal
/// power by rendezvous weight.
fn rank<'a>(candidates: &[Candidate<'a>], domain: &str) -> Vec<Ranked<'a>> {
    let known = candidates.iter().filter_map(|candidate| Some((*candidate, candidate.load?)));
    let mut ranked: Vec<_> = known
        .map(|(candidate, load)| {
            (placement::weight(&["spread", domain], candidate.host), candidate, load)
        })
        .collect();
    ranked.sort_by(|(a, x, p), (b, y, q)| {
        let power = q.power.cpu_share.total_cmp(&p.power.cpu_share);
        power.then(b.cmp(a)).then(x.host.cmp(y.host))
    });
    ranked.into_iter().map(|(_, candidate, load)| (candidate, load)).collect()
}

/// The maximum of a value over the last [`HOLD_TIME`].
#[derive(Debug, Default)]
struct Peak(VecDeque<(Duration, f64)>);

impl Peak {
    fn record(&mut self, value: f64, now: Duration) {
        while self.0.back().is_some_and(|(_, last)| *last <= value) {
            self.0.pop_back();
        }
        self.0.push_back((now, value));
        while self.0.front().is_some_and(|(at, _)| now > *at + HOLD_TIME) {
            self.0.pop_front();
        }
    }

    fn value(&self) -> f64 {
        self.0.front().map_or(0.0, |(_, value)| *value)
    }
}
