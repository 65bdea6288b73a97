//! The judgement of the soak: a sound record passes, and each broken promise is told.

use std::{collections::BTreeMap, fs, path::Path, time::Duration};

use citron_stand::{
    gateway::target::Seen,
    soak::{
        plan,
        promise::{Bounds, Promise, judge},
        record::{Answered, End, Record, Rejection, Run, Sent, Trouble, Version, What},
    },
};
use tokio::time::Instant;

/// The start of all records, with room for times before it.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

fn after(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sent(id: &str, is_order: bool, at: Instant) -> Sent {
    let (method, route) = if is_order { ("POST", "orders") } else { ("GET", "lots") };
    Sent {
        id: id.to_owned(),
        first_line: format!("{method} /{route}/{id}?work=1 HTTP/1.1"),
        body: String::new(),
        is_order,
        gateway: 0,
        at,
        given_ms: 1000,
        answer_ms: 1000,
        end: None,
    }
}

fn run(sent: &Sent, target: &str, service: &str, at: Instant) -> Run {
    let left = (sent.at + after(sent.given_ms)).saturating_duration_since(at).as_millis();
    let headers = [
        ("attempt-id".to_owned(), sent.id.clone()),
        ("deadline-remaining-ms".to_owned(), left.to_string()),
    ];
    let seen = Seen {
        at,
        first_line: sent.first_line.clone(),
        headers: headers.into_iter().collect(),
        body: sent.body.clone(),
    };
    Run { target: target.to_owned(), service: service.to_owned(), seen, left_at: None }
}

fn answered(sent: &Sent, status: u16, target: Option<&str>) -> End {
    End::Answered(Answered {
        status,
        id: target.map(|_| sent.id.clone()),
        is_signed: target.is_some(),
        has_return_time: target.is_none(),
        is_whole: true,
        body: target.map_or(String::new(), |target| format!("{} by {target}", sent.first_line)),
    })
}

fn version(lots: &str, orders: &str, at: Instant) -> Version {
    let services = [("lots", lots), ("orders", orders)];
    let services: BTreeMap<String, String> = services
        .into_iter()
        .map(|(route, service)| (route.to_owned(), service.to_owned()))
        .collect();
    Version { services, at }
}

/// A lookup and an order that were served, and an order that was refused.
fn sound(t0: Instant) -> Record {
    let mut lookup = sent("r1", false, t0);
    let mut order = sent("r2", true, t0);
    let mut refused = sent("r3", true, t0);
    lookup.end = Some((t0 + after(50), answered(&lookup, 200, Some("i-1"))));
    order.end = Some((t0 + after(50), answered(&order, 200, Some("i-2"))));
    refused.end = Some((t0 + after(50), answered(&refused, 503, None)));
    Record {
        runs: vec![
            run(&lookup, "i-1", "north", t0 + after(10)),
            run(&order, "i-2", "south", t0 + after(10)),
        ],
        sent: vec![lookup, order, refused],
        versions: vec![version("north", "south", t0 - after(60_000))],
        starts: vec![(0, t0 - after(50_000))],
        ..Record::default()
    }
}

fn broken(record: &Record, t0: Instant) -> Vec<Promise> {
    let findings = judge(record, &Bounds::default(), t0 + after(600_000));
    findings.into_iter().map(|finding| finding.promise).collect()
}

macro_rules! cases {
    ($($name:ident: [$($promise:ident),*] |$record:ident, $t0:ident| $change:block)*) => {$(
        #[test]
        fn $name() {
            let $t0 = start();
            #[allow(unused_mut, reason = "one case changes nothing")]
            let mut $record = sound($t0);
            $change
            let expected: &[Promise] = &[$(Promise::$promise),*];
            assert_eq!(broken(&$record, $t0), expected);
        }
    )*};
}

cases! {
    a_sound_record_breaks_nothing: [] |record, t0| { let _ = &record; }

    an_order_that_ran_twice: [RunsOnce] |record, t0| {
        let again = run(&record.sent[1], "i-3", "south", t0 + after(20));
        record.runs.push(again);
    }
    a_refused_order_that_ran: [TrueRefusal] |record, t0| {
        let ran = run(&record.sent[2], "i-3", "south", t0 + after(900));
        record.runs.push(ran);
    }
    a_refusal_without_a_time_to_return: [ReturnTime] |record, t0| {
        if let Some((_, End::Answered(answer))) = &mut record.sent[2].end {
            answer.has_return_time = false;
        }
    }
    an_answer_that_waits_for_the_one_ahead_of_it: [] |record, t0| {
        let answer = answered(&record.sent[0], 200, Some("i-1"));
        record.sent[0].answer_ms = 1600;
        record.sent[0].end = Some((t0 + after(2050), answer));
    }
    an_answer_later_than_the_time_of_the_one_ahead_of_it: [Answered] |record, t0| {
        let answer = answered(&record.sent[0], 200, Some("i-1"));
        record.sent[0].answer_ms = 1600;
        record.sent[0].end = Some((t0 + after(2150), answer));
    }
    an_answer_of_another_request: [OwnAnswer] |record, t0| {
        let other = answered(&record.sent[1], 200, Some("i-2"));
        record.sent[0].end = Some((t0 + after(50), other));
    }
    a_body_cut_short: [OwnAnswer] |record, t0| {
        if let Some((_, End::Answered(answer))) = &mut record.sent[0].end {
            answer.body.truncate(5);
        }
    }
    an_answer_that_nobody_signed: [OwnAnswer] |record, t0| {
        if let Some((_, End::Answered(answer))) = &mut record.sent[0].end {
            answer.is_signed = false;
        }
    }
    a_proper_request_told_that_there_is_no_route: [OwnAnswer] |record, t0| {
        let told = answered(&record.sent[2], 404, None);
        record.sent[2].end = Some((t0 + after(50), told));
    }
    a_body_changed_on_the_way: [SameRequest] |record, t0| {
        record.runs[1].seen.body = "9 sacks".to_owned();
    }
    a_run_that_nobody_asked_for: [SameRequest] |record, t0| {
        let unasked = run(&sent("r9", false, t0), "i-1", "north", t0);
        record.runs.push(unasked);
    }
    a_run_at_a_service_that_was_never_allowed: [AllowedService, Applied, NeverBack] |record, t0| {
        record.runs[0].service = "forbidden".to_owned();
    }
    work_for_a_target_that_left: [Drain] |record, t0| {
        record.leaving.insert("i-1".to_owned(), t0 - after(2500));
    }
    work_for_a_target_that_left_at_a_gateway_out_of_touch: [] |record, t0| {
        record.leaving.insert("i-1".to_owned(), t0 - after(2500));
        let (gateway, from, until) = (Some(0), t0 - after(9000), Some(t0 - after(2900)));
        record.troubles.push(Trouble { gateway, from, until, what: What::Store });
    }
    work_for_a_target_that_vanished_in_an_outage_and_may_come_back: [] |record, t0| {
        record.leaving.insert("i-1".to_owned(), t0 - after(3800));
        let (from, until) = (t0 - after(5000), Some(t0 - after(3100)));
        record.troubles.push(Trouble { gateway: None, from, until, what: What::Store });
    }
    work_for_a_target_that_vanished_in_an_outage_and_did_not_come_back: [Drain] |record, t0| {
        record.leaving.insert("i-1".to_owned(), t0 - after(5800));
        let (from, until) = (t0 - after(7000), Some(t0 - after(4100)));
        record.troubles.push(Trouble { gateway: None, from, until, what: What::Store });
    }
    a_configuration_that_is_not_applied: [Applied] |record, t0| {
        record.versions.push(version("east", "south", t0 - after(2100)));
    }
    a_configuration_that_came_back: [NeverBack] |record, t0| {
        record.versions.push(version("east", "south", t0 - after(1500)));
        let mut early = sent("r4", false, t0 - after(1000));
        early.end = Some((t0 - after(900), answered(&early, 200, Some("i-4"))));
        record.runs.push(run(&early, "i-4", "east", t0 - after(950)));
        record.sent.push(early);
    }
    a_process_that_started_anew_may_show_what_it_knew_less_of: [] |record, t0| {
        record.versions.push(version("east", "south", t0 - after(1500)));
        let mut early = sent("r4", false, t0 - after(1000));
        early.end = Some((t0 - after(900), answered(&early, 200, Some("i-4"))));
        record.runs.push(run(&early, "i-4", "east", t0 - after(950)));
        record.sent.push(early);
        record.starts.push((0, t0 - after(500)));
    }
    more_repetitions_than_the_budget: [Budget] |record, t0| {
        for n in 0..100 {
            let mut lookup = sent(&format!("b{n}"), false, t0 + after(n));
            lookup.end = Some((t0 + after(n + 50), answered(&lookup, 200, Some("i-1"))));
            for target in ["i-5", "i-1"] {
                record.runs.push(run(&lookup, target, "north", t0 + after(n + 10)));
            }
            record.sent.push(lookup);
        }
    }
    more_rejected_repetitions_than_the_budget: [Budget] |record, t0| {
        for n in 0..100 {
            let mut lookup = sent(&format!("b{n}"), false, t0 + after(n));
            lookup.end = Some((t0 + after(n + 50), answered(&lookup, 503, None)));
            for at in [10, 11] {
                let (service, id) = ("north".to_owned(), lookup.id.clone());
                let at = t0 + after(n + at);
                record.rejections.push(Rejection { service, id, at });
            }
            record.sent.push(lookup);
        }
    }
    a_lookup_that_ran_at_more_targets_than_its_route_allows: [Attempts] |record, t0| {
        for target in ["i-5", "i-6", "i-7"] {
            let again = run(&record.sent[0], target, "north", t0 + after(20));
            record.runs.push(again);
        }
    }
    a_connection_closed_while_a_target_worked: [NothingLost] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Closed));
    }
    a_connection_closed_late_without_an_answer: [NothingLost] |record, t0| {
        record.sent[2].end = Some((t0 + after(300), End::Closed));
    }
    a_connection_closed_as_its_process_was_killed: [] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Closed));
        let (gateway, from) = (Some(0), t0 + after(90));
        record.troubles.push(Trouble { gateway, from, until: None, what: What::Process });
    }
    a_connection_closed_by_a_planned_stop: [NothingLost] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Closed));
        let (gateway, from) = (Some(0), t0 - after(90));
        record.troubles.push(Trouble { gateway, from, until: None, what: What::Planned });
    }
    an_answer_after_its_time: [Answered] |record, t0| {
        let answer = answered(&record.sent[0], 200, Some("i-1"));
        record.sent[0].end = Some((t0 + after(1600), answer));
    }
    no_answer_at_all: [Answered] |record, t0| {
        record.sent[2].end = Some((t0 + after(3500), End::Silent));
    }
    work_that_goes_on_after_its_caller_left: [Cancelled] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Left));
        record.runs[0].left_at = Some(t0 + after(700));
    }
    work_that_ends_as_its_caller_leaves: [] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Left));
        record.runs[0].left_at = Some(t0 + after(120));
    }
    work_that_begins_after_its_caller_left: [Cancelled] |record, t0| {
        record.sent[0].end = Some((t0 + after(100), End::Left));
        record.runs[0].seen.at = t0 + after(700);
        record.runs[0].seen.headers.insert("deadline-remaining-ms".to_owned(), "300".to_owned());
    }
    a_target_told_of_more_time_than_is_left: [Deadline] |record, t0| {
        record.runs[0].seen.headers.insert("deadline-remaining-ms".to_owned(), "1600".to_owned());
    }
    a_target_told_no_time: [Deadline] |record, t0| {
        record.runs[0].seen.headers.remove("deadline-remaining-ms");
    }
}

#[test]
fn a_plan_follows_from_its_seed() {
    let draw = |seed| format!("{:?}", plan::draw(seed, Duration::from_secs(60), 6, 24));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

/// Returns the lines of the Rust files below a folder.
fn lines(path: &Path) -> usize {
    if path.is_dir() {
        let entries = fs::read_dir(path).expect("a folder").flatten();
        return entries.map(|entry| lines(&entry.path())).sum();
    }
    let is_code = path.extension().is_some_and(|extension| extension == "rs");
    if is_code { fs::read_to_string(path).map_or(0, |text| text.lines().count()) } else { 0 }
}

#[test]
fn the_soak_stays_under_a_tenth_of_the_code() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = crates.join("../..");
    let all: usize =
        ["crates", "platform", "tests"].iter().map(|folder| lines(&root.join(folder))).sum();
    let parts = ["src/soak", "src/soak.rs", "src/command/soak.rs", "tests/soak.rs"];
    let soak: usize = parts.iter().map(|part| lines(&crates.join(part))).sum();
    assert!(soak > 0 && soak * 10 < all, "{soak} of {all} lines");
}
