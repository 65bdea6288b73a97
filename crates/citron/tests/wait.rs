//! The order in which waiting requests are released, and which of them are refused.

use std::time::Duration;

use citron::queue::wait::{Limits, Need, Queue, Refusal, Request, Ticket};

const LIMITS: Limits = Limits { requests: 3, bytes: 100 };

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request of 100 ms of work that was received at 0, with an objective of 1 s and 4 s of time.
const PLAIN: Request<'static> = Request {
    customer: "north",
    priority: 1,
    need: Need::Token,
    work: ms(100),
    received_at: ms(0),
    objective_at: ms(1000),
    deadline: ms(4000),
    bytes: 10,
};

/// The same with an objective of 2 s.
const PATIENT: Request<'static> = Request { objective_at: ms(2000), ..PLAIN };

fn queue(requests: &[Request<'_>]) -> (Queue, Vec<Ticket>) {
    let mut queue = Queue::new(Limits { requests: requests.len(), bytes: 1000 });
    let push = |request: &Request<'_>| queue.push(request, ms(0)).expect("a place").0;
    let tickets = requests.iter().map(push).collect();
    (queue, tickets)
}

/// Releases all requests at `now` and returns their indices in the order of their release.
fn released(requests: &[Request<'_>], now: Duration) -> Vec<usize> {
    let (mut queue, tickets) = queue(requests);
    let mut order = Vec::new();
    while let Some((ticket, _)) = queue.peek(None, now) {
        assert!(queue.release(ticket, now));
        order.extend(tickets.iter().position(|other| *other == ticket));
    }
    order
}

macro_rules! order {
    ($($name:ident: [$($request:expr),*] at $now:expr => $order:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(released(&[$($request),*], ms($now)), $order);
        }
    )*};
}

order! {
    priority_goes_first:
        [PLAIN, Request { priority: 0, work: ms(900), ..PLAIN }] at 10 => [1, 0];
    a_request_that_can_meet_its_objective_goes_before_one_that_cannot:
        [Request { objective_at: ms(50), work: ms(60), ..PLAIN }, PLAIN] at 10 => [1, 0];
    customers_take_turns:
        [PLAIN, PLAIN, PLAIN, Request { customer: "south", work: ms(300), ..PLAIN }] at 10
        => [0, 3, 1, 2];
    less_work_goes_first: [PLAIN, Request { work: ms(20), ..PLAIN }] at 10 => [1, 0];
    the_earlier_deadline_goes_first: [PLAIN, Request { deadline: ms(2000), ..PLAIN }] at 10 => [1, 0];
    equal_requests_keep_their_order: [PLAIN, PLAIN, PLAIN] at 10 => [0, 1, 2];
    a_request_moves_up_after_a_quarter_of_its_time:
        [Request { priority: 2, work: ms(50), ..PATIENT }, Request { deadline: ms(9000), ..PATIENT }]
        at 1000 => [0, 1];
    a_request_that_misses_its_objective_does_not_move_up:
        [Request { priority: 2, work: ms(50), ..PLAIN }, Request { deadline: ms(9000), ..PLAIN }]
        at 1000 => [1, 0];
    a_request_does_not_move_up_before:
        [Request { priority: 2, work: ms(50), ..PATIENT }, Request { deadline: ms(9000), ..PATIENT }]
        at 999 => [1, 0];
}

macro_rules! push_to_full_queue {
    ($($name:ident: $request:expr => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut queue = Queue::new(LIMITS);
            for work in [100, 200, 300] {
                queue.push(&Request { work: ms(work), ..PLAIN }, ms(0)).expect("a place");
            }
            let pushed = queue.push(&$request, ms(1));
            let displaced = pushed.map(|(_, displaced)| displaced.len());
            assert_eq!(displaced, $result);
            assert_eq!(queue.len(), 3);
        }
    )*};
}

push_to_full_queue! {
    a_full_queue_refuses_a_request_that_is_worth_less:
        Request { priority: 2, ..PLAIN } => Err(Refusal::QueueFull);
    a_full_queue_refuses_the_one_that_is_worth_least: Request { priority: 0, ..PLAIN } => Ok(1);
    a_request_larger_than_the_memory_displaces_none:
        Request { priority: 0, bytes: 101, ..PLAIN } => Err(Refusal::QueueFull);
    a_request_whose_work_does_not_fit_is_refused_at_once:
        Request { work: ms(3980), ..PLAIN } => Err(Refusal::Expired);
}

#[test]
fn a_large_request_displaces_as_many_as_it_needs_the_memory_of() {
    let mut queue = Queue::new(Limits { requests: 9, bytes: 30 });
    for _ in 0..3 {
        queue.push(&PLAIN, ms(0)).expect("a place");
    }
    let large = Request { priority: 0, bytes: 25, ..PLAIN };
    let (_, displaced) = queue.push(&large, ms(0)).expect("a place");
    assert_eq!((displaced.len(), queue.len()), (3, 1));
}

#[test]
fn a_request_expires_when_its_work_no_longer_fits() {
    let (mut queue, tickets) = queue(&[PLAIN, Request { work: ms(50), ..PLAIN }]);
    assert!(queue.expire(Duration::MAX, ms(3850)).is_empty());
    assert_eq!(queue.expire(Duration::MAX, ms(3870)).as_slice(), &tickets[..1]);
    assert_eq!(queue.len(), 1);
}

/// Guards against late requests that take the room of those that are not.
#[test]
fn a_request_that_waits_for_room_expires_with_its_objective() {
    let (mut queue, tickets) = queue(&[Request { need: Need::Room, ..PLAIN }, PLAIN]);
    assert!(queue.expire(Duration::MAX, ms(850)).is_empty());
    assert_eq!(queue.expire(Duration::MAX, ms(870)).as_slice(), &tickets[..1]);
}

#[test]
fn a_request_expires_before_the_end_of_service() {
    let (mut queue, tickets) = queue(&[PLAIN]);
    assert_eq!(queue.expire(ms(500), ms(400)).as_slice(), &tickets[..]);
}

#[test]
fn the_place_of_a_caller_that_leaves_is_free_at_once() {
    let (mut queue, tickets) = queue(&[PLAIN]);
    assert_eq!(queue.push(&PLAIN, ms(1)), Err(Refusal::QueueFull));
    assert!(queue.cancel(tickets[0]));
    assert!(!queue.cancel(tickets[0]) && !queue.release(tickets[0], ms(1)));
    assert!(queue.push(&PLAIN, ms(1)).is_ok());
}

#[test]
fn a_request_that_needs_room_only_is_not_held_up_by_one_that_needs_a_token() {
    let (queue, tickets) = queue(&[PLAIN, Request { need: Need::Room, priority: 3, ..PLAIN }]);
    assert_eq!(queue.peek(None, ms(1)), Some((tickets[0], Need::Token)));
    assert_eq!(queue.peek(Some(Need::Room), ms(1)), Some((tickets[1], Need::Room)));
}

#[test]
fn a_new_request_is_held_by_one_as_urgent_that_waits_for_the_same() {
    let (queue, _) = queue(&[PLAIN]);
    assert!(queue.precedes(1, Need::Token, ms(1)) && queue.precedes(2, Need::Token, ms(1)));
    assert!(!queue.precedes(0, Need::Token, ms(1)) && !queue.precedes(1, Need::Room, ms(1)));
}

#[test]
fn the_expected_wait_follows_the_rate_of_release() {
    let (mut queue, tickets) = queue(&[PLAIN; 5]);
    for (n, ticket) in tickets[..3].iter().enumerate() {
        queue.release(*ticket, ms(100 * (n as u64 + 1)));
    }
    assert_eq!(queue.expected_wait(), ms(300));
}
