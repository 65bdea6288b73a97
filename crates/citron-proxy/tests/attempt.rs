//! Attempts over real connections: which are retried, which never are, and what the caller
//! receives.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use citron_daemon::Clock;
use citron_wire::ClaimResult;
use support::{
    Action, ReceivedRequest, Response, Rig, Script, TIMEOUT, read_response, respond, wait_for,
};
use tokio::{io::AsyncWriteExt, sync::Notify, time};

const SHED: &str = "HTTP/1.1 503 Busy\r\ncitron-request-id: {id}\r\ncitron-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
const FOREIGN: &str =
    "HTTP/1.1 200 OK\r\ncitron-request-id: other\r\ncontent-length: 6\r\n\r\nsecret";
const NO_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecret";
const FOREIGN_SHED: &str = "HTTP/1.1 503 Busy\r\ncitron-request-id: other\r\ncitron-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

fn write(text: &str) -> Vec<Action> {
    vec![Action::Write(text.to_owned())]
}

fn good() -> Vec<Action> {
    vec![respond("200 OK", "", "fine")]
}

fn hang() -> Vec<Action> {
    vec![Action::Hang(Arc::default())]
}

/// Returns scripts for `count` targets: the n-th request, at whichever target, gets the n-th list
/// of `actions`, and any later request a good response.
fn scripts(count: usize, actions: Vec<Vec<Action>>) -> Vec<Script> {
    let turn = Arc::new(AtomicUsize::new(0));
    let script: Script = Arc::new(move |_: &ReceivedRequest| {
        let turn = turn.fetch_add(1, Ordering::SeqCst);
        actions.get(turn).cloned().unwrap_or_else(good)
    });
    vec![script; count]
}

async fn rig(targets: usize, actions: Vec<Vec<Action>>) -> Rig {
    Rig::start(scripts(targets, actions)).await
}

fn request(method: &str, path: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n{headers}content-length: 0\r\n\r\n"
    )
}

fn summary(response: &Response) -> (u16, &str, &str) {
    (response.status, response.outcome(), response.reason())
}

/// Sends one request to two targets that act in turn as listed, and checks what the caller receives
/// and how often the request was sent. A good request must be served afterwards.
macro_rules! fault {
    ($name:ident, $method:literal, $path:literal, $headers:literal, [$($actions:expr),*], $expected:expr, $sent:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig(2, vec![$($actions),*]).await;
            let response = rig.call(&request($method, $path, $headers)).await;
            assert_eq!(summary(&response), $expected, "{response:?}");
            assert_eq!(rig.received().len(), $sent, "requests sent");
            assert!(!response.text().contains("secret"), "a foreign response must not be forwarded");
            let fine = rig.call(&request("GET", "/lots/2", "")).await;
            assert_eq!(summary(&fine), (200, "answered", "none"), "it must still serve");
        }
    };
}

const FINE: (u16, &str, &str) = (200, "answered", "none");

fault!(
    order_connection_closed,
    "POST",
    "/lots/1",
    "",
    [vec![Action::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(lookup_connection_closed, "GET", "/lots/1", "", [vec![Action::Close]], FINE, 2);
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
    order_shed_then_connection_closed,
    "POST",
    "/lots/1",
    "",
    [write(SHED), vec![Action::Close]],
    (502, "unknown", "target-broken"),
    2
);
fault!(
    lookup_connection_closed_then_shed,
    "GET",
    "/lots/1",
    "",
    [vec![Action::Close], write(SHED), write(SHED)],
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
    order_shed_without_an_id,
    "POST",
    "/lots/1",
    "",
    [write("HTTP/1.1 503 Busy\r\ncitron-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n")],
    (502, "unknown", "foreign-answer"),
    1
);

/// Sends an order to a target that closes the connection in the middle of its response's head.
macro_rules! head_that_breaks_off {
    ($($name:ident: $text:literal;)*) => {$(
        fault!(
            $name,
            "POST",
            "/lots/1",
            "",
            [vec![Action::Write($text.to_owned()), Action::Close]],
            (502, "unknown", "target-broken"),
            1
        );
    )*};
}

head_that_breaks_off! {
    a_status_line_that_breaks_off_is_no_response: "HTTP/1.1 200 O";
    a_head_that_breaks_off_after_its_status_is_no_response: "HTTP/1.1 200 OK\r\n";
    a_head_that_breaks_off_in_a_name_is_no_response:
        "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\nconte";
    a_head_that_breaks_off_in_its_length_is_no_response:
        "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 1";
    a_head_that_breaks_off_after_a_line_is_no_response:
        "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\n";
    a_head_that_breaks_off_in_its_last_line_is_no_response:
        "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\n\r";
}

/// Sends an order to a target that responds with a status line at the edges of what is a final
/// response; one outside them must not reach the caller.
macro_rules! status_line {
    ($($name:ident: $line:literal => $expected:expr;)*) => {$(
        fault!(
            $name,
            "POST",
            "/lots/1",
            "",
            [vec![
                Action::Write(
                    concat!($line, "\r\ncitron-request-id: {id}\r\ncontent-length: 4\r\n\r\ntext")
                        .to_owned()
                ),
                Action::Close
            ]],
            $expected,
            1
        );
    )*};
}

const BROKEN: (u16, &str, &str) = (502, "unknown", "target-broken");

status_line! {
    status_000_is_no_response: "HTTP/1.1 000 X" => BROKEN;
    status_099_is_no_response: "HTTP/1.1 099 X" => BROKEN;
    status_100_without_another_is_no_response: "HTTP/1.1 100 Continue" => BROKEN;
    status_101_is_no_response: "HTTP/1.1 101 Switching Protocols" => BROKEN;
    status_103_without_another_is_no_response: "HTTP/1.1 103 Early Hints" => BROKEN;
    status_199_is_no_response: "HTTP/1.1 199 X" => BROKEN;
    status_200_is_a_response: "HTTP/1.1 200 OK" => FINE;
    status_499_is_a_response: "HTTP/1.1 499 X" => (499, "answered", "none");
    status_599_is_a_response: "HTTP/1.1 599 X" => (599, "answered", "none");
    status_600_is_no_response: "HTTP/1.1 600 X" => BROKEN;
    status_999_is_no_response: "HTTP/1.1 999 X" => BROKEN;
    a_status_of_two_digits_is_no_response: "HTTP/1.1 20 OK" => BROKEN;
    a_status_of_four_digits_is_no_response: "HTTP/1.1 2000 OK" => BROKEN;
    a_status_without_a_protocol_is_no_response: "200 OK" => BROKEN;
    another_protocol_is_no_response: "ICY/1.1 200 OK" => BROKEN;
    an_interim_100_is_skipped: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" => FINE;
    an_interim_103_is_skipped:
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK" => FINE;
}

fault!(
    order_shed_by_a_foreign_response,
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
    [vec![Action::Write("HTTP/1.1 200 OK\r\ncitron-req".to_owned()), Action::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(
    order_answered_with_garbage,
    "POST",
    "/lots/1",
    "",
    [vec![Action::Write("\u{16}\u{3}\r\n\r\n".to_owned()), Action::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(
    order_stalled,
    "POST",
    "/lots/1",
    "citron-deadline-ms: 2000\r\n",
    [hang()],
    (504, "unknown", "deadline-passed"),
    1
);
fault!(lookup_stalled, "GET", "/lots/1", "citron-deadline-ms: 6000\r\n", [hang()], FINE, 2);
fault!(
    patch_connection_closed,
    "PATCH",
    "/lots/1",
    "",
    [vec![Action::Close]],
    (502, "unknown", "target-broken"),
    1
);
fault!(put_connection_closed, "PUT", "/lots/1", "", [vec![Action::Close]], FINE, 2);
fault!(delete_connection_closed, "DELETE", "/lots/1", "", [vec![Action::Close]], FINE, 2);
fault!(post_on_idempotent_route, "POST", "/lots/search/a", "", [vec![Action::Close]], FINE, 2);
fault!(
    order_answered_with_503,
    "POST",
    "/lots/1",
    "",
    [vec![respond("503 Busy", "", "")]],
    (503, "answered", "none"),
    1
);
fault!(
    order_answered_with_500,
    "POST",
    "/lots/1",
    "",
    [vec![respond("500 Oops", "", "")]],
    (500, "answered", "none"),
    1
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_target_refuses_connections_is_not_run_or_moves_on() {
    let mut rig = rig(1, vec![]).await;
    rig.targets[0].stop().await;
    let response = rig.call(&request("POST", "/lots/1", "")).await;
    assert_eq!(summary(&response), (503, "not-run", "target-unreachable"));
    assert_eq!(rig.received().len(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_order_moves_on_when_a_target_refuses_connections() {
    let mut rig = rig(2, vec![]).await;
    rig.targets[0].stop().await;
    let body = "a".repeat(200_000);
    for _ in 0..4 {
        let head = request("POST", "/lots/1", "").replace("length: 0", "length: 200000");
        let response = rig.call(&format!("{head}{body}")).await;
        assert_eq!(summary(&response), FINE);
    }
    let received = rig.received();
    assert_eq!(received.len(), 4);
    assert!(received.iter().all(|request| request.complete && request.body == body.as_bytes()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_body_is_not_sent_again() {
    let rig = rig(2, vec![vec![Action::Close]]).await;
    let head = request("PUT", "/lots/1", "").replace("length: 0", "length: 200000");
    let response = rig.call(&format!("{head}{}", "a".repeat(200_000))).await;
    assert_eq!(summary(&response), (502, "unknown", "target-broken"));
    assert_eq!(rig.received().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_use_a_new_connection_each() {
    let rig = rig(1, vec![]).await;
    rig.call(&request("GET", "/lots/1", "")).await;
    for _ in 0..3 {
        assert_eq!(summary(&rig.call(&request("POST", "/lots/1", "")).await), FINE);
    }
    let connections: Vec<usize> = rig.received().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_layer_below_repeats_a_lookup_on_a_stale_connection() {
    // The first lookup leaves a pooled connection, on which the second is read and dropped.
    let rig = rig(1, vec![good(), vec![Action::Close]]).await;
    for _ in 0..2 {
        assert_eq!(summary(&rig.call(&request("GET", "/lots/1", "")).await), FINE);
    }
    let connections: Vec<usize> = rig.received().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 0, 1], "only the counted retry may follow");
    let metrics = support::admin(&rig.proxy, "/metrics").await;
    let retries = "citron_proxy_retries_total{service=\"lot-desk\"} 1";
    assert!(metrics.contains(retries), "{metrics}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_response_reaches_nobody_and_its_connection_is_not_used_again() {
    let release = Arc::new(Notify::new());
    let late = vec![Action::Wait(Arc::clone(&release)), respond("200 OK", "", "late")];
    let rig = rig(1, vec![late]).await;
    let first = rig.call(&request("GET", "/lots/1", "citron-deadline-ms: 6000\r\n")).await;
    assert_eq!((summary(&first), first.text().as_str()), (FINE, "fine"));
    release.notify_one();
    for _ in 0..3 {
        let response = rig.call(&request("GET", "/lots/2", "")).await;
        assert_eq!((summary(&response), response.text().as_str()), (FINE, "fine"));
    }
    let received = rig.received();
    assert!(
        received[1..].iter().all(|request| request.connection != 0),
        "connection 0 must stay unused"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_nobody_asked_for_reaches_nobody() {
    let twice = vec![respond("200 OK", "", "fine"), Action::Write(FOREIGN.to_owned())];
    let rig = rig(1, vec![twice]).await;
    for _ in 0..4 {
        let response = rig.call(&request("GET", "/lots/1", "")).await;
        assert_eq!((summary(&response), response.text().as_str()), (FINE, "fine"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_silent_connection_fails_one_attempt() {
    let deadline = "citron-deadline-ms: 6000\r\n";
    // Connection 0 goes silent after one response.
    let script: Script =
        Arc::new(
            move |received: &ReceivedRequest| {
                if received.connection == 0 && received.index > 0 { hang() } else { good() }
            },
        );
    let rig = Rig::start(vec![script]).await;
    for _ in 0..4 {
        let response = rig.call(&request("GET", "/lots/1", deadline)).await;
        assert_eq!(summary(&response), FINE);
    }
    let silent = rig.received().iter().filter(|request| request.connection == 0).count();
    assert_eq!(silent, 2, "one response and one attempt without");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_ends_its_attempt() {
    let ended = Arc::new(Notify::new());
    let rig = rig(1, vec![vec![Action::Hang(Arc::clone(&ended))]]).await;
    let mut stream = rig.caller().connect().await;
    stream.write_all(request("POST", "/lots/1", "").as_bytes()).await.expect("write");
    wait_for(|| async { rig.received().len() == 1 }).await;
    drop(stream);
    time::timeout(TIMEOUT, ended.notified()).await.expect("the attempt must end early");
    wait_for(|| async { support::status(&rig.proxy).await["in_flight"] == 0 }).await;
    assert!(support::admin(&rig.proxy, "/events").await.contains("caller-gone"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_while_a_response_stalls_ends_its_attempt() {
    let ended = Arc::new(Notify::new());
    let head = "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 9\r\n\r\nabc";
    let actions = vec![Action::Write(head.to_owned()), Action::Hang(Arc::clone(&ended))];
    let rig = rig(1, vec![actions]).await;
    let mut stream = rig.caller().connect().await;
    stream.write_all(request("GET", "/lots/1", "").as_bytes()).await.expect("write");
    wait_for(|| async { rig.received().len() == 1 }).await;
    drop(stream);
    time::timeout(TIMEOUT, ended.notified()).await.expect("the attempt must end early");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_gives_its_slot_back_at_the_deadline() {
    let rig = rig(1, vec![vec![respond("200 OK", "", &"x".repeat(20_000_000))]]).await;
    let mut stream = rig.caller().connect().await;
    let headers = "citron-deadline-ms: 2000\r\n";
    stream.write_all(request("POST", "/lots/1", headers).as_bytes()).await.expect("write");
    wait_for(|| async { rig.received().len() == 1 }).await;
    wait_for(|| async { support::status(&rig.proxy).await["in_flight"] == 0 }).await;
    assert!(!read_response(&mut stream, false).await.complete);
}

/// A caller that disconnects in the middle of its body must not leave a target with an order that
/// looks complete.
macro_rules! abandoned_upload {
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
            wait_for(|| async { rig.received().len() == 1 }).await;
            assert!(!rig.received()[0].complete, "a partial body must not look complete");
        }
    };
}

abandoned_upload!(
    a_caller_that_leaves_a_chunked_upload,
    "transfer-encoding: chunked",
    format!("11170\r\n{}\r\n", "a".repeat(70_000))
);
abandoned_upload!(a_caller_that_leaves_a_long_upload, "content-length: 100000", "a".repeat(70_000));

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_foreign_response_is_an_event() {
    let rig = rig(1, vec![write(FOREIGN)]).await;
    rig.call(&request("POST", "/lots/1", "")).await;
    let events = support::admin(&rig.proxy, "/events").await;
    assert!(events.contains("foreign-answer") && events.contains("outcome-unknown"), "{events}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 100;
    let rig = rig(2, vec![vec![Action::Close]; 1000]).await;
    for _ in 0..REQUESTS {
        rig.call(&request("GET", "/lots/1", "")).await;
    }
    let sent = rig.received().len();
    assert!(sent <= REQUESTS + 20 + REQUESTS / 5, "{sent} requests sent");
}

const KEYED: &str = "idempotency-key: k1\r\n";

macro_rules! claim {
    ($name:ident, $method:literal, $claim:expr, $expected:expr, $sent:literal, $claims:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig(1, vec![]).await;
            rig.agent.set_claims(Arc::new($claim));
            let response = rig.call(&request($method, "/lots/1", KEYED)).await;
            assert_eq!(summary(&response), $expected);
            assert_eq!(rig.received().len(), $sent, "requests sent");
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
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(rig.call(&request("POST", "/lots/1", KEYED)).await.status);
    }
    assert_eq!(statuses, [200, 409, 409, 409]);
    assert_eq!(rig.received().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_replaced_another_does_not_use_its_retries_once_more() {
    let actions = vec![write(SHED); 40];
    let rig = Rig::start_at(scripts(2, actions), &[], Clock::start()).await;
    for _ in 0..20 {
        rig.call(&request("GET", "/lots/1", "")).await;
    }
    assert_eq!(rig.received().len(), 20, "no request is sent twice");
}
