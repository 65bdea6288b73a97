//! Shows the log lines that explain one request.

use std::{fs, path::PathBuf};

use serde_json::json;

use super::Report;
use crate::{Code, explain};

/// Reads logs of gateways and shows the lines that explain a request.
pub(super) fn show(id: &str, logs: &[PathBuf]) -> Result<Report, Report> {
    let mut text = String::new();
    for path in logs {
        // A log may be cut off in the middle of a character.
        let bytes = fs::read(path).map_err(|error| {
            Report::fail(Code::BadLists, format!("cannot read {}: {error}", path.display()))
        })?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let lines = explain::explain(id, &text);
    if lines.is_empty() {
        let problem = format!(
            "no line names request {id}; give the logs of all hosts, and look there for event=log-lines-dropped"
        );
        return Err(Report::fail(Code::Failed, problem));
    }
    let mark = |is_own| if is_own { "*" } else { " " };
    let shown = lines.iter().map(|line| format!("{} {}\n", mark(line.is_own), line.text)).collect();
    Ok(Report::done(shown, &json!({"request": id, "lines": lines})))
}
