//! Registers this gateway in the store and learns of the others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::quota::{JOIN_PERIOD, Standing};
use citron_adapter::{
    gateways,
    pages::Pages,
    store::{Error, List, Recency, Store, Written},
};
use citron_daemon::transfer::Progress;
use rand::Rng;
use tokio::time;

use super::{backoff::Backoff, call::CallKind};
use crate::{
    quota::{self, members},
    shared::Shared,
};

/// The interval between looks at what is due besides the first registration.
const TICK: Duration = Duration::from_millis(500);
/// The age at which the list is read again while customers have quotas.
const LIST_MAX_AGE: Duration = Duration::from_secs(8);
/// The time after the first registration at which the list is read again, as other gateways that
/// start at the same time may be missing in the first one.
const SECOND_LIST_DELAY: Duration = Duration::from_secs(1);

/// Registers this gateway in the store and reads the entries of the others, and again each time the
/// store comes back from an older copy or has another address. While customers have quotas, reads them
/// at intervals too. Runs until the process ends.
pub async fn run(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut latest_era = shared.store_era.subscribe();
    let mut moves = shared.store_moves.subscribe();
    let mut registrar = Registrar { shared: Arc::clone(&shared), store, own, active_at: None };
    let mut is_registered = false;
    registrar.find_standing().await;
    loop {
        let Written { era, existed } = registrar.register().await;
        if !is_registered && !existed && shared.settings().is_first_start {
            shared.budgets.start_full();
            members::start_full(&shared);
        }
        registrar.learn_all().await;
        // The senders live as long as `shared`.
        tokio::select! {
            _ = latest_era.wait_for(|latest| *latest > era) => {}
            _ = moves.changed() => {}
            () = registrar.maintain(!is_registered) => {}
        }
        is_registered = true;
        time::sleep(turn(&shared)).await;
    }
}

/// Returns this gateway's turn when all gateways register again.
fn turn(shared: &Shared) -> Duration {
    shared.gateways.lock().call_spread().mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Keeps this gateway's entry and the list of the others.
struct Registrar {
    shared: Arc<Shared>,
    store: Store,
    own: SocketAddr,
    /// When this gateway becomes active, if it is joining.
    active_at: Option<Duration>,
}

impl Registrar {
    /// Finds this gateway's standing: a host that is new while others run is joining.
    async fn find_standing(&self) {
        let shared = &self.shared;
        if shared.settings().is_first_start {
            return members::set_standing(shared, Standing::Active);
        }
        let host = shared.settings().host.clone();
        let mut backoff = Backoff::default();
        loop {
            let found = self.store.get(gateways::KIND, &host).await;
            record_call(shared, CallKind::Register, &found);
            match found {
                Ok(object) => {
                    let known = object.as_ref().and_then(gateways::decode);
                    let standing = known.map_or(Standing::Joining, |member| member.standing);
                    return members::set_standing(shared, standing);
                }
                Err(error) => {
                    backoff.record_failure("get-gateway", &error);
                    backoff.wait(shared, gateways::KIND, CallKind::Register).await;
                }
            }
        }
    }

    /// Registers this gateway.
    async fn register(&mut self) -> Written {
        let mut backoff = Backoff::default();
        loop {
            match self.put_entry().await {
                Ok(written) => {
                    let Written { era, existed } = written;
                    log::info!("event=registered era={era} existed={existed}");
                    if members::standing(&self.shared) == Some(Standing::Joining) {
                        self.active_at.get_or_insert(self.shared.clock.now() + JOIN_PERIOD);
                    }
                    return written;
                }
                Err(error) => {
                    backoff.record_failure("register", &error);
                    backoff.wait(&self.shared, gateways::KIND, CallKind::Register).await;
                }
            }
        }
    }

    async fn put_entry(&self) -> Result<Written, Error> {
        let standing = members::standing(&self.shared).unwrap_or(Standing::Joining);
        self.put_entry_as(standing).await
    }

    async fn put_entry_as(&self, standing: Standing) -> Result<Written, Error> {
        let member = members::own(&self.shared, self.own, standing);
        let spec = gateways::encode(&member);
        let written = self.store.put(gateways::KIND, &member.host, &spec).await;
        record_call(&self.shared, CallKind::Register, &written);
        written
    }

    /// Reads the list of the others, however often it takes.
    async fn learn_all(&self) {
        let mut backoff = Backoff::default();
        while let Err(error) = self.learn(Recency::Current).await {
            backoff.record_failure("list-gateways", &error);
            backoff.wait(&self.shared, gateways::KIND, CallKind::List).await;
        }
    }

    /// Ends the joining when it is due, and reads the list again when it is old; does not return.
    async fn maintain(&mut self, is_first: bool) {
        let shared = Arc::clone(&self.shared);
        let mut list_due = is_first.then(|| shared.clock.now() + SECOND_LIST_DELAY);
        let mut backoff = Backoff::default();
        loop {
            time::sleep(TICK).await;
            let now = shared.clock.now();
            if self.active_at.is_some_and(|at| now >= at) {
                match self.put_entry_as(Standing::Active).await {
                    Ok(_) => {
                        self.active_at = None;
                        backoff = Backoff::default();
                        members::set_standing(&shared, Standing::Active);
                    }
                    Err(error) => backoff.record_failure("register", &error),
                }
            }
            if !shared.routes().is_some_and(|table| quota::is_enabled(&table)) {
                continue;
            }
            let is_old = members::list_age(&shared).is_none_or(|age| age >= LIST_MAX_AGE);
            if !is_old && list_due.is_none_or(|due| now < due) {
                continue;
            }
            match self.learn(Recency::MaybeStale).await {
                Ok(is_applied) => {
                    backoff = Backoff::default();
                    // One that is older than the current list is read again.
                    list_due = list_due.filter(|_| !is_applied);
                }
                Err(error) => {
                    backoff.record_failure("list-gateways", &error);
                    backoff.wait(&shared, gateways::KIND, CallKind::List).await;
                }
            }
        }
    }

    /// Reads the list of the others; returns false if it is older than the current one.
    async fn learn(&self, recency: Recency) -> Result<bool, Error> {
        let shared = &self.shared;
        let begun_at = shared.clock.now() + shared.clock.suspended();
        let (pages, progress) = (Pages::default(), Progress::default());
        let list = self.store.list_at(gateways::KIND, recency, &pages, &progress).await;
        record_call(shared, CallKind::List, &list);
        Ok(self.apply(&list?, begun_at))
    }

    fn apply(&self, list: &List, begun_at: Duration) -> bool {
        let shared = &self.shared;
        let now = shared.clock.now();
        let host = shared.settings().host.clone();
        let mut listed = gateways::decode_list(&list.objects);
        let mut is_changed = false;
        for member in listed.iter().filter(|member| *member.host != *host) {
            if shared.gateways.lock().learn(&member.host, member.address, now) {
                is_changed = true;
                let (host, address) = (&member.host, member.address);
                log::info!("event=gateway-learned host={host} address={address} source=store");
            }
        }
        // A list that may be stale may lack this gateway, or show how it was.
        listed.retain(|member| *member.host != *host);
        let standing = members::standing(shared).unwrap_or(Standing::Joining);
        listed.push(members::own(shared, self.own, standing));
        listed.sort_by(|a, b| a.host.cmp(&b.host));
        let is_applied = members::apply(shared, listed, list.position, begun_at);
        let is_first = shared.gateways.lock().fleet_hosts() == 0;
        shared.gateways.lock().record_list();
        shared.update_retry_share();
        if is_changed || is_first {
            shared.state_changed.notify_one();
        }
        is_applied
    }
}

/// Counts a call that ended.
fn record_call<T>(shared: &Shared, call: CallKind, result: &Result<T, Error>) {
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    let labels = [gateways::KIND, call.into(), outcome];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}
