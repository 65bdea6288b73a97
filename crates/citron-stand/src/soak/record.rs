//! What callers and targets saw in a run, and what was done to the system meanwhile.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::gateway::target::Seen;

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The caller's id of it.
    pub id: String,
    /// Method, path and protocol, as a target must see them.
    pub first_line: String,
    /// The body.
    pub body: String,
    /// Whether it must not run twice.
    pub is_order: bool,
    /// The gateway it was sent to.
    pub gateway: usize,
    /// When its last byte was sent.
    pub at: Instant,
    /// The time that the caller gave, in milliseconds.
    pub given_ms: u64,
    /// The time after which its answer is late, in milliseconds: answers go out in order, so that
    /// it may wait for those to requests sent ahead on its connection, which have more time.
    pub answer_ms: u64,
    /// What became of it, once that is known.
    pub end: Option<(Instant, End)>,
}

/// What became of a request.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum End {
    /// It was answered.
    Answered(Answered),
    /// The connection ended without an answer.
    Closed,
    /// No answer came long after its time.
    Silent,
    /// Bytes came that are no answer.
    Unreadable,
    /// The caller closed the connection first.
    Left,
    /// It was sent behind an answer that closed the connection.
    Behind,
}

/// An answer as far as the promises speak of it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Answered {
    /// The status.
    pub status: u16,
    /// The id that the answer names.
    pub id: Option<String>,
    /// Whether a target signed it.
    pub is_signed: bool,
    /// Whether it says when to come back.
    pub has_return_time: bool,
    /// Whether the body was whole by its framing.
    pub is_whole: bool,
    /// The body.
    pub body: String,
}

/// A request as a target saw it.
#[derive(Debug, Clone)]
pub struct Run {
    /// The target.
    pub target: String,
    /// Its service.
    pub service: String,
    /// The request.
    pub seen: Seen,
    /// When its connection closed while the target was at work.
    pub left_at: Option<Instant>,
}

/// A request that a target rejected without running it.
#[derive(Debug, Clone)]
pub struct Rejection {
    /// The target's service.
    pub service: String,
    /// The caller's id of the request.
    pub id: String,
    /// When the target read it.
    pub at: Instant,
}

/// A span in which a gateway, or all of them, cannot be held to promises with a time.
#[derive(Debug, Copy, Clone)]
pub struct Trouble {
    /// The gateway; all of them if absent.
    pub gateway: Option<usize>,
    /// From when.
    pub from: Instant,
    /// Until when; not over yet if absent.
    pub until: Option<Instant>,
    /// What it is.
    pub what: What,
}

/// What a trouble is.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum What {
    /// A stop or reload that the gateway was told of, which must cut nothing.
    Planned,
    /// The process is killed or paused.
    Process,
    /// The store, or the way to it, fails.
    Store,
    /// The harness itself stood still, so that its times are not those of the system.
    Harness,
}

impl What {
    /// Returns true if a gateway may have stood still, or cannot be told from one that did.
    pub fn is_standstill(self) -> bool {
        matches!(self, Self::Process | Self::Harness)
    }
}

/// A version of the configuration.
#[derive(Debug, Clone)]
pub struct Version {
    /// The service that each route goes to, by the first part of its path.
    pub services: BTreeMap<String, String>,
    /// When the store acknowledged it.
    pub at: Instant,
}

/// Everything that the promises are judged by.
#[derive(Debug, Default, Clone)]
pub struct Record {
    /// The requests.
    pub sent: Vec<Sent>,
    /// What the targets ran.
    pub runs: Vec<Run>,
    /// What the targets rejected.
    pub rejections: Vec<Rejection>,
    /// The versions of the configuration, oldest first.
    pub versions: Vec<Version>,
    /// When each target that leaves was acknowledged to leave.
    pub leaving: BTreeMap<String, Instant>,
    /// The troubles.
    pub troubles: Vec<Trouble>,
    /// Spans in which a target or the link to it misbehaved.
    pub target_troubles: Vec<(String, Instant, Option<Instant>)>,
    /// When each gateway's processes started.
    pub starts: Vec<(usize, Instant)>,
    /// Faults that the harness itself saw, such as a process that ended by itself.
    pub faults: Vec<String>,
}

impl Record {
    /// Returns true if a trouble that `counts` touches the gateway between two moments.
    pub fn is_troubled(
        &self,
        gateway: usize,
        from: Instant,
        until: Instant,
        counts: impl Fn(What) -> bool,
    ) -> bool {
        self.troubles.iter().any(|trouble| {
            trouble.gateway.is_none_or(|g| g == gateway)
                && counts(trouble.what)
                && trouble.from <= until
                && trouble.until.is_none_or(|end| end >= from)
        })
    }

    /// Returns the service that a version sends a request to, empty if it has none.
    pub fn service(&self, sent: &Sent, version: usize) -> &str {
        let path = sent.first_line.split(' ').nth(1).unwrap_or_default();
        let route = path.split('/').nth(1).unwrap_or_default();
        self.versions[version].services.get(route).map_or("", String::as_str)
    }

    /// Returns true if a target or the link to it misbehaved between two moments.
    pub fn is_target_troubled(&self, target: &str, from: Instant, until: Instant) -> bool {
        self.target_troubles.iter().any(|(id, begin, end)| {
            id == target && *begin <= until && end.is_none_or(|end| end >= from)
        })
    }
}
