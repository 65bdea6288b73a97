//! What targets state about themselves in their responses: that they leave, and pauses.

mod support;

use std::time::Duration;

use citron_gateway::Gateway;
use support::{TestFleet, caller::Caller, eventually, gateway, lookup, order, ready, target::Act};
use tokio::time;

/// Sends lookups and orders to a gateway, which must serve all of them.
async fn send_some(gateway: &Gateway, prefix: &str, count: usize) {
    for n in 0..count {
        let id = format!("{prefix}-{n}");
        let request = if n % 2 == 0 { lookup(&id) } else { order(&id) };
        let mut caller = Caller::connect(gateway.callers()).await;
        caller.send(&request.text()).await;
        assert_eq!(caller.answer().await.status, 200, "{id}");
    }
}

/// Sends requests until the first target has met one.
async fn meet_first_target(fleet: &TestFleet) {
    for n in 0..100 {
        let first = &fleet.targets[0];
        if !first.seen().is_empty() || !first.refused().is_empty() {
            return;
        }
        fleet.send(&lookup(&format!("meet-{n}"))).await;
    }
    panic!("the first target met no request");
}

#[tokio::test]
async fn a_target_whose_response_says_that_it_leaves_gets_no_more_requests() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::ServeWith("Server-Leaving: 1\r\n"));
    meet_first_target(&fleet).await;
    let before = fleet.targets[0].seen().len();
    send_some(&fleet.gateway, "after", 30).await;
    assert_eq!(fleet.targets[0].seen().len(), before);
}

#[tokio::test]
async fn a_target_that_said_to_one_gateway_that_it_leaves_gets_no_requests_from_another() {
    let fleet = TestFleet::start(2).await;
    let other = gateway("entry-2", &fleet.store).await;
    eventually("the other is ready", async || ready(&other).await == 200).await;
    time::sleep(Duration::from_millis(500)).await;
    fleet.targets[0].set(Act::ServeWith("Server-Leaving: 1\r\n"));
    meet_first_target(&fleet).await;
    time::sleep(Duration::from_millis(200)).await;
    let before = fleet.targets[0].seen().len();
    send_some(&other, "other", 30).await;
    assert_eq!(fleet.targets[0].seen().len(), before);
}

#[tokio::test]
async fn a_gateway_that_starts_later_learns_that_a_target_leaves() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::ServeWith("Server-Leaving: 1\r\n"));
    meet_first_target(&fleet).await;
    let other = gateway("entry-2", &fleet.store).await;
    eventually("the other is ready", async || ready(&other).await == 200).await;
    time::sleep(Duration::from_millis(2000)).await;
    let before = fleet.targets[0].seen().len();
    send_some(&other, "other", 30).await;
    assert_eq!(fleet.targets[0].seen().len(), before);
}

macro_rules! pause_is_kept {
    ($($name:ident: $header:literal, $pause_ms:literal ms;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = TestFleet::start(2).await;
            fleet.targets[0].set(Act::ShedWith($header));
            meet_first_target(&fleet).await;
            fleet.targets[0].set(Act::Serve);
            let until = time::Instant::now() + Duration::from_millis($pause_ms);
            while time::Instant::now() < until {
                send_some(&fleet.gateway, "paused", 2).await;
            }
            assert_eq!(fleet.targets[0].seen().len(), 0, "requests during the pause");
            assert_eq!(fleet.targets[0].refused().len(), 1);
            time::sleep(Duration::from_millis(200)).await;
            send_some(&fleet.gateway, "after", 40).await;
            assert!(!fleet.targets[0].seen().is_empty(), "it serves after the pause");
        }
    )*};
}

pause_is_kept! {
    a_pause_in_whole_seconds_is_kept: "Retry-After: 1\r\n", 950 ms;
    a_pause_in_fractions_of_a_second_is_kept: "Retry-After: 1.5\r\n", 1450 ms;
}

#[tokio::test]
async fn a_pause_of_the_only_target_is_refused_with_the_time_to_return() {
    let fleet = TestFleet::start(1).await;
    fleet.targets[0].set(Act::ShedWith("Retry-After: 3\r\n"));
    assert_eq!(fleet.send(&order("id-1")).await.status, 503);
    let refusal = fleet.send(&order("id-2")).await;
    assert_eq!(refusal.status, 503);
    let seconds: f64 = refusal.header("retry-after").and_then(|s| s.parse().ok()).expect("a time");
    assert!((2.0..=3.0).contains(&seconds), "{seconds}");
    assert_eq!(fleet.targets[0].refused().len(), 1);
}

#[tokio::test]
async fn a_pause_that_cannot_be_read_is_ignored() {
    let fleet = TestFleet::start(2).await;
    fleet.targets[0].set(Act::ShedWith("Retry-After: soon\r\n"));
    meet_first_target(&fleet).await;
    fleet.targets[0].set(Act::Serve);
    time::sleep(Duration::from_millis(1200)).await;
    send_some(&fleet.gateway, "after", 40).await;
    assert!(!fleet.targets[0].seen().is_empty());
}
