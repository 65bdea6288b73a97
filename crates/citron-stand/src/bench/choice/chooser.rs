//! The methods that are compared.

use std::{sync::Arc, time::Duration};

use citron::choice::{Balancer, PickArgs, Proxy, Target, TargetReport};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use strum::Display;

/// How a proxy chooses.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Method {
    /// Any target with equal probability.
    Random,
    /// The one with the fewest own requests in flight, ties at random.
    Local,
    /// `citron::choice`.
    Table,
}

/// One proxy's choice by one method.
pub struct Chooser {
    method: Method,
    table: Balancer,
    names: Vec<Arc<str>>,
    in_flight: Vec<u32>,
}

impl Chooser {
    pub fn new(method: Method, host: &Proxy, proxies: &[Proxy], targets: &[Target]) -> Self {
        let mut table = Balancer::new(&host.host, &host.domain);
        table.set_proxies(proxies.to_vec());
        table.upsert(targets.iter().cloned(), Duration::ZERO);
        Self {
            method,
            table,
            names: targets.iter().map(|target| Arc::clone(&target.name)).collect(),
            in_flight: vec![0; targets.len()],
        }
    }

    pub fn pick(&mut self, tried: &[usize], now: Duration, rng: &mut ChaCha8Rng) -> Option<usize> {
        if self.method == Method::Table {
            let exclude: Vec<&str> = tried.iter().map(|&index| &*self.names[index]).collect();
            let ask = PickArgs { service: "lot-desk", exclude: &exclude, idempotent: true };
            let pick = self.table.pick(&ask, now, rng)?;
            return self.names.iter().position(|name| *name == pick.target);
        }
        let left = (0..self.names.len()).filter(|index| !tried.contains(index));
        let key = |index: &usize| match self.method {
            Method::Local => self.in_flight[*index],
            Method::Random | Method::Table => 0,
        };
        left.map(|index| (key(&index), rng.random::<u32>(), index)).min().map(|least| least.2)
    }

    pub fn start(&mut self, target: usize) {
        self.in_flight[target] += 1;
        self.table.on_start(&self.names[target]);
    }

    pub fn shed(&mut self, target: usize, answer: TargetReport, now: Duration) {
        self.in_flight[target] -= 1;
        self.table.on_end(&self.names[target]);
        self.table.on_shed(&self.names[target], answer, now);
    }

    pub fn answer(&mut self, target: usize, answer: TargetReport, took: Duration, now: Duration) {
        self.in_flight[target] -= 1;
        self.table.on_end(&self.names[target]);
        self.table.on_response(&self.names[target], answer, took, now);
    }
}
