//! What the store's responses, to this gateway and to its peers, tell about its state.

use std::time::Duration;

use citron::{
    follower::{self, Confirmed},
    gateways::Report,
    poller::Member,
};

use super::Shared;

impl Shared {
    /// Records a response of the store to the follower of `kind`, and whether its previous call had
    /// failed.
    pub fn record_store_response(&self, kind: &'static str, had_failed: bool) {
        let now = self.clock.now();
        let Some(lost_at) = self.link.record_response(kind, had_failed, now) else { return };
        let keep_until = self.keep_until(now);
        log::info!(
            "event=link-regained lost_ms={} answered_others={}",
            now.saturating_sub(lost_at).as_millis(),
            keep_until <= now
        );
        self.expire_targets();
    }

    /// Records that the store responded in `era`, before its response is applied.
    pub fn record_era(&self, era: u64) {
        self.link.record_era(era, self.clock.now());
        self.notice_era();
    }

    /// Updates the latest era of the store from this gateway's contact and its peers' reports.
    pub fn notice_era(&self) {
        let now = self.clock.now();
        let peers = self.gateways.lock().store_era(now).map(|(era, _)| era);
        let own = self.link.contact(now).map(|contact| contact.era);
        let Some(era) = own.max(peers) else { return };
        self.store_era.send_if_modified(|latest| {
            let is_later = era > *latest;
            if is_later {
                log::info!("event=era-changed era={era} before={latest}");
                self.metrics.store_era.set(era as i64);
                *latest = era;
            }
            is_later
        });
    }

    /// Records that a follower's call, whose response was due at `due`, failed; `is_first` tells
    /// whether its previous call had not.
    pub fn record_store_failure(&self, is_first: bool, due: Duration) {
        let now = self.clock.now();
        let had_contact = self.link.contact(now).is_some();
        self.link.record_failure(is_first, due);
        if had_contact && self.link.contact(now).is_none() {
            // Another gateway may have to poll in place of this one.
            self.state_changed.notify_one();
        }
    }

    /// Returns true if this gateway is one of those that poll the store.
    pub fn is_poller(&self) -> bool {
        let now = self.clock.now();
        let settings = self.settings();
        let in_contact = self.link.contact(now).is_some();
        let own = Member { host: &settings.host, in_contact };
        self.gateways.lock().is_poller(own, now)
    }

    /// Returns true if this gateway is selected to follow the store, as all are in a small failure
    /// domain.
    pub fn is_follower(&self) -> bool {
        let now = self.clock.now();
        let settings = self.settings();
        let in_contact = self.link.contact(now).is_some();
        let host = settings.host.as_str();
        let own = follower::Member { host, in_contact, cpu_permille: settings.cpu_permille() };
        let gateways = self.gateways.lock();
        gateways.is_follower(own, &settings.domain, settings.follow_all_max, now)
            || gateways.is_poller(Member { host, in_contact }, now)
    }

    /// Returns true if not all gateways of this failure domain follow the store.
    pub fn is_domain_large(&self) -> bool {
        let settings = self.settings();
        let size = self.gateways.lock().domain_size(&settings.domain, self.clock.now());
        size > settings.follow_all_max
    }

    /// Records what the report of the gateway on `host`, and the one that it replaces, confirm.
    pub fn record_confirmation(&self, host: &str, report: &Report) {
        let edition = self.routes_edition();
        let position = self.targets.lock().catalog.position();
        let gateways = self.gateways.lock();
        let mut confirmations = self.peer_confirmations.lock();
        for report in gateways.report(host).into_iter().chain([report]) {
            let Some(at) = report.confirmed_at else { continue };
            let (routes, targets_position) = (report.routes, report.targets_position);
            let confirmed = Confirmed { routes, targets_position, at };
            confirmations.record(confirmed, edition, position);
        }
    }

    /// Returns when this gateway's routes were last known to be current.
    pub fn routes_confirmed_at(&self) -> Option<Duration> {
        let peers = self.gateways.lock().routes_confirmed_at(self.routes_edition());
        let earlier = self.peer_confirmations.lock().routes();
        let freshness = self.freshness.lock();
        freshness.limit_routes(freshness.routes_confirmed_at().max(peers).max(earlier))
    }

    /// Returns when this gateway's routes and targets were last known to be current: by a response
    /// of the store to it, or to a peer whose state is not newer.
    pub fn confirmed_at(&self) -> Option<Duration> {
        let edition = self.routes_edition();
        let position = self.targets.lock().catalog.position();
        let peers = self.gateways.lock().confirmed_at(edition, position);
        let earlier = self.peer_confirmations.lock().state();
        let freshness = self.freshness.lock();
        freshness.limit_routes(freshness.confirmed_at().max(peers).max(earlier))
    }

    /// Returns how long ago this gateway's routes and targets were last known to be current, `None`
    /// if they never were.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at().map(|at| now.saturating_sub(at))
    }

    /// Returns until when target entries that vanish are kept.
    pub(super) fn keep_until(&self, now: Duration) -> Duration {
        self.link.keep_until(self.gateways.lock().store_contacts(now), now)
    }
}
