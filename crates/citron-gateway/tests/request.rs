//! Which requests callers may send, and how they reach the target.

mod support;

use std::time::Duration;

use support::{
    Request, TestFleet, lookup, order,
    target::{Act, LONG_BYTES},
};
use tokio::time;

#[tokio::test]
async fn a_request_reaches_its_target_unchanged() {
    let fleet = TestFleet::start(1).await;
    let mut request = order("id-1");
    request.extra = "X-Kept: yes\r\nX-Hop: no\r\nConnection: keep-alive, x-hop\r\n";
    assert_eq!(fleet.send(&request).await.status, 200);
    let seen = &fleet.targets[0].seen()[0];
    assert_eq!(seen.first_line, "POST /orders/7 HTTP/1.1");
    assert_eq!(seen.body, "3 sacks");
    assert_eq!(seen.headers["host"], "one.example");
    assert_eq!(seen.headers["attempt-id"], "id-1");
    assert_eq!(seen.headers["x-kept"], "yes");
    assert_eq!(seen.headers["expect-instance"], "t0");
    assert!(!seen.headers.contains_key("x-hop"));
    let given: u64 = seen.headers["deadline-remaining-ms"].parse().expect("a number");
    assert!(given <= 1000, "no more than the route's timeout, not {given} ms");
}

#[tokio::test]
async fn a_chunked_body_reaches_its_target_whole() {
    let fleet = TestFleet::start(1).await;
    let mut caller = fleet.caller().await;
    caller
        .send("POST /orders/7 HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: id-1\r\nDeadline-Remaining-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n3 \r\n5;x=1\r\nsacks\r\n0\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.status, 200);
    assert_eq!(fleet.targets[0].seen()[0].body, "3 sacks");
}

#[tokio::test]
async fn pipelined_requests_are_forwarded_concurrently_and_answered_in_order() {
    let fleet = TestFleet::start(3).await;
    fleet.targets.iter().for_each(|target| target.set(Act::ServeAfter(100)));
    let mut caller = fleet.caller().await;
    let began = time::Instant::now();
    let ids = ["id-0", "id-1", "id-2", "id-3", "id-4"];
    caller.send(&ids.iter().map(|id| lookup(id).text()).collect::<String>()).await;
    for id in ids {
        let response = caller.answer().await;
        assert_eq!((response.status, response.header("attempt-id")), (200, Some(id)));
    }
    assert!(began.elapsed() < Duration::from_millis(350), "{:?}", began.elapsed());
}

#[tokio::test]
async fn requests_after_a_closing_response_are_not_forwarded() {
    let fleet = TestFleet::start(1).await;
    let mut first = lookup("id-1");
    first.extra = "Connection: close\r\n";
    let mut caller = fleet.caller().await;
    caller.send(&(first.text() + &lookup("id-2").text())).await;
    let response = caller.answer().await;
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    assert!(caller.is_closed().await);
    assert_eq!(fleet.targets[0].runs("id-2"), 0);
}

#[tokio::test]
async fn a_caller_that_expects_it_receives_100_continue() {
    let fleet = TestFleet::start(1).await;
    let mut caller = fleet.caller().await;
    let text = order("id-1").text().replace("Host", "Expect: 100-continue\r\nHost");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
    caller.send(&format!("{head}\r\n\r\n")).await;
    assert_eq!(caller.answer().await.status, 100);
    caller.send(body).await;
    assert_eq!(caller.answer().await.status, 200);
}

#[tokio::test]
async fn a_response_to_get_has_a_body() {
    let fleet = TestFleet::start(1).await;
    let request = Request { method: "GET", ..lookup("id-1") };
    let length = fleet.send(&request).await.body.len();
    assert!(length > 0);
}

macro_rules! refused {
    ($name:ident, $text:expr, $status:literal) => {
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(1).await;
            let mut caller = fleet.caller().await;
            let text: String = $text;
            caller.send(&text).await;
            let response = caller.answer().await;
            assert_eq!((response.status, response.header("connection")), ($status, Some("close")));
            assert!(caller.is_closed().await);
            assert!(fleet.targets[0].seen().is_empty(), "a target ran it");
        }
    };
}

refused!(not_http, "what is this\r\n\r\n".to_owned(), 400);
refused!(no_host, "GET /lots/1 HTTP/1.1\r\n\r\n".to_owned(), 400);
refused!(two_hosts, lookup("i").text().replace("Host", "Host: two.example\r\nHost"), 400);
refused!(
    two_lengths,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd".to_owned(),
    400
);
refused!(
    length_and_chunks,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
    400
);
refused!(
    unsupported_transfer_coding,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        .to_owned(),
    400
);
refused!(
    malformed_chunk_size,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"
        .to_owned(),
    400
);
refused!(
    signed_length,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: +3\r\n\r\nabc".to_owned(),
    400
);
refused!(
    absolute_form_uri,
    "GET http://one.example/lots/1 HTTP/1.1\r\nHost: one.example\r\n\r\n".to_owned(),
    400
);
refused!(
    long_head,
    format!("GET /lots/1 HTTP/1.1\r\nHost: one.example\r\nX: {}\r\n\r\n", "x".repeat(3000)),
    431
);
refused!(
    long_body,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 5000\r\n\r\n".to_owned(),
    413
);
refused!(
    long_chunks,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n"
        .to_owned(),
    413
);
// Guards against a sum of the sizes that wraps, so that the limit does not hold.
refused!(
    a_chunk_of_the_largest_size,
    "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nffffffffffffffff\r\nyz"
        .to_owned(),
    413
);
refused!(slow_head, "GET /lots/1 HTTP/1.1\r\nHost: one".to_owned(), 408);

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let fleet = TestFleet::start(1).await;
    let request = Request { path: "/elsewhere/1", ..lookup("id-1") };
    let response = fleet.send(&request).await;
    assert_eq!(response.status, 404);
    assert_eq!(response.header("connection"), None, "the connection stays open");
}

#[tokio::test]
async fn an_idle_connection_stays_open_within_the_limit() {
    let fleet = TestFleet::start(1).await;
    let mut caller = fleet.caller().await;
    caller.send(&lookup("id-1").text()).await;
    assert_eq!(caller.answer().await.status, 200);
    time::sleep(Duration::from_millis(2400)).await;
    caller.send(&lookup("id-2").text()).await;
    assert_eq!(caller.answer().await.status, 200);
    assert!(caller.is_closed().await, "and is closed after it");
}

/// The first response fills the buffers of a caller that does not read; the hedge of the request
/// behind it is due meanwhile.
#[tokio::test]
async fn a_response_that_is_being_written_does_not_hold_up_the_requests_behind_it() {
    const ENDLESS: Act = Act::Endless {
        start: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\n\r\n",
        repeat: "x",
    };
    let fleet = TestFleet::start(2).await;
    for target in &fleet.targets {
        target.set_plan(|seen| if seen.id() == "id-1" { ENDLESS } else { Act::Hang });
    }
    let mut caller = fleet.caller().await;
    caller.send(&lookup("id-1").text()).await;
    caller.send(&lookup("id-2").text()).await;
    time::sleep(Duration::from_millis(600)).await;
    let attempts: usize = fleet.targets.iter().map(|target| target.runs("id-2")).sum();
    assert_eq!(attempts, 2, "the second request is hedged");
}

#[tokio::test]
async fn requests_behind_a_long_response_that_breaks_off_are_answered() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: x\r\nContent-Length: 300000\r\n\r\n";
    let cut: &'static str = format!("{head}{}", "x".repeat(150_000)).leak();
    let fleet = TestFleet::start(2).await;
    for target in &fleet.targets {
        target.set_plan(move |seen| match seen.id() {
            "id-0" => Act::BreakOff(cut),
            _ => Act::ServeLong,
        });
    }
    let mut caller = fleet.caller().await;
    let ids: Vec<String> = (0..5).map(|n| format!("id-{n}")).collect();
    let text: String = ids.iter().map(|id| lookup(id).text()).collect();
    caller.send(&text).await;
    assert_eq!(caller.answer().await.status, 502, "none of it was forwarded");
    for id in &ids[1..] {
        let response = caller.answer().await;
        assert_eq!((response.status, response.header("attempt-id")), (200, Some(id.as_str())));
        assert!(response.whole && response.body.len() == LONG_BYTES);
    }
}

#[tokio::test]
async fn a_long_response_that_breaks_off_is_visibly_cut_without_requests_behind_it() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: x\r\nContent-Length: 300000\r\n\r\n";
    let cut: &'static str = format!("{head}{}", "x".repeat(150_000)).leak();
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::BreakOff(cut));
    let response = fleet.send(&lookup("id-1")).await;
    assert_eq!((response.status, response.whole), (200, false));
}

#[tokio::test]
async fn a_head_that_comes_in_parts_after_a_long_idle_time_has_its_own_time() {
    let fleet = TestFleet::start(1).await;
    let mut caller = fleet.caller().await;
    // The head has 0.4 s, an idle connection 3 s.
    time::sleep(Duration::from_millis(700)).await;
    let text = lookup("id-1").text();
    let (start, rest) = text.split_at(20);
    caller.send(start).await;
    time::sleep(Duration::from_millis(100)).await;
    caller.send(rest).await;
    assert_eq!(caller.answer().await.status, 200);
}

#[tokio::test]
async fn many_headers_within_the_limit_of_the_head_are_passed_on_both_ways() {
    let fleet = TestFleet::start(1).await;
    let headers = (0..150).map(|n| format!("h{n}: 1\r\n")).collect::<String>().leak();
    fleet.targets[0].set(Act::ServeWith(headers));
    let response = fleet.send(&Request { extra: headers, ..lookup("id-1") }).await;
    assert_eq!((response.status, response.header("h149")), (200, Some("1")));
    assert_eq!(fleet.targets[0].seen()[0].headers["h149"], "1");
}
