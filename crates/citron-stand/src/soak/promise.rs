//! The promises of the system, judged from what callers and targets saw.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use strum::{EnumIter, IntoStaticStr};
use tokio::time::Instant;

use super::{
    budget,
    record::{Answered, End, Record, Run, Sent, What},
    world::MAX_ATTEMPTS,
};

/// The bounds that the users' pages state for a run.
#[derive(Debug, Copy, Clone)]
pub struct Bounds {
    /// A gateway is held to promises with a time after it was undisturbed for this long.
    pub stable: Duration,
    /// No work reaches a target this long after its leaving was acknowledged.
    pub drain: Duration,
    /// An entry that vanished around an outage of the store may come back so long after it.
    pub lapse: Duration,
    /// A configuration is in force this long after it was acknowledged.
    pub apply: Duration,
    /// The slack of the promise that no configuration comes back.
    pub back_slack: Duration,
    /// How long after the last byte of a request its connection may be closed unread.
    pub loss_slack: Duration,
    /// An answer may come this long after the request's time, and a target may work this long for
    /// a caller that has left.
    pub late: Duration,
    /// Repetitions for each request over the fleet.
    pub retry_ratio: f64,
    /// Repetitions besides, in each window.
    pub retry_slack: f64,
    /// The window of the budget of repetitions.
    pub retry_window: Duration,
    /// The targets at which a request may run.
    pub attempts: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stable: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            lapse: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            back_slack: Duration::from_millis(250),
            loss_slack: Duration::from_millis(200),
            late: Duration::from_millis(500),
            retry_ratio: 0.2,
            retry_slack: 62.0,
            retry_window: Duration::from_secs(10),
            attempts: MAX_ATTEMPTS,
        }
    }
}

/// A promise.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// An order runs at most once.
    RunsOnce,
    /// A refusal that says so means that the request does not run.
    TrueRefusal,
    /// A refusal says when to come back.
    ReturnTime,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// Targets get just what callers sent.
    SameRequest,
    /// A request runs only where some configuration allows it.
    AllowedService,
    /// A target that leaves gets no new work.
    Drain,
    /// A configuration is in force in time.
    Applied,
    /// A configuration does not come back.
    NeverBack,
    /// Repetitions stay within the budget of the fleet.
    Budget,
    /// A request runs at no more targets than its route allows.
    Attempts,
    /// Planned work cuts no request.
    NothingLost,
    /// Each request has its answer in time.
    Answered,
    /// A caller that leaves takes its request along.
    Cancelled,
    /// Targets are told how much time is left.
    Deadline,
}

/// A promise that was broken.
#[derive(Debug, Clone)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &'static str = self.promise.into();
        write!(f, "{name}: {}", self.detail)
    }
}

/// Requests with their runs.
struct Ledger<'a> {
    record: &'a Record,
    bounds: &'a Bounds,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

/// Judges a record; requests sent at `until` or later are left out, as they may not be over.
pub fn judge(record: &Record, bounds: &Bounds, until: Instant) -> Vec<Finding> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &record.runs {
        runs.entry(run.seen.id()).or_default().push(run);
    }
    let ledger = Ledger { record, bounds, runs };
    let mut findings = Vec::new();
    for sent in record.sent.iter().filter(|sent| sent.at < until) {
        ledger.judge_request(sent, &mut findings);
    }
    ledger.judge_unasked(&mut findings);
    ledger.judge_return(&mut findings);
    ledger.judge_budget(&mut findings);
    findings
}

impl Ledger<'_> {
    fn judge_request(&self, sent: &Sent, findings: &mut Vec<Finding>) {
        let runs = self.runs.get(sent.id.as_str()).map_or(&[][..], Vec::as_slice);
        let mut report = |promise, detail: String| {
            let detail = format!("request {} at gateway {}: {detail}", sent.id, sent.gateway);
            findings.push(Finding { promise, detail });
        };
        if sent.is_order && runs.len() > 1 {
            report(Promise::RunsOnce, format!("an order ran {} times", runs.len()));
        }
        let targets: BTreeSet<&str> = runs.iter().map(|run| &*run.target).collect();
        if targets.len() > self.bounds.attempts {
            report(Promise::Attempts, format!("it ran at {targets:?}"));
        }
        if let Some((_, End::Answered(answer))) = &sent.end {
            judge_answer(sent, answer, runs, &mut report);
        }
        for run in runs {
            self.judge_run(sent, run, &mut report);
        }
        self.judge_end(sent, runs, &mut report);
    }

    fn judge_run(&self, sent: &Sent, run: &Run, report: &mut impl FnMut(Promise, String)) {
        let Bounds { drain, apply, late, .. } = *self.bounds;
        let (seen, at) = (&run.seen, run.seen.at);
        if seen.first_line != sent.first_line || seen.body != sent.body {
            let detail = format!("{} got {:?}, {:?}", run.target, seen.first_line, seen.body);
            report(Promise::SameRequest, detail);
        }
        let allowed = self.services(sent, |_| true);
        if !allowed.contains(run.service.as_str()) {
            report(Promise::AllowedService, format!("it ran at {} of {}", run.target, run.service));
        }
        let left_ms = seen.headers.get("deadline-remaining-ms").and_then(|ms| ms.parse().ok());
        let left = left_ms.map(Duration::from_millis);
        let is_calm = !self.is_troubled(sent.gateway, sent.at, at);
        let over = sent.at + Duration::from_millis(sent.given_ms) + late;
        // A process that stood still cannot know how long a request waited for it.
        if is_calm && left.is_none_or(|left| at + left > over) {
            report(Promise::Deadline, format!("{} was told {left:?}", run.target));
        }
        if is_calm
            && let Some(leaving_at) = self.record.leaving.get(&run.target)
            && at > self.acknowledged(*leaving_at) + drain
        {
            let since = at - *leaving_at;
            report(Promise::Drain, format!("{} got it {since:?} after its leaving", run.target));
        }
        let current = self.record.versions.iter().rposition(|v| v.at + apply < sent.at);
        if is_calm
            && let Some(current) = current
            && !self.services(sent, |index| index >= current).contains(run.service.as_str())
        {
            report(Promise::Applied, format!("{} still got it", run.service));
        }
        if let Some((left_at, End::Left)) = &sent.end
            && is_calm
            && !self.record.is_target_troubled(&run.target, sent.at, *left_at + late * 2)
            && !self.is_troubled(sent.gateway, sent.at, *left_at + late)
        {
            if at > *left_at + late {
                report(Promise::Cancelled, format!("{} got it after that", run.target));
            }
            if run.left_at.is_some_and(|end| end > *left_at + late) {
                report(Promise::Cancelled, format!("{} worked on for it", run.target));
            }
        }
    }

    fn judge_end(&self, sent: &Sent, runs: &[&Run], report: &mut impl FnMut(Promise, String)) {
        let Bounds { stable, loss_slack, late, .. } = *self.bounds;
        let (at, end) = match &sent.end {
            None => return,
            Some((at, end)) => (*at, end),
        };
        // A process that was just killed or is paused cannot answer.
        if self.record.is_troubled(sent.gateway, sent.at - stable, at, What::is_standstill) {
            return;
        }
        match end {
            End::Closed if !runs.is_empty() => {
                report(Promise::NothingLost, format!("{} runs, then closed", runs.len()));
            }
            End::Closed if at > sent.at + loss_slack => {
                report(Promise::NothingLost, format!("closed after {:?}", at - sent.at));
            }
            End::Unreadable => report(Promise::OwnAnswer, "bytes that are no answer".to_owned()),
            End::Silent => report(Promise::Answered, "no answer".to_owned()),
            End::Answered(answer)
                if at > sent.at + Duration::from_millis(sent.answer_ms) + late =>
            {
                report(Promise::Answered, format!("{} after {:?}", answer.status, at - sent.at));
            }
            _ => {}
        }
    }

    /// Looks for runs of requests that no caller sent.
    fn judge_unasked(&self, findings: &mut Vec<Finding>) {
        let asked: BTreeSet<&str> = self.record.sent.iter().map(|sent| sent.id.as_str()).collect();
        for run in self.record.runs.iter().filter(|run| !asked.contains(run.seen.id())) {
            let detail = format!("{} ran {:?}, which nobody sent", run.target, run.seen.first_line);
            findings.push(Finding { promise: Promise::SameRequest, detail });
        }
    }

    /// Looks for effects of an older configuration after those of a newer one.
    fn judge_return(&self, findings: &mut Vec<Finding>) {
        let mut handled: Vec<(&Sent, &Run)> = Vec::new();
        for sent in &self.record.sent {
            let runs = self.runs.get(sent.id.as_str()).into_iter().flatten();
            handled.extend(runs.map(|run| (sent, *run)));
        }
        handled.sort_by_key(|(_, run)| run.seen.at);
        // The newest version that each process has shown, with when it showed it first.
        let mut shown: BTreeMap<(usize, usize), Vec<(Instant, usize)>> = BTreeMap::new();
        for (sent, run) in handled {
            let starts = self.record.starts.iter().filter(|(gateway, _)| *gateway == sent.gateway);
            let lifetime = starts.filter(|(_, at)| *at <= run.seen.at).count();
            let shown = shown.entry((sent.gateway, lifetime)).or_default();
            let slack = self.bounds.back_slack;
            let earlier = shown.iter().filter(|(at, _)| *at + slack < sent.at);
            let least = earlier.map(|(_, version)| *version).max().unwrap_or(0);
            let known = |index: usize| self.record.versions[index].at <= run.seen.at + slack;
            let mut fitting = (least..self.record.versions.len())
                .filter(|index| known(*index) && self.service(sent, *index) == run.service);
            match fitting.next() {
                Some(version) if shown.last().is_none_or(|(_, last)| *last < version) => {
                    shown.push((run.seen.at, version));
                }
                Some(_) => {}
                None if self.is_paused(sent) => {}
                None => {
                    let detail = format!(
                        "request {} at gateway {}: {} got it although version {least} was in force",
                        sent.id, sent.gateway, run.service
                    );
                    findings.push(Finding { promise: Promise::NeverBack, detail });
                }
            }
        }
    }

    fn judge_budget(&self, findings: &mut Vec<Finding>) {
        for usage in budget::usages(self.record, self.bounds) {
            if usage.retries as f64 > usage.allowed {
                findings.push(Finding { promise: Promise::Budget, detail: usage.to_string() });
            }
        }
    }

    /// Returns from when on a target's leaving binds: what the store says around an outage does so
    /// only once entries that lapsed in it must be back.
    fn acknowledged(&self, leaving_at: Instant) -> Instant {
        let outages = self.record.troubles.iter().filter(|trouble| {
            trouble.gateway.is_none()
                && trouble.what == What::Store
                && trouble.from <= leaving_at
                && trouble.until.is_none_or(|end| end + self.bounds.stable >= leaving_at)
        });
        let ends = outages.filter_map(|trouble| trouble.until.map(|end| end + self.bounds.lapse));
        ends.max().unwrap_or(leaving_at).max(leaving_at)
    }

    /// Returns true if the gateway may miss promises with a time between two moments.
    fn is_troubled(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        self.record.is_troubled(gateway, from - self.bounds.stable, until, |_| true)
    }

    fn is_paused(&self, sent: &Sent) -> bool {
        let from = sent.at - self.bounds.stable;
        let until = sent.at + Duration::from_millis(sent.given_ms);
        self.record.is_troubled(sent.gateway, from, until, What::is_standstill)
    }

    fn service(&self, sent: &Sent, version: usize) -> &str {
        self.record.service(sent, version)
    }

    /// Returns the services that versions send a request to.
    fn services(&self, sent: &Sent, counts: impl Fn(usize) -> bool) -> BTreeSet<&str> {
        let versions = (0..self.record.versions.len()).filter(|index| counts(*index));
        versions.map(|index| self.service(sent, index)).collect()
    }
}

fn judge_answer(
    sent: &Sent,
    answer: &Answered,
    runs: &[&Run],
    report: &mut impl FnMut(Promise, String),
) {
    let status = answer.status;
    if matches!(status, 408 | 421 | 429 | 503) && !answer.is_signed {
        if sent.is_order && !runs.is_empty() {
            report(Promise::TrueRefusal, format!("{status}, and it ran {} times", runs.len()));
        }
        if status == 503 && !answer.has_return_time {
            report(Promise::ReturnTime, "503 without a time to return".to_owned());
        }
    }
    if (200..300).contains(&status) {
        let is_own = answer.id.as_deref() == Some(sent.id.as_str());
        let is_body = runs
            .iter()
            .any(|run| answer.body == format!("{} by {}", run.seen.first_line, run.target));
        if !(is_own && answer.is_signed && answer.is_whole && is_body) {
            report(Promise::OwnAnswer, format!("{answer:?}"));
        }
    }
    if answer.is_signed && runs.is_empty() {
        report(Promise::OwnAnswer, format!("{status} of a target that did not run it"));
    }
    if (300..400).contains(&status)
        || (400..500).contains(&status) && !matches!(status, 408 | 421 | 429)
    {
        report(Promise::OwnAnswer, format!("{status} for a proper request"));
    }
}
