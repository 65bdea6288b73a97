//! Callers that leave in the middle of a body: the connection to the target is closed, and the memory
//! is free.

mod support;

use std::time::Duration;

use support::{Request, TestFleet, caller::Caller, config, eventually, lookup, order, target::Act};
use tokio::time::{self, Instant};

/// How long the connection to the target and the memory may outlast the caller.
const LIMIT: Duration = Duration::from_millis(500);
/// The length of an upload.
const UPLOAD_BYTES: usize = 360_000;
/// What may be reserved for a connection without a request.
const IDLE_BYTES: usize = 16 * 1024;

/// Starts a fleet of one target that takes uploads.
async fn fleet(act: Act) -> TestFleet {
    let fleet = TestFleet::start(1).await;
    let mut spec = config("r2", 5.0);
    spec["limits"]["maxBodyBytes"] = UPLOAD_BYTES.into();
    fleet.store.put("config", "main", spec);
    time::sleep(Duration::from_millis(800)).await;
    fleet.targets[0].set(act);
    fleet
}

/// Closes the caller's connection; the memory must be free in time, and so must the target be if it
/// runs a request.
async fn leave(fleet: &TestFleet, caller: Caller) {
    assert!(fleet.gateway.reserved_bytes() > IDLE_BYTES);
    let runs = fleet.targets[0].seen().len();
    drop(caller);
    let left_at = Instant::now();
    eventually("all is free", async || {
        fleet.gateway.reserved_bytes() <= IDLE_BYTES && fleet.targets[0].left().len() == runs
    })
    .await;
    assert!(left_at.elapsed() < LIMIT, "{:?}", left_at.elapsed());
}

macro_rules! caller_that_leaves {
    ($($name:ident: $act:expr, $text:expr, runs $runs:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet($act).await;
            let mut caller = fleet.caller().await;
            caller.send(&$text).await;
            eventually("it is in the middle", async || {
                let is_reserved = fleet.gateway.reserved_bytes() > IDLE_BYTES;
                is_reserved && fleet.targets[0].runs("id-1") == $runs
            })
            .await;
            time::sleep(Duration::from_millis(200)).await;
            leave(&fleet, caller).await;
        }
    )*};
}

fn upload() -> String {
    Request { body: &"x".repeat(UPLOAD_BYTES), ..order("id-1") }.text()
}

caller_that_leaves! {
    a_caller_that_leaves_in_its_upload_frees_it: Act::Serve, &upload()[..UPLOAD_BYTES / 2], runs 0;
    a_caller_that_leaves_after_its_upload_frees_it: Act::Hang, upload(), runs 1;
    a_caller_that_leaves_in_a_response_that_stalls_frees_it:
        Act::StallLong, lookup("id-1").text(), runs 1;
    a_caller_that_leaves_with_a_request_behind_a_response_frees_both:
        Act::StallLong, lookup("id-1").text() + &lookup("id-2").text(), runs 1;
    a_caller_that_leaves_in_a_long_response_frees_it:
        Act::Endless {
            start: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: x\r\nContent-Length: 1000000000\r\n\r\n",
            repeat: "xxxxxxxx",
        },
        lookup("id-1").text(), runs 1;
}
