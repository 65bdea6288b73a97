//! The commands that edit the policy.

use citron::policy::{
    Edit,
    edit::{Change, Outcome, Refusal},
};
use rand::Rng;
use serde_json::json;

use super::{Report, platform, read_lists};
use crate::{Code, Settings, operate::drive, setting::Lists};

/// Replaces the policy by the two lists.
pub(super) async fn apply(
    settings: &Settings,
    lists: &Lists,
    author: &str,
    base: Option<u64>,
) -> Result<Report, Report> {
    let policy = read_lists(lists)?;
    run_edit(settings, author, Change::Apply(policy), base, "the lists are").await
}

/// Hands the edit right over to another operator.
pub(super) async fn hand_over(
    settings: &Settings,
    author: &str,
    next: &str,
) -> Result<Report, Report> {
    let change = Change::HandOver { next: next.to_owned() };
    run_edit(settings, author, change, None, &format!("{next} holds the final say as")).await
}

/// Deletes shards that the policy no longer names.
pub(super) async fn sweep(settings: &Settings, author: &str) -> Result<Report, Report> {
    run_edit(settings, author, Change::CollectGarbage, None, "unused parts are deleted as of").await
}

async fn run_edit(
    settings: &Settings,
    author: &str,
    change: Change,
    base: Option<u64>,
    success_prefix: &str,
) -> Result<Report, Report> {
    let id = format!("{author}-{:016x}", rand::rng().random::<u64>());
    let mut edit = Edit::new(&id, author, change, base).map_err(|refusal| refused(&refusal))?;
    let outcome = drive(platform(settings)?, &mut edit).await.map_err(|error| {
        // The platform refused a call that the edit needs.
        Report::fail(Code::Failed, format!("edit {id}: {error}"))
    })?;
    match outcome {
        Outcome::Accepted { revision } => Ok(Report::done(
            format!("{success_prefix} revision {revision}, edit {id}\n"),
            &json!({"result": "accepted", "revision": revision, "edit": id}),
        )),
        Outcome::Unchanged { revision } => Ok(Report::done(
            format!("the lists equal revision {revision}; nothing was written\n"),
            &json!({"result": "unchanged", "revision": revision}),
        )),
        Outcome::Refused(refusal) => Err(refused(&refusal)),
        Outcome::Unreachable => Err(Report::fail(
            Code::Unreachable,
            "the platform gave no answer; nothing took effect, so run the command again later",
        )),
        Outcome::Undecided { id, base } => Err(undecided(&id, base)),
    }
}

fn refused(refusal: &Refusal) -> Report {
    let code = match refusal {
        Refusal::InvalidLists(_) | Refusal::ShardTooLarge { .. } => Code::BadLists,
        Refusal::InvalidHolder { .. } | Refusal::SameHolder { .. } => Code::Usage,
        _ => Code::Refused,
    };
    Report::fail(code, refusal)
}

fn undecided(id: &str, base: u64) -> Report {
    let message = format!(
        "the answer was lost and the edit may have taken effect; find out with: citronctl status --edit {id} --base {base}"
    );
    let mut report = Report::fail(Code::Undecided, message);
    report.json["edit"] = id.into();
    report.json["base"] = base.into();
    report
}
