//! Leases, each backed by an object on the platform.
//!
//! The object contains a term number that grows with each change of the holder. The holder measures
//! the lease duration from before it sent a renewal, other members from after they read one, each
//! on its own clock, so that the holder stops before others may take over. What the holder writes
//! is conditional on versions that it read under its term, so that the writes of a holder that was
//! paused are rejected.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long the holder may act after it sent a renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// How much longer other members wait before they take over, which covers clocks that run at
/// different rates.
pub const TAKEOVER_MARGIN: Duration = Duration::from_secs(2);
/// The time between two renewals by the holder, or two reads by other members.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// The stored form of a lease.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Counts the changes of the holder.
    pub term: u64,
    /// The host that holds the lease, empty after its release.
    pub holder: String,
    /// Counts renewals within the term, so that each one writes a new value.
    pub renewal: u64,
}

/// A request to the platform.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Request {
    /// Read the lease's object.
    Read,
    /// Write the lease's object, on condition of its version.
    Write {
        /// The new value of the object.
        record: Record,
        /// The version that the object must have; `None` if it must not exist.
        expect: Option<u64>,
    },
}

/// The response to a request.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Response {
    /// The object as read, `None` if it does not exist.
    Read(Option<(u64, Record)>),
    /// The write took effect and gave the object this version.
    Written(u64),
    /// The condition did not hold, the response was lost, or the platform is unreachable.
    Failed,
}

/// Permission to act under the lease for a limited time.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Permit {
    /// The term of the lease under which to act.
    pub term: u64,
    /// When the holder must stop acting.
    pub until: Duration,
}

/// A lease as seen by one member.
#[derive(Debug, Clone)]
pub struct Lease {
    host: String,
    permit: Option<Permit>,
    /// The object's version and record as last observed, and when this version was first observed.
    observed: Option<(u64, Record, Duration)>,
    /// The highest term that was observed or written. A platform that came back from an older copy
    /// shows a lower one.
    highest_term: u64,
    /// When the request in flight was sent, and the record it writes, if it is a write.
    pending: Option<(Duration, Option<Record>)>,
    next_request_at: Duration,
}

impl Lease {
    /// Creates a lease that `host` does not hold.
    pub fn new(host: &str) -> Self {
        Self {
            host: host.to_owned(),
            permit: None,
            observed: None,
            highest_term: 0,
            pending: None,
            next_request_at: Duration::ZERO,
        }
    }

    /// Returns the permission to act, if the lease is held at `now`.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        self.permit.filter(|permit| now < permit.until)
    }

    /// Advances time and returns the request to send, if any; at most one is in flight.
    pub fn tick(&mut self, now: Duration) -> Option<Request> {
        if self.permit.is_some_and(|permit| now >= permit.until) {
            self.permit = None;
        }
        if self.pending.is_some() || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + RENEWAL_INTERVAL;
        let Some((version, record, since)) = self.observed.clone() else {
            self.pending = Some((now, None));
            return Some(Request::Read);
        };
        if let Some(permit) = self.permit(now) {
            assert_eq!(record.term, permit.term, "a holder must renew its own term");
            let renewal = record.renewal + 1;
            return Some(self.write(Record { renewal, ..record }, version, now));
        }
        let free = record.holder.is_empty() || now >= since + LEASE_DURATION + TAKEOVER_MARGIN;
        if !free {
            self.pending = Some((now, None));
            return Some(Request::Read);
        }
        let term = record.term.max(self.highest_term) + 1;
        let record = Record { term, holder: self.host.clone(), renewal: 0 };
        Some(self.write(record, version, now))
    }

    /// Handles the response to the request in flight.
    pub fn handle_response(&mut self, response: Response, now: Duration) {
        let (sent_at, written) =
            self.pending.take().expect("a response arrived, but no request is in flight");
        match (response, written) {
            (Response::Read(found), _) => {
                self.observe(found, now);
                if self.observed.as_ref().is_some_and(|(_, record, _)| record.holder.is_empty()) {
                    self.next_request_at = now;
                }
            }
            (Response::Written(version), Some(record)) => {
                let until = sent_at + LEASE_DURATION;
                if let Some(current) = self.permit {
                    assert!(record.term >= current.term, "the term of a lease must not decrease");
                }
                let holds = record.holder == self.host && now < until;
                self.permit = holds.then_some(Permit { term: record.term, until });
                self.highest_term = self.highest_term.max(record.term);
                self.observed = Some((version, record, now));
            }
            (Response::Written(_), None) => {
                panic!("a write was confirmed, but the request in flight is a read")
            }
            // After a failed write, the object is read again before the next write; the permit
            // expires on its own.
            (Response::Failed, written) => {
                if written.is_some() {
                    self.next_request_at = now;
                    self.observed = None;
                }
            }
        }
    }

    /// Releases the lease, if it is held and no request is in flight.
    pub fn release(&mut self, now: Duration) -> Option<Request> {
        let permit = self.permit(now).filter(|_| self.pending.is_none())?;
        self.permit = None;
        let (version, record, _) = self.observed.clone()?;
        assert_eq!(record.term, permit.term, "a holder must release its own term");
        let record = Record { holder: String::new(), renewal: record.renewal + 1, ..record };
        Some(self.write(record, version, now))
    }

    fn observe(&mut self, found: Option<(u64, Record)>, now: Duration) {
        let (version, record) = found.unwrap_or_default();
        self.highest_term = self.highest_term.max(record.term);
        let lost = self.permit.is_some_and(|permit| permit.term != record.term);
        if lost {
            self.permit = None;
        }
        match &self.observed {
            // The wait for a takeover counts from when this version was first observed.
            Some((known, ..)) if *known == version => {}
            _ => self.observed = Some((version, record, now)),
        }
    }

    fn write(&mut self, record: Record, version: u64, now: Duration) -> Request {
        self.pending = Some((now, Some(record.clone())));
        Request::Write { record, expect: (version > 0).then_some(version) }
    }
}
