//! Requests that a gateway has or gets while it shuts down.

mod support;

use std::{net::SocketAddr, time::Duration};

use support::{
    Request, TestFleet,
    caller::Caller,
    eventually, lookup, order,
    target::{Act, LONG_BYTES},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{self, Instant},
};

/// The time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

/// The kill would cut a request whose deadline lies behind it, and nobody would know whether it ran.
#[tokio::test]
async fn a_request_that_arrives_late_in_the_grace_is_refused_and_not_run() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("config", "main", support::config("r2", 10.0));
    time::sleep(Duration::from_millis(800)).await;
    // Keeps the gateway from ending.
    fleet.targets[0].set(Act::ServeAfter(4000));
    let mut slow = fleet.caller().await;
    slow.send(&Request { remaining_ms: 5000, ..order("slow") }.text()).await;
    let mut late = fleet.caller().await;
    let text = Request { remaining_ms: 5000, ..order("late") }.text();
    let (start, rest) = text.split_at(text.len() - 3);
    late.send(start).await;
    eventually("the target runs it", async || fleet.targets[0].runs("slow") == 1).await;
    let TestFleet { gateway, targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    time::sleep(Duration::from_millis(3000)).await;
    late.send(rest).await;
    let response = late.answer().await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(targets[0].runs("late"), 0);
    assert_eq!(slow.answer().await.status, 200);
    shutdown.await.expect("the shutdown task ends without a panic");
}

/// Guards against a process that ends while requests are coming in: those that became complete as it ended
/// were passed on, run and never answered (review/11).
#[tokio::test]
async fn a_request_that_is_being_received_at_the_stop_is_answered() {
    let fleet = TestFleet::start(1).await;
    let text = order("slow").text();
    let mut callers = Vec::new();
    // Parts of the head, all of it, and all but the last byte.
    for length in [20, text.len() - 7, text.len() - 1] {
        let mut caller = fleet.caller().await;
        caller.send(&text[..length]).await;
        callers.push((caller, length));
    }
    time::sleep(Duration::from_millis(100)).await;
    let TestFleet { gateway, targets, store: _store } = fleet;
    let stopped_at = Instant::now();
    let shutdown = tokio::spawn(gateway.shut_down());
    for (n, (mut caller, length)) in callers.into_iter().enumerate() {
        time::sleep_until(stopped_at + Duration::from_millis(200 + 700 * n as u64)).await;
        assert!(!shutdown.is_finished(), "the process must wait for caller {n}");
        caller.send(&text[length..]).await;
        assert_eq!(caller.answer().await.status, 200, "caller {n}");
    }
    assert_eq!(targets[0].runs("slow"), 3);
    shutdown.await.expect("the shutdown task ends without a panic");
    assert!(stopped_at.elapsed() < Duration::from_secs(3), "nothing is left to wait for");
}

#[tokio::test]
async fn a_request_that_never_becomes_complete_does_not_outlast_the_grace() {
    let fleet = TestFleet::start(1).await;
    let text = order("endless").text();
    let mut caller = fleet.caller().await;
    caller.send(&text[..text.len() - 1]).await;
    time::sleep(Duration::from_millis(100)).await;
    let TestFleet { gateway, targets, store: _store } = fleet;
    let stopped_at = Instant::now();
    gateway.shut_down().await;
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
    assert_eq!(targets[0].runs("endless"), 0);
}

#[tokio::test]
async fn a_request_that_would_outlast_the_grace_is_answered_before_its_end() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("config", "main", support::config("r2", 20.0));
    time::sleep(Duration::from_millis(800)).await;
    fleet.targets[0].set(Act::ServeAfter(12_000));
    let mut caller = fleet.caller().await;
    caller.send(&Request { remaining_ms: 20_000, ..order("long") }.text()).await;
    eventually("the target runs it", async || fleet.targets[0].runs("long") == 1).await;
    let TestFleet { gateway, targets: _targets, store: _store } = fleet;
    let stopped_at = Instant::now();
    let shutdown = tokio::spawn(gateway.shut_down());
    let response = caller.answer().await;
    assert_eq!(response.status, 504, "it may have run");
    // The target may work on during the first five sixths of the grace.
    let waited = stopped_at.elapsed();
    assert!(waited > GRACE * 5 / 6 && waited < GRACE, "{waited:?}");
    shutdown.await.expect("the shutdown task ends without a panic");
    assert!(stopped_at.elapsed() < GRACE);
}

#[tokio::test]
async fn pipelined_requests_in_flight_at_the_stop_are_all_answered() {
    let fleet = TestFleet::start(3).await;
    fleet.targets.iter().for_each(|target| target.set(Act::ServeAfter(700)));
    let mut caller: Caller = fleet.caller().await;
    let text: String = ["a", "b", "c"].map(|id| lookup(id).text()).concat();
    caller.send(&text).await;
    let runs = |id: &str| fleet.targets.iter().map(|target| target.runs(id)).sum::<usize>();
    eventually("the targets run them", async || ["a", "b", "c"].iter().all(|id| runs(id) > 0))
        .await;
    let TestFleet { gateway, targets: _targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    for id in ["a", "b", "c"] {
        let response = caller.answer().await;
        assert_eq!((response.status, response.header("attempt-id")), (200, Some(id)));
        let closes = response.header("connection") == Some("close");
        assert_eq!(closes, id == "c", "only the last one closes the connection");
    }
    shutdown.await.expect("the shutdown task ends without a panic");
}

/// A process that rarely gets processor time learns of the stop before its runtime has polled the
/// socket in which a request waits; the test blocks the only thread of the runtime meanwhile.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_waits_unread_at_the_stop_is_answered() {
    let fleet = TestFleet::start(1).await;
    let mut callers = Vec::new();
    for n in 0..4 {
        let mut caller = fleet.caller().await;
        caller.send(&lookup(&format!("before-{n}")).text()).await;
        assert_eq!(caller.answer().await.status, 200);
        callers.push(caller);
    }
    for (n, caller) in callers.iter_mut().enumerate() {
        caller.send(&lookup(&format!("waits-{n}")).text()).await;
    }
    std::thread::sleep(Duration::from_millis(50));
    let TestFleet { gateway, targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    for (n, caller) in callers.iter_mut().enumerate() {
        let response = caller.answer().await;
        assert_eq!((response.status, response.header("connection")), (200, Some("close")));
        assert_eq!(targets[0].runs(&format!("waits-{n}")), 1);
    }
    drop(callers);
    shutdown.await.expect("the shutdown task ends without a panic");
}

/// A body that its caller reads slowly, and that is longer than all buffers on the way.
#[tokio::test]
async fn a_gateway_that_shuts_down_waits_for_bodies_that_are_being_forwarded() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("config", "main", support::config("r2", 3.0));
    time::sleep(Duration::from_millis(800)).await;
    fleet.targets[0].set(Act::Endless {
        start: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: x\r\nContent-Length: 1000000000\r\n\r\n",
        repeat: "xxxxxxxx",
    });
    let mut caller = fleet.caller().await;
    caller.send(&Request { remaining_ms: 2500, ..lookup("long") }.text()).await;
    time::sleep(Duration::from_millis(500)).await;
    let TestFleet { gateway, targets: _targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    time::sleep(Duration::from_millis(1500)).await;
    assert!(!shutdown.is_finished(), "it ends with the request's time");
    shutdown.await.expect("the shutdown task ends without a panic");
}

/// Connects with a small receive buffer, so that a response arrives only as fast as it is read.
async fn slow_connection(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a receive buffer");
    socket.connect(addr).await.expect("a connection")
}

/// Reads up to `limit` bytes slowly, and returns how many came before the connection ended.
async fn read_slowly(stream: &mut TcpStream, limit: usize) -> std::io::Result<usize> {
    let (mut total, mut part) = (0, vec![0; 8192]);
    while total < limit {
        match stream.read(&mut part).await? {
            0 => break,
            count => total += count,
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    Ok(total)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_still_received_is_not_cut_by_a_request_behind_it() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeLong);
    let mut caller = slow_connection(fleet.gateway.callers()).await;
    caller.write_all(lookup("id-1").text().as_bytes()).await.expect("a sent request");
    let start = read_slowly(&mut caller, 50_000).await.expect("the start of a response");
    let TestFleet { gateway, targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    time::sleep(Duration::from_millis(200)).await;
    caller.write_all(lookup("id-2").text().as_bytes()).await.expect("a sent request");
    let rest = read_slowly(&mut caller, usize::MAX).await.expect("an end without a reset");
    assert!(start + rest > LONG_BYTES, "{start} and {rest} bytes of a body of {LONG_BYTES}");
    assert_eq!(targets[0].runs("id-2"), 0);
    drop(caller);
    shutdown.await.expect("the shutdown task ends without a panic");
}

/// The caller may be receiving a response for longer than three seconds, and send the next request
/// meanwhile: a reset would discard what it has not received yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_a_caller_that_receives_a_response_slowly() {
    /// How long the response lasts.
    const READ_TIME: Duration = Duration::from_millis(4500);
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ServeLong);
    let mut caller = slow_connection(fleet.gateway.callers()).await;
    caller.write_all(lookup("id-1").text().as_bytes()).await.expect("a sent request");
    eventually("the target runs it", async || fleet.targets[0].runs("id-1") == 1).await;
    let TestFleet { gateway, targets: _targets, store: _store } = fleet;
    let shutdown = tokio::spawn(gateway.shut_down());
    let stopped_at = Instant::now();
    let (mut total, mut part, mut has_sent) = (0, vec![0; 8192], false);
    loop {
        let due = stopped_at.elapsed().as_secs_f64() / READ_TIME.as_secs_f64() * LONG_BYTES as f64;
        if due < total as f64 {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        match caller.read(&mut part).await.expect("no reset") {
            0 => break,
            count => total += count,
        }
        if !has_sent && stopped_at.elapsed() > Duration::from_millis(3800) {
            caller.write_all(lookup("id-2").text().as_bytes()).await.expect("a sent request");
            has_sent = true;
        }
    }
    assert!(has_sent && total > LONG_BYTES, "{total} bytes of a body of {LONG_BYTES}");
    drop(caller);
    shutdown.await.expect("the shutdown task ends without a panic");
    assert!(stopped_at.elapsed() < GRACE);
}

/// A target that reads the start of a request, and the rest of its body when it has done its work.
async fn serve_late(listener: TcpListener, bytes: usize) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = vec![0; 2048];
    let mut read = stream.read(&mut head).await.expect("the start of a request");
    let text = String::from_utf8_lossy(&head[..read]).into_owned();
    let id = text
        .lines()
        .find_map(|line| line.to_lowercase().strip_prefix("attempt-id: ").map(str::to_owned));
    time::sleep(Duration::from_millis(3600)).await;
    let mut part = vec![0; 64 * 1024];
    while read < bytes {
        let count = stream.read(&mut part).await.expect("the rest of the body");
        assert!(count > 0, "the request is cut after {read} bytes");
        read += count;
    }
    let id = id.expect("an id");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nok"
    );
    stream.write_all(answer.as_bytes()).await.expect("a connection");
    let _ = stream.read(&mut part).await;
}

/// Guards against a long request that is cut while its target works on it and does not read: the kernel
/// gives up a connection whose peer has no room for longer than the user timeout (review/8).
#[tokio::test]
async fn a_request_whose_target_reads_it_late_is_answered() {
    let fleet = TestFleet::start(0).await;
    let mut config = support::config("r2", 10.0);
    config["limits"]["maxBodyBytes"] = serde_json::json!(10_000_000);
    fleet.store.put("config", "main", config);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let entry = serde_json::json!({
        "address": listener.local_addr().expect("its address"), "born": 1,
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 3},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
    });
    fleet.store.put("servers", "late", entry);
    time::sleep(Duration::from_millis(1000)).await;
    let body = "x".repeat(8_000_000);
    let target = tokio::spawn(serve_late(listener, body.len()));
    let mut caller = fleet.caller().await;
    caller.send(&Request { body: &body, remaining_ms: 12_000, ..order("upload") }.text()).await;
    assert_eq!(caller.answer().await.status, 200);
    target.abort();
}
