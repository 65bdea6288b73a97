//! Which requests a proxy refuses, with which response, and that it still serves afterwards.

mod support;

use std::sync::Arc;

use support::{Agent, Caller, Response, Rig, respond, spawn_proxy};

const GOOD: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n\r\n";

async fn rig() -> Rig {
    Rig::start(vec![Arc::new(|_| vec![respond("200 OK", "", "fine")])]).await
}

/// Sends a bad request, checks that no target saw it and that the proxy still serves.
async fn refuse(rig: &Rig, request: &[u8]) -> Response {
    let before = rig.received().len();
    let response = rig.caller().call(request).await;
    assert_eq!(
        rig.received().len(),
        before,
        "a refused request must not reach a target: {response:?}"
    );
    let good = rig.call(GOOD).await;
    assert_eq!((good.status, good.text().as_str()), (200, "fine"), "it must still serve");
    response
}

macro_rules! case {
    ($name:ident, $status:literal, $reason:literal, $request:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig().await;
            let request: String = $request.into();
            let response = refuse(&rig, request.as_bytes()).await;
            let received = (response.status, response.outcome(), response.reason());
            assert_eq!(received, ($status, "not-run", $reason), "{response:?}");
        }
    };
}

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n{headers}\r\n")
}

fn post(headers: &str, body: &str) -> String {
    let head = "POST /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n";
    format!("{head}{headers}content-length: {}\r\n\r\n{body}", body.len())
}

const CUSTOMER: &str = "citron-customer: roaster\r\n";
const FORM: &str = "content-type: application/x-www-form-urlencoded\r\n";

case!(no_customer, 400, "customer-missing", get("/lots/1", ""));
case!(two_customers, 400, "customer-missing", get("/lots/1", &CUSTOMER.repeat(2)));
case!(unknown_customer, 403, "customer-unknown", get("/lots/1", "citron-customer: nobody\r\n"));
case!(service_not_in_plan, 403, "service-not-in-plan", get("/tec/1", CUSTOMER));
case!(no_route, 404, "no-route", get("/nowhere", CUSTOMER));
case!(
    bad_deadline,
    400,
    "deadline-malformed",
    get("/lots/1", &format!("{CUSTOMER}citron-deadline-ms: soon\r\n"))
);
case!(
    deadline_passed,
    504,
    "deadline-passed",
    get("/lots/1", &format!("{CUSTOMER}citron-deadline-ms: 0\r\n"))
);
case!(empty_key, 400, "idempotency-key-malformed", post("idempotency-key: \r\n", "sacks=3"));
case!(
    header_too_large,
    431,
    "header-too-large",
    get("/lots/1", &format!("{CUSTOMER}x-large: {}\r\n", "a".repeat(40_000)))
);
case!(
    body_too_large,
    413,
    "body-too-large",
    "POST /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\ncontent-length: 99999999999\r\n\r\n0123456789abcdef"
);
case!(unknown_method, 400, "malformed-request", GOOD.replace("GET", "BREW"));
case!(path_not_encoded, 501, "path-not-carried", get("/lots/\u{e9}", CUSTOMER));
case!(dot_segments, 501, "path-not-carried", get("/lots/a/../b", CUSTOMER));
case!(encoded_dots, 501, "path-not-carried", get("/lots/%2e%2e/b", CUSTOMER));
case!(quote_in_query, 501, "path-not-carried", get("/lots/1?name=O'Brien", CUSTOMER));
case!(form_that_hides_its_method, 501, "form-method-ambiguous", post(FORM, "_method=DELETE&x=1"));
case!(
    form_that_hides_its_method_in_lower_case,
    501,
    "form-method-ambiguous",
    post(FORM, "_method=put")
);
case!(
    body_that_is_no_header_value,
    501,
    "header-not-carried",
    get("/lots/1", &format!("{CUSTOMER}x-odd: \u{FFFD}\r\n"))
);
case!(asterisk_path, 501, "path-not-carried", GOOD.replace("GET /lots/1", "OPTIONS *"));

/// Bytes that the HTTP library itself refuses, with an HTTP status but without our headers, or by
/// closing the connection.
macro_rules! unparsed {
    ($name:ident, $request:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig().await;
            let response = refuse(&rig, $request).await;
            assert!(matches!(response.status, 0 | 400 | 414 | 431), "{response:?}");
        }
    };
}

unparsed!(garbage, b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n");
unparsed!(no_version, b"GET /lots/1\r\n\r\n");
unparsed!(space_in_header_name, b"GET /lots/1 HTTP/1.1\r\nx y: 1\r\n\r\n");
unparsed!(
    two_lengths,
    b"POST /lots/1 HTTP/1.1\r\ncitron-customer: roaster\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
);
unparsed!(
    bad_chunk,
    b"POST /lots/1 HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\ncitron-customer: roaster\r\n\r\nzz\r\n"
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn huge_header_is_refused() {
    let rig = rig().await;
    let request = get("/lots/1", &format!("{CUSTOMER}x-huge: {}\r\n", "a".repeat(2 << 20)));
    let response = refuse(&rig, request.as_bytes()).await;
    assert!(matches!(response.status, 0 | 431), "{}", response.status);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_policy_nothing_is_run() {
    let agent = Agent::spawn().await;
    let proxy = spawn_proxy(&agent, &[]).await;
    let response = Caller::new(proxy.addr()).call(GOOD.as_bytes()).await;
    let received = (response.status, response.outcome(), response.reason());
    assert_eq!(received, (503, "not-run", "policy-missing"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_policy_changes_nothing() {
    let rig = rig().await;
    let nobody = "[[customer]]\nname = \"other\"\nplan = \"gold\"\n";
    rig.agent.send_policy(3, support::CUSTOMERS, support::GRANTS);
    rig.agent.send_policy(2, nobody, support::GRANTS);
    rig.agent.send_policy(3, nobody, support::GRANTS);
    rig.agent.send(citron_wire::update::Body::Targets(citron_wire::TargetTable {
        full: true,
        ..Default::default()
    }));
    // The targets are sent after the policies on the same stream, so that these have been applied.
    support::wait_for(|| async {
        support::status(&rig.proxy).await["services"]["lot-desk"]["listed"] == 0
    })
    .await;
    assert_eq!(support::status(&rig.proxy).await["revision"], 3);
    assert_eq!(rig.call(GOOD).await.reason(), "no-capacity", "the customer must stay known");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_targets_nothing_is_run() {
    let rig = Rig::start(vec![]).await;
    let response = rig.call(GOOD).await;
    assert_eq!(
        (response.status, response.outcome(), response.reason()),
        (503, "not-run", "no-capacity")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_an_agent_the_last_state_holds() {
    let rig = rig().await;
    let attached = rig.agent.attached();
    rig.agent.drop_streams();
    assert_eq!(rig.call(GOOD).await.status, 200);
    support::wait_for(|| async { rig.agent.attached() > attached }).await;
    assert_eq!(rig.call(GOOD).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_customer_has_a_bound_on_requests_at_a_time() {
    let release = Arc::new(tokio::sync::Notify::new());
    let wait = Arc::clone(&release);
    let script = move |_: &support::ReceivedRequest| {
        vec![support::Action::Wait(Arc::clone(&wait)), respond("200 OK", "", "fine")]
    };
    let rig = Rig::start_with(vec![Arc::new(script)], &["--customer-limit", "1"]).await;
    let caller = rig.caller();
    let first = tokio::spawn(async move { caller.call(GOOD.as_bytes()).await });
    support::wait_for(|| async { rig.received().len() == 1 }).await;
    let response = rig.call(GOOD).await;
    assert_eq!(
        (response.status, response.outcome(), response.reason()),
        (429, "not-run", "customer-busy")
    );
    release.notify_one();
    assert_eq!(first.await.expect("the first call must end").status, 200);
    release.notify_one();
    assert_eq!(rig.call(GOOD).await.status, 200);
}

/// Sends a request whose body ends early, and keeps the other direction open for the response.
async fn cut_body(rig: &Rig, request: &str) -> Response {
    use tokio::io::AsyncWriteExt;
    let mut stream = rig.caller().connect().await;
    stream.write_all(request.as_bytes()).await.expect("the proxy must read");
    stream.shutdown().await.expect("the connection must close");
    support::read_response(&mut stream, false).await
}

macro_rules! cut {
    ($name:ident, $method:literal, $head:expr, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let rig = rig().await;
            let head =
                concat!($method, " /lots/1 HTTP/1.1\r\nhost: x\r\ncitron-customer: roaster\r\n");
            let response = cut_body(&rig, &format!("{head}{}\r\n\r\n{}", $head, $body)).await;
            assert_ne!(response.outcome(), "answered", "a cut request must not be answered");
            for received in rig.received() {
                assert!(
                    !received.complete,
                    "a body cut short must not look complete to a target: {received:?}"
                );
            }
            assert_eq!(rig.call(GOOD).await.status, 200, "it must still serve");
        }
    };
}

cut!(short_held_body, "POST", "content-length: 20", "abc");
cut!(no_held_body, "POST", "content-length: 20", "");
cut!(short_streamed_body, "POST", "content-length: 100000", "a".repeat(70_000));
cut!(streamed_body_cut_in_its_first_bytes, "POST", "content-length: 100000", "abc");
cut!(chunked_body_without_its_end, "POST", "transfer-encoding: chunked", "3\r\nabc\r\n");
cut!(chunked_body_cut_in_a_chunk, "POST", "transfer-encoding: chunked", "8\r\nabc");
cut!(chunked_body_cut_before_a_chunk, "POST", "transfer-encoding: chunked", "");
cut!(
    long_chunked_body_without_its_end,
    "PUT",
    "transfer-encoding: chunked",
    format!("11170\r\n{}\r\n", "a".repeat(70_000))
);
cut!(
    long_chunked_body_cut_in_a_chunk,
    "PUT",
    "transfer-encoding: chunked",
    format!("11171\r\n{}", "a".repeat(70_000))
);
cut!(
    chunked_body_cut_after_13_bytes,
    "POST",
    "transfer-encoding: chunked",
    "d\r\n0123456789abc\r\n"
);
cut!(
    chunked_body_cut_after_14_bytes,
    "POST",
    "transfer-encoding: chunked",
    "e\r\n0123456789abcd\r\n"
);
cut!(
    chunked_form_cut_after_20_bytes,
    "POST",
    format!("{FORM}transfer-encoding: chunked"),
    "14\r\n0123456789abcdefghij\r\n"
);
cut!(
    chunked_form_cut_after_3_bytes,
    "POST",
    format!("{FORM}transfer-encoding: chunked"),
    "3\r\na=1\r\n"
);
