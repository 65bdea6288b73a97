//! Outages of the store, and until when entries that vanish around one are kept.
//!
//! Targets that cannot reach the store lose their entries, which come back soon after the outage.
//! Such an entry says nothing about its target. An interruption that only this gateway sees, or
//! that is too short for an entry to lapse, is not an outage: an entry that vanishes then means
//! that its target has left.

use std::time::Duration;

/// The minimum duration of an outage. Entries lapse only after several missed heartbeats.
const OUTAGE_MIN: Duration = Duration::from_secs(1);
/// How long an entry that vanished around an outage is kept after the store's return.
const LAPSED_GRACE: Duration = Duration::from_secs(2);
/// How much later than the loss of this gateway's own link a peer must have received a response, so
/// that the delay of its report cannot make an earlier response look later.
const REPORT_DELAY_MAX: Duration = Duration::from_millis(500);

/// A span in which the store responded to a gateway, without an outage in between.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Contact {
    /// When the span began.
    pub since: Duration,
    /// When the latest response arrived.
    pub last: Duration,
}

/// A gateway's own link to the store, over all its calls.
#[derive(Debug, Default)]
pub struct Link {
    /// The current contact, or the last one during an outage; `None` before the first response.
    contact: Option<Contact>,
    /// Since when a response has been due, if the latest call failed.
    due_since: Option<Duration>,
    /// When the last outage began; the process's start before the first response.
    lost_at: Duration,
}

impl Link {
    /// Records a response; returns when the link was lost if the response ends an outage.
    pub fn record_response(&mut self, now: Duration) -> Option<Duration> {
        let was_out = self.is_out(now);
        let due_since = self.due_since.take();
        if !was_out && let Some(contact) = &mut self.contact {
            contact.last = now;
            return None;
        }
        let is_first = self.contact.replace(Contact { since: now, last: now }).is_none();
        if is_first {
            return None;
        }
        self.lost_at = due_since.unwrap_or(now);
        Some(self.lost_at)
    }

    /// Records a call without a response, which was due at `due`.
    pub fn record_failure(&mut self, due: Duration) {
        let last = self.contact.map_or(Duration::ZERO, |contact| contact.last);
        self.due_since.get_or_insert(due.max(last));
    }

    /// Returns the current contact, `None` during an outage and before the first response.
    pub fn contact(&self, now: Duration) -> Option<Contact> {
        self.contact.filter(|_| !self.is_out(now))
    }

    /// Returns how long a response has been due, zero if the latest call was successful.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.due_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns until when entries that vanish are kept, [`Duration::MAX`] during an outage.
    ///
    /// `peers` are the contacts that the other gateways reported. The store has returned as soon
    /// as it responds to any gateway, and a peer to which it responded while this gateway's link
    /// was lost shows that only the link was.
    pub fn keep_until(&self, peers: impl Iterator<Item = Contact>, now: Duration) -> Duration {
        let lost_at = match (self.contact, self.due_since) {
            (Some(_), Some(since)) if self.is_out(now) => since,
            _ => self.lost_at,
        };
        let witnesses = peers.filter(|peer| peer.last > lost_at + REPORT_DELAY_MAX);
        let returned_at = witnesses.chain(self.contact(now)).map(|contact| contact.since).min();
        returned_at.map_or(Duration::MAX, |at| at + LAPSED_GRACE)
    }

    fn is_out(&self, now: Duration) -> bool {
        self.contact.is_none() || self.silent_for(now) >= OUTAGE_MIN
    }
}
