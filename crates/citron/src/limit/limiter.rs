//! The rate limiter of one proxy, with an account for each customer and service.

use std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};

use smallvec::SmallVec;

use super::{LoanMessage, LoanRequest, PAUSE_LIMIT, Share, account::Account, loan::Lender};
use crate::policy::Allowance;

/// How long a request waits for the grant of a loan.
const GRANT_TIMEOUT: Duration = Duration::from_millis(50);
/// The least time between two loan requests to one lender about one account. It must exceed a round
/// trip, since only the reply to the last request is accepted.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// How long before its end a loan is renewed.
const RENEW_AHEAD: Duration = Duration::from_millis(1000);
/// How long an idle account is kept in memory.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// The owner hosts of a customer for a service, in rendezvous order.
pub type Owners = SmallVec<[Arc<str>; 4]>;

/// Returns the owners of a customer for a service under one host list.
pub type OwnerLookup = Arc<dyn Fn(&str, &str) -> Owners + Send + Sync>;

/// The decision about a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Verdict {
    /// It is within the allowance, and a token was taken for it.
    Admitted,
    /// A loan was requested; try again when a grant has arrived, or at `until` at the latest.
    Borrowing {
        /// When to stop waiting for the grant.
        until: Duration,
    },
    /// It exceeds the allowance.
    Refused {
        /// How long until a request can be admitted, if nothing else changes; `None` if never.
        after: Option<Duration>,
    },
}

/// A loan message to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The host of the proxy that receives it.
    pub to: Arc<str>,
    /// The message.
    pub message: LoanMessage,
}

/// Admits requests within their customers' allowances at one proxy, or at one shard of it.
pub struct RateLimiter {
    host: Arc<str>,
    lookups: OwnerLookups,
    handover: Duration,
    suspended_until: Duration,
    /// Since when shares without an account in memory have been in use. A new account starts with
    /// the tokens accrued since then.
    shares_in_use_since: Duration,
    last_seen: Duration,
    next_id: u64,
    accounts: HashMap<(Arc<str>, Arc<str>), Entry>,
    outbox: Vec<Outgoing>,
}

/// The owner lookup of the current host list, and those of earlier lists that other proxies may
/// still use.
struct OwnerLookups {
    current: Option<OwnerLookup>,
    earlier: Vec<(OwnerLookup, Duration)>,
    epoch: u64,
}

struct Entry {
    account: Account,
    epoch: u64,
    allowance: Allowance,
    owners: Owners,
}

impl RateLimiter {
    /// Creates the rate limiter of a process that has just started. `first_id` must be random.
    /// `handover` must be [`HANDOVER`](super::HANDOVER) or longer, except in a fleet of one proxy.
    pub fn new(host: &str, first_id: u64, handover: Duration, now: Duration) -> Self {
        Self {
            host: host.into(),
            lookups: OwnerLookups { current: None, earlier: Vec::new(), epoch: 0 },
            handover,
            suspended_until: now + handover,
            shares_in_use_since: now + handover,
            last_seen: now,
            next_id: first_id,
            accounts: HashMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Switches to a new host list. Shares that grow by it are used after the handover delay.
    pub fn set_owner_lookup(&mut self, lookup: OwnerLookup, now: Duration) {
        self.observe(now);
        if let Some(before) = self.lookups.current.replace(lookup) {
            self.lookups.earlier.push((before, now + self.handover));
        }
        self.lookups.epoch += 1;
        let keys: Vec<_> = self.accounts.keys().cloned().collect();
        for key in keys {
            self.update_owners(&key, now);
        }
    }

    /// Decides whether to admit a request of a customer with this allowance.
    pub fn admit(
        &mut self,
        customer: &str,
        service: &str,
        allowance: &Allowance,
        now: Duration,
    ) -> Verdict {
        self.observe(now);
        let key = self.ensure_account(customer, service, allowance, now);
        let entry = self.accounts.get_mut(&key).expect("the account was just created or found");
        let admitted = entry.account.admit(now);
        self.request_loans(&key, now);
        let entry = &self.accounts[&key];
        if admitted {
            return Verdict::Admitted;
        }
        let pending = entry.account.lenders.iter().filter_map(Lender::requested_at);
        match pending.map(|at| at + GRANT_TIMEOUT).filter(|until| *until > now).max() {
            Some(until) => Verdict::Borrowing { until },
            None => Verdict::Refused { after: entry.account.time_to_token() },
        }
    }

    /// Handles a loan message; `allowance` is that of its customer for its service. Returns whether
    /// a loan was granted or received where there was none.
    pub fn receive(
        &mut self,
        from: &str,
        message: &LoanMessage,
        allowance: Option<&Allowance>,
        now: Duration,
    ) -> bool {
        self.observe(now);
        let Some(allowance) = allowance else { return false };
        match message {
            LoanMessage::Request(request) => self.lend(from, request, allowance, now),
            LoanMessage::Grant(grant) => {
                let key = (Arc::clone(&grant.customer), Arc::clone(&grant.service));
                let entry = self.accounts.get_mut(&key);
                entry.is_some_and(|entry| entry.account.borrow(from, grant, now))
            }
        }
    }

    /// Advances time and drops idle accounts; must be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.observe(now);
        self.accounts.retain(|_, entry| {
            now < entry.account.used_at + IDLE_RETENTION || !entry.account.is_idle(now)
        });
    }

    /// Takes the messages queued for sending since the last call.
    pub fn drain(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns whether all shares under the current host list are in use.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.lookups.current.is_some()
            && now >= self.suspended_until
            && self.lookups.earlier.iter().all(|(_, until)| *until <= now)
    }

    /// Returns the number of accounts in memory.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account is in memory.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Detects a pause of the process and suspends its shares, as other hosts may use them by now.
    fn observe(&mut self, now: Duration) {
        let paused = now > self.last_seen + PAUSE_LIMIT;
        self.last_seen = self.last_seen.max(now);
        if paused {
            self.suspended_until = now + self.handover;
            self.shares_in_use_since = self.suspended_until;
            for entry in self.accounts.values_mut() {
                entry.account.suspend(self.suspended_until, now);
            }
        }
        while let Some((_, until)) = self.lookups.earlier.first().filter(|(_, at)| *at <= now) {
            self.shares_in_use_since = self.shares_in_use_since.max(*until);
            self.lookups.earlier.remove(0);
        }
    }

    /// Creates the account if there is none, applies its current allowance, and returns its key.
    fn ensure_account(
        &mut self,
        customer: &str,
        service: &str,
        allowance: &Allowance,
        now: Duration,
    ) -> (Arc<str>, Arc<str>) {
        let key: (Arc<str>, Arc<str>) = (customer.into(), service.into());
        match self.accounts.get_mut(&key) {
            Some(entry) if entry.allowance != *allowance => {
                entry.allowance = *allowance;
                self.update_allowance(&key, now);
            }
            Some(_) => {}
            None => {
                let entry = self.new_entry(customer, service, allowance, now);
                self.accounts.insert(key.clone(), entry);
            }
        }
        key
    }

    fn new_entry(
        &self,
        customer: &str,
        service: &str,
        allowance: &Allowance,
        now: Duration,
    ) -> Entry {
        let owners = self.lookups.owners(customer, service);
        let share = share_of(&self.host, &owners, allowance);
        let mut least = share;
        for (lookup, _) in &self.lookups.earlier {
            least = least.min(share_of(&self.host, &lookup(customer, service), allowance));
        }
        let suspended = now < self.suspended_until;
        let used = now.saturating_sub(self.shares_in_use_since).as_secs_f64();
        let tokens = if suspended { 0.0 } else { (least.rate * used).min(least.burst) };
        let mut account =
            Account::new(if suspended { Share::default() } else { least }, tokens, now);
        let share_at = self.lookups.earlier.last().map_or(Duration::ZERO, |(_, at)| *at);
        let share_at = share_at.max(self.suspended_until);
        if share_at > now {
            account.schedule_share(share, share_at, now);
        }
        Entry { account, epoch: self.lookups.epoch, allowance: *allowance, owners }
    }

    /// Recomputes the share of an account after a change of the host list.
    fn update_owners(&mut self, key: &(Arc<str>, Arc<str>), now: Duration) {
        let suspended_until = self.suspended_until;
        let owners = self.lookups.owners(&key.0, &key.1);
        let Some(entry) = self.accounts.get_mut(key) else { return };
        if entry.epoch == self.lookups.epoch {
            return;
        }
        entry.epoch = self.lookups.epoch;
        if entry.owners == owners {
            return;
        }
        let share = share_of(&self.host, &owners, &entry.allowance);
        entry.owners = owners;
        entry.account.schedule_share(share, (now + self.handover).max(suspended_until), now);
    }

    /// Recomputes the share of an account after a change of its allowance.
    fn update_allowance(&mut self, key: &(Arc<str>, Arc<str>), now: Duration) {
        let Some(entry) = self.accounts.get_mut(key) else { return };
        let share = share_of(&self.host, &entry.owners, &entry.allowance);
        entry.account.revise_share(share, now);
    }

    fn lend(
        &mut self,
        from: &str,
        request: &LoanRequest,
        allowance: &Allowance,
        now: Duration,
    ) -> bool {
        let key = self.ensure_account(&request.customer, &request.service, allowance, now);
        let from: Arc<str> = from.into();
        let entry = self.accounts.get_mut(&key).expect("the account was just created or found");
        let lent_before = entry.account.lends_to(&from);
        let grant = entry.account.lend(&from, request, now);
        let made = !lent_before && grant.lent != Share::default();
        self.outbox.push(Outgoing { to: from, message: LoanMessage::Grant(grant) });
        made
    }

    /// Requests loans from the other owners for what is missing, and renews those still needed.
    fn request_loans(&mut self, key: &(Arc<str>, Arc<str>), now: Duration) {
        let entry = self.accounts.get_mut(key).expect("the account was just created or found");
        let account = &mut entry.account;
        let whole = Share { rate: entry.allowance.rate, burst: entry.allowance.burst };
        let (wanted, usable) = (account.wanted(whole), account.usable());
        let others: SmallVec<[&Arc<str>; 4]> =
            entry.owners.iter().filter(|owner| **owner != self.host).collect();
        account
            .lenders
            .retain(|lender| lender.loan_end().is_some() || others.contains(&&lender.host));
        let missing = wanted.less(usable);
        let lacks = missing.rate > 0.0 || usable.burst < 1.0;
        let more = Share { rate: missing.rate / others.len().max(1) as f64, ..missing };
        let mut excess = usable.less(wanted);
        for owner in others {
            let lender = account.lender(owner);
            let renew = lender.loan_end().is_some_and(|until| until < now + RENEW_AHEAD);
            if now < lender.next_request_at || !(lacks || renew) {
                continue;
            }
            let want = lender.loan.plus(more).less(excess);
            excess = excess.less(lender.loan);
            if want.rate <= 0.0 || want.burst <= 0.0 {
                continue;
            }
            lender.record_request(self.next_id, now);
            lender.next_request_at = now + LOAN_REQUEST_INTERVAL;
            let (customer, service) = key.clone();
            let request = LoanRequest { id: self.next_id, customer, service, want };
            self.next_id = self.next_id.wrapping_add(1);
            let message = LoanMessage::Request(request);
            self.outbox.push(Outgoing { to: Arc::clone(owner), message });
        }
    }
}

impl OwnerLookups {
    fn owners(&self, customer: &str, service: &str) -> Owners {
        self.current.as_ref().map_or_else(Owners::new, |lookup| lookup(customer, service))
    }
}

impl Debug for RateLimiter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RateLimiter")
            .field("host", &self.host)
            .field("accounts", &self.accounts.len())
            .finish_non_exhaustive()
    }
}

fn share_of(host: &str, owners: &[Arc<str>], allowance: &Allowance) -> Share {
    match owners.iter().position(|owner| &**owner == host) {
        Some(rank) => Share::of(allowance, rank, owners.len()),
        None => Share::default(),
    }
}
