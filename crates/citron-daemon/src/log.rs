//! Structured logs on standard error.

use std::io;

use log::{Level, LevelFilter};
use serde_json::json;

use crate::Clock;

/// Logs records of at least `level` to standard error, one JSON object per line.
///
/// # Errors
/// Fails if a logger is already set.
pub fn init(
    level: LevelFilter,
    host: &str,
    program: &'static str,
    clock: Clock,
) -> Result<(), log::SetLoggerError> {
    let host = host.to_owned();
    fern::Dispatch::new()
        .level(level)
        .filter(|meta| match meta.target() {
            target if target.starts_with("citron") => true,
            // Rocket reports each launch as a warning.
            target if target.starts_with("rocket") => meta.level() <= Level::Error,
            _ => meta.level() <= Level::Warn,
        })
        .format(move |out, message, record| {
            let line = json!({
                "wall_ms": clock.wall_ms(),
                "level": record.level().as_str(),
                "host": host,
                "program": program,
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()
}
