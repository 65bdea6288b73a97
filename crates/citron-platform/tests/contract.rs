//! The client against the simulated platform, and against servers that fail during a call.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use assert_matches::assert_matches;
use citron_platform::{
    Change, Client, Error, Expect, Host, Hosts, Object, Role, State, VALUE_LIMIT_BYTES, Version,
};
use citron_stand::platform::{Call, Mode, Platform, bind};
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Far longer than any call here takes when nothing fails.
const TIMEOUT: Duration = Duration::from_secs(30);
/// For calls that are meant to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// For connections that are never established; the client stops connecting after half of it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

const LOCAL: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

async fn open() -> (Platform, Client) {
    let platform = bind(SocketAddr::from(LOCAL), Hosts::default()).await.unwrap();
    let client = Client::open(&platform.url(), TIMEOUT).unwrap();
    (platform, client)
}

/// Defines a test of the client against a new platform.
macro_rules! case {
    ($name:ident, |$platform:ident, $client:ident| $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let ($platform, $client) = open().await;
            $body
        }
    };
}

case!(absent_object_is_none, |_platform, client| {
    assert_eq!(client.get("policy", "head").await, Ok(None));
    assert_eq!(client.list("policy").await, Ok(vec![]));
});

case!(put_is_read_back_under_its_version, |_platform, client| {
    let value = [0, 1, 255, b'\n'];
    let version = client.put("policy", "head", &value, Expect::Absent).await.unwrap();
    let object = Object { version, value: value.to_vec() };
    assert_eq!(client.get("policy", "head").await, Ok(Some(object)));
});

case!(versions_rise_over_all_objects, |_platform, client| {
    let first = client.put("a", "x", b"1", Expect::Any).await.unwrap();
    let second = client.put("b", "y", b"1", Expect::Any).await.unwrap();
    assert!(second > first);
});

case!(second_create_conflicts, |_platform, client| {
    let current = client.put("a", "x", b"1", Expect::Absent).await.unwrap();
    let again = client.put("a", "x", b"2", Expect::Absent).await;
    assert_eq!(again, Err(Error::Conflict { current: Some(current) }));
    assert_eq!(client.get("a", "x").await.unwrap().unwrap().value, b"1");
});

case!(stale_update_conflicts, |_platform, client| {
    let stale = client.put("a", "x", b"1", Expect::Any).await.unwrap();
    let current = client.put("a", "x", b"2", Expect::Version(stale)).await.unwrap();
    let late = client.put("a", "x", b"3", Expect::Version(stale)).await;
    assert_eq!(late, Err(Error::Conflict { current: Some(current) }));
    let deleted = client.delete("a", "x", Expect::Version(stale)).await;
    assert_eq!(deleted, Err(Error::Conflict { current: Some(current) }));
});

case!(update_of_absent_object_conflicts, |_platform, client| {
    let result = client.put("a", "x", b"1", Expect::Version(Version(7))).await;
    assert_eq!(result, Err(Error::Conflict { current: None }));
});

case!(deleted_object_can_be_created_under_a_higher_version, |_platform, client| {
    let old = client.put("a", "x", b"1", Expect::Absent).await.unwrap();
    client.delete("a", "x", Expect::Version(old)).await.unwrap();
    assert_eq!(client.get("a", "x").await, Ok(None));
    let new = client.put("a", "x", b"1", Expect::Absent).await.unwrap();
    assert!(new > old);
    client.delete("a", "absent", Expect::Any).await.unwrap();
});

case!(largest_value_is_stored_and_a_larger_one_refused, |_platform, client| {
    let value = vec![b'x'; VALUE_LIMIT_BYTES];
    client.put("a", "x", &value, Expect::Any).await.unwrap();
    assert_eq!(client.get("a", "x").await.unwrap().unwrap().value.len(), VALUE_LIMIT_BYTES);
    let bytes = VALUE_LIMIT_BYTES + 1;
    let result = client.put("a", "x", &vec![b'x'; bytes], Expect::Any).await;
    assert_eq!(result, Err(Error::TooLarge { bytes }));
});

case!(server_refuses_a_larger_value_too, |platform, _client| {
    let url = format!("{}/v1/objects/a/x", platform.url());
    let body = vec![b'x'; VALUE_LIMIT_BYTES + 1];
    let response = reqwest::Client::new().put(url).body(body).send().await.unwrap();
    assert_eq!(response.status(), 413);
    platform.inspect(|store| assert_eq!(store.get("a", "x"), None));
});

case!(names_pass_unchanged, |platform, client| {
    for name in ["a b", "ü/%2F?x=1#y", "..x"] {
        client.put("odd kind", name, b"1", Expect::Absent).await.unwrap();
        platform.inspect(|store| assert!(store.get("odd kind", name).is_some(), "{name}"));
    }
    for name in ["", ".", ".."] {
        let result = client.put("a", name, b"1", Expect::Any).await;
        assert_matches!(result, Err(Error::Refused { status: None, .. }));
    }
});

case!(watch_returns_changes_made_before, |_platform, client| {
    let first = client.put("a", "x", b"1", Expect::Any).await.unwrap();
    client.put("a", "y", b"1", Expect::Any).await.unwrap();
    client.delete("a", "y", Expect::Any).await.unwrap();
    client.put("b", "z", b"1", Expect::Any).await.unwrap();
    let changes = client.watch("a", Version(0), TIMEOUT).await.unwrap();
    let expected = [
        Change { name: "x".to_owned(), version: first, deleted: false },
        Change { name: "y".to_owned(), version: Version(first.0 + 2), deleted: true },
    ];
    assert_eq!(changes.changes, expected);
    assert_eq!(changes.version, Version(first.0 + 3));
});

case!(watch_waits_and_is_counted, |platform, client| {
    let after = client.put("a", "x", b"1", Expect::Any).await.unwrap();
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("a", after, TIMEOUT).await })
    };
    until(|| platform.calls().waiting_watches == 1).await;
    client.put("b", "other-kind", b"1", Expect::Any).await.unwrap();
    let version = client.put("a", "x", b"2", Expect::Any).await.unwrap();
    let changes = watch.await.unwrap().unwrap();
    assert_eq!(changes.changes, [Change { name: "x".to_owned(), version, deleted: false }]);
    let calls = platform.calls();
    assert_eq!((calls.calls[&Call::Watch], calls.waiting_watches), (1, 0));
    assert_eq!(calls.total(), 4);
});

case!(watch_ends_empty_after_its_wait, |_platform, client| {
    let after = client.put("a", "x", b"1", Expect::Any).await.unwrap();
    let changes = client.watch("a", after, Duration::from_millis(20)).await.unwrap();
    assert_eq!((changes.version, changes.changes), (after, vec![]));
});

case!(watch_after_a_future_version_returns_all_changes, |_platform, client| {
    client.put("a", "x", b"1", Expect::Any).await.unwrap();
    let changes = client.watch("a", Version(1000), TIMEOUT).await.unwrap();
    assert_eq!(changes.changes.len(), 1);
});

case!(abandoned_watch_no_longer_waits, |platform, client| {
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("a", Version(0), TIMEOUT).await })
    };
    until(|| platform.calls().waiting_watches == 1).await;
    watch.abort();
    until(|| platform.calls().waiting_watches == 0).await;
});

case!(outage_ends_reads_watches_and_writes, |platform, client| {
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("a", Version(0), TIMEOUT).await })
    };
    until(|| platform.calls().waiting_watches == 1).await;
    platform.set_mode(Mode::Down);
    assert_matches!(watch.await.unwrap(), Err(Error::Unreachable { .. }));
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
    assert_matches!(client.list("a").await, Err(Error::Unreachable { .. }));
    assert_matches!(client.hosts().await, Err(Error::Unreachable { .. }));
    let written = client.put("a", "x", b"1", Expect::Any).await;
    assert_matches!(written, Err(Error::Unknown { .. }));
    platform.set_mode(Mode::Up);
    assert_eq!(client.get("a", "x").await, Ok(None));
});

case!(lost_response_is_unknown_and_took_effect, |platform, client| {
    platform.lose_answers(1);
    let written = client.put("a", "x", b"1", Expect::Absent).await;
    assert_matches!(written, Err(Error::Unknown { .. }));
    assert_eq!(client.get("a", "x").await.unwrap().unwrap().value, b"1");
    // The write was sent only once; a retry would have met a conflict.
    assert_eq!(platform.calls().calls[&Call::Put], 1);
    client.put("a", "x", b"2", Expect::Any).await.unwrap();
    platform.lose_answers(1);
    let deleted = client.delete("a", "x", Expect::Any).await;
    assert_matches!(deleted, Err(Error::Unknown { .. }));
    assert_eq!(client.get("a", "x").await, Ok(None));
});

case!(lost_write_is_unknown_and_took_no_effect, |platform, client| {
    platform.lose_writes(1);
    assert_eq!(client.get("a", "x").await, Ok(None));
    assert_matches!(client.put("a", "x", b"1", Expect::Any).await, Err(Error::Unknown { .. }));
    assert_eq!(client.get("a", "x").await, Ok(None));
    client.put("a", "x", b"1", Expect::Absent).await.unwrap();
});

case!(refused_write_does_not_consume_the_lost_response_fault, |platform, client| {
    client.put("a", "x", b"1", Expect::Absent).await.unwrap();
    platform.lose_answers(1);
    assert_matches!(client.put("a", "x", b"2", Expect::Absent).await, Err(Error::Conflict { .. }));
    assert_matches!(client.put("a", "y", b"1", Expect::Absent).await, Err(Error::Unknown { .. }));
});

case!(slow_write_times_out_as_unknown_and_takes_effect, |platform, _client| {
    let client = Client::open(&platform.url(), SHORT_TIMEOUT).unwrap();
    platform.set_mode(Mode::Slow { delay_ms: 1000 });
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
    let written = client.put("a", "x", b"1", Expect::Any).await;
    assert_matches!(written, Err(Error::Unknown { .. }));
    until(|| platform.inspect(|store| store.get("a", "x").is_some())).await;
});

case!(hosts_are_returned_as_set, |platform, client| {
    assert_eq!(client.hosts().await, Ok(Hosts::default()));
    platform.set_hosts(Hosts { version: 0, hosts: vec![host("t1"), host("t2")] });
    let hosts = client.hosts().await.unwrap();
    assert_eq!(hosts, Hosts { version: 1, hosts: vec![host("t1"), host("t2")] });
});

case!(faults_can_be_set_over_http, |platform, client| {
    let http = reqwest::Client::new();
    let url = |path: &str| format!("{}/admin/{path}", platform.url());
    let post = async |path: &str, body: serde_json::Value| {
        let response = http.post(url(path)).json(&body).send().await.unwrap();
        assert_eq!(response.status(), 200, "{path} {body}");
    };
    post("mode", serde_json::json!({"mode": "down"})).await;
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
    post("mode", serde_json::json!({"mode": "slow", "delay_ms": 1})).await;
    assert_eq!(client.get("a", "x").await, Ok(None));
    post("mode", serde_json::json!({"mode": "up"})).await;
    post("lose-answers", serde_json::json!({"count": 1})).await;
    assert_matches!(client.put("a", "x", b"1", Expect::Any).await, Err(Error::Unknown { .. }));
    post("lag", serde_json::json!({"lag_ms": 3_600_000})).await;
    let hosts = Hosts { version: 0, hosts: vec![host("t1")] };
    let response = http.put(url("hosts")).json(&hosts).send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(client.hosts().await, Ok(Hosts::default()));
    let calls: serde_json::Value =
        http.get(url("calls")).send().await.unwrap().json().await.unwrap();
    assert_eq!((&calls["calls"]["get"], &calls["lost_answers"]), (&2.into(), &1.into()));
    let page = async |path: &str| {
        let url = format!("{}/{path}", platform.url());
        http.get(url).send().await.unwrap().text().await.unwrap()
    };
    assert!(page("metrics").await.contains("citron_platform_calls_total{call=\"get\"} 2"));
    assert!(page("events").await.contains("fault-set"));
});

/// What a server does with a connection before it closes it.
#[derive(Copy, Clone)]
enum Fault {
    Close,
    ReadAndClose,
    Respond(&'static str),
    ReadAndStall,
}

/// Treats every connection in the same way and counts the requests received.
async fn serve(fault: Fault) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = arrived.clone();
    tokio::spawn(async move {
        let mut stalled = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            if matches!(fault, Fault::Close) {
                continue;
            }
            let mut buffer = [0; 4096];
            if stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                count.fetch_add(1, Ordering::SeqCst);
            }
            match fault {
                Fault::Respond(response) => {
                    let _ = stream.write_all(response.as_bytes()).await;
                }
                Fault::ReadAndStall => stalled.push(stream),
                Fault::Close | Fault::ReadAndClose => {}
            }
        }
    });
    (url, arrived)
}

/// Defines a test of a read and a write against a faulty server; the write must arrive at most
/// once.
macro_rules! fault {
    ($name:ident, $fault:expr, read: $read:pat, write: $write:pat) => {
        #[tokio::test]
        async fn $name() {
            let (url, arrived) = serve($fault).await;
            let stalls = matches!($fault, Fault::ReadAndStall);
            let timeout = if stalls { SHORT_TIMEOUT } else { TIMEOUT };
            let client = Client::open(&url, timeout).unwrap();
            assert_matches!(client.put("a", "x", b"1", Expect::Any).await, $write);
            assert!(arrived.load(Ordering::SeqCst) <= 1);
            assert_matches!(client.get("a", "x").await, $read);
        }
    };
}

fault!(closed_connection, Fault::Close, read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));
fault!(closed_after_reading, Fault::ReadAndClose, read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));
fault!(stalled, Fault::ReadAndStall, read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));
fault!(server_error, Fault::Respond("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n"),
    read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));
fault!(refusal, Fault::Respond("HTTP/1.1 403 x\r\ncontent-length: 2\r\n\r\nno"),
    read: Err(Error::Refused { status: Some(403), .. }), write: Err(Error::Refused { status: Some(403), .. }));
fault!(redirect_is_not_followed, Fault::Respond("HTTP/1.1 307 x\r\nlocation: /\r\ncontent-length: 0\r\n\r\n"),
    read: Err(Error::Refused { status: Some(307), .. }), write: Err(Error::Refused { status: Some(307), .. }));
fault!(missing_version, Fault::Respond("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n"),
    read: Err(Error::Malformed { .. }), write: Err(Error::Unknown { .. }));
fault!(truncated_head, Fault::Respond("HTTP/1.1 200 x\r\netag: \"1"),
    read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));
fault!(not_http, Fault::Respond("hello\r\n\r\n"),
    read: Err(Error::Unreachable { .. }), write: Err(Error::Unknown { .. }));

/// Responds to the first request of each connection, then reads one more and closes.
async fn serve_one_request_per_connection() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = arrived.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                for response in ["HTTP/1.1 200 x\r\netag: \"1\"\r\ncontent-length: 0\r\n\r\n", ""] {
                    if stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    (url, arrived)
}

#[tokio::test]
async fn write_on_a_reused_connection_is_not_retried() {
    let (url, arrived) = serve_one_request_per_connection().await;
    let client = Client::open(&url, TIMEOUT).unwrap();
    let put = async || client.put("a", "x", b"1", Expect::Any).await;
    assert_eq!(put().await, Ok(Version(1)));
    assert_matches!(put().await, Err(Error::Unknown { .. }));
    assert_eq!(arrived.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn truncated_value_is_an_error() {
    let (url, _) =
        serve(Fault::Respond("HTTP/1.1 200 x\r\netag: \"1\"\r\ncontent-length: 9\r\n\r\nshort"))
            .await;
    let client = Client::open(&url, TIMEOUT).unwrap();
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
}

#[tokio::test]
async fn list_that_is_not_json_is_malformed() {
    let (url, _) = serve(Fault::Respond("HTTP/1.1 200 x\r\ncontent-length: 5\r\n\r\nhello")).await;
    let client = Client::open(&url, TIMEOUT).unwrap();
    assert_matches!(client.list("a").await, Err(Error::Malformed { .. }));
    assert_matches!(client.hosts().await, Err(Error::Malformed { .. }));
}

#[tokio::test]
async fn nothing_is_sent_to_a_closed_port() {
    let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let client = Client::open(&url, TIMEOUT).unwrap();
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
    let written = client.put("a", "x", b"1", Expect::Any).await;
    assert_matches!(written, Err(Error::Unreachable { .. }));
}

#[tokio::test]
async fn nothing_is_sent_if_connecting_times_out() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(LOCAL).into()).unwrap();
    socket.listen(0).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    // With the accept queue full, the system drops further connection attempts.
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    let client = Client::open(&format!("http://{addr}"), CONNECT_TIMEOUT).unwrap();
    let written = client.put("a", "x", b"1", Expect::Any).await;
    assert_matches!(written, Err(Error::Unreachable { .. }));
    assert_matches!(client.get("a", "x").await, Err(Error::Unreachable { .. }));
}

#[test]
fn bad_urls_are_refused() {
    for url in ["", "nowhere", "https://127.0.0.1", "ftp://127.0.0.1", "http://"] {
        assert_matches!(Client::open(url, TIMEOUT), Err(Error::Refused { status: None, .. }));
    }
}

fn host(name: &str) -> Host {
    Host {
        name: name.to_owned(),
        role: Role::Target,
        domain: "d1".to_owned(),
        state: State::Live,
        address: Some("127.0.0.1:1".to_owned()),
        service: Some("lot-desk".to_owned()),
        slots: Some(3),
        connections: Some(400),
        gossip: None,
        control: None,
    }
}

/// Polls a condition that another task makes true.
async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("the condition did not become true in time");
}
