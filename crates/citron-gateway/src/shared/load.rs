//! Measures this gateway's load, reports when it changes, and decides to which gateways callers are
//! sent.

use std::{sync::Arc, time::Duration};

use citron::spread::{Candidate, Load, Power};
use tokio::time;

use super::Shared;

/// The interval between two ticks, whose lateness is measured.
const TICK: Duration = Duration::from_millis(50);
/// The least interval between two reports of a load that has changed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// A rate of requests that has changed by this factor is reported at once.
const RATE_CHANGE: f64 = 1.5;
/// Rates below this are not reported at once.
const RATE_MIN_PER_S: f64 = 20.0;
const BYTES_PER_MBIT: f64 = 125_000.0;

impl Shared {
    /// Returns the load of this gateway.
    pub fn load(&self) -> Load {
        let settings = self.settings();
        let meter = self.own_load.meter();
        let link = meter.bytes_per_s() / (settings.link_mbps * BYTES_PER_MBIT);
        let memory = self.memory.reserved() as f64 / self.memory.limit().max(1) as f64;
        Load {
            power: Power {
                cpu_share: settings.cpu_share,
                link_mbps: settings.link_mbps,
                memory_bytes: settings.memory_bytes,
            },
            requests_per_s: meter.requests_per_s(),
            lateness: meter.lateness(),
            fullness: link.max(memory),
        }
    }

    /// Decides again to which gateways callers are sent.
    pub fn update_spreads(&self) {
        let settings = self.settings();
        let own = Candidate {
            host: &settings.host,
            born_ms: self.born_ms,
            callers: settings.callers,
            is_ready: self.is_ready() && self.accepts_keys(),
            load: Some(self.load()),
        };
        let now = self.clock.now();
        let (reason, named, includes_own) = {
            let mut gateways = self.gateways.lock();
            let reason = gateways.update_spreads(&settings.domain, own, now);
            let subset = gateways.subset(&settings.domain);
            let includes_own = subset.is_none_or(|subset| subset.contains(&settings.callers));
            (reason, subset.map(|subset| (subset.len(), subset.strong.len())), includes_own)
        };
        self.metrics.named_gateways.set(named.map_or(0, |(size, _)| size as i64));
        self.metrics.is_named.set(i64::from(own.is_ready && includes_own));
        if let Some(reason) = reason {
            let reason = reason.as_ref();
            match named {
                Some((size, strong)) => log::info!(
                    "event=callers-spread domain={} gateways={size} strong={strong} reason={reason}",
                    settings.domain
                ),
                None => log::info!(
                    "event=callers-spread domain={} gateways=all reason={reason}",
                    settings.domain
                ),
            }
        }
    }
}

/// Measures this gateway's load until the process ends, and has a change of it reported.
pub async fn watch_load(shared: Arc<Shared>) {
    let mut reported = shared.load();
    let mut reported_at = Duration::ZERO;
    loop {
        time::sleep(TICK).await;
        let now = shared.clock.now();
        shared.own_load.tick(TICK, now);
        let load = shared.load();
        shared.metrics.own_cpu_share.set(load.power.cpu_share);
        shared.metrics.own_requests_per_s.set(load.requests_per_s);
        shared.metrics.own_lateness_seconds.set(load.lateness.as_secs_f64());
        shared.metrics.own_fullness.set(load.fullness);
        shared.update_spreads();
        // In an even domain nothing depends on the load.
        let is_uneven = shared.gateways.lock().is_uneven(&shared.settings().domain);
        let is_due = now >= reported_at + CHANGE_INTERVAL && has_changed(&reported, &load);
        if is_uneven && is_due {
            (reported, reported_at) = (load, now);
            shared.state_changed.notify_one();
        }
    }
}

/// Returns true if a load is so different from the one reported that peers should know at once.
fn has_changed(reported: &Load, load: &Load) -> bool {
    let is_above = |a: f64, b: f64| a > RATE_MIN_PER_S && a > b * RATE_CHANGE;
    reported.overload() != load.overload()
        || reported.is_near_limit() != load.is_near_limit()
        || is_above(load.requests_per_s, reported.requests_per_s)
        || is_above(reported.requests_per_s, load.requests_per_s)
}
