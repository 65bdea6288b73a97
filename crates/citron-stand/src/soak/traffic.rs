//! Callers that ask the fleet where to connect, keep connections, pipeline, and sometimes leave.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::{self, Instant};

use super::{
    record::{Answered, End, Record, Sent},
    world::DOMAINS,
};
use crate::gateway::caller::{self, Answer, Caller};

/// How long a caller keeps what it was told of addresses.
const KEEP: Duration = Duration::from_millis(1500);
/// How long a directory or a gateway may take to accept and answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause of a caller that knows no address, or whose connection failed.
const PAUSE: Duration = Duration::from_millis(100);
/// The bounds of the pause between two requests of a caller, in milliseconds.
const THINK_MS: (u64, u64) = (10, 200);
/// How much longer than its time a caller waits before it gives an answer up as missing.
const PATIENCE: Duration = Duration::from_millis(2500);
/// The work of a request whose caller is going to leave, in milliseconds.
const LONG_WORK_MS: u64 = 1500;
/// The bounds of the work of most requests, and of some longer ones, in milliseconds.
const WORK_MS: (u64, u64) = (1, 40);
const LONGER_WORK_MS: (u64, u64) = (200, 700);
/// The share of requests with longer work, so that faults meet requests in flight.
const LONGER_SHARE: f64 = 0.15;
/// The share of requests that their caller leaves.
const LEAVE_SHARE: f64 = 0.03;
/// The share of lookups that are sent in a row without a wait for answers.
const PIPELINE_SHARE: f64 = 0.1;
/// The share of requests that are orders.
const ORDER_SHARE: f64 = 0.4;

/// What all callers share.
#[derive(Debug)]
pub struct Traffic {
    /// The directories that callers know.
    pub directories: Vec<SocketAddr>,
    /// Where each gateway takes callers, by number.
    pub gateways: Vec<SocketAddr>,
    /// What was seen.
    pub record: Arc<Mutex<Record>>,
    /// The number of the next request.
    pub next: AtomicU64,
    /// Asks directories.
    pub http: reqwest::Client,
}

/// One request before it is sent.
struct Request {
    id: String,
    is_order: bool,
    work_ms: u64,
    given_ms: u64,
}

impl Request {
    fn first_line(&self) -> String {
        let Self { id, is_order, work_ms, .. } = self;
        let (method, route) = if *is_order { ("POST", "orders") } else { ("GET", "lots") };
        format!("{method} /{route}/{id}?work={work_ms} HTTP/1.1")
    }

    fn body(&self) -> String {
        if self.is_order { format!("3 sacks for {}", self.id) } else { String::new() }
    }

    fn text(&self) -> String {
        let body = self.body();
        format!(
            "{}\r\nHost: one.example\r\nAttempt-Id: {}\r\nDeadline-Remaining-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.first_line(),
            self.id,
            self.given_ms,
            body.len()
        )
    }
}

/// Sends requests until the task is dropped.
pub async fn call(traffic: Arc<Traffic>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let domain = seed as usize % DOMAINS;
    let mut known: Vec<SocketAddr> = Vec::new();
    let mut asked_at = None;
    loop {
        if asked_at.is_none_or(|at: Instant| at.elapsed() > KEEP) {
            known = traffic.resolve(domain, &mut rng).await.unwrap_or(known);
            asked_at = Some(Instant::now());
        }
        let Some(address) = known.choose(&mut rng).copied() else {
            time::sleep(PAUSE).await;
            continue;
        };
        match time::timeout(ASK_TIMEOUT, Caller::open(address)).await {
            Ok(Ok(caller)) => traffic.use_connection(caller, address, &mut rng).await,
            _ => {
                known.retain(|other| *other != address);
                time::sleep(PAUSE).await;
            }
        }
    }
}

impl Traffic {
    async fn resolve(&self, domain: usize, rng: &mut ChaCha8Rng) -> Option<Vec<SocketAddr>> {
        let directory = self.directories.choose(rng)?;
        let url = format!("http://{directory}/v1/resolve?name=one.example&region=r&zone=d{domain}");
        let answer = self.http.get(url).timeout(ASK_TIMEOUT).send().await.ok()?;
        let answer: Value = answer.error_for_status().ok()?.json().await.ok()?;
        let addresses = answer["addresses"].as_array()?;
        Some(addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect())
    }

    /// Sends some requests on one connection.
    async fn use_connection(&self, mut caller: Caller, address: SocketAddr, rng: &mut ChaCha8Rng) {
        let Some(gateway) = self.gateways.iter().position(|gateway| *gateway == address) else {
            self.record.lock().faults.push(format!("a directory named {address}"));
            return;
        };
        for _ in 0..rng.random_range(1..10) {
            let count = if rng.random_bool(PIPELINE_SHARE) { rng.random_range(2..4) } else { 1 };
            let requests: Vec<Request> =
                (0..count).map(|_| self.request(rng, count == 1)).collect();
            let leaves = count == 1 && requests[0].work_ms == LONG_WORK_MS;
            let stay = Duration::from_millis(rng.random_range(50..400));
            if !self.exchange(&mut caller, gateway, &requests, leaves.then_some(stay)).await {
                return;
            }
            let think = rng.random_range(THINK_MS.0..THINK_MS.1);
            time::sleep(Duration::from_millis(think)).await;
        }
    }

    fn request(&self, rng: &mut ChaCha8Rng, may_order: bool) -> Request {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let leaves = may_order && rng.random_bool(LEAVE_SHARE);
        let (least, most) = if rng.random_bool(LONGER_SHARE) { LONGER_WORK_MS } else { WORK_MS };
        Request {
            id: format!("r{number}"),
            is_order: may_order && rng.random_bool(ORDER_SHARE),
            work_ms: if leaves { LONG_WORK_MS } else { rng.random_range(least..most) },
            given_ms: rng.random_range(800..2500),
        }
    }

    /// Sends requests in a row and takes their answers; returns true if the connection goes on.
    async fn exchange(
        &self,
        caller: &mut Caller,
        gateway: usize,
        requests: &[Request],
        leaves_after: Option<Duration>,
    ) -> bool {
        let text: String = requests.iter().map(Request::text).collect();
        let from = self.note_sent(gateway, requests);
        let sent = caller.try_send(&text).await;
        if let Some(stay) = leaves_after {
            time::sleep(stay).await;
            self.note_end(from, End::Left);
            return false;
        }
        if sent.is_err() {
            (0..requests.len()).for_each(|n| self.note_end(from + n, End::Closed));
            return false;
        }
        for (n, request) in requests.iter().enumerate() {
            let limit = Duration::from_millis(request.given_ms) + PATIENCE;
            let answer = caller.try_answer(limit).await;
            let closes = answer.as_ref().map_or(true, closes);
            self.note_end(from + n, answer.map_or_else(failed, |a| End::Answered(describe(a))));
            if closes {
                (n + 1..requests.len()).for_each(|n| self.note_end(from + n, End::Behind));
                return false;
            }
        }
        true
    }

    fn note_sent(&self, gateway: usize, requests: &[Request]) -> usize {
        let mut record = self.record.lock();
        let from = record.sent.len();
        let mut answer_ms = 0;
        record.sent.extend(requests.iter().map(|request| {
            answer_ms = request.given_ms.max(answer_ms);
            Sent {
                id: request.id.clone(),
                first_line: request.first_line(),
                body: request.body(),
                is_order: request.is_order,
                gateway,
                at: Instant::now(),
                given_ms: request.given_ms,
                answer_ms,
                end: None,
            }
        }));
        from
    }

    fn note_end(&self, index: usize, end: End) {
        self.record.lock().sent[index].end = Some((Instant::now(), end));
    }
}

fn closes(answer: &Answer) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn failed(end: caller::End) -> End {
    match end {
        caller::End::Closed => End::Closed,
        caller::End::Silent => End::Silent,
        caller::End::Unreadable => End::Unreadable,
    }
}

fn describe(answer: Answer) -> Answered {
    Answered {
        status: answer.status,
        id: answer.header("attempt-id").map(str::to_owned),
        is_signed: answer.header("upstream-signature").is_some(),
        has_return_time: answer.header("retry-after").is_some(),
        is_whole: answer.whole,
        body: answer.body,
    }
}
