//! Attempts over real connections: what is repeated, what is never, and what the caller is told.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use citron_wire::ClaimResult;
use support::{Act, PATIENCE, Reply, Rig, Script, Seen, answer, read_reply, wait_for};
use tokio::{io::AsyncWriteExt, sync::Notify, time};

const SHED: &str = "HTTP/1.1 503 Busy\r\ncitron-request-id: {id}\r\ncitron-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
const FOREIGN: &str =
    "HTTP/1.1 200 OK\r\ncitron-request-id: other\r\ncontent-length: 6\r\n\r\nsecret";
const NO_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecret";
const FOREIGN_SHED: &str = "HTTP/1.1 503 Busy\r\ncitron-request-id: other\r\ncitron-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

fn write(text: &str) -> Vec<Act> {
    vec![Act::Write(text.to_owned())]
}

fn good() -> Vec<Act> {
    vec![answer("200 OK", "", "fine")]
}

fn hang() -> Vec<Act> {
    vec![Act::Hang(Arc::default())]
}

/// Returns scripts for `count` targets that act in turn as listed, whichever is asked, then well.
fn scripts(count: usize, acts: Vec<Vec<Act>>) -> Vec<Script> {
    let turn = Arc::new(AtomicUsize::new(0));
    let script: Script = Arc::new(move |_: &Seen| {
        let turn = turn.fetch_add(1, Ordering::SeqCst);
        acts.get(turn).cloned().unwrap_or_else(good)
    });
    vec![script; count]
}

async fn rig(targets: usize, acts: Vec<Vec<Act>>) -> Rig {
    Rig::start(scripts(targets, acts)).await
}

fn request(method: &str, path: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n{headers}content-length: 0\r\n\r\n"
    )
}

fn told(reply: &Reply) -> (u16, &str, &str) {
    (reply.status, reply.outcome(), reply.reason())
}

/// One request against two targets that act in turn as listed: what the caller is told, and how
/// often the request was sent.
macro_rules! fault {
    ($name:ident, $method:literal, $path:literal, $headers:literal, [$($acts:expr),*], $told:expr, $sent:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig(2, vec![$($acts),*]).await;
            let reply = rig.call(&request($method, $path, $headers)).await;
            assert_eq!(told(&reply), $told, "{reply:?}");
            assert_eq!(rig.seen().len(), $sent, "requests sent");
            assert!(!reply.text().contains("secret"), "another's answer must not be passed on");
            let fine = rig.call(&request("GET", "/lots/2", "")).await;
            assert_eq!(told(&fine), (200, "answered", "none"), "it must still serve");
        }
    };
}

const FINE: (u16, &str, &str) = (200, "answered", "none");

fault!(
    order_closed_on,
    "POST",
    "/lots/1",
    "",
    [vec![Act::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(lookup_closed_on, "GET", "/lots/1", "", [vec![Act::Close]], FINE, 2);
fault!(order_shed, "POST", "/lots/1", "", [write(SHED)], FINE, 2);
fault!(order_shed_twice, "POST", "/lots/1", "", [write(SHED), write(SHED)], FINE, 3);
fault!(
    order_shed_always,
    "POST",
    "/lots/1",
    "",
    [write(SHED), write(SHED), write(SHED)],
    (503, "not-run", "target-shed"),
    3
);
fault!(
    order_shed_then_closed_on,
    "POST",
    "/lots/1",
    "",
    [write(SHED), vec![Act::Close]],
    (502, "unknown", "target-broken"),
    2
);
fault!(
    lookup_closed_on_then_shed,
    "GET",
    "/lots/1",
    "",
    [vec![Act::Close], write(SHED), write(SHED)],
    (502, "unknown", "target-shed"),
    3
);
fault!(
    order_foreign,
    "POST",
    "/lots/1",
    "",
    [write(FOREIGN)],
    (502, "unknown", "foreign-answer"),
    1
);
fault!(lookup_foreign, "GET", "/lots/1", "", [write(FOREIGN)], FINE, 2);
fault!(
    order_without_id,
    "POST",
    "/lots/1",
    "",
    [write(NO_ID)],
    (502, "unknown", "foreign-answer"),
    1
);
fault!(lookup_without_id, "GET", "/lots/1", "", [write(NO_ID)], FINE, 2);
fault!(
    order_shed_by_a_foreign_answer,
    "POST",
    "/lots/1",
    "",
    [write(FOREIGN_SHED)],
    (502, "unknown", "foreign-answer"),
    1
);
fault!(
    order_head_cut_short,
    "POST",
    "/lots/1",
    "",
    [vec![Act::Write("HTTP/1.1 200 OK\r\ncitron-req".to_owned()), Act::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(
    order_answered_with_garbage,
    "POST",
    "/lots/1",
    "",
    [vec![Act::Write("\u{16}\u{3}\r\n\r\n".to_owned()), Act::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(
    order_stalled,
    "POST",
    "/lots/1",
    "citron-deadline-ms: 200\r\n",
    [hang()],
    (504, "unknown", "deadline-passed"),
    1
);
fault!(lookup_stalled, "GET", "/lots/1", "citron-deadline-ms: 1500\r\n", [hang()], FINE, 2);
fault!(
    patch_closed_on,
    "PATCH",
    "/lots/1",
    "",
    [vec![Act::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(put_closed_on, "PUT", "/lots/1", "", [vec![Act::Close]], FINE, 2);
fault!(delete_closed_on, "DELETE", "/lots/1", "", [vec![Act::Close]], FINE, 2);
fault!(post_on_idempotent_route, "POST", "/lots/search/a", "", [vec![Act::Close]], FINE, 2);
fault!(
    order_answered_with_503,
    "POST",
    "/lots/1",
    "",
    [vec![answer("503 Busy", "", "")]],
    (503, "answered", "none"),
    1
);
fault!(
    order_answered_with_500,
    "POST",
    "/lots/1",
    "",
    [vec![answer("500 Oops", "", "")]],
    (500, "answered", "none"),
    1
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_target_refuses_connections_is_not_run_or_moves_on() {
    let mut rig = rig(1, vec![]).await;
    rig.targets[0].stop().await;
    let reply = rig.call(&request("POST", "/lots/1", "")).await;
    assert_eq!(told(&reply), (503, "not-run", "target-unreachable"));
    assert_eq!(rig.seen().len(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_order_moves_on_when_a_target_refuses_connections() {
    let mut rig = rig(2, vec![]).await;
    rig.targets[0].stop().await;
    let body = "a".repeat(200_000);
    for _ in 0..4 {
        let head = request("POST", "/lots/1", "").replace("length: 0", "length: 200000");
        let reply = rig.call(&format!("{head}{body}")).await;
        assert_eq!(told(&reply), FINE);
    }
    let seen = rig.seen();
    assert_eq!(seen.len(), 4);
    assert!(seen.iter().all(|seen| seen.whole && seen.body == body.as_bytes()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_body_is_not_sent_again() {
    let rig = rig(2, vec![vec![Act::Close]]).await;
    let head = request("PUT", "/lots/1", "").replace("length: 0", "length: 200000");
    let reply = rig.call(&format!("{head}{}", "a".repeat(200_000))).await;
    assert_eq!(told(&reply), (502, "unknown", "target-broken"));
    assert_eq!(rig.seen().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_use_a_new_connection_each() {
    let rig = rig(1, vec![]).await;
    rig.call(&request("GET", "/lots/1", "")).await;
    for _ in 0..3 {
        assert_eq!(told(&rig.call(&request("POST", "/lots/1", "")).await), FINE);
    }
    let connections: Vec<usize> = rig.seen().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_layer_below_repeats_a_lookup_on_a_stale_connection() {
    // The first lookup leaves a pooled connection, on which the second is read and dropped.
    let rig = rig(1, vec![good(), vec![Act::Close]]).await;
    for _ in 0..2 {
        assert_eq!(told(&rig.call(&request("GET", "/lots/1", "")).await), FINE);
    }
    let connections: Vec<usize> = rig.seen().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 0, 1], "only the counted retry may follow");
    let metrics = support::admin(&rig.proxy, "/metrics").await;
    let retries = "citron_proxy_retries_total{service=\"lot-desk\"} 1";
    assert!(metrics.contains(retries), "{metrics}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_reaches_nobody_and_its_connection_is_not_used_again() {
    let release = Arc::new(Notify::new());
    let late = vec![Act::Wait(Arc::clone(&release)), answer("200 OK", "", "late")];
    let rig = rig(1, vec![late]).await;
    let first = rig.call(&request("GET", "/lots/1", "citron-deadline-ms: 1000\r\n")).await;
    assert_eq!((told(&first), first.text().as_str()), (FINE, "fine"));
    release.notify_one();
    for _ in 0..3 {
        let reply = rig.call(&request("GET", "/lots/2", "")).await;
        assert_eq!((told(&reply), reply.text().as_str()), (FINE, "fine"));
    }
    let seen = rig.seen();
    assert!(seen[1..].iter().all(|seen| seen.connection != 0), "connection 0 must stay unused");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_nobody_asked_for_reaches_nobody() {
    let twice = vec![answer("200 OK", "", "fine"), Act::Write(FOREIGN.to_owned())];
    let rig = rig(1, vec![twice]).await;
    for _ in 0..4 {
        let reply = rig.call(&request("GET", "/lots/1", "")).await;
        assert_eq!((told(&reply), reply.text().as_str()), (FINE, "fine"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_silent_connection_fails_one_attempt() {
    let deadline = "citron-deadline-ms: 1500\r\n";
    // Connection 0 goes silent after one answer.
    let script: Script =
        Arc::new(
            move |seen: &Seen| {
                if seen.connection == 0 && seen.index > 0 { hang() } else { good() }
            },
        );
    let rig = Rig::start(vec![script]).await;
    for _ in 0..4 {
        let reply = rig.call(&request("GET", "/lots/1", deadline)).await;
        assert_eq!(told(&reply), FINE);
    }
    let silent = rig.seen().iter().filter(|seen| seen.connection == 0).count();
    assert_eq!(silent, 2, "one answer and one attempt without");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_ends_its_attempt() {
    let ended = Arc::new(Notify::new());
    let rig = rig(1, vec![vec![Act::Hang(Arc::clone(&ended))]]).await;
    let mut stream = rig.caller().connect().await;
    stream.write_all(request("POST", "/lots/1", "").as_bytes()).await.expect("write");
    wait_for(|| async { rig.seen().len() == 1 }).await;
    drop(stream);
    time::timeout(PATIENCE, ended.notified()).await.expect("the attempt must end early");
    wait_for(|| async { support::status(&rig.proxy).await["in_flight"] == 0 }).await;
    assert!(support::admin(&rig.proxy, "/events").await.contains("caller-gone"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_while_an_answer_stalls_ends_its_attempt() {
    let ended = Arc::new(Notify::new());
    let head = "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 9\r\n\r\nabc";
    let acts = vec![Act::Write(head.to_owned()), Act::Hang(Arc::clone(&ended))];
    let rig = rig(1, vec![acts]).await;
    let mut stream = rig.caller().connect().await;
    stream.write_all(request("GET", "/lots/1", "").as_bytes()).await.expect("write");
    wait_for(|| async { rig.seen().len() == 1 }).await;
    drop(stream);
    time::timeout(PATIENCE, ended.notified()).await.expect("the attempt must end early");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_gives_its_slot_back_at_the_deadline() {
    let rig = rig(1, vec![vec![answer("200 OK", "", &"x".repeat(20_000_000))]]).await;
    let mut stream = rig.caller().connect().await;
    let headers = "citron-deadline-ms: 2000\r\n";
    stream.write_all(request("POST", "/lots/1", headers).as_bytes()).await.expect("write");
    wait_for(|| async { rig.seen().len() == 1 }).await;
    wait_for(|| async { support::status(&rig.proxy).await["in_flight"] == 0 }).await;
    assert!(!read_reply(&mut stream, false).await.whole);
}

/// A caller that goes away in the middle of its body must not leave a target with an order that
/// looks whole.
macro_rules! upload_left {
    ($name:ident, $head:literal, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig(1, vec![]).await;
            let mut stream = rig.caller().connect().await;
            let head = request("POST", "/lots/1", "").replace("content-length: 0", $head);
            stream.write_all(format!("{head}{}", $body).as_bytes()).await.expect("write");
            let connected = || async { rig.targets[0].connections() == 1 };
            wait_for(connected).await;
            drop(stream);
            wait_for(|| async { rig.seen().len() == 1 }).await;
            assert!(!rig.seen()[0].whole, "a part must not pass for the whole");
        }
    };
}

upload_left!(
    a_caller_that_leaves_a_chunked_upload,
    "transfer-encoding: chunked",
    format!("11170\r\n{}\r\n", "a".repeat(70_000))
);
upload_left!(a_caller_that_leaves_a_long_upload, "content-length: 100000", "a".repeat(70_000));

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_foreign_answer_is_an_event() {
    let rig = rig(1, vec![write(FOREIGN)]).await;
    rig.call(&request("POST", "/lots/1", "")).await;
    let events = support::admin(&rig.proxy, "/events").await;
    assert!(events.contains("foreign-answer") && events.contains("outcome-unknown"), "{events}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 100;
    let rig = rig(2, vec![vec![Act::Close]; 1000]).await;
    for _ in 0..REQUESTS {
        rig.call(&request("GET", "/lots/1", "")).await;
    }
    let sent = rig.seen().len();
    assert!(sent <= REQUESTS + 20 + REQUESTS / 5, "{sent} requests sent");
}

const KEYED: &str = "idempotency-key: k1\r\n";

macro_rules! claim {
    ($name:ident, $method:literal, $claim:expr, $told:expr, $sent:literal, $claims:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig(1, vec![]).await;
            rig.agent.set_claims(Arc::new($claim));
            let reply = rig.call(&request($method, "/lots/1", KEYED)).await;
            assert_eq!(told(&reply), $told);
            assert_eq!(rig.seen().len(), $sent, "requests sent");
            let claims = rig.agent.claims();
            assert_eq!(claims.len(), $claims, "claims asked for");
            assert!(claims.iter().all(|claim| claim.owner == claims[0].owner));
        }
    };
}

claim!(granted_key_runs, "POST", |_| Ok(ClaimResult::Granted), FINE, 1, 1);
claim!(granted_key_of_a_lookup_runs, "GET", |_| Ok(ClaimResult::Granted), FINE, 1, 1);
claim!(
    taken_key_is_refused,
    "POST",
    |_| Ok(ClaimResult::Taken),
    (409, "not-run", "idempotency-key-taken"),
    0,
    1
);
claim!(
    undecided_key_is_refused,
    "POST",
    |_| Ok(ClaimResult::Undecided),
    (503, "not-run", "idempotency-key-undecided"),
    0,
    2
);
claim!(
    failing_claim_is_refused,
    "POST",
    |_| Err(tonic::Status::unavailable("down")),
    (503, "not-run", "idempotency-key-undecided"),
    0,
    2
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resubmission_runs_once_however_often_it_is_sent() {
    let rig = rig(2, vec![]).await;
    let owners = parking_lot::Mutex::new(std::collections::HashMap::new());
    rig.agent.set_claims(Arc::new(move |claim| {
        let mut owners = owners.lock();
        let owner = owners.entry(claim.digest.clone()).or_insert(claim.owner.clone());
        Ok(if *owner == claim.owner { ClaimResult::Granted } else { ClaimResult::Taken })
    }));
    let mut replies = Vec::new();
    for _ in 0..4 {
        replies.push(rig.call(&request("POST", "/lots/1", KEYED)).await.status);
    }
    assert_eq!(replies, [200, 409, 409, 409]);
    assert_eq!(rig.seen().len(), 1);
}
