//! Outages of the store, and until when entries that vanish around one are kept.
//!
//! A gateway whose watch returned nothing does not know whether the store responded meanwhile. What
//! it knows then are the responses to itself and to its peers, and the gaps between them.
//!
//! Targets that cannot reach the store lose their entries, which come back soon after the outage.
//! Such an entry says nothing about its target. An interruption that only this gateway sees, or
//! that is too short for an entry to lapse, is not an outage: an entry that vanishes then means
//! that its target has left.

use std::time::Duration;

use smallvec::SmallVec;

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
    /// The era of the store. It is away for a moment before each, however short.
    pub era: u64,
    /// When the span began.
    pub since: Duration,
    /// When the latest response arrived.
    pub last: Duration,
}

/// Returns when the store last returned from a silence, given what gateways noticed; calls that were
/// begun before may never be answered.
///
/// A silence of a second or more that does not end the `contacts` of all other gateways was only of
/// the path of the one that noticed it, and so is one that lasts while another gateway had a response
/// since it began.
pub fn last_return<'a>(
    silences: impl Iterator<Item = &'a Silence>,
    contacts: &[Contact],
) -> Option<Duration> {
    let is_common = |silence: &&Silence| {
        let unanswered_at = silence.unanswered_at;
        let was_answered_until = |at: Duration| {
            contacts.iter().any(|contact| contact.since <= unanswered_at && contact.last >= at)
        };
        match silence.returned_at {
            None => !was_answered_until(unanswered_at),
            Some(returned_at) => {
                returned_at < unanswered_at + OUTAGE_MIN
                    || !was_answered_until(returned_at.saturating_sub(OUTAGE_MIN))
            }
        }
    };
    let silences: SmallVec<[&Silence; 32]> = silences.filter(is_common).collect();
    let unanswered_at = silences.iter().map(|silence| silence.unanswered_at).max()?;
    let returns = silences.iter().filter_map(|silence| silence.returned_at);
    returns.filter(|returned_at| *returned_at > unanswered_at).min()
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
    /// Whether a call was abandoned since the latest response.
    has_abandoned: bool,
    /// The latest era of the store.
    era: u64,
    /// The last silence that this gateway noticed.
    silence: Option<Silence>,
}

/// A span in which the store, or the path to it, left calls unanswered. Calls that were begun before
/// its end may never be answered.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Silence {
    /// When the latest unanswered call was begun.
    pub unanswered_at: Duration,
    /// When the first call was begun that was answered afterwards, `None` if there was none yet.
    pub returned_at: Option<Duration>,
}

impl Link {
    /// Records that the store responded in `era`, before its response is applied. If the era is a
    /// later one, the store was out, and has just returned.
    pub fn record_era(&mut self, era: u64, now: Duration) {
        if era <= self.era {
            return;
        }
        self.era = era;
        if let Some(contact) = &mut self.contact {
            *contact = Contact { era, since: now, last: now };
            self.lost_at = now;
            self.due_since = None;
        }
    }

    /// Records a response; returns when the link was lost if the response ends an outage.
    pub fn record_response(&mut self, now: Duration) -> Option<Duration> {
        let was_out = self.is_out(now);
        let due_since = self.due_since.take();
        let has_abandoned = std::mem::take(&mut self.has_abandoned);
        if !was_out && let Some(contact) = &mut self.contact {
            if has_abandoned && now.saturating_sub(contact.last) >= OUTAGE_MIN {
                contact.since = now;
                self.lost_at = now;
            }
            contact.last = now;
            return None;
        }
        let is_first =
            self.contact.replace(Contact { era: self.era, since: now, last: now }).is_none();
        if is_first {
            return None;
        }
        self.lost_at = due_since.unwrap_or(now);
        Some(self.lost_at)
    }

    /// Records that the call begun at `begun_at` is overdue and unanswered.
    pub fn record_unanswered(&mut self, begun_at: Duration) {
        let is_known = |silence: Silence| begun_at <= silence.unanswered_at;
        if !self.silence.is_some_and(is_known) {
            self.silence = Some(Silence { unanswered_at: begun_at, returned_at: None });
        }
    }

    /// Records that the call begun at `begun_at` was answered.
    pub fn record_answered(&mut self, begun_at: Duration) {
        if let Some(silence) = &mut self.silence
            && begun_at > silence.unanswered_at
        {
            silence.returned_at.get_or_insert(begun_at);
        }
    }

    /// Returns the last silence that this gateway noticed.
    pub fn silence(&self) -> Option<Silence> {
        self.silence
    }

    /// Records a call without a response, which was due at `due`.
    pub fn record_failure(&mut self, due: Duration) {
        let last = self.contact.map_or(Duration::ZERO, |contact| contact.last);
        self.due_since.get_or_insert(due.max(last));
    }

    /// Records that a call was abandoned before its response was due: nothing shows whether the
    /// store responded since the latest response.
    pub fn record_abandoned(&mut self) {
        self.has_abandoned = true;
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
        let own = self.contact(now);
        let mut contacts: SmallVec<[Contact; 32]> = peers.chain(own).collect();
        let era = contacts.iter().map(|contact| contact.era).max();
        contacts.retain(|contact| Some(contact.era) == era);
        let own = own.filter(|own| Some(own.era) == era);
        let Some(newest) = contacts.iter().max_by_key(|contact| contact.last) else {
            return Duration::MAX;
        };
        let loss = self.own_loss(*newest, now);
        let was_during_loss = |contact: &Contact| {
            loss.is_some_and(|lost_at| contact.last > lost_at + REPORT_DELAY_MAX)
        };
        if own.is_none() && !was_during_loss(newest) {
            return Duration::MAX;
        }
        let mut since = newest.since;
        // The span in which the store responded reaches back over all contacts without a gap.
        let adjoins = |contact: &&Contact, since: Duration| {
            contact.last + OUTAGE_MIN >= since || was_during_loss(contact)
        };
        while let Some(earlier) = contacts
            .iter()
            .filter(|contact| contact.since < since && adjoins(contact, since))
            .map(|contact| contact.since)
            .min()
        {
            since = earlier;
        }
        since + LAPSED_GRACE
    }

    /// Returns when this gateway's own link was lost, if that was before the span of `newest`.
    fn own_loss(&self, newest: Contact, now: Duration) -> Option<Duration> {
        match (self.contact(now), self.due_since) {
            (None, Some(since)) if self.contact.is_some() => Some(since),
            (Some(own), _) if own.last + OUTAGE_MIN < newest.since => None,
            _ => Some(self.lost_at),
        }
    }

    fn is_out(&self, now: Duration) -> bool {
        self.contact.is_none() || self.silent_for(now) >= OUTAGE_MIN
    }
}
