//! Targets that send bytes without end: each request ends in time with a truthful answer, the
//! target's connection is closed, and memory stays bounded.

mod support;

use std::time::Duration;

use citron_stand::endless::{self, Received, memory_peak_kib};
use support::{Request, TestFleet, eventually, lookup, order, target::Act};
use tokio::time;

/// The memory that a process may use at the size that the design is made for, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 * 1024;
/// How long after a request's deadline its answer may end.
const LATE_MAX: Duration = Duration::from_millis(500);
/// The route's timeout in these tests.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
/// How many requests are sent at once, few enough that none is refused for want of capacity.
const CONCURRENT_REQUESTS: usize = 4;

/// Defines a test that sends requests to a target which answers each without end.
macro_rules! endless {
    ($name:ident, $request:ident, $start:expr, $repeat:expr, $expected:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let fleet = TestFleet::start(1).await;
            fleet.targets[0].set(Act::Endless { start: $start, repeat: $repeat });
            let ids: Vec<String> = (0..CONCURRENT_REQUESTS).map(|n| format!("id-{n}")).collect();
            let began = time::Instant::now();
            let responses = ids.iter().map(|id| async {
                let request = Request { extra: "Connection: close\r\n", ..$request(id) };
                let text = request.text();
                let call = endless::call(fleet.gateway.callers(), &text);
                let received = time::timeout(ROUTE_TIMEOUT + LATE_MAX, call).await;
                let received = received.expect("an answer that ends in time");
                (received.expect("a sent request"), began.elapsed())
            });
            for (received, took) in futures::future::join_all(responses).await {
                assert_eq!(received, $expected);
                assert!(took < ROUTE_TIMEOUT + LATE_MAX, "it took {took:?}");
            }
            eventually("all connections of the target are closed", async || {
                fleet.targets[0].left().len() >= CONCURRENT_REQUESTS
            })
            .await;
            let peak_kib = memory_peak_kib().expect("a peak");
            assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of memory at the peak");
        }
    };
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\n\r\n";
const COMPLETE: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 4\r\n\r\nfine";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

endless!(bytes_that_are_no_head, order, "x", "x", Received::Status(502));
endless!(a_first_line_without_end, order, "HTTP/1.1 200 ", "x", Received::Status(502));
endless!(headers_without_end, order, "HTTP/1.1 200 OK\r\n", "a: b\r\n", Received::Status(502));
endless!(one_header_without_end, order, "HTTP/1.1 200 OK\r\na: ", "b", Received::Status(502));
endless!(
    interim_responses_without_end,
    order,
    "",
    "HTTP/1.1 102 Processing\r\n\r\n",
    Received::Status(502)
);
endless!(empty_lines_without_end, order, "", "\r\n", Received::Status(502));
endless!(chunks_without_end, order, CHUNKED, "4\r\nbody\r\n", Received::Cut(200));
endless!(chunks_of_a_lookup_without_end, lookup, CHUNKED, "4\r\nbody\r\n", Received::Cut(200));
endless!(a_chunk_size_without_end, order, CHUNKED, "0", Received::Status(502));
endless!(a_chunk_extension_without_end, order, CHUNKED, "4;x=", Received::Status(502));
endless!(a_body_that_is_no_chunk_without_end, order, CHUNKED, "x", Received::Status(502));
endless!(trailers_without_end, order, TRAILERS, "a: b\r\n", Received::Status(502));
endless!(an_unframed_body_without_end, order, UNFRAMED, "x", Received::Cut(200));
endless!(a_failure_without_end, order, FAILED, "x", Received::Cut(500));
endless!(bytes_without_end_after_a_response, order, COMPLETE, "x", Received::Status(200));
