//! Runs a command and formats its result.

mod edit;
mod explain;
mod host;
mod status;

use std::{fmt::Display, fs};

use citron::policy::{Diff, Policy};
use serde::Serialize;
use serde_json::json;

use crate::{Code, Command, Format, Settings, operate::read_policy, setting::Lists};

/// What a command prints and how it ended.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Output {
    /// The text for standard output.
    pub text: String,
    /// The error message for standard error.
    pub problem: Option<String>,
    /// The exit code.
    pub code: Code,
}

/// A command's result as text and as JSON.
struct Report {
    code: Code,
    text: String,
    json: serde_json::Value,
    problem: Option<String>,
}

impl Report {
    fn done(text: String, value: &impl Serialize) -> Self {
        let json = serde_json::to_value(value).expect("a report is valid JSON");
        Self { code: Code::Done, text, json, problem: None }
    }

    fn fail(code: Code, problem: impl Display) -> Self {
        let problem = format!("{problem}");
        let json = json!({"result": code.to_string(), "message": problem});
        Self { code, text: String::new(), json, problem: Some(problem) }
    }
}

impl From<citron_platform::Error> for Report {
    fn from(error: citron_platform::Error) -> Self {
        let code = match error {
            citron_platform::Error::Unreachable { .. } => Code::Unreachable,
            _ => Code::Failed,
        };
        Self::fail(code, error)
    }
}

/// Runs the command of the settings.
pub async fn run(settings: &Settings) -> Output {
    let report = match &settings.command {
        Command::Check(lists) => check(lists),
        Command::Diff(lists) => diff(settings, lists).await,
        Command::Apply { lists, author, base } => edit::apply(settings, lists, author, *base).await,
        Command::HandOver { author, next } => edit::hand_over(settings, author, next).await,
        Command::Sweep { author } => edit::sweep(settings, author).await,
        Command::Status { edit } => status::show(settings, edit.as_ref()).await,
        Command::Drain { host } => host::drain(settings, host).await,
        Command::Timeline => host::timeline(settings).await,
        Command::Explain { request, logs } => explain::show(request, logs),
    };
    let report = report.unwrap_or_else(|report| report);
    let text = match settings.output {
        Format::Text => report.text,
        Format::Json => format!("{}\n", report.json),
    };
    Output { text, problem: report.problem, code: report.code }
}

/// Reads and validates the two lists.
fn read_lists(lists: &Lists) -> Result<Policy, Report> {
    let read = |path: &std::path::Path| {
        fs::read_to_string(path).map_err(|error| {
            Report::fail(Code::BadLists, format!("cannot read {}: {error}", path.display()))
        })
    };
    let (customers, grants) = (read(&lists.customers)?, read(&lists.grants)?);
    Policy::parse(&customers, &grants).map_err(|error| Report::fail(Code::BadLists, error))
}

fn check(lists: &Lists) -> Result<Report, Report> {
    let policy = read_lists(lists)?;
    let counts = status::Counts::of(&policy);
    Ok(Report::done(format!("the lists are valid: {counts}\n"), &counts))
}

async fn diff(settings: &Settings, lists: &Lists) -> Result<Report, Report> {
    let policy = read_lists(lists)?;
    let replica = read_policy(platform(settings)?).await?;
    let empty = Policy::default();
    let before = replica.applied().map_or(&empty, |applied| &*applied.policy);
    let diff = Diff::between(before, &policy);
    let revision = replica.revision();
    let equal = diff.is_empty();
    let text = if equal {
        format!("the lists equal revision {revision}\n")
    } else {
        format!("against revision {revision}:\n{diff}")
    };
    let mut report = Report::done(text, &json!({"revision": revision, "changes": diff}));
    report.code = if equal { Code::Done } else { Code::Different };
    Ok(report)
}

/// Returns the platform's client; parsing the settings checked that it is set.
fn platform(settings: &Settings) -> Result<&citron_platform::Client, Report> {
    settings.platform.as_ref().ok_or_else(|| Report::fail(Code::Usage, "--platform is missing"))
}
