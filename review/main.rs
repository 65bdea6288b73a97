//! Plays one case of the review: `stand CASE RECORD`.
//!
//! `TROUBLE=0` in the environment leaves out the disturbance. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod gateway;
mod http;
mod moved;
mod pipeline;
mod record;
mod refusal;
mod requester;
mod stop;
mod store;
mod storm;
mod uploads;
mod upstream;
mod world;

use std::{process::ExitCode, sync::Arc};

use record::Record;

/// Whether the rule of a case held.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Verdict {
    /// It held.
    Held,
    /// It was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(path).map(Arc::new) else {
        eprintln!("cannot create {path}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, disturbance {trouble}"));
    let verdict = match case.as_str() {
        "moved" => moved::run(&record, trouble),
        "pipeline" => pipeline::run(&record, trouble),
        "refusal" => refusal::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "storm" => storm::run(&record, trouble),
        "uploads" => uploads::run(&record, trouble),
        _ => None,
    };
    match verdict {
        Some(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Some(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        None => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
