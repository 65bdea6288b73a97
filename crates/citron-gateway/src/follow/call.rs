//! One call to the store that lists a kind of objects or watches it, and applies what it returns.

use std::time::Duration;

use citron::{
    catalog::{Snapshot, Source},
    freshness,
    position::Position,
    route::Unreadable,
};
use citron_adapter::{
    pages::Pages,
    routes,
    store::{Error, Event, Object, Recency, Store, WatchResult},
    targets,
};
use citron_daemon::transfer::Progress;
use strum::IntoStaticStr;
use tokio::sync::Notify;

use crate::shared::Shared;

/// The kind of object that a call reads.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Subject {
    Routes,
    Targets,
}

impl Subject {
    pub fn kind(self) -> &'static str {
        match self {
            Self::Routes => routes::KIND,
            Self::Targets => targets::KIND,
        }
    }

    /// Returns what a response about these objects confirms.
    pub fn confirmed(self) -> freshness::Subject {
        match self {
            Self::Routes => freshness::Subject::Routes,
            Self::Targets => freshness::Subject::Targets,
        }
    }

    /// Returns what wakes the follower when a peer is ahead of its watch.
    pub fn overdue(self, shared: &Shared) -> &Notify {
        match self {
            Self::Routes => &shared.routes_overdue,
            Self::Targets => &shared.targets_overdue,
        }
    }
}

/// What a call asks of the store.
#[derive(Debug, Copy, Clone, Eq, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// All objects.
    List,
    /// Changes, as soon as there are any.
    Watch,
    /// Changes within a short time.
    Poll,
    /// Changes up to now.
    Check,
    /// To store this gateway's own entry.
    Register,
}

/// A call that ended.
pub struct Call {
    pub result: Result<Response, Error>,
    pub begun_at: Duration,
    /// How long it was to wait for changes.
    pub wait: Duration,
    /// What it asked for.
    pub kind: CallKind,
    /// What arrived of the response.
    pub progress: Progress,
}

/// A response, whose content was applied.
pub struct Response {
    /// The position from which the next watch continues, `None` if the store has no history since
    /// the last one.
    pub cursor: Option<Position>,
    /// Whether it brought objects or changes.
    pub has_news: bool,
    /// Whether it shows all that was written before the call.
    pub is_current: bool,
}

/// What a call asks for.
#[derive(Debug, Clone)]
pub struct Query {
    /// What kind of call it is.
    pub kind: CallKind,
    /// The objects that it reads.
    pub subject: Subject,
    /// The position after which changes are wanted, `None` for a list of all objects.
    pub cursor: Option<Position>,
    /// How long to wait for changes.
    pub wait: Duration,
    /// The size of changes, in bytes, from which a list is preferred.
    pub history_limit: usize,
    /// How recent a list must be.
    pub recency: Recency,
    /// What earlier calls left of a list.
    pub pages: Pages,
}

/// Lists the objects, or waits for changes; `progress` counts what has arrived of them.
pub async fn make(shared: &Shared, store: &Store, query: Query, progress: Progress) -> Call {
    let begun_at = shared.clock.now();
    let result = match query.cursor {
        None => list(shared, store, &query, &progress).await,
        Some(position) => watch(shared, store, &query, position, &progress).await,
    };
    Call { result, begun_at, wait: query.wait, kind: query.kind, progress }
}

async fn list(
    shared: &Shared,
    store: &Store,
    query: &Query,
    progress: &Progress,
) -> Result<Response, Error> {
    let subject = query.subject;
    let begun_at = shared.clock.now();
    let list = store.list_at(subject.kind(), query.recency, &query.pages, progress).await?;
    shared.record_era(list.position.era);
    match subject {
        Subject::Routes => match list.objects.iter().find(|object| object.name == routes::NAME) {
            Some(object) => apply_routes(shared, list.position, object),
            None if list.unnamed > 0 => shared.miss_routes(
                list.position,
                &Unreadable {
                    part: "the objects".to_owned(),
                    reason: "have names that cannot be read".to_owned(),
                },
            ),
            None => log::warn!("event=routes-absent revision={}", list.position),
        },
        Subject::Targets => {
            let targets = targets::decode_list(&list.objects);
            shared.replace_targets(
                Snapshot { position: list.position, targets, lapsed: Vec::new() },
                Source::Store,
            );
        }
    }
    log::info!(
        "event=listed call={} recency={} revision={} objects={} took_ms={}",
        subject.kind(),
        query.recency,
        list.position,
        list.objects.len(),
        shared.clock.now().saturating_sub(begun_at).as_millis()
    );
    let is_current = query.recency == Recency::Current && !list.is_resumed;
    Ok(Response { cursor: Some(list.position), has_news: true, is_current })
}

async fn watch(
    shared: &Shared,
    store: &Store,
    query: &Query,
    position: Position,
    progress: &Progress,
) -> Result<Response, Error> {
    let Query { subject, wait, history_limit, .. } = *query;
    let kind = subject.kind();
    let changes = store.watch(kind, position, wait, history_limit, progress).await?;
    let (as_of, events) = match changes {
        WatchResult::HistoryGone => {
            log::info!("event=history-gone kind={kind} revision={position}");
            return Ok(Response { cursor: None, has_news: true, is_current: true });
        }
        WatchResult::HistoryTooLong => {
            log::info!(
                "event=history-too-long kind={kind} revision={position} limit={history_limit}"
            );
            return Ok(Response { cursor: None, has_news: true, is_current: true });
        }
        // One of them may be the configuration, which a list tells.
        WatchResult::Changes { unnamed, .. } if subject == Subject::Routes && unnamed > 0 => {
            log::warn!("event=changes-unnamed kind={kind} revision={position} changes={unnamed}");
            return Ok(Response { cursor: None, has_news: true, is_current: false });
        }
        WatchResult::Changes { as_of, events, .. } => (as_of, events),
    };
    shared.record_era(as_of.era);
    apply(shared, subject, as_of, &events);
    Ok(Response { cursor: Some(as_of), has_news: !events.is_empty(), is_current: true })
}

fn apply(shared: &Shared, subject: Subject, as_of: Position, events: &[Event]) {
    match subject {
        Subject::Routes => {
            for event in events.iter().filter(|e| e.object.name == routes::NAME && !e.deleted) {
                apply_routes(shared, as_of, &event.object);
            }
        }
        Subject::Targets if events.is_empty() => {}
        Subject::Targets => {
            // A deleted object carries its last revision before the deletion.
            let deleted = events.iter().any(|event| event.deleted);
            let newest = events.iter().map(|event| event.object.revision).max();
            let newest = newest.map_or(as_of, |revision| as_of.at(revision));
            let content = if deleted { as_of } else { newest };
            shared.apply_target_changes(content, targets::decode_events(events), Source::Store);
        }
    }
}

/// Applies the configuration as a response shows it that is complete up to `as_of`.
fn apply_routes(shared: &Shared, as_of: Position, object: &Object) {
    let position = if object.revision > 0 { as_of.at(object.revision) } else { as_of };
    shared.settle_routes(routes::decode(object), position);
}
