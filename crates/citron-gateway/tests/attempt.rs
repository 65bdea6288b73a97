//! Which response callers receive, and how often targets run a request, for each failure of a
//! target.

mod support;

use std::time::Duration;

use support::{
    TestFleet,
    caller::Caller,
    download, lookup, order,
    target::{Act, LONG_BYTES},
};
use tokio::time;

/// Defines a test that sends one request while every target behaves the same way.
macro_rules! attempt_test {
    ($name:ident, $act:expr, $request:ident, $status:literal, runs $least:literal..=$most:literal) => {
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(2).await;
            fleet.targets.iter().for_each(|target| target.set($act));
            let response = fleet.send(&$request("id-1")).await;
            let runs: usize = fleet.targets.iter().map(|target| target.runs("id-1")).sum();
            assert_eq!(response.status, $status, "{response:?}");
            assert!(($least..=$most).contains(&runs), "it ran {runs} times");
            if response.status == 503 {
                assert!(
                    response.header("retry-after").is_some(),
                    "a refusal without a time to retry"
                );
            }
            if response.status == 200 {
                assert!(response.whole && response.body.contains(" by t"), "{response:?}");
                assert!(response.header("upstream-signature").is_some());
            }
        }
    };
}

attempt_test!(a_lookup_is_served, Act::Serve, lookup, 200, runs 1..=1);
attempt_test!(an_order_is_served, Act::Serve, order, 200, runs 1..=1);
attempt_test!(a_chunked_response_is_forwarded_whole, Act::ServeChunked, order, 200, runs 1..=1);
attempt_test!(a_response_that_ends_with_its_connection_is_forwarded_whole, Act::ServeUnframed, order, 200, runs 1..=1);
attempt_test!(a_response_that_closes_its_connection_is_forwarded_whole, Act::ServeAndClose, order, 200, runs 1..=1);
attempt_test!(a_failure_of_an_order_is_forwarded, Act::Fail, order, 500, runs 1..=1);
attempt_test!(a_failed_lookup_is_tried_twice, Act::Fail, lookup, 500, runs 2..=2);
attempt_test!(a_shed_order_has_not_run, Act::Shed, order, 503, runs 0..=0);
attempt_test!(a_shed_lookup_has_not_run, Act::Shed, lookup, 503, runs 0..=0);
attempt_test!(a_misdirected_order_has_not_run, Act::Misdirect, order, 503, runs 0..=0);
attempt_test!(an_order_on_a_reset_connection_has_an_unknown_outcome, Act::Reset, order, 502, runs 1..=1);
attempt_test!(a_lookup_on_a_reset_connection_is_tried_twice, Act::Reset, lookup, 502, runs 2..=2);
attempt_test!(an_order_that_hangs_has_an_unknown_outcome, Act::Hang, order, 504, runs 1..=1);
attempt_test!(a_lookup_that_hangs_is_tried_twice, Act::Hang, lookup, 504, runs 1..=2);
attempt_test!(an_order_with_a_truncated_response_has_an_unknown_outcome, Act::CutBody, order, 502, runs 1..=1);
attempt_test!(a_lookup_with_a_truncated_response_is_tried_twice, Act::CutBody, lookup, 502, runs 2..=2);
attempt_test!(a_reset_does_not_end_a_body, Act::ResetUnframed, order, 502, runs 1..=1);
attempt_test!(a_response_to_another_request_is_dropped, Act::WrongId, order, 502, runs 1..=1);
// Guard against bytes that belong to no request, and reach the next caller as the answer to its own
// (review/12).
attempt_test!(an_error_page_without_an_id_is_dropped, Act::BreakOff("HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\npage"), order, 502, runs 1..=1);
attempt_test!(a_server_error_without_an_id_is_dropped, Act::BreakOff("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\npage"), order, 502, runs 1..=1);
attempt_test!(an_unsigned_response_is_dropped, Act::Unsigned, order, 502, runs 1..=1);
attempt_test!(an_invalid_response_is_dropped, Act::Garbage, order, 502, runs 1..=1);
attempt_test!(a_second_response_is_dropped, Act::ServeTwice, lookup, 200, runs 1..=1);

macro_rules! refusal_of_another_request {
    ($($name:ident: $status:literal, $id_header:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let act = Act::RefuseAnother { status: $status, id_header: $id_header };
            let fleet = TestFleet::start(2).await;
            // The connections are kept and reused.
            for n in 0..4 {
                assert_eq!(fleet.send(&lookup(&format!("before-{n}"))).await.status, 200);
            }
            fleet.targets.iter().for_each(|target| target.set(act));
            let response = fleet.send(&order("id-1")).await;
            let runs: usize = fleet.targets.iter().map(|target| target.runs("id-1")).sum();
            assert_eq!((response.status, runs), (502, 1), "{response:?}");
        }
    )*};
}

refusal_of_another_request! {
    a_refusal_of_another_request_is_no_refusal: "503 Service Unavailable", "Attempt-Id: another\r\n";
    a_refusal_of_another_request_for_its_rate_is_no_refusal:
        "429 Too Many Requests", "Attempt-Id: another\r\n";
    a_misdirection_of_another_request_is_none: "421 Misdirected Request", "Attempt-Id: another\r\n";
    a_refusal_without_an_id_is_no_refusal: "503 Service Unavailable", "";
    a_misdirection_without_an_id_is_none: "421 Misdirected Request", "";
}

macro_rules! head_that_breaks_off {
    ($($name:ident: $text:literal;)*) => {$(
        attempt_test!($name, Act::BreakOff($text), order, 502, runs 1..=1);
    )*};
}

head_that_breaks_off! {
    a_status_line_that_breaks_off_is_no_response: "HTTP/1.1 200 O";
    a_head_that_breaks_off_after_its_status_is_no_response: "HTTP/1.1 200 OK\r\n";
    a_head_that_breaks_off_in_a_name_is_no_response:
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: sig\r\nConte";
    a_head_that_breaks_off_in_its_length_is_no_response:
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: sig\r\nContent-Length: 1";
    a_head_that_breaks_off_after_a_line_is_no_response:
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: sig\r\n";
    a_head_that_breaks_off_in_its_last_line_is_no_response:
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: sig\r\n\r";
}

/// Defines a test of a status line at the edges of what is a final response; one outside them must
/// not reach the caller of an order that ran.
macro_rules! status_line {
    ($($name:ident: $line:literal => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            const TEXT: &str = concat!(
                $line,
                "\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 4\r\n\r\ntext"
            );
            let fleet = TestFleet::start(1).await;
            fleet.targets[0].set(Act::BreakOff(TEXT));
            let response = fleet.send(&order("id-1")).await;
            assert_eq!((response.status, fleet.targets[0].runs("id-1")), ($status, 1), "{response:?}");
            assert_eq!(response.header("upstream-signature").is_some(), $status != 502);
        }
    )*};
}

status_line! {
    status_000_is_no_response: "HTTP/1.1 000 X" => 502;
    status_099_is_no_response: "HTTP/1.1 099 X" => 502;
    status_100_without_another_is_no_response: "HTTP/1.1 100 Continue" => 502;
    status_101_is_no_response: "HTTP/1.1 101 Switching Protocols" => 502;
    status_103_without_another_is_no_response: "HTTP/1.1 103 Early Hints" => 502;
    status_199_is_no_response: "HTTP/1.1 199 X" => 502;
    status_200_is_a_response: "HTTP/1.1 200 OK" => 200;
    status_299_is_a_response: "HTTP/1.1 299 X" => 299;
    status_499_is_a_response: "HTTP/1.1 499 X" => 499;
    status_599_is_a_response: "HTTP/1.1 599 X" => 599;
    status_600_is_no_response: "HTTP/1.1 600 X" => 502;
    status_999_is_no_response: "HTTP/1.1 999 X" => 502;
    a_status_of_two_digits_is_no_response: "HTTP/1.1 20 OK" => 502;
    a_status_of_four_digits_is_no_response: "HTTP/1.1 2000 OK" => 502;
    a_status_that_is_no_number_is_no_response: "HTTP/1.1 2x0 OK" => 502;
    a_status_without_a_protocol_is_no_response: "200 OK" => 502;
    another_protocol_is_no_response: "ICY/1.1 200 OK" => 502;
    a_later_protocol_is_no_response: "HTTP/2.0 200 OK" => 502;
    an_interim_100_is_skipped: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" => 200;
    an_interim_103_is_skipped:
        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 200 OK" => 200;
    status_000_after_an_interim_100_is_no_response:
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X" => 502;
}

/// A malformed response on a connection that was reused must count against its target, unlike the
/// end of a connection that was idle.
#[tokio::test]
async fn orders_avoid_a_target_that_sends_a_status_outside_the_range() {
    for text in ["HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 600 X\r\nAttempt-Id: {id}\r\n\r\n"] {
        let fleet = TestFleet::start(3).await;
        for n in 0..9 {
            assert_eq!(fleet.send(&order(&format!("before-{n}"))).await.status, 200);
        }
        fleet.targets[0].set(Act::BreakOff(text));
        let mut statuses = Vec::new();
        for n in 0..30 {
            statuses.push(fleet.send(&order(&format!("id-{n}"))).await.status);
        }
        let failed = statuses.iter().filter(|status| **status != 200).count();
        assert!(failed <= 1, "{statuses:?}");
    }
}

#[tokio::test]
async fn a_lookup_whose_target_sends_a_status_outside_the_range_is_served_by_another() {
    for text in ["HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 600 X\r\nAttempt-Id: {id}\r\n\r\n"] {
        let fleet = TestFleet::start(2).await;
        fleet.targets[0].set(Act::BreakOff(text));
        for n in 0..4 {
            assert_eq!(fleet.send(&lookup(&format!("id-{n}"))).await.status, 200);
        }
    }
}

#[tokio::test]
async fn a_lookup_is_served_by_the_second_target() {
    for act in [Act::Fail, Act::Reset, Act::Shed, Act::CutBody, Act::Hang, Act::WrongId] {
        let fleet = TestFleet::start(2).await;
        fleet.targets[0].set(act);
        for n in 0..4 {
            let response = fleet.send(&lookup(&format!("id-{n}"))).await;
            assert_eq!(response.status, 200, "{act:?}: {response:?}");
        }
    }
}

#[tokio::test]
async fn an_order_that_was_shed_is_served_by_the_second_target() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::Shed);
    for n in 0..4 {
        let id = format!("id-{n}");
        let response = fleet.send(&order(&id)).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(fleet.targets[1].runs(&id), 1);
    }
}

#[tokio::test]
async fn orders_avoid_a_target_that_failed() {
    let fleet = TestFleet::start(3).await;
    fleet.targets[0].set(Act::Fail);
    let mut failed = 0;
    for n in 0..30 {
        failed += u32::from(fleet.send(&order(&format!("id-{n}"))).await.status == 500);
    }
    assert!(failed <= 1, "{failed} orders failed");
}

#[tokio::test]
async fn orders_avoid_a_target_that_reset_the_connection_of_another_gateway() {
    let fleet = TestFleet::start(3).await;
    let other = support::gateway("entry-2", &fleet.store).await;
    support::eventually("the other is ready", async || support::ready(&other).await == 200).await;
    time::sleep(Duration::from_millis(500)).await;
    fleet.targets[0].set(Act::Reset);
    while fleet.targets[0].seen().is_empty() {
        fleet.send(&lookup("found-out")).await;
    }
    time::sleep(Duration::from_millis(100)).await;
    let met_before = fleet.targets[0].seen().len();
    fleet.targets[1..].iter().for_each(|target| target.set(Act::ServeAfter(700)));
    let mut callers = Vec::new();
    for n in 0..8 {
        let mut caller = Caller::connect(other.callers()).await;
        caller.send(&order(&format!("id-{n}")).text()).await;
        callers.push(caller);
        time::sleep(Duration::from_millis(50)).await;
    }
    for mut caller in callers {
        assert_eq!(caller.answer().await.status, 200);
    }
    assert_eq!(fleet.targets[0].seen().len(), met_before);
}

#[tokio::test]
async fn responses_after_a_second_response_belong_to_their_requests() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeTwice);
    for n in 0..10 {
        let id = format!("id-{n}");
        let response = fleet.send(&lookup(&id)).await;
        if response.status == 200 {
            assert_eq!(response.header("attempt-id"), Some(id.as_str()));
        }
    }
}

#[tokio::test]
async fn a_request_without_a_response_ends_at_its_route_timeout() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::Hang);
    let began = time::Instant::now();
    let response = fleet.send(&order("id-1")).await;
    assert_eq!(response.status, 504);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(990) && took < Duration::from_millis(1500), "{took:?}");
}

#[tokio::test]
async fn a_caller_deadline_before_the_route_timeout_applies() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::Hang);
    let began = time::Instant::now();
    let mut request = order("id-1");
    request.remaining_ms = 300;
    assert_eq!(fleet.send(&request).await.status, 504);
    assert!(began.elapsed() < Duration::from_millis(800));
    let given: u64 =
        fleet.targets[0].seen()[0].headers["deadline-remaining-ms"].parse().expect("a number");
    assert!(given <= 300, "the target is given {given} ms");
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeAfter(3000));
    let mut caller = fleet.caller().await;
    caller.send(&lookup("id-1").text()).await;
    support::eventually("the target runs it", async || fleet.targets[0].runs("id-1") == 1).await;
    drop(caller);
    let began = time::Instant::now();
    support::eventually("the target sees the disconnect", async || {
        fleet.targets[0].left() == ["id-1"]
    })
    .await;
    assert!(began.elapsed() < Duration::from_millis(400));
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_all_its_pipelined_requests() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeAfter(3000));
    let mut caller = fleet.caller().await;
    caller.send(&(lookup("id-1").text() + &lookup("id-2").text())).await;
    support::eventually("both run", async || fleet.targets[0].seen().len() == 2).await;
    drop(caller);
    support::eventually("both end", async || fleet.targets[0].left().len() == 2).await;
}

#[tokio::test]
async fn a_long_response_is_forwarded_whole() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeLong);
    let response = fleet.send(&lookup("id-1")).await;
    assert!(response.whole);
    assert_eq!(response.body.len(), LONG_BYTES);
}

#[tokio::test]
async fn a_download_whose_target_resets_before_the_head_is_served_by_another() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::Reset);
    fleet.targets[1].set(Act::ServeLong);
    for n in 0..4 {
        let response = fleet.send(&download(&format!("id-{n}"))).await;
        assert!(response.status == 200 && response.whole, "{:?}", response.status);
        assert_eq!(response.body.len(), LONG_BYTES);
    }
}

#[tokio::test]
async fn a_download_that_breaks_off_is_not_whole_and_not_sent_again() {
    let fleet = TestFleet::start(2).await;
    fleet.targets.iter().for_each(|target| target.set(Act::CutLong));
    let response = fleet.send(&download("id-1")).await;
    assert!(!response.whole && response.body.len() < LONG_BYTES);
    assert_eq!(fleet.targets.iter().map(|target| target.runs("id-1")).sum::<usize>(), 1);
}

#[tokio::test]
async fn a_target_that_broke_off_a_download_is_avoided() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::CutLong);
    fleet.targets[1].set(Act::ServeLong);
    let mut broken = 0;
    for n in 0..20 {
        broken += u32::from(!fleet.send(&download(&format!("id-{n}"))).await.whole);
    }
    // One that finds the fault out, and trials.
    assert!((1..=3).contains(&broken), "{broken} downloads broke off");
}

#[tokio::test]
async fn idempotent_requests_reuse_connections() {
    let fleet = TestFleet::start(1).await;
    for n in 0..5 {
        assert_eq!(fleet.send(&lookup(&format!("id-{n}"))).await.status, 200);
    }
    assert_eq!(fleet.targets[0].connections(), 1);
}

#[tokio::test]
async fn a_lookup_at_a_slow_target_is_hedged_at_another() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::ServeAfter(900));
    for n in 0..4 {
        let began = time::Instant::now();
        assert_eq!(fleet.send(&lookup(&format!("id-{n}"))).await.status, 200);
        assert!(began.elapsed() < Duration::from_millis(600));
    }
}

/// Defines a test in which targets run an order and fail it with a status that would promise the
/// caller that it has not run.
macro_rules! order_that_ran_and_failed_is_not_promised_not_to_have_run {
    ($($name:ident: $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            const FAILED: &str = concat!(
                "HTTP/1.1 ", $status,
                " Failed\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 4\r\n\r\nfail"
            );
            let fleet = TestFleet::start(2).await;
            fleet.targets.iter().for_each(|target| target.set(Act::BreakOff(FAILED)));
            let response = fleet.send(&order("id-1")).await;
            let runs: usize = fleet.targets.iter().map(|target| target.runs("id-1")).sum();
            assert_eq!((response.status, runs), (502, 1), "{response:?}");
            assert_eq!(response.header("upstream-signature"), None, "it is no target's response");
        }
    )*};
}

order_that_ran_and_failed_is_not_promised_not_to_have_run! {
    an_order_that_ran_and_failed_with_503_is_not_promised_not_to_have_run: 503;
    an_order_that_ran_and_failed_with_429_is_not_promised_not_to_have_run: 429;
    an_order_that_ran_and_failed_with_408_is_not_promised_not_to_have_run: 408;
}

#[tokio::test]
async fn a_lookup_that_failed_with_503_keeps_the_status_of_its_target() {
    const FAILED: &str = "HTTP/1.1 503 Failed\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 4\r\n\r\nfail";
    let fleet = TestFleet::start(2).await;
    fleet.targets.iter().for_each(|target| target.set(Act::BreakOff(FAILED)));
    let response = fleet.send(&lookup("id-1")).await;
    assert_eq!((response.status, response.header("upstream-signature")), (503, Some("s")));
}
