//! Targets that send bytes without end: each request ends in time with a truthful response, the
//! target's connection is closed, and memory stays bounded.

mod support;

use std::{sync::Arc, time::Duration};

use citron_stand::endless::{self, Received, memory_peak_kib};
use support::{Action, Rig, Script};
use tokio::{sync::Notify, time};

/// The memory that a process may use at the size that the design is made for, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 * 1024;
/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(1);
/// How long after a request's deadline its response may end.
const LATE_MAX: Duration = Duration::from_millis(500);

const ORDER: &str = "POST /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncitron-deadline-ms: 1000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const LOOKUP: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncitron-deadline-ms: 1000\r\nconnection: close\r\n\r\n";

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\ncitron-request-id: {id}\r\n\r\n";
const COMPLETE: &str =
    "HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 4\r\n\r\nfine";

/// Defines a test that sends a request to targets which answer it with `start`, and then `repeat`
/// without end.
macro_rules! endless {
    ($name:ident, $request:expr, $start:expr, $repeat:expr, $expected:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let closed = Arc::new(Notify::new());
            let ended = Arc::clone(&closed);
            let script: Script = Arc::new(move |_| {
                let start = Action::Write($start.to_owned());
                vec![start, Action::Repeat($repeat, Arc::clone(&ended))]
            });
            let rig = Rig::start(vec![script; 2]).await;
            let began = time::Instant::now();
            let call = endless::call(rig.proxy.addr(), $request);
            let received = time::timeout(DEADLINE + LATE_MAX, call).await;
            let received = received.expect("a response that ends in time");
            assert_eq!(received.expect("a sent request"), $expected);
            let took = began.elapsed();
            assert!(took < DEADLINE + LATE_MAX, "it took {took:?}");
            let is_closed = time::timeout(support::TIMEOUT, closed.notified()).await;
            is_closed.expect("the target's connection is closed");
            let peak_kib = memory_peak_kib().expect("a peak");
            assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of memory at the peak");
        }
    };
}

endless!(bytes_that_are_no_head, ORDER, "x", "x", Received::Status(502));
endless!(a_first_line_without_end, ORDER, "HTTP/1.1 200 ", "x", Received::Status(502));
endless!(headers_without_end, ORDER, "HTTP/1.1 200 OK\r\n", "a: b\r\n", Received::Status(502));
endless!(one_header_without_end, ORDER, "HTTP/1.1 200 OK\r\na: ", "b", Received::Status(502));
endless!(
    interim_responses_without_end,
    ORDER,
    "",
    "HTTP/1.1 102 Processing\r\n\r\n",
    Received::Status(504)
);
endless!(empty_lines_without_end, ORDER, "", "\r\n", Received::Status(502));
endless!(
    headers_of_a_lookup_without_end,
    LOOKUP,
    "HTTP/1.1 200 OK\r\n",
    "a: b\r\n",
    Received::Status(502)
);
endless!(chunks_without_end, ORDER, CHUNKED, "4\r\nbody\r\n", Received::Cut(200));
endless!(chunks_of_a_lookup_without_end, LOOKUP, CHUNKED, "4\r\nbody\r\n", Received::Cut(200));
endless!(a_chunk_size_without_end, ORDER, CHUNKED, "0", Received::Status(504));
endless!(a_chunk_extension_without_end, ORDER, CHUNKED, "4;x=", Received::Status(502));
endless!(a_body_that_is_no_chunk_without_end, ORDER, CHUNKED, "x", Received::Status(502));
endless!(an_unframed_body_without_end, ORDER, UNFRAMED, "x", Received::Cut(200));
endless!(a_failure_without_end, ORDER, FAILED, "x", Received::Cut(500));
endless!(bytes_without_end_after_a_response, ORDER, COMPLETE, "x", Received::Status(200));
