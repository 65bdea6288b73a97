//! Responses that take long over a slow link, and those that do not end.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use assert_matches::assert_matches;
use citron_platform::{Client, Error, Expect, Hosts, VALUE_LIMIT_BYTES};
use citron_stand::{endless::memory_peak_kib, platform, relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};

const LOCAL: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// The timeout of the clients.
const TIMEOUT: Duration = Duration::from_millis(500);
/// How long a call may take that is to be given up.
const GIVEN_UP: Duration = Duration::from_secs(5);
/// The memory that a process may use at the size that the design is made for, in KiB.
const MEMORY_LIMIT_KIB: u64 = 256 * 1024;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_object_that_a_slow_link_needs_long_for_is_written_and_read() {
    let platform = platform::bind(SocketAddr::from(LOCAL), Hosts::default()).await.unwrap();
    let link = relay::bind(SocketAddr::from(LOCAL), platform.addr()).await.unwrap();
    link.limit_rate(400_000);
    let client = Client::open(&format!("http://{}", link.addr()), TIMEOUT).unwrap();
    let value = vec![7; VALUE_LIMIT_BYTES];
    client.put("policy", "head", &value, Expect::Absent).await.expect("a written object");
    let object = client.get("policy", "head").await.expect("a response").expect("an object");
    assert_eq!(object.value.len(), VALUE_LIMIT_BYTES);
}

/// Defines a test in which the platform answers a call with `head`, and a body without end.
macro_rules! endless {
    ($($name:ident: $head:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let listener = TcpListener::bind(LOCAL).await.unwrap();
            let url = format!("http://{}", listener.local_addr().unwrap());
            let client = Client::open(&url, Duration::from_secs(60)).unwrap();
            let server = tokio::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let _ = stream.read(&mut [0; 4096]).await;
                    let mut sent = stream.write_all($head.as_bytes()).await;
                    while sent.is_ok() {
                        sent = stream.write_all(&[b' '; 64 * 1024]).await;
                    }
                }
            });
            let calls = async {
                (client.get("policy", "head").await, client.list("policy").await)
            };
            let (object, list) = time::timeout(GIVEN_UP, calls).await.expect("an end");
            assert_matches!(object, Err(Error::Malformed { .. } | Error::Refused { .. }));
            assert_matches!(list, Err(Error::Malformed { .. } | Error::Refused { .. }));
            let peak_kib = memory_peak_kib().unwrap();
            println!("{peak_kib} KiB of memory at the peak");
            assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of memory at the peak");
            server.abort();
        }
    )*};
}

endless! {
    a_value_without_end_is_given_up: "HTTP/1.1 200 OK\r\netag: \"1\"\r\n\r\n";
    a_refusal_without_end_is_given_up: "HTTP/1.1 403 Forbidden\r\n\r\n";
}
