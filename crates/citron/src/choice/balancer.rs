//! Load balancing over the targets that a proxy knows, by service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::{Pick, PickArgs, Proxy, Target, TargetReport, pool::Pool};
use crate::{
    limit::HANDOVER,
    placement::Host,
    target_limit::{Fleet, Limits},
};

/// Picks targets for the attempts of one proxy.
#[derive(Debug)]
pub struct Balancer {
    host: Arc<str>,
    domain: Arc<str>,
    proxies: Vec<Proxy>,
    pools: HashMap<Arc<str>, Pool>,
    services: HashMap<Arc<str>, Arc<str>>,
    limits: Limits,
}

impl Balancer {
    /// Creates a balancer for the proxy of a host in a failure domain.
    pub fn new(host: &str, domain: &str) -> Self {
        Self {
            host: host.into(),
            domain: domain.into(),
            proxies: vec![Proxy { domain: domain.into(), host: host.into() }],
            pools: HashMap::new(),
            services: HashMap::new(),
            limits: Limits::default(),
        }
    }

    /// Replaces the proxies among which slots are divided; they should include this one.
    pub fn set_proxies(&mut self, proxies: Vec<Proxy>) {
        if self.proxies == proxies {
            return;
        }
        self.proxies = proxies;
        for pool in self.pools.values_mut() {
            pool.rebuild(&self.host, &self.proxies);
        }
    }

    /// Adds or updates targets. A target that is new to a service with other targets ramps up from a
    /// low weight.
    pub fn upsert(&mut self, targets: impl IntoIterator<Item = Target>, now: Duration) {
        let mut changed: Vec<Arc<str>> = Vec::new();
        let mut created: Vec<Arc<str>> = Vec::new();
        for target in targets {
            let service = Arc::clone(&target.service);
            let before = self.services.insert(Arc::clone(&target.name), Arc::clone(&service));
            if let Some(before) = before.filter(|before| *before != service) {
                self.remove_from_pool(&before, &target.name);
            }
            if !self.pools.contains_key(&service) {
                created.push(Arc::clone(&service));
                self.pools.insert(Arc::clone(&service), Pool::new(Arc::clone(&self.domain)));
            }
            let cold = !created.contains(&service);
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.upsert(target, cold, now);
            }
            if !changed.contains(&service) {
                changed.push(service);
            }
        }
        for service in changed {
            self.rebuild(&service);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &str) {
        if let Some(service) = self.services.remove(target) {
            self.limits.retain(|limited| limited != target);
            self.remove_from_pool(&service, target);
        }
    }

    /// Sets the weight of a target, from 0 (ejected) to 1 (its full share of requests). A target on
    /// trial gets idempotent requests only.
    pub fn set_weight(&mut self, target: &str, weight: f64, trial: bool) {
        self.update_pool(target, |pool| pool.set_weight(target, weight, trial));
    }

    /// Picks a target, or returns `None` if none is estimated to have a free slot.
    pub fn pick(
        &mut self,
        args: &PickArgs<'_>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<Pick> {
        if !self.limits.is_empty() {
            self.update_limits(now);
        }
        let pool = self.pools.get_mut(args.service)?;
        let pick = {
            let exclude = args.exclude.iter().copied().chain(self.limits.unavailable(now));
            let exclude: SmallVec<[&str; 8]> = exclude.collect();
            pool.pick(&PickArgs { exclude: &exclude, ..*args }, now, rng)?
        };
        self.limits.record_request(&pick.target, now);
        Some(pick)
    }

    /// Computes this proxy's shares of the targets' limits anew if the proxies or a limit changed.
    fn update_limits(&mut self, now: Duration) {
        let others = self.proxies.iter().filter(|proxy| proxy.host != self.host);
        let others = others.map(|proxy| Host { name: &proxy.host, domain: &proxy.domain });
        let others = others.collect();
        let own = Host { name: &self.host, domain: &self.domain };
        let fleet = Fleet { own, may_share: true, others, handover: HANDOVER };
        let (pools, services) = (&self.pools, &self.services);
        let domain_of = |target: &str| pools.get(services.get(target)?)?.domain(target);
        self.limits.expire(fleet.others.len() + 1, now);
        self.limits.update(&fleet, domain_of, now);
    }

    /// Applies the limit that a target's response names, or that it names none.
    fn apply_limit(&mut self, target: &str, report: TargetReport, now: Duration) {
        if report.limit_per_s.is_none() && self.limits.is_empty() {
            return;
        }
        self.limits.set(&Arc::from(target), 0, report.limit_per_s, now);
        self.update_limits(now);
    }

    /// Returns the mean time until a service's responses begin, or `None` if no listed target can
    /// take such a request.
    pub fn response_time(&self, service: &str, idempotent: bool) -> Option<Duration> {
        self.pools.get(service)?.response_time(idempotent)
    }

    /// Counts a request sent to a target. [`Balancer::on_end`] must follow exactly once.
    pub fn on_start(&mut self, target: &str) {
        self.update_pool(target, |pool| {
            pool.on_start(target);
            false
        });
    }

    /// Counts the end of a request, whatever its outcome.
    pub fn on_end(&mut self, target: &str) {
        self.update_pool(target, |pool| {
            pool.on_end(target);
            false
        });
    }

    /// Applies a response, after [`Balancer::on_end`] of its request.
    pub fn on_response(
        &mut self,
        target: &str,
        report: TargetReport,
        took: Duration,
        now: Duration,
    ) {
        self.apply_limit(target, report, now);
        self.update_pool(target, |pool| pool.on_response(target, report, took, now));
    }

    /// Applies that a target shed a request without running it, after [`Balancer::on_end`].
    pub fn on_shed(&mut self, target: &str, report: TargetReport, now: Duration) {
        self.apply_limit(target, report, now);
        self.update_pool(target, |pool| pool.on_shed(target, report, now));
    }

    fn update_pool(&mut self, target: &str, update: impl FnOnce(&mut Pool) -> bool) {
        let Some(service) = self.services.get(target) else { return };
        let Some(pool) = self.pools.get_mut(service) else { return };
        if update(pool) {
            pool.rebuild(&self.host, &self.proxies);
        }
    }

    fn remove_from_pool(&mut self, service: &str, target: &str) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        pool.remove(target);
        if pool.is_empty() {
            self.pools.remove(service);
        } else {
            self.rebuild(service);
        }
    }

    fn rebuild(&mut self, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.rebuild(&self.host, &self.proxies);
        }
    }
}
