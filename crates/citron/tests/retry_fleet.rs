//! The retry budget over a fleet: hosts that start, die, stand still, join late and do not know of
//! each other, judged against the one bound that the whole fleet has.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use citron::attempt::{
    LOAN_TERM, RetryBound, RetryBucket, RetryShare, SHARED_PART, Sharer, Standstill, Ticket,
};
use proptest::{collection::vec, prelude::*};

const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
/// The slack that gives each host a burst of three whole tokens, so that one too many shows.
const SLACK_PER_HOST: f64 = 3.0 / (SHARED_PART * SHARED_PART);
/// A span in which hardly a token is refilled.
const SHORT_SPAN_MS: u64 = 200;
const HOSTS: Range<usize> = 1..6;
/// The retries that each request of a demand asks for.
const RETRIES: Range<usize> = 0..3;
/// The time in which a process that has stood still reads one request after the other.
const READ_MS: u64 = 2;
/// The longest time of a request from its caller to the gateway.
const LAG_MS: Range<u64> = 0..200;
/// The longest time from the decision on a retry to its arrival.
const FLIGHT_MS: Range<u64> = 0..3200;
/// The time of a datagram between two hosts, and the time after which it counts as lost.
const MESSAGE_MS: Range<u64> = 0..150;
const LOST_FROM_MS: u64 = 130;
const TICK_MS: u64 = 100;
const REQUEST_GAP_MS: u64 = 100;
/// When the first step is played, so that the processes have run for a while.
const START_MS: u64 = 3 * WINDOW_MS;

/// What happens to the fleet at one moment.
#[derive(Debug, Clone)]
enum Action {
    /// Callers send requests to a host, one each 100 ms, whose retries arrive so much later. If it
    /// has no token, it asks the next host; each message takes so long.
    Demand {
        host: usize,
        requests: u64,
        retries: usize,
        lag_ms: u64,
        flight_ms: u64,
        message_ms: u64,
    },
    /// The processes of some hosts are killed; others start after so long.
    Restart { hosts: Set, down_ms: u64 },
    /// The processes of some hosts stand still for so long.
    Pause { hosts: Set, ms: u64 },
}

/// A set of hosts, a bit for each.
type Set = u8;

fn contains(set: Set, host: usize) -> bool {
    set & (1 << host) != 0
}

#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    action: Action,
}

fn action(lag_ms: Range<u64>) -> impl Strategy<Value = Action> {
    let flight_ms = prop_oneof![3 => 0..50_u64, 1 => FLIGHT_MS];
    let message_ms = prop_oneof![3 => 0..5_u64, 1 => MESSAGE_MS];
    prop_oneof![
        8 => (0..HOSTS.end, 1..150_u64, RETRIES, lag_ms, flight_ms, message_ms)
            .prop_map(|(host, requests, retries, lag_ms, flight_ms, message_ms)| Action::Demand { host, requests, retries, lag_ms, flight_ms, message_ms }),
        2 => (any::<Set>(), 0..2000_u64)
            .prop_map(|(hosts, down_ms)| Action::Restart { hosts, down_ms }),
        1 => (any::<Set>(), 300..5000_u64).prop_map(|(hosts, ms)| Action::Pause { hosts, ms }),
    ]
}

fn steps(lag_ms: Range<u64>) -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3000_u64, action(lag_ms));
    vec(step.prop_map(|(after_ms, action)| Step { after_ms, action }), 1..40)
}

/// When requests were sent and received and retries arrived, in milliseconds, sorted.
#[derive(Debug, Default)]
struct History {
    sent: Vec<u64>,
    /// When hosts read the requests, which may have waited.
    received: Vec<u64>,
    arrived: Vec<u64>,
}

fn count(times: &[u64], from: u64, until: u64) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}

impl History {
    /// Returns how far a window that begins at `from` is beyond what it allows; requests count in
    /// any one of the windows that begin so much earlier.
    fn excess(&self, from: u64, slack: f64, backs: &[u64]) -> f64 {
        let counts =
            backs.iter().map(|back| count(&self.sent, from - back, from + WINDOW_MS - back));
        let requests = counts.max().unwrap_or(0);
        let arrived = count(&self.arrived, from, from + WINDOW_MS);
        arrived as f64 - (RATIO * requests as f64 + slack)
    }

    /// Returns the largest excess of any short span over the requests that were received in it and
    /// `slack`.
    fn worst_short(&self, slack: f64) -> f64 {
        let excess = |from: &u64| {
            let until = from + SHORT_SPAN_MS;
            let arrived = count(&self.arrived, *from, until);
            arrived as f64 - RATIO * count(&self.received, *from, until) as f64 - slack
        };
        self.arrived.iter().map(excess).fold(f64::MIN, f64::max)
    }

    /// Returns the largest excess of any window. It begins at an arrival, or where a request leaves
    /// one of the windows that count.
    fn worst(&self, slack: f64, backs: &[u64]) -> f64 {
        let leaves = self.sent.iter().flat_map(|at| backs.iter().map(move |back| at + 1 + back));
        let starts = self.arrived.iter().copied().chain(leaves);
        starts.map(|from| self.excess(from, slack, backs)).fold(f64::MIN, f64::max)
    }
}

/// One event of a host, in the order of its processing.
enum Event {
    Start,
    Tick,
    Request {
        retries: usize,
        flight_ms: u64,
        message_ms: u64,
    },
    Arrival {
        process: usize,
        ticket: Ticket,
    },
    Asked(Ask),
    Lent {
        ask: Ask,
        token: LentToken,
    },
    /// A borrower tells the lender what became of a token.
    Told {
        token: LentToken,
        used: bool,
    },
}

/// A host asks another one for a token.
#[derive(Debug, Copy, Clone)]
struct Ask {
    borrower: usize,
    /// The borrower's process.
    process: usize,
    asked_ms: u64,
    flight_ms: u64,
    message_ms: u64,
}

#[derive(Debug, Copy, Clone)]
struct LentToken {
    lender: usize,
    /// The lender's process.
    process: usize,
    ticket: Ticket,
}

/// The events of all hosts by time; those of one time in the order in which they were added.
#[derive(Default)]
struct Events {
    queue: BTreeMap<(u64, usize), (usize, Event)>,
    count: usize,
}

impl Events {
    fn add(&mut self, at: u64, host: usize, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), (host, event));
    }
}

/// When a host's process cannot run.
#[derive(Default, Clone)]
struct Outages {
    pauses: Vec<Range<u64>>,
    deaths: Vec<Range<u64>>,
}

impl Outages {
    /// Returns when the host reads what reaches it at `at`, `None` if no process ever does.
    fn read_at(&self, at: u64) -> Option<u64> {
        let mut read = at;
        while let Some(pause) = self.pauses.iter().find(|pause| pause.contains(&read)) {
            read = pause.end;
        }
        // A process that is killed loses what it has not read.
        let lost = self.deaths.iter().any(|death| death.start <= read && at < death.end);
        (!lost).then_some(read)
    }
}

fn outages(hosts: usize, steps: &[Step]) -> Vec<Outages> {
    let mut outages = vec![Outages::default(); hosts];
    let mut at = START_MS;
    for step in steps {
        at += step.after_ms;
        match step.action {
            Action::Demand { .. } => {}
            Action::Restart { hosts: set, down_ms } => {
                let struck = (0..hosts).filter(|host| contains(set, *host));
                struck.for_each(|host| outages[host].deaths.push(at..at + down_ms + 1));
            }
            Action::Pause { hosts: set, ms } => {
                let struck = (0..hosts).filter(|host| contains(set, *host));
                struck.for_each(|host| outages[host].pauses.push(at..at + ms));
            }
        }
    }
    outages
}

fn play(hosts: usize, steps: &[Step]) -> History {
    let mut history = History::default();
    let mut events = Events::default();
    let outages = outages(hosts, steps);
    let mut at = START_MS;
    let mut waiting = vec![0; hosts];
    for step in steps {
        at += step.after_ms;
        let Action::Demand { host, requests, retries, lag_ms, flight_ms, message_ms } = step.action
        else {
            continue;
        };
        for sent in (0..requests).map(|n| at + n * REQUEST_GAP_MS).filter(|_| host < hosts) {
            history.sent.push(sent);
            if let Some(read) = outages[host].read_at(sent + lag_ms) {
                waiting[host] = if read == sent + lag_ms { 0 } else { waiting[host] + READ_MS };
                let request = Event::Request { retries, flight_ms, message_ms };
                events.add(read + waiting[host], host, request);
            }
        }
    }
    let end = at + 2 * WINDOW_MS;
    for (host, outages) in outages.iter().enumerate() {
        outages.deaths.iter().for_each(|death| events.add(death.end, host, Event::Start));
        let ticks = (0..end).step_by(TICK_MS as usize);
        ticks.filter_map(|at| outages.read_at(at)).for_each(|at| {
            events.add(at, host, Event::Tick);
        });
    }
    let mut fleet: Vec<Host> = (0..hosts).map(|_| Host::first(hosts)).collect();
    while let Some(((at, _), (host, event))) = events.queue.pop_first() {
        let process = &mut fleet[host];
        match event {
            Event::Start => {
                *process = Host { number: process.number + 1, ..Host::start(at, hosts) }
            }
            Event::Tick => process.tick(at),
            Event::Request { retries, flight_ms, message_ms } => {
                process.record_request(at);
                history.received.push(at);
                for _ in 0..retries {
                    let Some(ticket) = process.withdraw(at) else {
                        let process = process.number;
                        let ask =
                            Ask { borrower: host, process, asked_ms: at, flight_ms, message_ms };
                        let lender = (host + 1) % hosts;
                        tell(&mut events, &outages, at + message_ms, lender, Event::Asked(ask));
                        continue;
                    };
                    history.arrived.push(at + flight_ms);
                    let arrival = Event::Arrival { process: process.number, ticket };
                    if let Some(noticed) = outages[host].read_at(at + flight_ms) {
                        events.add(noticed, host, arrival);
                    }
                }
            }
            Event::Arrival { process: number, ticket } if number == process.number => {
                process.bucket.record_arrival(ticket, process.now(at));
            }
            Event::Arrival { .. } => {}
            Event::Asked(ask) => {
                let Some(ticket) = process.lend(at) else { continue };
                let token = LentToken { lender: host, process: process.number, ticket };
                let lent = Event::Lent { ask, token };
                tell(&mut events, &outages, at + ask.message_ms, ask.borrower, lent);
            }
            Event::Lent { ask, token } if ask.process == process.number => {
                let is_usable = at < ask.asked_ms + LOAN_TERM.as_millis() as u64;
                let told_at = if is_usable {
                    history.arrived.push(at + ask.flight_ms);
                    outages[host].read_at(at + ask.flight_ms)
                } else {
                    Some(at)
                };
                if let Some(told_at) = told_at {
                    let told = Event::Told { token, used: is_usable };
                    tell(&mut events, &outages, told_at + ask.message_ms, token.lender, told);
                }
            }
            Event::Lent { .. } => {}
            Event::Told { token, used } if token.process == process.number => {
                if used {
                    process.bucket.record_arrival(token.ticket, process.now(at));
                } else {
                    process.bucket.refund(token.ticket, process.now(at));
                }
            }
            Event::Told { .. } => {}
        }
    }
    history.sent.sort_unstable();
    history.received.sort_unstable();
    history.arrived.sort_unstable();
    history
}

/// Sends a message that reaches a host at `at`, unless it is lost.
fn tell(events: &mut Events, outages: &[Outages], at: u64, host: usize, event: Event) {
    let is_lost = at % MESSAGE_MS.end >= LOST_FROM_MS;
    if let Some(read) = outages[host].read_at(at).filter(|_| !is_lost) {
        events.add(read, host, event);
    }
}

/// The process of a host.
struct Host {
    /// How many processes the host had before.
    number: usize,
    bucket: RetryBucket,
    standstill: Standstill,
    share: RetryShare,
    started_ms: u64,
}

impl Host {
    fn start(at_ms: u64, hosts: usize) -> Self {
        let bound = RetryBound {
            ratio: RATIO,
            slack: SLACK_PER_HOST * hosts as f64,
            window: Duration::from_millis(WINDOW_MS),
        };
        Self {
            number: 0,
            bucket: RetryBucket::new(Duration::from_millis(FLIGHT_MS.end)),
            standstill: Standstill::new(Duration::from_millis(TICK_MS)),
            share: RetryShare::new(&bound, Sharer { hosts, rank: 0 }),
            started_ms: at_ms,
        }
    }

    /// Starts the first process of a host.
    fn first(hosts: usize) -> Self {
        let bucket = RetryBucket::of_new_host(Duration::from_millis(FLIGHT_MS.end));
        Self { bucket, ..Self::start(0, hosts) }
    }

    fn now(&self, at_ms: u64) -> Duration {
        Duration::from_millis(at_ms - self.started_ms)
    }

    fn tick(&mut self, at_ms: u64) {
        self.standstill.tick(self.now(at_ms));
    }

    fn record_request(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        if self.standstill.is_over(now) {
            self.bucket.record_request(&self.share, now);
        }
    }

    fn withdraw(&mut self, at_ms: u64) -> Option<Ticket> {
        self.bucket.withdraw(&self.share, self.now(at_ms)).ok()
    }

    fn lend(&mut self, at_ms: u64) -> Option<Ticket> {
        self.bucket.lend(&self.share, self.now(at_ms)).ok()
    }
}

/// What both hosts of a small fleet do in the time between two steps.
const MOVES: [Option<Action>; 6] = [
    None,
    Some(Action::Demand {
        host: 0,
        requests: 29,
        retries: 0,
        lag_ms: 0,
        flight_ms: 0,
        message_ms: 0,
    }),
    Some(Action::Demand {
        host: 0,
        requests: 29,
        retries: 2,
        lag_ms: 0,
        flight_ms: 0,
        message_ms: 0,
    }),
    Some(Action::Demand {
        host: 0,
        requests: 1,
        retries: 2,
        lag_ms: 0,
        flight_ms: 3199,
        message_ms: 0,
    }),
    Some(Action::Restart { hosts: Set::MAX, down_ms: 0 }),
    Some(Action::Pause { hosts: Set::MAX, ms: 2900 }),
];
const MOVE_MS: u64 = 3000;
/// The time from a move that is over at once to the next one.
const SHORT_MOVE_MS: u64 = 100;
const MOVE_COUNT: u32 = 5;

fn steps_of(mut code: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut after_ms = 0;
    for _ in 0..MOVE_COUNT {
        let action = MOVES[code % MOVES.len()].clone();
        code /= MOVES.len();
        let is_short = !matches!(action, None | Some(Action::Demand { requests: 2.., .. }));
        if let Some(action) = action {
            if let Action::Demand { requests, retries, lag_ms, flight_ms, message_ms, .. } = action
            {
                let other =
                    Action::Demand { host: 1, requests, retries, lag_ms, flight_ms, message_ms };
                steps.push(Step { after_ms, action: other });
                after_ms = 0;
            }
            steps.push(Step { after_ms, action });
            after_ms = 0;
        }
        after_ms += if is_short { SHORT_MOVE_MS } else { MOVE_MS };
    }
    steps
}

/// The time of 50 requests, which fill a bucket.
const EARNED_MS: u64 = 6000;

/// Both hosts have all their tokens. The first one sends its three and two that the second lends, all
/// of which arrive late; when they do, the second one must not have earned them anew.
#[test]
fn lent_tokens_whose_retries_arrive_late_are_not_earned_anew_before() {
    let flight_ms = FLIGHT_MS.end - 1;
    let demand = |host, requests, retries, flight_ms| Action::Demand {
        host,
        requests,
        retries,
        lag_ms: 0,
        flight_ms,
        message_ms: 0,
    };
    let step = |after_ms, action| Step { after_ms, action };
    let steps = [
        step(0, demand(0, 50, 0, 0)),
        step(0, demand(1, 50, 0, 0)),
        step(EARNED_MS, demand(0, 1, 6, flight_ms)),
        step(100, demand(1, 30, 0, 0)),
        step(flight_ms - 100, demand(1, 1, 3, 0)),
    ];
    let share = Host::start(0, 2).share;
    let history = play(2, &steps);
    let late_at = START_MS + EARNED_MS + flight_ms;
    let late = count(&history.arrived, late_at, late_at + 1);
    assert!(late >= 5, "three retries of its own, and two with lent tokens: {late}");
    assert!(history.worst_short(2.0 * share.burst + 0.1) <= 0.0, "{:?}", history.arrived);
}

#[test]
fn no_short_history_of_two_hosts_has_more_retries_than_allowed() {
    for code in 0..MOVES.len().pow(MOVE_COUNT) {
        let steps = steps_of(code);
        let worst = play(2, &steps).worst(2.0 * SLACK_PER_HOST * SHARED_PART, &[0]);
        assert!(worst <= 1e-3, "{worst} beyond what a window allows in {steps:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The bound as the users state it.
    #[test]
    fn no_window_of_the_fleet_has_more_retries_than_allowed(hosts in HOSTS, steps in steps(LAG_MS)) {
        let slack = SLACK_PER_HOST * hosts as f64;
        let worst = play(hosts, &steps).worst(slack, &[0, WINDOW_MS / 2, WINDOW_MS]);
        prop_assert!(worst <= 1e-6, "{worst} beyond what a window allows");
    }

    /// A token that is lent counts at its lender, however late its retry arrives.
    #[test]
    fn no_short_span_of_the_fleet_has_more_retries_than_it_received_requests_and_the_bursts_allow(
        hosts in HOSTS,
        steps in steps(0..1),
    ) {
        let share = Host::start(0, hosts).share;
        let span_s = SHORT_SPAN_MS as f64 / 1000.0;
        let allowed = hosts as f64 * (share.burst + share.refill_per_s * span_s);
        let worst = play(hosts, &steps).worst_short(allowed);
        prop_assert!(worst <= 1e-3, "{worst} beyond what a span allows");
    }

    /// Without a delay of requests the shares alone keep it, by the requests of the same window.
    #[test]
    fn no_window_of_the_fleet_has_more_retries_than_its_requests_and_the_shares_allow(
        hosts in HOSTS,
        steps in steps(0..1),
    ) {
        let shared = SLACK_PER_HOST * hosts as f64 * SHARED_PART;
        let worst = play(hosts, &steps).worst(shared, &[0]);
        prop_assert!(worst <= 1e-3, "{worst} beyond what a window allows");
    }
}
