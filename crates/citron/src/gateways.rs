//! The other gateways of the fleet, as known from their reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom, SliceRandom},
};
use smallvec::SmallVec;

use crate::{
    attempt::Sharer,
    catalog::Target,
    delay::Delay,
    follower,
    outage::{self, Contact, Silence},
    placement,
    poller::{self, Member},
    position::Position,
    quota::ListReport,
    route::Edition,
    spread::{Candidate, Load, Reason, Spread, Subset},
    target_limit,
};

/// After this long without a report a gateway is no longer advertised to callers.
const ADVERTISE_TIMEOUT: Duration = Duration::from_millis(3500);
/// After this long without a report a gateway that polls the store is replaced. The reports of those
/// that poll reach all gateways.
const POLLER_TIMEOUT: Duration = Duration::from_millis(1500);
/// After this long without a report others take over a gateway's share of a target's limit, if each
/// report reaches all gateways of a failure domain.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2500);
/// How much longer than the takeover timeout a share of a target's limit is handed over.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);
/// How long a gateway without a report still counts as part of the fleet.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);
/// After this long without a report a gateway is not considered alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(10);
/// After this long without a report a gateway is removed from the list.
const FORGET_TIMEOUT: Duration = Duration::from_secs(120);
/// The number of ready gateways from which a failure domain serves its callers on its own.
const DOMAIN_GATEWAYS_MIN: usize = 2;
/// The least interval between two decisions on which gateways callers are sent to.
const SPREAD_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of gateways of its own failure domain that a gateway sends a broadcast to, and
/// the number of parts of a larger domain to which these pass on what must reach all.
const FANOUT: usize = 32;
/// How much the fleet's calls are spread out, per gateway, when all gateways call the store for the
/// same reason.
const CALL_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(1);

/// The least intervals between two reports of a changing load, to the own failure domain and to the
/// others.
const LOAD_INTERVAL_MIN: LoadIntervals =
    LoadIntervals { near: Duration::from_millis(50), far: Duration::from_millis(100) };
/// How many reports a second a gateway receives at most from its own failure domain.
const NEAR_LOAD_REPORTS_PER_S: f64 = 240.0;
/// How many reports a second a gateway receives at most from all others.
const FAR_LOAD_REPORTS_PER_S: f64 = 400.0;

/// How often a gateway reports a changing load.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LoadIntervals {
    /// The interval between reports to its own failure domain.
    pub near: Duration,
    /// The interval between reports to the other failure domains.
    pub far: Duration,
}

/// A receiver of a broadcast datagram.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Receiver {
    /// The address to send to.
    pub address: SocketAddr,
    /// Whether the receiver relays the datagram within its failure domain.
    pub relays: bool,
    /// The part of its failure domain to which the receiver passes on what must reach all, if the
    /// domain has more gateways than a broadcast reaches.
    pub part: Option<u32>,
}

/// What a gateway reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// When its process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address from which peers fetch its current routes and targets.
    pub peers: SocketAddr,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether it accepts requests with keys: if there are customers, its lease on their keys holds.
    pub accepts_keys: bool,
    /// The edition of its routes.
    pub routes: Edition,
    /// The position of its target list, revision 0 if it has none.
    pub targets_position: Position,
    /// The number of hosts that it knows, 0 if it does not know of all that the platform lists.
    pub fleet_hosts: u32,
    /// Under which list of members it grants tokens of quotas, and which it waits for.
    pub members: ListReport,
    /// Its contact with the store by the receiver's clock, `None` if the store does not respond.
    pub store_contact: Option<Contact>,
    /// When the store confirmed to it that these routes and targets are current, by the receiver's
    /// clock.
    pub confirmed_at: Option<Duration>,
    /// The last silence of the store that it noticed, by the receiver's clock.
    pub store_silence: Option<Silence>,
    /// Its power and load, `None` if it does not report them.
    pub load: Option<Load>,
}

impl Report {
    /// Returns how much of a processor core the gateway may use, in thousandths; 0 if it does not say.
    fn cpu_permille(&self) -> u32 {
        self.load.map_or(0, |load| (load.power.cpu_share * 1000.0).round() as u32)
    }
}

/// How callers reach this gateway.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct OwnAddress<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// Whether it accepts requests with keys.
    pub accepts_keys: bool,
}

/// What is known of one gateway.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its last report, if it ever sent one.
    pub report: Option<Report>,
    /// When its last report arrived, or else when it became known.
    pub last_seen: Duration,
}

impl Gateway {
    /// Returns the time since its last report, or else since it became known.
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_seen)
    }
}

/// All other known gateways, by host.
#[derive(Debug, Default)]
pub struct Gateways {
    by_host: BTreeMap<Arc<str>, Gateway>,
    /// The hosts that were ever known, which may be alive although they are not heard.
    ever_known: BTreeSet<Arc<str>>,
    /// Whether all hosts that the platform lists are known.
    has_list: bool,
    /// How reports are delayed, by host, with the start of the process that sent them.
    delays: BTreeMap<Arc<str>, (u64, Delay)>,
    /// Which gateways callers are sent to, by failure domain.
    spreads: BTreeMap<Arc<str>, Spread>,
    /// When these were last decided.
    spreads_at: Option<Duration>,
}

impl Gateways {
    /// Adds a gateway that may be at `address`; returns false if it was already known.
    pub fn learn(&mut self, host: &str, address: SocketAddr, now: Duration) -> bool {
        if self.by_host.contains_key(host) {
            return false;
        }
        let gateway = Gateway { address, report: None, last_seen: now };
        let host: Arc<str> = Arc::from(host);
        self.ever_known.insert(Arc::clone(&host));
        self.by_host.insert(host, gateway);
        true
    }

    /// Returns how long the report that the process of `born_ms` on `host` sent at `sent_at`, by its
    /// own clock, was held back on its way.
    pub fn report_delay(
        &mut self,
        host: &str,
        born_ms: u64,
        sent_at: Duration,
        now: Duration,
    ) -> Duration {
        let entry = self.delays.entry(Arc::from(host)).or_default();
        if entry.0 != born_ms {
            *entry = (born_ms, Delay::default());
        }
        entry.1.record(sent_at, now)
    }

    /// Applies a gateway's report; returns true if the gateway was not alive before.
    pub fn apply_report(
        &mut self,
        host: &str,
        address: SocketAddr,
        report: Report,
        now: Duration,
    ) -> bool {
        let known = self.by_host.get(host);
        let is_new =
            known.is_none_or(|g| g.report.is_none() || now - g.last_seen >= LIVENESS_TIMEOUT);
        let gateway = Gateway { address, report: Some(report), last_seen: now };
        let host: Arc<str> = Arc::from(host);
        if is_new {
            self.ever_known.insert(Arc::clone(&host));
        }
        self.by_host.insert(host, gateway);
        is_new
    }

    /// Removes the gateways without a report for `FORGET_TIMEOUT` and returns their hosts.
    pub fn expire(&mut self, now: Duration) -> Vec<Arc<str>> {
        let silent = |gateway: &Gateway| now.saturating_sub(gateway.last_seen) >= FORGET_TIMEOUT;
        let gone: Vec<_> =
            self.by_host.iter().filter(|(_, g)| silent(g)).map(|(h, _)| Arc::clone(h)).collect();
        for host in &gone {
            self.by_host.remove(host);
            self.delays.remove(host);
        }
        gone
    }

    /// Returns all known gateways.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Gateway)> {
        self.by_host.iter()
    }

    /// Returns the gateways that have reported within `LIVENESS_TIMEOUT`.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, &Gateway)> {
        let lately =
            move |gateway: &Gateway| now.saturating_sub(gateway.last_seen) < LIVENESS_TIMEOUT;
        self.by_host.iter().filter(move |(_, g)| g.report.is_some() && lately(g))
    }

    /// Returns the addresses for callers in `domain`; `own` is this gateway's if it is ready.
    ///
    /// Callers stay in their failure domain while it has enough ready gateways. Those that accept no
    /// keys are named only if there are no others. A gateway that accepts none and hears of no other
    /// is cut off: it names those that it heard before, which callers may reach.
    pub fn caller_addresses(
        &self,
        own: Option<OwnAddress<'_>>,
        domain: &str,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let is_cut_off = own.is_some_and(|own| !own.accepts_keys);
        for timeout in [ADVERTISE_TIMEOUT, MEMBER_TIMEOUT] {
            let others = self.by_host.values().filter(|gateway| gateway.age(now) < timeout);
            let reports = others.filter_map(|gateway| gateway.report.as_ref());
            let accepting = reports.filter(|report| report.ready && report.accepts_keys);
            let accepting = accepting.map(|report| (&*report.domain, report.callers));
            let own = own.filter(|own| own.accepts_keys).map(|own| (own.domain, own.callers));
            let addresses = near_addresses(accepting.chain(own).collect(), domain);
            if !addresses.is_empty() {
                return self.spread_addresses(addresses, domain);
            }
            if !is_cut_off {
                break;
            }
        }
        let others = self.by_host.values().filter(|gateway| gateway.age(now) < ADVERTISE_TIMEOUT);
        let ready = others.filter_map(|gateway| gateway.report.as_ref()).filter(|r| r.ready);
        let ready = ready.map(|report| (&*report.domain, report.callers));
        near_addresses(ready.chain(own.map(|own| (own.domain, own.callers))).collect(), domain)
    }

    /// Returns the addresses of one answer to a caller in `domain`: those of
    /// [`Self::caller_addresses`], or if the domain is uneven a draw of them.
    pub fn answer(
        &self,
        own: Option<OwnAddress<'_>>,
        domain: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let addresses = self.caller_addresses(own, domain, now);
        let Some(subset) = self.subset(domain) else { return addresses };
        let drawn = subset.draw(|address| addresses.contains(address), rng);
        if drawn.len() < DOMAIN_GATEWAYS_MIN { addresses } else { drawn }
    }

    /// Decides again to which gateways callers are sent, by failure domain; returns why this has
    /// changed for the domain of `own`, if it has.
    pub fn update_spreads(
        &mut self,
        own_domain: &str,
        own: Candidate<'_>,
        now: Duration,
    ) -> Option<Reason> {
        if self.spreads_at.is_some_and(|at| now < at + SPREAD_INTERVAL) {
            return None;
        }
        self.spreads_at = Some(now);
        let mut domains: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
        domains.entry(own_domain).or_default().push(own);
        for (host, gateway) in self.by_host.iter().filter(|(_, g)| g.age(now) < MEMBER_TIMEOUT) {
            let Some(report) = &gateway.report else { continue };
            let is_heard = gateway.age(now) < ADVERTISE_TIMEOUT;
            domains.entry(&report.domain).or_default().push(Candidate {
                host,
                born_ms: report.born_ms,
                callers: report.callers,
                is_ready: is_heard && report.ready && report.accepts_keys,
                load: report.load,
            });
        }
        self.spreads.retain(|domain, _| domains.contains_key(&**domain));
        let mut reason = None;
        for (domain, candidates) in domains {
            let spread = self.spreads.entry(Arc::from(domain)).or_default();
            let changed = spread.update(&candidates, domain, now);
            if domain == own_domain {
                reason = changed;
            }
        }
        reason
    }

    /// Returns the gateways that callers of an uneven `domain` are sent to, `None` if these are all
    /// ready ones.
    pub fn subset(&self, domain: &str) -> Option<&Subset> {
        self.spreads.get(domain)?.subset()
    }

    /// Returns true if the hosts of `domain` have unlike power.
    pub fn is_uneven(&self, domain: &str) -> bool {
        self.spreads.get(domain).is_some_and(Spread::is_uneven)
    }

    /// Returns true if the reports of `host` should reach all gateways of its domain, as callers may
    /// be sent to it.
    pub fn is_watched(&self, host: &str, domain: &str) -> bool {
        self.spreads.get(domain).is_some_and(|spread| spread.is_watched(host))
    }

    /// Returns those of `addresses` that belong to the subset of `domain`, or all if these are too
    /// few.
    fn spread_addresses(&self, addresses: Vec<SocketAddr>, domain: &str) -> Vec<SocketAddr> {
        let Some(subset) = self.subset(domain) else { return addresses };
        let named: Vec<SocketAddr> =
            subset.iter().copied().filter(|callers| addresses.contains(callers)).collect();
        if named.len() < DOMAIN_GATEWAYS_MIN { addresses } else { named }
    }

    /// Returns the address of a gateway with routes newer than `edition`: one of those that are
    /// furthest ahead, if possible in `domain`, or any without one.
    pub fn peer_with_newer_routes(
        &self,
        edition: Edition,
        domain: Option<&str>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.peer_ahead(domain, now, rng, |report| {
            Some(report.routes).filter(|other| *other > edition).map(Edition::rank)
        })
    }

    /// Returns the address of a gateway with a target list newer than `position`: one of those that
    /// are furthest ahead, if possible in `domain`, or any without one.
    pub fn peer_with_newer_targets(
        &self,
        position: Position,
        domain: Option<&str>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.peer_ahead(domain, now, rng, |report| {
            Some(report.targets_position).filter(|other| *other > position)
        })
    }

    /// Returns the ready gateway that is furthest ahead, preferably in `domain`: the edition of
    /// its routes and the address from which peers fetch its state.
    pub fn ready_peer(&self, domain: &str, now: Duration) -> Option<(Edition, SocketAddr)> {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let best = reports
            .filter(|report| report.ready)
            .max_by_key(|report| (report.routes.rank(), &*report.domain == domain))?;
        Some((best.routes, best.peers))
    }

    /// Returns true if no live gateway, of `domain` if one is named, has reported routes and targets
    /// at least this new.
    pub fn is_first_with(
        &self,
        routes: Edition,
        position: Position,
        domain: Option<&str>,
        now: Duration,
    ) -> bool {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let mut near = reports.filter(|r| domain.is_none_or(|domain| domain == &*r.domain));
        !near.any(|r| r.routes >= routes && r.targets_position >= position)
    }

    /// Returns how many live gateways come before `host`, a gateway of `domain`, in sending trial
    /// requests to a target.
    ///
    /// The gateways of the target's own failure domain come first; within both groups the order
    /// is by rendezvous weight.
    pub fn trial_rank(&self, host: &str, domain: &str, target: &Target, now: Duration) -> usize {
        let rank = |host: &str, domain: &str| {
            (domain == &*target.domain, placement::weight(&[&target.id], host))
        };
        let own = rank(host, domain);
        let others = self.alive(now).filter_map(|(other, gateway)| {
            gateway.report.as_ref().map(|report| rank(other, &report.domain))
        });
        others.filter(|other| *other > own).count()
    }

    /// Returns when the store last confirmed, to any gateway, a state that is not newer than
    /// `routes` and `targets_position`.
    pub fn confirmed_at(&self, routes: Edition, targets_position: Position) -> Option<Duration> {
        let reports = self.by_host.values().filter_map(|gateway| gateway.report.as_ref());
        let not_newer = reports.filter(|report| {
            report.routes <= routes && report.targets_position <= targets_position
        });
        not_newer.filter_map(|report| report.confirmed_at).max()
    }

    /// Returns when the store last confirmed, to any gateway, routes that are not newer than `routes`.
    pub fn routes_confirmed_at(&self, routes: Edition) -> Option<Duration> {
        let reports = self.by_host.values().filter_map(|gateway| gateway.report.as_ref());
        let not_newer = reports.filter(|report| report.routes <= routes);
        not_newer.filter_map(|report| report.confirmed_at).max()
    }

    /// Returns when the store last returned from a silence that this gateway or another noticed.
    pub fn store_returned_at(&self, own: Option<Silence>, now: Duration) -> Option<Duration> {
        let contacts: Vec<Contact> = self.store_contacts(now).collect();
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let silences = reports.filter_map(|report| report.store_silence.as_ref());
        outage::last_return(silences.chain(&own), &contacts)
    }

    /// Returns the live gateways that grant tokens of quotas, with the positions of the lists under
    /// which they do.
    pub fn granting(&self, now: Duration) -> impl Iterator<Item = (&str, Position)> {
        let reports = self.alive(now).filter_map(|(host, g)| Some((host, g.report.as_ref()?)));
        reports.filter_map(|(host, report)| Some((&**host, report.members.granting?)))
    }

    /// Returns the position that the lists of the gateways that grant must reach before all live
    /// gateways that are joining become active, `None` if none waits.
    pub fn awaited_list(&self, now: Duration) -> Option<Position> {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        reports.filter_map(|report| report.members.awaited).max()
    }

    /// Returns the latest era of the store that a live gateway reported, and since when the store
    /// has responded in it.
    pub fn store_era(&self, now: Duration) -> Option<(u64, Duration)> {
        let contacts = self.store_contacts(now).map(|contact| (contact.era, contact.since));
        contacts.max_by_key(|(era, since)| (*era, std::cmp::Reverse(*since)))
    }

    /// Returns over how long the calls are spread out when all gateways call the store for the same
    /// reason.
    pub fn call_spread(&self) -> Duration {
        CALL_SPREAD_PER_GATEWAY * self.by_host.len() as u32
    }

    /// Returns true if this gateway, `own`, is one of those that poll the store.
    pub fn is_poller(&self, own: Member<'_>, now: Duration) -> bool {
        let others = self.by_host.iter().filter(|(_, gateway)| gateway.age(now) < POLLER_TIMEOUT);
        let members = others.filter_map(|(host, gateway)| {
            let in_contact = gateway.report.as_ref()?.store_contact.is_some();
            Some(Member { host, in_contact })
        });
        poller::is_poller(own, members)
    }

    /// Returns the number of live gateways of `domain`, to which this gateway belongs.
    pub fn domain_size(&self, domain: &str, now: Duration) -> usize {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        1 + reports.filter(|report| &*report.domain == domain).count()
    }

    /// Returns true if this gateway, `own` of `domain`, is one of those that follow the store. All do
    /// in a domain of at most `follow_all_max` live gateways.
    pub fn is_follower(
        &self,
        own: follower::Member<'_>,
        domain: &str,
        follow_all_max: usize,
        now: Duration,
    ) -> bool {
        let size = self.domain_size(domain, now);
        let others = self.by_host.iter().filter(|(_, gateway)| gateway.age(now) < POLLER_TIMEOUT);
        let members = others.filter_map(|(host, gateway)| {
            let report = gateway.report.as_ref().filter(|report| &*report.domain == domain)?;
            Some(follower::Member {
                host,
                in_contact: report.store_contact.is_some(),
                cpu_permille: report.cpu_permille(),
            })
        });
        size <= follow_all_max
            || follower::is_follower(own, members, follower::follower_count(size, follow_all_max))
    }

    /// Returns true if enough is known of the fleet to decide which gateways follow the store: the
    /// platform's list was read, and names at most `follow_all_max` gateways, or at least half of
    /// them have reported.
    pub fn knows_fleet(&self, follow_all_max: usize) -> bool {
        let reported = self.by_host.values().filter(|gateway| gateway.report.is_some()).count();
        self.has_list && (self.by_host.len() < follow_all_max || reported * 2 >= self.by_host.len())
    }

    /// Returns the last report of a gateway.
    pub fn report(&self, host: &str) -> Option<&Report> {
        self.by_host.get(host)?.report.as_ref()
    }

    /// Returns the fleet among which targets' limits are divided, as seen by the gateway on `own`,
    /// which `is_ready` to accept callers and whose process started at time zero.
    pub fn limit_fleet<'a>(
        &'a self,
        own: placement::Host<'a>,
        is_ready: bool,
        now: Duration,
    ) -> target_limit::Fleet<'a> {
        let timeout = self.takeover_timeout();
        let is_member = |gateway: &Gateway| match gateway.report {
            Some(_) => gateway.age(now) < MEMBER_TIMEOUT,
            None => gateway.age(now) < timeout * 2,
        };
        let members = 1 + self.by_host.values().filter(|gateway| is_member(gateway)).count();
        let heard = self.by_host.iter().filter_map(|(host, gateway)| {
            let report = gateway.report.as_ref()?;
            (gateway.age(now) < timeout).then_some((host, report))
        });
        let hears_majority = (1 + heard.clone().count()) * 2 > members;
        let others = heard.filter(|(_, report)| report.ready);
        let others = others.map(|(name, report)| placement::Host { name, domain: &report.domain });
        let handover = timeout + HANDOVER_MARGIN;
        target_limit::Fleet {
            own,
            may_share: is_ready && hears_majority,
            others: others.collect(),
            handover,
        }
    }

    /// Records that all hosts that the platform lists have been learned.
    pub fn record_list(&mut self) {
        self.has_list = true;
    }

    /// Returns the number of hosts of the fleet that are known, this one included, or 0 if the
    /// platform's list has not been read.
    pub fn fleet_hosts(&self) -> u32 {
        if self.has_list { self.ever_known.len() as u32 + 1 } else { 0 }
    }

    /// Returns which part of the fleet's slack for retries the gateway on `own` may use, `None`
    /// while neither it nor a peer has read how many hosts there are.
    ///
    /// A host counts although it is silent: it may be alive behind a cut and use its part.
    pub fn retry_sharer(&self, own: &str, now: Duration) -> Option<Sharer> {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let named = reports.map(|report| report.fleet_hosts).chain([self.fleet_hosts()]).max();
        let named = named.filter(|hosts| *hosts > 0)? as usize;
        let rank = self.ever_known.iter().filter(|host| &***host < own).count();
        Some(Sharer { hosts: named.max(self.ever_known.len() + 1), rank })
    }

    /// Returns true if a host is known to belong to the fleet.
    pub fn is_member(&self, host: &str) -> bool {
        self.ever_known.contains(host)
    }

    /// Returns true if a gateway has reported recently enough to be advertised to callers.
    pub fn has_reported(&self, host: &str, now: Duration) -> bool {
        let gateway = self.by_host.get(host);
        gateway.is_some_and(|g| g.report.is_some() && g.age(now) < ADVERTISE_TIMEOUT)
    }

    /// Returns the addresses of up to `count` live gateways to ask for a retry token, drawn from those
    /// of `domain` if `near`, else from all others.
    pub fn lenders(
        &self,
        domain: &str,
        near: bool,
        count: usize,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let fresh = self.alive(now).filter(|(_, gateway)| gateway.age(now) < ADVERTISE_TIMEOUT);
        let eligible = fresh.filter(|(_, gateway)| {
            gateway.report.as_ref().is_some_and(|report| (&*report.domain == domain) == near)
        });
        eligible.map(|(_, gateway)| gateway.address).choose_multiple(rng, count)
    }

    /// Returns how long without a report others wait before they take over from a gateway. In a
    /// large failure domain each report reaches only some gateways.
    fn takeover_timeout(&self) -> Duration {
        let domains = self.by_host.values().filter_map(|gateway| gateway.report.as_ref());
        let domains = domains.fold(BTreeMap::<&str, usize>::new(), |mut counts, report| {
            *counts.entry(&report.domain).or_default() += 1;
            counts
        });
        let largest = domains.into_values().max().unwrap_or(0);
        TAKEOVER_TIMEOUT * largest.div_ceil(FANOUT).max(1) as u32
    }

    /// Returns the contacts with the store that the live gateways reported.
    pub fn store_contacts(&self, now: Duration) -> impl Iterator<Item = Contact> {
        self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref()?.store_contact)
    }

    /// Returns the receivers of a broadcast: the gateways of `domain`, at most `FANOUT`, and one
    /// of each other failure domain, which relays it there.
    pub fn broadcast_receivers(
        &self,
        domain: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Receiver> {
        let mut near = Vec::new();
        let mut far: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (_, gateway) in self.alive(now) {
            match gateway.report.as_ref().map(|report| &*report.domain) {
                Some(other) if other != domain => {
                    far.entry(other).or_default().push(gateway.address);
                }
                _ => near.push(Receiver { address: gateway.address, relays: false, part: None }),
            }
        }
        near.shuffle(rng);
        if near.len() > FANOUT {
            near.truncate(FANOUT);
            for (part, receiver) in (0..).zip(&mut near) {
                receiver.part = Some(part);
            }
        }
        let relays = far.into_values().filter_map(|addresses| addresses.choose(rng).copied());
        near.extend(relays.map(|address| Receiver { address, relays: true, part: None }));
        near
    }

    /// Returns how often a gateway of `domain` reports its load: less often in a larger fleet, so that
    /// what each gateway receives does not grow with it.
    pub fn load_intervals(&self, domain: &str, now: Duration) -> LoadIntervals {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let (near, far): (Vec<_>, Vec<_>) = reports.partition(|report| &*report.domain == domain);
        let interval = |count: usize, per_s: f64| Duration::from_secs_f64(count as f64 / per_s);
        LoadIntervals {
            near: interval(near.len(), NEAR_LOAD_REPORTS_PER_S).max(LOAD_INTERVAL_MIN.near),
            far: interval(far.len(), FAR_LOAD_REPORTS_PER_S).max(LOAD_INTERVAL_MIN.far),
        }
    }

    /// Returns the addresses of the gateways in `part` of a failure domain with more gateways than a
    /// broadcast reaches.
    pub fn part_receivers(&self, domain: &str, part: u32, now: Duration) -> Vec<SocketAddr> {
        let in_part = |host: &str| placement::weight(&["part"], host) % FANOUT as u64;
        let alive = self.alive(now).filter(|(host, gateway)| {
            let report = gateway.report.as_ref();
            report.is_none_or(|report| &*report.domain == domain)
                && in_part(host) == u64::from(part)
        });
        alive.map(|(_, gateway)| gateway.address).collect()
    }

    /// Returns the address of one of the live gateways that are furthest ahead, if possible in
    /// `domain`, or of any that is ahead without one; `ahead` returns where a gateway is if it is
    /// ahead.
    ///
    /// It is drawn, so that those that fall behind together spread over all that can help them, and
    /// those with more of a processor core are drawn more often.
    fn peer_ahead<T: Ord + Copy>(
        &self,
        domain: Option<&str>,
        now: Duration,
        rng: &mut impl Rng,
        ahead: impl Fn(&Report) -> Option<T>,
    ) -> Option<SocketAddr> {
        let reports = self.alive(now).filter_map(|(_, gateway)| gateway.report.as_ref());
        let rank = |report: &Report| {
            let at = ahead(report)?;
            Some(domain.map(|domain| (domain == &*report.domain, at)))
        };
        let ranked: Vec<_> = reports.filter_map(|report| Some((rank(report)?, report))).collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let nearest: SmallVec<[&Report; 32]> = ranked
            .into_iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, report)| report)
            .collect();
        let chosen = nearest.choose_weighted(rng, |report| report.cpu_permille().max(1));
        chosen.ok().map(|report| report.peers)
    }
}

/// Returns the addresses of the gateways in `domain`, or of all if there are too few of them.
fn near_addresses(gateways: Vec<(&str, SocketAddr)>, domain: &str) -> Vec<SocketAddr> {
    let is_near = |(other, _): &&(&str, SocketAddr)| *other == domain;
    if gateways.iter().filter(is_near).count() >= DOMAIN_GATEWAYS_MIN {
        return gateways.iter().filter(is_near).map(|(_, address)| *address).collect();
    }
    gateways.into_iter().map(|(_, address)| address).collect()
}
