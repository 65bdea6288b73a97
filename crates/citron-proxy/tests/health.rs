//! Evidence from the proxy's own requests, and verdicts, which apply only as far as the floor
//! allows.

mod support;

use std::sync::Arc;

use citron_wire::{Verdict, VerdictTable, report, update::Body};
use support::{Action, Rig, Script, admin, respond, status, wait_for};

const GET: &str = "GET /lots/1 HTTP/1.1\r\nhost: h\r\ncitron-customer: roaster\r\n\r\n";

fn script(status: &'static str) -> Script {
    Arc::new(move |_| vec![respond(status, "", "body")])
}

fn verdict(target: &str, ejected: bool, epoch: u64, rank: u32) -> Verdict {
    Verdict {
        target: target.to_owned(),
        service: "lot-desk".to_owned(),
        ejected,
        epoch,
        steward: "h1".to_owned(),
        reason: "failing".to_owned(),
        rank,
        trial: false,
    }
}

fn send(rig: &Rig, verdicts: Vec<Verdict>) {
    rig.agent.send(Body::Verdicts(VerdictTable { verdicts }));
}

async fn ejected(rig: &Rig) -> Vec<String> {
    let status = status(&rig.proxy).await;
    serde_json::from_value(status["services"]["lot-desk"]["ejected"].clone()).expect("a list")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ejected_target_gets_no_requests_until_it_returns() {
    let rig = Rig::start(vec![script("200 OK"), script("200 OK"), script("200 OK")]).await;
    send(&rig, vec![verdict("t1", true, 3, 0)]);
    wait_for(|| async { ejected(&rig).await == ["t1"] }).await;
    let before = rig.targets[1].received().len();
    for _ in 0..30 {
        assert_eq!(rig.call(GET).await.status, 200);
    }
    assert_eq!(rig.targets[1].received().len(), before);
    // An older verdict changes nothing, a newer one does.
    send(&rig, vec![verdict("t1", false, 2, 0), verdict("t2", true, 1, 0)]);
    // The second ejection would leave one of three targets, below the floor of one in two.
    wait_for(|| async { admin(&rig.proxy, "/events").await.contains("floor-held") }).await;
    assert_eq!(ejected(&rig).await, ["t1"]);
    send(&rig, vec![verdict("t1", false, 4, 0), verdict("t2", false, 2, 0)]);
    wait_for(|| async { ejected(&rig).await.is_empty() }).await;
    assert!(admin(&rig.proxy, "/events").await.contains("target-returned"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ejections_below_the_floor_are_held_back() {
    let rig = Rig::start(vec![script("200 OK"); 4]).await;
    send(&rig, (0..4).map(|index| verdict(&format!("t{index}"), true, 1, index)).collect());
    wait_for(|| async { admin(&rig.proxy, "/events").await.contains("floor-held") }).await;
    assert_eq!(ejected(&rig).await, ["t0", "t1"]);
    assert_eq!(rig.call(GET).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_are_reported_and_lower_the_targets_weight() {
    let bad: Script = Arc::new(|_| vec![respond("500 Oops", "", "body")]);
    let rig = Rig::start(vec![bad, script("200 OK"), script("200 OK"), script("200 OK")]).await;
    wait_for(|| async {
        for _ in 0..20 {
            rig.call(GET).await;
        }
        admin(&rig.proxy, "/events").await.contains("target-suspected")
    })
    .await;
    let errors = || {
        let reports = rig.agent.reports();
        let batches = reports.into_iter().filter_map(|report| match report.body {
            Some(report::Body::Evidence(batch)) => Some(batch),
            _ => None,
        });
        batches.flat_map(|batch| batch.evidence).filter(|one| one.errors > 0).collect::<Vec<_>>()
    };
    wait_for(|| async { !errors().is_empty() }).await;
    assert!(errors().iter().all(|one| one.target == "t0" && one.service == "lot-desk"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_timeout_at_a_callers_short_deadline_is_not_reported() {
    let hang: Script = Arc::new(|_| vec![Action::Hang(Arc::default())]);
    let rig = Rig::start(vec![hang]).await;
    for _ in 0..10 {
        let request = "GET /lots/1 HTTP/1.1\r\nhost: h\r\ncitron-customer: roaster\r\ncitron-deadline-ms: 20\r\n\r\n";
        assert_eq!(rig.call(request).await.status, 504);
    }
    // Evidence would be sent before the next two progress reports.
    let before = rig.agent.reports().len();
    wait_for(|| async { rig.agent.reports().len() >= before + 2 }).await;
    let timeouts: u32 = rig
        .agent
        .reports()
        .iter()
        .filter_map(|report| match &report.body {
            Some(report::Body::Evidence(batch)) => Some(batch),
            _ => None,
        })
        .flat_map(|batch| &batch.evidence)
        .map(|one| one.timeouts)
        .sum();
    assert_eq!(timeouts, 0);
}
