//! Registers this gateway in the store and learns of the others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::quota::{SETTLE_TIME, Standing};
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

/// Registers this gateway in the store and reads the entries of the others, and again each time the
/// store comes back from an older copy or has another address. While customers have quotas, reads them
/// at intervals too. Runs until the process ends.
pub async fn run(shared: Arc<Shared>, store: Store, own: SocketAddr) {
    let mut latest_era = shared.store_era.subscribe();
    let mut moves = shared.store_moves.subscribe();
    let mut registrar = Registrar { shared: Arc::clone(&shared), store, own, list_due: None };
    registrar.find_standing().await;
    loop {
        let Written { era, existed } = registrar.register().await;
        if registrar.list_due.is_none() && shared.settings().is_first_start {
            registrar.list_due = Some(shared.clock.now() + SETTLE_TIME);
            if !existed {
                shared.budgets.start_full(shared.clock.now());
            }
        }
        registrar.learn_all().await;
        // The senders live as long as `shared`.
        tokio::select! {
            _ = latest_era.wait_for(|latest| *latest > era) => {}
            _ = moves.changed() => {}
            () = registrar.maintain() => {}
        }
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
    /// When the list is read again after the first start of the system, as gateways that started at
    /// the same time may be missing in the first one. Far in the future once it was.
    list_due: Option<Duration>,
}

/// A call that is due.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Due {
    /// Writes that this gateway is active, and reads the list.
    Activation,
    /// Reads the list.
    List(Recency),
}

impl Registrar {
    /// Finds this gateway's standing: a host without an entry is joining.
    async fn find_standing(&self) {
        let shared = &self.shared;
        if shared.settings().is_first_start {
            return members::set_standing(shared, Standing::Joining);
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
    async fn register(&self) -> Written {
        let mut backoff = Backoff::default();
        loop {
            match self.put_entry().await {
                Ok(written) => {
                    let Written { era, existed } = written;
                    log::info!("event=registered era={era} existed={existed}");
                    if members::record_registration(&self.shared, era, existed) {
                        return written;
                    }
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

    /// Makes the calls that are due; does not return.
    async fn maintain(&mut self) {
        let shared = Arc::clone(&self.shared);
        let mut backoff = Backoff::default();
        loop {
            tokio::select! {
                () = time::sleep(TICK) => {}
                () = shared.quotas.list_awaited.notified() => time::sleep(turn(&shared)).await,
            }
            let Some(due) = self.due() else { continue };
            if let Err(error) = self.call(due).await {
                backoff.record_failure("gateways", &error);
                backoff.wait(&shared, gateways::KIND, CallKind::List).await;
            } else {
                backoff = Backoff::default();
            }
        }
    }

    /// Returns the next call that is due.
    fn due(&self) -> Option<Due> {
        let shared = &self.shared;
        let has_quotas = shared.routes().is_some_and(|table| quota::is_enabled(&table));
        if has_quotas && members::may_activate(shared) {
            return Some(Due::Activation);
        }
        let is_due = self.list_due.is_some_and(|due| shared.clock.now() >= due);
        if is_due || has_quotas && members::is_list_awaited(shared) {
            return Some(Due::List(Recency::Current));
        }
        let is_old = members::list_age(shared).is_none_or(|age| age >= LIST_MAX_AGE);
        (has_quotas && is_old).then_some(Due::List(Recency::MaybeStale))
    }

    async fn call(&mut self, due: Due) -> Result<(), Error> {
        match due {
            Due::Activation => self.activate().await?,
            Due::List(recency) => self.learn(recency).await?,
        }
        if due != Due::List(Recency::MaybeStale) && self.list_due.is_some() {
            self.list_due = Some(Duration::MAX);
        }
        Ok(())
    }

    /// Makes this gateway active. It grants only under a list that was read since.
    async fn activate(&self) -> Result<(), Error> {
        let Written { era, .. } = self.put_entry_as(Standing::Active).await?;
        self.learn(Recency::Current).await?;
        members::activate(&self.shared, era);
        Ok(())
    }

    /// Reads the list of the others.
    async fn learn(&self, recency: Recency) -> Result<(), Error> {
        let shared = &self.shared;
        let begun_at = shared.clock.now() + shared.clock.suspended();
        let (pages, progress) = (Pages::default(), Progress::default());
        let list = self.store.list_at(gateways::KIND, recency, &pages, &progress).await;
        record_call(shared, CallKind::List, &list);
        self.apply(&list?, recency, begun_at);
        Ok(())
    }

    fn apply(&self, list: &List, recency: Recency, begun_at: Duration) {
        let shared = &self.shared;
        let now = shared.clock.now();
        let host = shared.settings().host.clone();
        let mut listed = gateways::decode_list(&list.objects);
        if recency == Recency::Current {
            members::record_current_list(shared, &listed, list.position);
        }
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
        members::apply(shared, listed, list.position, begun_at);
        let is_first = shared.gateways.lock().fleet_hosts() == 0;
        shared.gateways.lock().record_list();
        shared.update_retry_share();
        if is_changed || is_first {
            shared.state_changed.notify_one();
        }
    }
}

/// Counts a call that ended.
fn record_call<T>(shared: &Shared, call: CallKind, result: &Result<T, Error>) {
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    let labels = [gateways::KIND, call.into(), outcome];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}
