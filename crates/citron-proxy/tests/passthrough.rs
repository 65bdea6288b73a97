//! Which parts of requests and responses a proxy forwards unchanged.

mod support;

use std::sync::Arc;

use support::{Action, ReceivedRequest, Rig, respond};

/// Sends one request to a target that takes `actions`; returns the request as the target received
/// it and the response as the caller received it.
async fn pass(request: &str, actions: Vec<Action>) -> (ReceivedRequest, support::Response) {
    let rig = Rig::start(vec![Arc::new(move |_| actions.clone())]).await;
    let response = rig.call(request).await;
    let received = rig.received();
    assert_eq!(received.len(), 1, "one request must reach the target; the caller got {response:?}");
    (received[0].clone(), response)
}

macro_rules! method {
    ($name:ident, $method:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let request = concat!(
                $method,
                " /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncontent-length: 0\r\n\r\n"
            );
            let (received, response) = pass(request, vec![respond("200 OK", "", "")]).await;
            assert_eq!(received.line, concat!($method, " /lots/1 HTTP/1.1"));
            assert_eq!((response.status, response.outcome()), (200, "answered"));
        }
    };
}

method!(get_passes, "GET");
method!(post_passes, "POST");
method!(put_passes, "PUT");
method!(delete_passes, "DELETE");
method!(options_passes, "OPTIONS");
method!(head_passes, "HEAD");
method!(trace_passes, "TRACE");
method!(patch_passes, "PATCH");

const GET: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n";

macro_rules! path {
    ($name:ident, $path:literal) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let request = GET.replace("/lots/1", $path) + "\r\n";
            let (received, response) = pass(&request, vec![respond("200 OK", "", "")]).await;
            assert_eq!(received.line, concat!("GET ", $path, " HTTP/1.1"));
            assert_eq!((response.status, response.outcome()), (200, "answered"));
        }
    };
}

path!(percent_encoding_stays, "/lots/a%2Fb%20c%c3%a9%7E");
path!(lower_case_hexadecimal_stays, "/lots/%e2%82%ac");
path!(double_slashes_stay, "/lots//a//b/");
path!(empty_query_stays, "/lots/1?");
path!(query_stays, "/lots/1?a=1&b=%26&a=2&c&=d");
path!(plus_and_semicolon_stay, "/lots/a+b;v=1?x=a+b;c");
path!(sub_delimiters_stay, "/lots/a!$&()*,:@=?x=!$()*,:@/?");
path!(single_dots_in_names_stay, "/lots/.a/b..c/...");

macro_rules! body {
    ($name:ident, $head:expr, $sent:expr, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let head = "POST /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n";
            let request = format!("{head}{}\r\n\r\n{}", $head, $sent);
            let (received, response) = pass(&request, vec![respond("200 OK", "", "")]).await;
            let body: String = $body.into();
            assert!(
                received.complete && received.body == body.as_bytes(),
                "{} bytes",
                received.body.len()
            );
            assert_eq!((response.status, response.outcome()), (200, "answered"));
        }
    };
}

const FORM: &str = "content-type: application/x-www-form-urlencoded";

body!(empty_body_passes, "content-length: 0", "", "");
body!(short_body_passes, "content-length: 7", "sacks=3", "sacks=3");
body!(large_body_passes, "content-length: 3000000", "a".repeat(3_000_000), "a".repeat(3_000_000));
body!(
    chunked_body_passes,
    "transfer-encoding: chunked",
    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    "abcde"
);
body!(empty_chunked_body_passes, "transfer-encoding: chunked", "0\r\n\r\n", "");
body!(
    large_chunked_body_passes,
    "transfer-encoding: chunked",
    format!("f4240\r\n{}\r\n0\r\n\r\n", "b".repeat(1_000_000)),
    "b".repeat(1_000_000)
);
body!(form_passes, format!("{FORM}\r\ncontent-length: 9"), "a=1&b=%20", "a=1&b=%20");
body!(
    posted_form_with_method_post_passes,
    format!("{FORM}\r\ncontent-length: 12"),
    "_method=POST",
    "_method=POST"
);
body!(
    form_with_unknown_method_passes,
    format!("{FORM}\r\ncontent-length: 12"),
    "_method=JUMP",
    "_method=JUMP"
);
body!(
    chunked_form_passes,
    format!("{FORM}\r\ntransfer-encoding: chunked"),
    "3\r\na=1\r\n0\r\n\r\n",
    "a=1"
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_headers_pass() {
    let request = format!(
        "{GET}X-Multi: a\r\nx-multi: b\r\naccept: text/csv\r\ncookie: c=1\r\nx-empty: \r\nuser-agent: u/1\r\n\
         citron-deadline-ms: 3000\r\ncitron-other: 1\r\nconnection: x-hop, close\r\nx-hop: 1\r\nkeep-alive: 5\r\n\
         te: trailers\r\nupgrade: h2c\r\nproxy-authorization: p\r\nauthorization: Bearer t\r\n\r\n"
    );
    let (received, _) = pass(&request, vec![respond("200 OK", "", "")]).await;
    assert_eq!(received.all("x-multi"), ["a", "b"]);
    let passed = [
        ("host", "x"),
        ("accept", "text/csv"),
        ("cookie", "c=1"),
        ("x-empty", ""),
        ("user-agent", "u/1"),
        ("authorization", "Bearer t"),
        ("citron-customer", "roaster"),
    ];
    for (name, value) in passed {
        assert_eq!(received.all(name), [value], "{name}");
    }
    let stopped =
        ["x-hop", "keep-alive", "te", "upgrade", "proxy-authorization", "citron-other", "referer"];
    for name in stopped {
        assert_eq!(received.all(name), [""; 0], "{name} must stop at the proxy");
    }
    let left: u64 = received.header("citron-deadline-ms").expect("a deadline").parse().expect("ms");
    assert!(left <= 3000, "the deadline must be passed on less the time spent");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_headers_pass() {
    let headers = "set-cookie: a=1\r\nset-cookie: b=2\r\nserver: t/1\r\netag: \"e\"\r\nx-frame-options: ALLOW\r\n\
                   date: Mon, 01 Jan 2024 00:00:00 GMT\r\ncontent-type: text/csv\r\ncitron-target-load: 1/3\r\n\
                   connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\nx-utf8: é\r\n";
    let actions = vec![respond("207 Odd Reason", headers, "a,b\n")];
    let (_, response) = pass(&format!("{GET}\r\n"), actions).await;
    assert_eq!((response.status, response.text().as_str()), (207, "a,b\n"));
    assert_eq!(response.all("set-cookie"), ["a=1", "b=2"]);
    let mut names: Vec<&str> = response.headers.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    let expected = [
        "citron-outcome",
        "content-length",
        "content-type",
        "date",
        "etag",
        "server",
        "set-cookie",
        "set-cookie",
        "x-frame-options",
        "x-utf8",
    ];
    assert_eq!(names, expected, "nothing may be added or lost");
    assert_eq!(response.header("date"), Some("Mon, 01 Jan 2024 00:00:00 GMT"));
    assert_eq!(response.header("x-utf8"), Some("é"));
}

macro_rules! response {
    ($name:ident, $method:literal, $actions:expr, $status:literal, $headers:expr, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let request = GET.replace("GET", $method) + "\r\n";
            let (_, response) = pass(&request, $actions).await;
            let body: String = $body.into();
            assert_eq!(
                (response.status, response.outcome(), response.complete),
                ($status, "answered", true)
            );
            assert!(response.body == body.as_bytes(), "{} bytes", response.body.len());
            let headers: &[(&str, &[&str])] = $headers;
            for (name, values) in headers {
                assert_eq!(&response.all(name), values, "{name}");
            }
        }
    };
}

fn write(text: &str) -> Action {
    Action::Write(text.to_owned())
}

fn chunked(chunks: &str) -> Action {
    write(&format!(
        "HTTP/1.1 200 OK\r\ncitron-request-id: {{id}}\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    ))
}

response!(
    redirect_passes,
    "GET",
    vec![respond("302 Found", "location: /lots/2\r\n", "")],
    302,
    &[("location", &["/lots/2"])],
    ""
);
response!(
    not_found_passes,
    "GET",
    vec![respond("404 Not Found", "", "no lot")],
    404,
    &[],
    "no lot"
);
response!(server_error_passes, "GET", vec![respond("500 Oops", "", "bad")], 500, &[], "bad");
response!(
    unavailable_passes,
    "GET",
    vec![respond("503 Busy", "retry-after: 1\r\n", "")],
    503,
    &[("retry-after", &["1"])],
    ""
);
response!(
    no_content_passes,
    "GET",
    vec![write("HTTP/1.1 204 No Content\r\ncitron-request-id: {id}\r\n\r\n")],
    204,
    &[("transfer-encoding", &[]), ("content-length", &[])],
    ""
);
response!(
    not_modified_passes,
    "GET",
    vec![write("HTTP/1.1 304 Not Modified\r\ncitron-request-id: {id}\r\netag: \"e\"\r\n\r\n")],
    304,
    &[("etag", &["\"e\""])],
    ""
);
response!(
    head_keeps_its_length,
    "HEAD",
    vec![write("HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 1234\r\n\r\n")],
    200,
    &[("content-length", &["1234"])],
    ""
);
response!(chunked_response_passes, "GET", vec![chunked("3\r\nabc\r\n0\r\n\r\n")], 200, &[], "abc");
response!(empty_chunked_response_passes, "GET", vec![chunked("0\r\n\r\n")], 200, &[], "");
response!(
    large_response_passes,
    "GET",
    vec![respond("200 OK", "", &"x".repeat(5_000_000))],
    200,
    &[],
    "x".repeat(5_000_000)
);
response!(
    compressed_response_stays_compressed,
    "GET",
    vec![respond("200 OK", "content-encoding: gzip\r\n", "not really gzip")],
    200,
    &[("content-encoding", &["gzip"])],
    "not really gzip"
);
response!(
    response_until_the_end_of_the_connection_passes,
    "GET",
    vec![write("HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\n\r\nabc"), Action::Close],
    200,
    &[],
    "abc"
);

/// A response that the target cuts short must be cut short for the caller as well.
macro_rules! cut {
    ($name:ident, $actions:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (_, response) = pass(&format!("{GET}\r\n"), $actions).await;
            assert!(
                !response.complete,
                "a cut response must not end cleanly: {:?}",
                response.headers
            );
        }
    };
}

cut!(cut_chunked_response_is_cut, vec![chunked("3\r\nabc\r\n"), Action::Close]);
cut!(response_cut_in_a_chunk_is_cut, vec![chunked("8\r\nabc"), Action::Close]);
cut!(
    large_cut_chunked_response_is_cut,
    vec![chunked(&format!("f4240\r\n{}\r\n", "x".repeat(1_000_000))), Action::Close]
);
cut!(malformed_chunk_is_cut, vec![chunked("3\r\nabc\r\nzz\r\n")]);
cut!(
    short_response_is_cut,
    vec![
        write("HTTP/1.1 200 OK\r\ncitron-request-id: {id}\r\ncontent-length: 9\r\n\r\nabc"),
        Action::Close
    ]
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_stalls_past_the_deadline_is_cut() {
    let ended = Arc::new(tokio::sync::Notify::new());
    let actions = vec![chunked("3\r\nabc\r\n"), Action::Hang(Arc::clone(&ended))];
    let request = format!("{GET}citron-deadline-ms: 4000\r\n\r\n");
    let (_, response) = pass(&request, actions).await;
    assert!(!response.complete, "a stalled response must not end cleanly");
    ended.notified().await;
}
