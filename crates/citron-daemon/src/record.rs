//! Recording of the events of a process.

use std::{collections::BTreeMap, sync::Arc};

use citron::{
    event::{Event, Kind, Ring},
    hlc::{self, Stamp},
};
use parking_lot::Mutex;

use crate::Clock;

/// The number of recent events that are kept in memory.
const EVENT_CAPACITY: usize = 8192;

/// Timestamps and logs events and keeps the recent ones; clones share their state.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    host: String,
    program: &'static str,
    clock: Clock,
    hybrid_clock: Mutex<hlc::Clock>,
    ring: Mutex<Ring>,
}

impl Recorder {
    /// Creates a recorder without events.
    pub fn open(host: &str, program: &'static str, clock: Clock) -> Self {
        Self {
            shared: Arc::new(Shared {
                host: host.to_owned(),
                program,
                clock,
                hybrid_clock: Mutex::default(),
                ring: Mutex::new(Ring::new(EVENT_CAPACITY)),
            }),
        }
    }

    /// Logs an event and keeps it.
    pub fn record(&self, kind: Kind, subject: &str, fields: &[(&str, &str)]) {
        let event = Event {
            stamp: self.stamp(),
            host: self.shared.host.clone(),
            program: self.shared.program.to_owned(),
            kind,
            subject: subject.to_owned(),
            fields: fields
                .iter()
                .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
                .collect::<BTreeMap<_, _>>(),
        };
        log::info!("{kind} {subject} {:?}", event.fields);
        self.shared.ring.lock().push(event);
    }

    /// Advances the hybrid logical clock and returns its reading, for an outgoing message.
    pub fn stamp(&self) -> Stamp {
        self.shared.hybrid_clock.lock().tick(self.shared.clock.wall_ms())
    }

    /// Merges the clock reading of a received message into the hybrid logical clock.
    pub fn observe(&self, stamp: Stamp) {
        self.shared.hybrid_clock.lock().observe(self.shared.clock.wall_ms(), stamp);
    }

    /// Returns the events later than `after`, oldest first.
    pub fn since(&self, after: Stamp) -> Vec<Event> {
        self.shared.ring.lock().since(after)
    }

    /// Returns the host of this process.
    pub fn host(&self) -> &str {
        &self.shared.host
    }

    /// Returns the clock of this process.
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }
}
