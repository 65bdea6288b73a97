//! The stand-in target: answers, faults, slots and the audit of orders.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citron_stand::{
    load::{Audit, Told, Workload, audit},
    target::{Admission, Fault, Ledger, Settings, State, Target, Work, bind},
};

fn settings() -> Settings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Settings {
        listen: any,
        admin: any,
        name: "lot-desk-1".to_owned(),
        service: "lot-desk".to_owned(),
        slots: 3,
        waiting: 1,
        service_time: Duration::from_millis(1),
        cold: Duration::ZERO,
        seed: 7,
    }
}

async fn order(target: &Target, number: u64) -> reqwest::Result<(u16, Vec<u8>, Vec<u8>)> {
    let workload: Workload = "order:izmir-roasters:lot-desk:/lots/:1:5000".parse().unwrap();
    let request = workload.request("test", number);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let answer = client
        .post(format!("http://{}{}", target.addr(), request.path))
        .header("x-order", request.order.as_ref().unwrap())
        .header("citron-request-id", "id-1")
        .body(request.body.clone())
        .send()
        .await?;
    let status = answer.status().as_u16();
    Ok((status, answer.bytes().await?.to_vec(), request.expected()))
}

macro_rules! fault {
    ($name:ident, $fault:expr, |$sent:ident, $ledger:ident| $check:expr) => {
        #[tokio::test]
        async fn $name() {
            let target = bind(settings()).await.unwrap();
            // An answer to another request exists before the fault is set.
            order(&target, 0).await.unwrap();
            target.set_fault($fault);
            let $sent = order(&target, 1).await;
            let $ledger = target.ledger();
            $check
            target.stop().await;
        }
    };
}

fault!(healthy_answers_whole, Fault::None, |sent, ledger| {
    let (status, body, expected) = sent.unwrap();
    assert_eq!((status, body), (200, expected));
    assert_eq!(ledger.runs["test-1"], 1);
});
fault!(error_runs_the_order, Fault::Errors { share: 1.0 }, |sent, ledger| {
    assert_eq!(sent.unwrap().0, 500);
    assert_eq!(ledger.runs["test-1"], 1);
});
fault!(wrong_gives_another_answer, Fault::Wrong { share: 1.0 }, |sent, ledger| {
    let (status, body, expected) = sent.unwrap();
    assert_eq!(status, 200);
    assert_ne!(body, expected);
    assert_eq!(ledger.runs["test-1"], 1);
});
fault!(cut_ends_early, Fault::Cut, |sent, ledger| {
    assert!(sent.is_err(), "a body cut short must not look whole");
    assert_eq!(ledger.runs["test-1"], 1);
});
fault!(shedding_does_not_run, Fault::Shedding { share: 1.0 }, |sent, ledger| {
    assert_eq!(sent.unwrap().0, 503);
    assert_eq!(ledger.runs.get("test-1"), None);
});

#[test]
fn work_sheds_past_slots_and_queue() {
    let mut work = Work::new(3, 1, Duration::from_secs(1));
    for _ in 0..3 {
        assert_eq!(work.arrive(), Admission::Wait);
        work.start();
    }
    assert_eq!(work.arrive(), Admission::Wait);
    assert_eq!(work.arrive(), Admission::Shed);
    work.end();
    work.start();
    assert_eq!(work.load(), (3, 3));
    assert_eq!(work.state(Duration::ZERO), State::Cold);
    assert_eq!(work.state(Duration::from_secs(1)), State::Ready);
    work.drain();
    assert_eq!(work.arrive(), Admission::Shed);
}

macro_rules! audited {
    ($name:ident, $told:expr, $runs:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let orders = BTreeMap::from([("o".to_owned(), $told)]);
            let mut ledger = Ledger::default();
            let runs: u32 = $runs;
            for _ in 0..runs {
                ledger.run("o");
            }
            let found: Audit = audit(&orders, &ledger);
            assert_eq!([found.doubled.len(), found.lost.len(), found.denied.len()], $expected);
        }
    };
}

audited!(answered_order_ran_once, Told::Ran, 1, [0, 0, 0]);
audited!(answered_order_that_did_not_run_is_lost, Told::Ran, 0, [0, 1, 0]);
audited!(order_that_ran_twice_is_doubled, Told::Unknown, 2, [1, 0, 0]);
audited!(order_that_ran_against_the_refusal_is_denied, Told::NotRun, 1, [0, 0, 1]);
audited!(unknown_order_may_have_run, Told::Unknown, 1, [0, 0, 0]);
