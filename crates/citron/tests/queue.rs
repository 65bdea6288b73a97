//! The fair queue of requests that wait for a slot: single cases, and seeded random runs.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use assert_matches::assert_matches;
use citron::{
    policy::Class,
    queue::{Limits, PendingRequest, Queue, Refusal, Ticket},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIMITS: Limits = Limits { total: 8, customer: 6 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(customer: &str) -> PendingRequest<'_> {
    PendingRequest { customer, weight: 1.0, class: Class::Live, deadline: ms(1000) }
}

fn push(queue: &mut Queue, customer: &str) -> Ticket {
    queue.push(&request(customer), ms(0)).expect("there is room").0
}

macro_rules! cases {
    ($($name:ident($queue:ident) $check:block)*) => {$(
        #[test]
        fn $name() {
            let mut queue = Queue::new(LIMITS);
            let $queue = &mut queue;
            $check
        }
    )*};
}

/// Queues several requests of one customer.
fn push_all(queue: &mut Queue, customer: &str, count: usize) {
    for _ in 0..count {
        push(queue, customer);
    }
}

cases! {
    an_empty_queue_serves_nothing(queue) {
        assert_eq!(queue.pop(ms(0)), None);
    }
    one_customer_is_served_in_order(queue) {
        let tickets = [push(queue, "a"), push(queue, "a"), push(queue, "a")];
        assert_eq!(tickets.map(Some), [queue.pop(ms(0)), queue.pop(ms(0)), queue.pop(ms(0))]);
    }
    a_new_customer_is_served_before_a_backlog(queue) {
        push_all(queue, "noisy", 4);
        let quiet = push(queue, "quiet");
        queue.pop(ms(0));
        assert_eq!(queue.pop(ms(0)), Some(quiet));
    }
    weights_divide_the_slots(queue) {
        let mut heavy = Vec::new();
        for _ in 0..4 {
            heavy.push(queue.push(&PendingRequest { weight: 3.0, ..request("heavy") }, ms(0)).unwrap().0);
        }
        push_all(queue, "light", 4);
        let first: Vec<Ticket> = (0..4).map(|_| queue.pop(ms(0)).unwrap()).collect();
        assert_eq!(first.iter().filter(|ticket| heavy.contains(ticket)).count(), 3);
    }
    live_goes_before_archive(queue) {
        queue.push(&PendingRequest { class: Class::Archive, ..request("a") }, ms(0)).unwrap();
        let live = push(queue, "a");
        assert_eq!(queue.pop(ms(0)), Some(live));
    }
    a_request_past_its_deadline_is_not_served(queue) {
        let ticket = push(queue, "a");
        assert_eq!(queue.pop(ms(1001)), None);
        assert_eq!(queue.expire(ms(1001)), [ticket]);
        assert!(queue.is_empty());
    }
    a_request_at_its_deadline_is_served(queue) {
        let ticket = push(queue, "a");
        assert_eq!(queue.expire(ms(1000)), []);
        assert_eq!(queue.pop(ms(1000)), Some(ticket));
    }
    a_cancelled_request_is_not_served(queue) {
        let ticket = push(queue, "a");
        assert!(queue.cancel(ticket));
        assert!(!queue.cancel(ticket));
        assert_eq!(queue.pop(ms(0)), None);
    }
    a_flow_whose_requests_expired_gets_a_new_finish_time(queue) {
        queue.push(&PendingRequest { deadline: ms(10), ..request("z") }, ms(0)).unwrap();
        push_all(queue, "b", 4);
        assert!(queue.pop(ms(20)).is_some() && queue.pop(ms(20)).is_some());
        let late = queue.push(&request("z"), ms(20)).unwrap().0;
        assert_ne!(queue.pop(ms(20)), Some(late));
        assert_eq!(queue.pop(ms(20)), Some(late));
    }
    a_customer_has_its_own_limit(queue) {
        push_all(queue, "a", 6);
        assert_matches!(queue.push(&request("a"), ms(0)), Err(Refusal::CustomerFull));
    }
    a_full_queue_evicts_the_last_of_the_customer_with_the_most(queue) {
        push_all(queue, "noisy", 5);
        let last = push(queue, "noisy");
        push(queue, "b");
        push(queue, "c");
        let (_, evicted) = queue.push(&request("quiet"), ms(0)).unwrap();
        assert_eq!(evicted, Some(last));
        assert_eq!(queue.len(), 8);
    }
    a_full_queue_refuses_a_customer_with_as_many_as_the_others(queue) {
        for customer in ["a", "b", "c", "d"] {
            push_all(queue, customer, 2);
        }
        assert_matches!(queue.push(&request("a"), ms(0)), Err(Refusal::QueueFull));
    }
    a_deadline_that_cannot_be_met_is_refused_at_once(queue) {
        push_all(queue, "a", 6);
        (0..3).for_each(|step| assert!(queue.pop(ms(step * 100)).is_some()));
        let soon = PendingRequest { deadline: ms(400), ..request("a") };
        assert_matches!(queue.push(&soon, ms(200)), Err(Refusal::TooLate));
        assert_matches!(queue.push(&PendingRequest { deadline: ms(700), ..soon }, ms(200)), Ok(_));
    }
    a_request_past_its_deadline_is_refused(queue) {
        let late = PendingRequest { deadline: ms(1), ..request("a") };
        assert_matches!(queue.push(&late, ms(2)), Err(Refusal::TooLate));
    }
}

/// Makes random calls and checks that each request ends exactly once, and that no customer is passed
/// over more often than fair queueing allows.
fn run(seed: u64, steps: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::new(Limits { total: 20, customer: 10 });
    let mut waiting: HashMap<Ticket, (String, Duration)> = HashMap::new();
    let mut passed_over: BTreeMap<String, u32> = BTreeMap::new();
    for step in 0..steps {
        let now = ms(step);
        match rng.random_range(0..10) {
            0..=5 => {
                let customer = format!("c{}", rng.random_range(0..4) * rng.random_range(0..2));
                let deadline = now + ms(rng.random_range(5..200));
                let request = PendingRequest { deadline, ..request(&customer) };
                if let Ok((ticket, evicted)) = queue.push(&request, now) {
                    assert!(evicted.is_none_or(|ticket| waiting.remove(&ticket).is_some()));
                    assert!(waiting.insert(ticket, (customer, deadline)).is_none());
                }
            }
            6..=7 => {
                let Some(ticket) = queue.pop(now) else { continue };
                let (customer, deadline) = waiting.remove(&ticket).expect("served twice");
                assert!(deadline >= now);
                passed_over.remove(&customer);
                for (name, turns) in &mut passed_over {
                    *turns += 1;
                    // Each of the three others can be served at most twice at the same virtual time.
                    assert!(*turns <= 6, "{name} was passed over {turns} times");
                }
            }
            8 => {
                for ticket in queue.expire(now) {
                    assert!(waiting.remove(&ticket).expect("ended twice").1 < now);
                }
            }
            _ => {
                let Some(&ticket) = waiting.keys().min() else { continue };
                assert!(queue.cancel(ticket));
                waiting.remove(&ticket);
            }
        }
        assert_eq!(queue.len(), waiting.len());
        // Only a customer with a request that can still be served can be passed over.
        let next = now + ms(1);
        let servable = waiting.values().filter(|(_, deadline)| *deadline >= next);
        let servable: BTreeSet<String> = servable.map(|(name, _)| name.clone()).collect();
        passed_over.retain(|name, _| servable.contains(name));
        for name in servable {
            passed_over.entry(name).or_default();
        }
    }
}

#[test]
fn random_calls_serve_each_request_once_and_fairly() {
    let number = |name, default| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
    };
    for seed in 0..number("CITRON_SEEDS", 50) {
        let steps = number("CITRON_STEPS", 3000);
        let result = std::panic::catch_unwind(|| run(seed, steps));
        assert!(
            result.is_ok(),
            "seed {seed}: CITRON_SEEDS={} cargo test -p citron --test queue",
            seed + 1
        );
    }
}
