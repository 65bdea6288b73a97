//! What callers are told, and how often targets run a request, for each way a target can fail.

mod support;

use std::time::Duration;

use support::{
    World, lookup, order,
    target::{Act, LONG_BYTES},
};
use tokio::time;

/// Plays one request while every target does the same.
macro_rules! every_target {
    ($name:ident, $act:expr, $request:ident, $status:literal, runs $least:literal..=$most:literal) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start(2).await;
            world.targets.iter().for_each(|target| target.set($act));
            let answer = world.ask(&$request("id-1")).await;
            let runs: usize = world.targets.iter().map(|target| target.runs("id-1")).sum();
            assert_eq!(answer.status, $status, "{answer:?}");
            assert!(($least..=$most).contains(&runs), "it ran {runs} times");
            if answer.status == 503 {
                assert!(answer.header("retry-after").is_some(), "a time to come back");
            }
            if answer.status == 200 {
                assert!(answer.whole && answer.body.contains(" by t"), "{answer:?}");
                assert!(answer.header("upstream-signature").is_some());
            }
        }
    };
}

every_target!(a_lookup_is_served, Act::Serve, lookup, 200, runs 1..=1);
every_target!(an_order_is_served, Act::Serve, order, 200, runs 1..=1);
every_target!(chunks_are_whole, Act::ServeChunked, order, 200, runs 1..=1);
every_target!(an_answer_that_ends_with_its_connection_is_whole, Act::ServeUnframed, order, 200, runs 1..=1);
every_target!(a_closing_answer_is_whole, Act::ServeAndClose, order, 200, runs 1..=1);
every_target!(a_failed_order_is_passed_on, Act::Fail, order, 500, runs 1..=1);
every_target!(a_failed_lookup_is_tried_twice, Act::Fail, lookup, 500, runs 2..=2);
every_target!(a_shed_order_has_not_run, Act::Shed, order, 503, runs 0..=0);
every_target!(a_shed_lookup_has_not_run, Act::Shed, lookup, 503, runs 0..=0);
every_target!(a_misdirected_order_has_not_run, Act::Misdirect, order, 503, runs 0..=0);
every_target!(an_order_on_a_reset_connection_is_unknown, Act::Reset, order, 502, runs 1..=1);
every_target!(a_lookup_on_a_reset_connection_is_tried_twice, Act::Reset, lookup, 502, runs 2..=2);
every_target!(an_order_that_hangs_is_unknown, Act::Hang, order, 504, runs 1..=1);
every_target!(a_lookup_that_hangs_is_tried_twice, Act::Hang, lookup, 504, runs 1..=2);
every_target!(an_order_cut_in_its_body_is_unknown, Act::CutBody, order, 502, runs 1..=1);
every_target!(a_lookup_cut_in_its_body_is_tried_twice, Act::CutBody, lookup, 502, runs 2..=2);
every_target!(a_reset_is_no_end_of_a_body, Act::ResetUnframed, order, 502, runs 1..=1);
every_target!(an_answer_of_another_request_is_dropped, Act::WrongId, order, 502, runs 1..=1);
every_target!(an_unsigned_answer_is_dropped, Act::Unsigned, order, 502, runs 1..=1);
every_target!(bytes_that_are_no_answer_are_dropped, Act::Garbage, order, 502, runs 1..=1);
every_target!(a_second_answer_is_dropped, Act::ServeTwice, lookup, 200, runs 1..=1);

#[tokio::test]
async fn a_lookup_is_served_by_the_second_target() {
    for act in [Act::Fail, Act::Reset, Act::Shed, Act::CutBody, Act::Hang, Act::WrongId] {
        let world = World::start(2).await;
        world.targets[0].set(act);
        for n in 0..4 {
            let answer = world.ask(&lookup(&format!("id-{n}"))).await;
            assert_eq!(answer.status, 200, "{act:?}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn an_order_that_was_shed_is_served_by_the_second_target() {
    let world = World::start(2).await;
    world.targets[0].set(Act::Shed);
    for n in 0..4 {
        let id = format!("id-{n}");
        let answer = world.ask(&order(&id)).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(world.targets[1].runs(&id), 1);
    }
}

#[tokio::test]
async fn orders_avoid_a_target_that_failed() {
    let world = World::start(3).await;
    world.targets[0].set(Act::Fail);
    let mut failed = 0;
    for n in 0..30 {
        failed += u32::from(world.ask(&order(&format!("id-{n}"))).await.status == 500);
    }
    assert!(failed <= 1, "{failed} orders failed");
}

#[tokio::test]
async fn answers_after_a_second_answer_belong_to_their_requests() {
    let world = World::start(1).await;
    world.targets[0].set(Act::ServeTwice);
    for n in 0..10 {
        let id = format!("id-{n}");
        let answer = world.ask(&lookup(&id)).await;
        if answer.status == 200 {
            assert_eq!(answer.header("attempt-id"), Some(id.as_str()));
        }
    }
}

#[tokio::test]
async fn an_unanswered_request_ends_at_its_route_timeout() {
    let world = World::start(1).await;
    world.targets[0].set(Act::Hang);
    let began = time::Instant::now();
    let answer = world.ask(&order("id-1")).await;
    assert_eq!(answer.status, 504);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(990) && took < Duration::from_millis(1500), "{took:?}");
}

#[tokio::test]
async fn a_caller_with_less_time_is_answered_at_its_own_deadline() {
    let world = World::start(1).await;
    world.targets[0].set(Act::Hang);
    let began = time::Instant::now();
    let mut request = order("id-1");
    request.remaining_ms = 300;
    assert_eq!(world.ask(&request).await.status, 504);
    assert!(began.elapsed() < Duration::from_millis(800));
    let given: u64 =
        world.targets[0].seen()[0].headers["deadline-remaining-ms"].parse().expect("a number");
    assert!(given <= 300, "the target is given {given} ms");
}

#[tokio::test]
async fn a_caller_that_leaves_takes_its_request_along() {
    let world = World::start(1).await;
    world.targets[0].set(Act::ServeAfter(3000));
    let mut caller = world.caller().await;
    caller.send(&lookup("id-1").text()).await;
    support::eventually("the target runs it", async || world.targets[0].runs("id-1") == 1).await;
    drop(caller);
    let began = time::Instant::now();
    support::eventually("the target hears of it", async || world.targets[0].left() == ["id-1"])
        .await;
    assert!(began.elapsed() < Duration::from_millis(400));
}

#[tokio::test]
async fn a_caller_that_leaves_behind_pipelined_requests_takes_all_along() {
    let world = World::start(1).await;
    world.targets[0].set(Act::ServeAfter(3000));
    let mut caller = world.caller().await;
    caller.send(&(lookup("id-1").text() + &lookup("id-2").text())).await;
    support::eventually("both run", async || world.targets[0].seen().len() == 2).await;
    drop(caller);
    support::eventually("both end", async || world.targets[0].left().len() == 2).await;
}

#[tokio::test]
async fn a_long_answer_is_passed_on_whole() {
    let world = World::start(1).await;
    world.targets[0].set(Act::ServeLong);
    let answer = world.ask(&lookup("id-1")).await;
    assert!(answer.whole);
    assert_eq!(answer.body.len(), LONG_BYTES);
}

#[tokio::test]
async fn connections_are_used_again_by_what_can_be_repeated() {
    let world = World::start(1).await;
    for n in 0..5 {
        assert_eq!(world.ask(&lookup(&format!("id-{n}"))).await.status, 200);
    }
    assert_eq!(world.targets[0].connections(), 1);
}

#[tokio::test]
async fn a_lookup_at_a_slow_target_is_served_by_another_meanwhile() {
    let world = World::start(2).await;
    world.targets[0].set(Act::ServeAfter(900));
    for n in 0..4 {
        let began = time::Instant::now();
        assert_eq!(world.ask(&lookup(&format!("id-{n}"))).await.status, 200);
        assert!(began.elapsed() < Duration::from_millis(600));
    }
}
