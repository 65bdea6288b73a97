//! Many long uploads at once: those for which there is no memory are refused, and the process keeps
//! within its memory.

mod support;

use std::{net::SocketAddr, time::Duration};

use citron_stand::endless::memory_peak_kib;
use support::{TestFleet, config, lookup};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    time,
};

/// The uploads at once.
const UPLOADS: usize = 20;
/// The length of an upload.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
/// The size of the parts in which it is sent.
const PART_BYTES: usize = 64 * 1024;
/// The memory that the process may use, in KiB: 64 MiB of the gateway (`memory_bytes` of the test
/// fleet), and half of that for the stand-ins.
const MEMORY_LIMIT_KIB: u64 = 96 * 1024;
/// The tests of this process share its memory, so that they run one after the other.
static PROCESS: Mutex<()> = Mutex::const_new(());
/// How long the last part of the uploads is held back.
const HOLD: Duration = Duration::from_millis(1500);

/// Sends an upload, its last part after all others were sent, and returns the response.
async fn upload(addr: SocketAddr, number: usize, is_chunked: bool) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {UPLOAD_BYTES}"),
    };
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: id-{number}\r\nDeadline-Remaining-Ms: 5000\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    let part = match is_chunked {
        true => [format!("{PART_BYTES:x}\r\n").as_bytes(), &[b'x'; PART_BYTES], b"\r\n"].concat(),
        false => vec![b'x'; PART_BYTES],
    };
    let parts = UPLOAD_BYTES / PART_BYTES;
    let mut sent = stream.write_all(head.as_bytes()).await;
    for n in 0..parts {
        if n + 1 == parts {
            time::sleep(HOLD).await;
        }
        if sent.is_ok() {
            sent = stream.write_all(&part).await;
        }
    }
    if is_chunked && sent.is_ok() {
        sent = stream.write_all(b"0\r\n\r\n").await;
    }
    sent.expect("a sent upload");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("a response without a reset");
    String::from_utf8_lossy(&response).into_owned()
}

macro_rules! uploads_beyond_the_memory_are_refused {
    ($($name:ident: chunked $is_chunked:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let _process = PROCESS.lock().await;
            let fleet = TestFleet::start(2).await;
            let mut spec = config("r2", 5.0);
            spec["limits"]["maxBodyBytes"] = (64 * 1024 * 1024).into();
            fleet.store.put("config", "main", spec);
            time::sleep(Duration::from_millis(800)).await;
            let addr = fleet.gateway.callers();
            let uploads = (0..UPLOADS).map(|n| upload(addr, n, $is_chunked));
            let uploads = futures::future::join_all(uploads);
            let others = async {
                time::sleep(HOLD / 2).await;
                fleet.send(&lookup("small")).await.status
            };
            let (responses, small) = tokio::join!(uploads, others);
            assert_eq!(small, 200, "long uploads leave room for others");
            let served = responses.iter().filter(|text| text.starts_with("HTTP/1.1 200")).count();
            let refused: Vec<&String> =
                responses.iter().filter(|text| text.starts_with("HTTP/1.1 503")).collect();
            assert!(served > 0 && served + refused.len() == UPLOADS, "{responses:?}");
            assert!(refused.iter().all(|text| text.contains("retry-after: ")), "{refused:?}");
            let runs = |n: usize| -> usize {
                fleet.targets.iter().map(|target| target.runs(&format!("id-{n}"))).sum()
            };
            assert_eq!((0..UPLOADS).map(runs).sum::<usize>(), served, "the others have not run");
            let peak_kib = memory_peak_kib().expect("a peak");
            println!("{served} uploads served, {peak_kib} KiB of memory at the peak");
            assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of memory at the peak");
        }
    )*};
}

/// Uploads of 60 KB, which each have a small part of the memory, must not have all of it together.
#[tokio::test]
async fn uploads_leave_memory_for_small_requests() {
    let _process = PROCESS.lock().await;
    let fleet = TestFleet::start(1).await;
    let mut spec = config("r2", 5.0);
    spec["limits"]["maxBodyBytes"] = 360_000.into();
    fleet.store.put("config", "main", spec);
    time::sleep(Duration::from_millis(800)).await;
    // The memory of an upload is reserved before its body is sent.
    let head = "POST /orders/1 HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: id\r\nContent-Length: 60000\r\n\r\n";
    let mut uploads = Vec::new();
    for _ in 0..600 {
        let mut caller = fleet.caller().await;
        caller.send(head).await;
        uploads.push(caller);
    }
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(uploads.last_mut().expect("an upload").answer().await.status, 503);
    for n in 0..20 {
        assert_eq!(fleet.send(&lookup(&format!("small-{n}"))).await.status, 200);
    }
}

uploads_beyond_the_memory_are_refused! {
    uploads_beyond_the_memory_are_refused_before_they_are_read: chunked false;
    uploads_of_unknown_length_beyond_the_memory_are_refused: chunked true;
}
