//! A store and peers that send bytes without end: the gateway gives each response up, and its memory
//! stays bounded.

mod support;

use std::time::Duration;

use citron_stand::endless::memory_peak_kib;
use support::{
    TestFleet, gateway_at, lookup,
    peer::{Act, Peer},
    ready,
    store::Mood,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
    time,
};

/// The memory that a process may use at the size that the design is made for, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 * 1024;
/// How long bytes are sent.
const DURATION: Duration = Duration::from_secs(3);

fn assert_memory_is_bounded() {
    let peak_kib = memory_peak_kib().expect("a peak");
    println!("{peak_kib} KiB of memory at the peak");
    assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of memory at the peak");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_sends_bytes_without_end_is_given_up() {
    let fleet = TestFleet::start(1).await;
    fleet.store.set(Mood::Refusing(503));
    time::sleep(Duration::from_millis(300)).await;
    let peer = Peer::bind(&fleet.store, "entry-1", Act::Endless, Act::Endless).await;
    time::sleep(DURATION).await;
    assert!(peer.calls() >= 2, "routes and targets were pulled");
    assert_eq!(fleet.send(&lookup("id-1")).await.status, 200);
    assert_memory_is_bounded();
}

/// Defines a test in which the store answers each call with `start`, and then `repeat` without end.
macro_rules! endless_store {
    ($($name:ident: $start:expr, $repeat:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let gateway = gateway_at("entry-1", address).await;
            let server = async {
                let mut open = JoinSet::new();
                loop {
                    let (mut stream, _) = listener.accept().await.expect("a connection");
                    open.spawn(async move {
                        let _ = stream.read(&mut [0; 4096]).await;
                        let repeat = $repeat.repeat(16 * 1024 / $repeat.len());
                        let mut sent = stream.write_all($start.as_bytes()).await;
                        while sent.is_ok() {
                            sent = stream.write_all(repeat.as_bytes()).await;
                        }
                    });
                }
            };
            let _ = time::timeout(DURATION, server).await;
            assert_eq!(ready(&gateway).await, 503);
            assert_memory_is_bounded();
        }
    )*};
}

endless_store! {
    a_first_line_of_the_store_without_end_is_given_up: "HTTP/1.1 200 ", "x";
    headers_of_the_store_without_end_are_given_up: "HTTP/1.1 200 OK\r\n", "a: b\r\n";
    a_header_of_the_store_without_end_is_given_up: "HTTP/1.1 200 OK\r\na: ", "b";
    a_body_of_the_store_without_end_is_given_up: "HTTP/1.1 200 OK\r\n\r\n", " ";
    chunks_of_the_store_without_end_are_given_up:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n    \r\n";
    interim_responses_of_the_store_without_end_are_given_up: "", "HTTP/1.1 102 Processing\r\n\r\n";
}
