//! Shows the policy, the holder of the edit right and the hosts.

use std::fmt::{self, Display, Formatter, Write};

use citron::policy::{
    Head, Policy,
    edit::{EditStatus, edit_status},
};
use citron_platform::Hosts;
use serde::Serialize;
use serde_json::{Value, json};

use super::{Report, platform};
use crate::{
    Code, Settings,
    fleet::{Fleet, Survey},
    operate::{read_head, read_policy},
};

/// The number of entries of each kind.
#[derive(Debug, Default, Copy, Clone, Serialize)]
pub(super) struct Counts {
    customers: usize,
    services: usize,
    plans: usize,
    routes: usize,
}

impl Counts {
    /// Counts the entries of a policy.
    pub(super) fn of(policy: &Policy) -> Self {
        Self {
            customers: policy.customers.len(),
            services: policy.grants.services.len(),
            plans: policy.grants.plans.len(),
            routes: policy.grants.routes.len(),
        }
    }
}

impl Display for Counts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} customers, {} services, {} plans, {} routes",
            self.customers, self.services, self.plans, self.routes
        )
    }
}

/// Shows the policy and the hosts, or whether an edit took effect.
pub(super) async fn show(
    settings: &Settings,
    edit: Option<&(String, u64)>,
) -> Result<Report, Report> {
    let client = platform(settings)?;
    if let Some((id, base)) = edit {
        let head = read_head(client).await?.map(|(_, head)| head);
        return report_edit_status(head.as_ref(), id, *base);
    }
    let replica = read_policy(client).await?;
    let hosts = client.hosts().await?;
    let survey = match Fleet::open(settings.timeout) {
        Ok(fleet) => fleet.survey(&settings.admin).await,
        Err(error) => return Err(Report::fail(Code::Failed, error)),
    };
    let empty = (Head::default(), Counts::default());
    let (head, counts) = replica
        .applied()
        .map_or(empty, |applied| (applied.head.clone(), Counts::of(&applied.policy)));
    let mut report = Report::done(
        render(&head, counts, &hosts, &survey),
        &describe(&head, counts, &hosts, &survey),
    );
    if !survey.problems.is_empty() {
        report.problem = Some(survey.problems.join("; "));
    }
    Ok(report)
}

fn report_edit_status(head: Option<&Head>, id: &str, base: u64) -> Result<Report, Report> {
    let result = |result: &str| json!({"result": result, "edit": id});
    match edit_status(head, id, base) {
        EditStatus::Accepted { revision } => Ok(Report::done(
            format!("edit {id} was accepted as revision {revision}\n"),
            &json!({"result": "accepted", "edit": id, "revision": revision}),
        )),
        EditStatus::NotAccepted => Ok(Report::done(
            format!("edit {id} was not accepted and cannot take effect any more\n"),
            &result("not-accepted"),
        )),
        EditStatus::Pending => Err(Report::fail(
            Code::Undecided,
            format!(
                "revision {base} is still in force, so a late write of edit {id} may still take effect; ask again after the next edit"
            ),
        )),
        EditStatus::IdEvicted => Err(Report::fail(
            Code::Undecided,
            format!("later edits have pushed out the id of edit {id}; compare the lists with diff"),
        )),
    }
}

fn render(head: &Head, counts: Counts, hosts: &Hosts, survey: &Survey) -> String {
    let mut text = if head.revision == 0 {
        "there is no policy yet\n".to_owned()
    } else {
        format!(
            "revision {}, term {}, the final say is held by {}\n{counts}\n",
            head.revision, head.term, head.holder
        )
    };
    if let Some(edit) = head.edits.last() {
        let _ = writeln!(text, "last edit {edit}");
    }
    let _ = writeln!(text, "host list, version {}:", hosts.version);
    for host in &hosts.hosts {
        let service = host.service.as_deref().unwrap_or("-");
        let address = host.address.as_deref().or(host.control.as_deref()).unwrap_or("-");
        let _ = writeln!(
            text,
            "  {:<20} {:<7} {:<12} {:<8} {service:<14} {address}",
            host.name, host.role, host.domain, host.state
        );
    }
    if !survey.processes.is_empty() {
        text.push_str("processes:\n");
    }
    for process in survey.processes.values() {
        let _ = writeln!(
            text,
            "  {:<20} {:<14} {:<12} revision {:<6} {}",
            process.host, process.program, process.domain, process.revision, process.admin
        );
    }
    text
}

fn describe(head: &Head, counts: Counts, hosts: &Hosts, survey: &Survey) -> Value {
    json!({
        "revision": head.revision,
        "term": head.term,
        "holder": head.holder,
        "edits": head.edits,
        "counts": counts,
        "hosts": hosts,
        "processes": survey.processes.values().collect::<Vec<_>>(),
        "problems": survey.problems,
    })
}
