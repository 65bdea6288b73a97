//! The commands that call the fleet's processes.

use std::collections::BTreeSet;

use citron::event::{self, Event};
use reqwest::Method;
use serde_json::{Value, json};

use super::Report;
use crate::{
    Code, Settings,
    fleet::{Fleet, Survey},
    timeline,
};

/// The program that accepts drain requests.
const AGENT: &str = "citron-agent";

/// Asks the agent of a host to drain it.
pub(super) async fn drain(settings: &Settings, host: &str) -> Result<Report, Report> {
    let fleet = open(settings)?;
    let survey = fleet.survey(&settings.admin).await;
    let agent = survey
        .processes
        .iter()
        .find(|(_, process)| process.host == host && process.program == AGENT);
    let Some((addr, _)) = agent else {
        return Err(Report::fail(Code::Unreachable, describe_missing_agent(host, &survey)));
    };
    let _: Value = fleet
        .call(Method::POST, *addr, "/drain")
        .await
        .map_err(|problem| Report::fail(Code::Unreachable, format!("{addr}: {problem}")))?;
    Ok(Report::done(
        format!("{host} leaves; callers are no longer sent to it\n"),
        &json!({"result": "leaving", "host": host}),
    ))
}

/// Merges the events of all processes.
pub(super) async fn timeline(settings: &Settings) -> Result<Report, Report> {
    let fleet = open(settings)?;
    let survey = fleet.survey(&settings.admin).await;
    let addrs: BTreeSet<_> = survey.processes.into_keys().chain(settings.admin.clone()).collect();
    let (mut lists, mut problems) = (Vec::new(), Vec::new());
    for (addr, result) in fleet.get_all::<Vec<Event>>(addrs, "/events").await {
        match result {
            Ok(events) => lists.push(events),
            Err(problem) => problems.push(format!("{addr}: {problem}")),
        }
    }
    let has_response = !lists.is_empty();
    let events = event::merge(lists);
    let mut report = Report::done(timeline::render(&events), &events);
    if !problems.is_empty() {
        report.problem = Some(format!("the time line is not whole: {}", problems.join("; ")));
    }
    // A time line is often read after a process failed, so only the absence of every response is
    // an error.
    if !has_response {
        report.code = Code::Unreachable;
    }
    Ok(report)
}

fn describe_missing_agent(host: &str, survey: &Survey) -> String {
    let known: BTreeSet<&str> =
        survey.processes.values().map(|process| process.host.as_str()).collect();
    let known: Vec<&str> = known.into_iter().collect();
    let mut text = format!(
        "no agent of host {host:?} is known, only of {}; give the address of its agent with --admin",
        known.join(", ")
    );
    if !survey.problems.is_empty() {
        text += &format!(" (no answer: {})", survey.problems.join("; "));
    }
    text
}

fn open(settings: &Settings) -> Result<Fleet, Report> {
    Fleet::open(settings.timeout).map_err(|error| Report::fail(Code::Failed, error))
}
