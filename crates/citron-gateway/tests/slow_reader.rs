//! Callers that read their responses slowly.

mod support;

use std::time::Duration;

use support::{Request, TestFleet, lookup, target::Act};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time::{self, Instant},
};

/// The size of a response that is longer than what the kernel holds, and is complete before it is
/// written.
const LONG_BYTES: usize = 4_000_000;
/// How fast it is read at first, in bytes per second, and for how long.
const READ_RATE: f64 = 100_000.0;
const SLOW_TIME: Duration = Duration::from_secs(13);

/// A caller that went on reading was given up after ten seconds, and lost the responses behind the long
/// one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_a_long_response_slowly_gets_those_behind_it() {
    let fleet = TestFleet::start(1).await;
    fleet.store.put("config", "main", support::config("r2", 60.0));
    time::sleep(Duration::from_millis(800)).await;
    fleet.targets[0].set(Act::ServeBytes(LONG_BYTES));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a receive buffer");
    let mut caller = socket.connect(fleet.gateway.callers()).await.expect("a connection");
    for id in ["long", "behind"] {
        let request = Request { remaining_ms: 60_000, ..lookup(id) };
        caller.write_all(request.text().as_bytes()).await.expect("a sent request");
    }
    let begun_at = Instant::now();
    let (mut total, mut part) = (0, vec![0; 16 * 1024]);
    while total < 2 * LONG_BYTES {
        let is_slow = begun_at.elapsed() < SLOW_TIME;
        if is_slow && total as f64 > begun_at.elapsed().as_secs_f64() * READ_RATE {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        let count = caller.read(&mut part).await.expect("no reset");
        assert!(count > 0, "the connection ends after {total} bytes");
        total += count;
    }
}
