//! How near the retries of a run came to what the fleet is allowed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    promise::Bounds,
    record::{Record, Sent},
};

/// The time between the starts of two windows whose mean is taken.
const STEP: Duration = Duration::from_millis(500);

/// The window of a service that came nearest to what it allows.
#[derive(Debug, Clone)]
pub struct Usage {
    /// The service.
    pub service: String,
    /// The arrivals beyond the first of their request.
    pub retries: usize,
    /// The requests that count for the window.
    pub requests: usize,
    /// The arrivals beyond the first that are allowed.
    pub allowed: f64,
}

impl Usage {
    /// Returns the retries as a part of those allowed.
    pub fn part(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, retries, requests, allowed } = self;
        write!(f, "{retries} retries at {service} for {requests} requests, {allowed:.1} allowed")
    }
}

/// Returns the worst window of each service that got retries.
pub fn usages(record: &Record, bounds: &Bounds) -> Vec<Usage> {
    let requests = requests(record);
    let none = Vec::new();
    let worst = retries(record).into_iter().filter_map(|(service, retries)| {
        worst(service, &retries, requests.get(service).unwrap_or(&none), bounds)
    });
    worst.collect()
}

/// Returns the mean part of the allowed retries that was used, over the windows that lie between two
/// moments and the services that got retries.
pub fn mean_part(record: &Record, bounds: &Bounds, from: Instant, until: Instant) -> f64 {
    let requests = requests(record);
    let none = Vec::new();
    let mut parts = Vec::new();
    for (service, retries) in retries(record) {
        let requests = requests.get(service).unwrap_or(&none);
        let mut start = from;
        while start + bounds.retry_window <= until {
            parts.push(usage(service, &retries, requests, bounds, start).part());
            start += STEP;
        }
    }
    parts.iter().sum::<f64>() / parts.len().max(1) as f64
}

/// Returns when the retries of each service arrived, sorted.
fn retries(record: &Record) -> BTreeMap<&str, Vec<Instant>> {
    let runs = record.runs.iter().map(|run| (run.seen.id(), &*run.service, run.seen.at));
    let rejections = record.rejections.iter().map(|r| (&*r.id, &*r.service, r.at));
    let mut by_request: HashMap<&str, Vec<(Instant, &str)>> = HashMap::new();
    for (id, service, at) in runs.chain(rejections) {
        by_request.entry(id).or_default().push((at, service));
    }
    let mut retries: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for mut arrivals in by_request.into_values() {
        arrivals.sort();
        for (at, service) in arrivals.into_iter().skip(1) {
            retries.entry(service).or_default().push(at);
        }
    }
    retries.values_mut().for_each(|times| times.sort());
    retries
}

/// Returns when the requests for each service were sent, sorted. One whose route moved counts for
/// each service that it may have gone to.
fn requests(record: &Record) -> BTreeMap<&str, Vec<Instant>> {
    let mut requests: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    let services = |sent: &Sent| -> BTreeSet<&str> {
        (0..record.versions.len()).map(|version| record.service(sent, version)).collect()
    };
    for sent in &record.sent {
        for service in services(sent) {
            requests.entry(service).or_default().push(sent.at);
        }
    }
    requests.values_mut().for_each(|times| times.sort());
    requests
}

fn worst(
    service: &str,
    retries: &[Instant],
    requests: &[Instant],
    bounds: &Bounds,
) -> Option<Usage> {
    let usages = retries.iter().map(|from| usage(service, retries, requests, bounds, *from));
    usages.max_by(|a, b| a.part().total_cmp(&b.part()))
}

/// Returns what was used in the window that begins at `from`.
fn usage(
    service: &str,
    retries: &[Instant],
    requests: &[Instant],
    bounds: &Bounds,
    from: Instant,
) -> Usage {
    let window = bounds.retry_window;
    let counts = [window, window * 2, window + window / 2]
        .map(|back| count(requests, from + window - back, from + window * 2 - back));
    let requests = counts.into_iter().max().unwrap_or(0);
    Usage {
        service: service.to_owned(),
        retries: count(retries, from, from + window),
        requests,
        allowed: bounds.retry_ratio * requests as f64 + bounds.retry_slack,
    }
}

fn count(times: &[Instant], from: Instant, until: Instant) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}
