//! Renders the events of all processes as one time line.

use std::fmt::Write;

use citron::event::Event;

/// Renders events, one per line, with the time since the first one.
pub(crate) fn render(events: &[Event]) -> String {
    let mut text = String::new();
    let first = events.first().map_or(0, |event| event.stamp.wall_ms);
    for event in events {
        let since = event.stamp.wall_ms.saturating_sub(first) as f64 / 1e3;
        let _ = write!(
            text,
            "{since:>10.3}s +{:<3} {:<12} {:<14} {:<16} {}",
            event.stamp.logical, event.host, event.program, event.kind, event.subject
        );
        for (key, value) in &event.fields {
            let _ = write!(text, " {key}={value}");
        }
        text.push('\n');
    }
    text
}
