//! Selects the lines of the gateways' logs that explain one request.

use std::collections::BTreeSet;

use serde::Serialize;

/// How long before the request's first line its targets' lines are included, milliseconds.
const TARGET_LOOKBACK_MS: u64 = 3_000;
/// How long before the request's first line its hosts' lines are included, milliseconds.
const HOST_LOOKBACK_MS: u64 = 15_000;
/// The events that describe a host's state.
const HOST_EVENTS: [&str; 14] = [
    "starting",
    "started",
    "leaving",
    "stopped",
    "reloaded",
    "reload-failed",
    "routes-taken",
    "routes-rejected",
    "routes-complete",
    "routes-part-unreadable",
    "store-lost",
    "store-regained",
    "link-regained",
    "log-lines-dropped",
];

/// A line that explains a request.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize)]
pub struct Line {
    /// When it was written, by the clock of its host.
    pub wall_ms: u64,
    /// Whether it carries the request's id.
    pub is_own: bool,
    /// The line.
    pub text: String,
}

/// Returns the lines of a request, of its targets and of its hosts, sorted by time.
///
/// Each line is placed by the clock of its host; the clocks of hosts may differ.
pub fn explain(id: &str, text: &str) -> Vec<Line> {
    let own: Vec<&str> = text.lines().filter(|line| field(line, "id") == Some(id)).collect();
    let times: Vec<u64> = own.iter().filter_map(|line| wall_ms(line)).collect();
    let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
        return Vec::new();
    };
    let values = |key| own.iter().filter_map(|line| field(line, key)).collect::<BTreeSet<_>>();
    let (targets, hosts) = (values("target"), values("host"));
    let is_within = |at: u64, lookback: u64| at + lookback >= *first && at <= *last;
    let explains = |line: &str, at: u64| {
        let event = field(line, "event").unwrap_or_default();
        let is_host = field(line, "host").is_some_and(|host| hosts.contains(host));
        match event {
            "belief" => {
                let target = field(line, "target").unwrap_or_default();
                targets.contains(target) && is_within(at, TARGET_LOOKBACK_MS)
            }
            "target-held" | "target-gone" => {
                let target = field(line, "target").unwrap_or_default();
                is_host && targets.contains(target) && is_within(at, HOST_LOOKBACK_MS)
            }
            "targets-changed" => {
                let changes = field(line, "changes").unwrap_or_default();
                let mut names = changes.split(',').filter_map(|change| change.split(':').next());
                is_host
                    && names.any(|name| targets.contains(name))
                    && is_within(at, HOST_LOOKBACK_MS)
            }
            _ => is_host && HOST_EVENTS.contains(&event) && is_within(at, HOST_LOOKBACK_MS),
        }
    };
    let mut lines: Vec<Line> = text
        .lines()
        .filter_map(|line| {
            let at = wall_ms(line)?;
            let is_own = field(line, "id") == Some(id);
            let text = line.to_owned();
            (is_own || explains(line, at)).then_some(Line { wall_ms: at, is_own, text })
        })
        .collect();
    // Stable, so that the lines of one host and millisecond keep their order.
    lines.sort_by_key(|line| line.wall_ms);
    lines
}

/// Returns the value of a key of a line, without its quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let start = line.match_indices(key).map(|(at, _)| at).find(|at| {
        let begins = *at == 0 || line.as_bytes()[at - 1] == b' ';
        begins && line[at + key.len()..].starts_with('=')
    })?;
    let value = &line[start + key.len() + 1..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split(' ').next(),
    }
}

fn wall_ms(line: &str) -> Option<u64> {
    field(line, "wall_ms")?.parse().ok()
}
