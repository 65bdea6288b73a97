//! A caller: asks where to connect, sends a request and tells how it ended.

use std::{collections::HashMap, time::Duration};

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::time::{self, Instant};

use super::workload::Request;

/// How long a caller waits for an agent.
const LOCATE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a caller sends a request whose connection broke.
const SEND_LIMIT: usize = 4;
/// The pause before a caller asks all agents again.
const LOCATE_PAUSE: Duration = Duration::from_millis(200);

/// Callers of all customers, sharing connections and located addresses.
#[derive(Debug)]
pub struct Caller {
    agents: Vec<String>,
    call_timeout: Duration,
    client: reqwest::Client,
    located: Mutex<HashMap<(String, String), Located>>,
}

#[derive(Debug, Clone)]
struct Located {
    addresses: Vec<String>,
    until: Instant,
}

#[derive(Deserialize)]
struct Locations {
    ttl_ms: u64,
    addresses: Vec<String>,
}

/// How a call ended, as far as the caller can tell.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Outcome {
    /// The whole right answer came.
    Answered,
    /// A target's answer with an error status came.
    TargetError(u16),
    /// The answer was not the one to this request.
    Wrong(String),
    /// The system said that the request was not run, for this reason.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// No proxy could be connected to; nothing was sent.
    Unreached,
}

/// How one send ended.
enum Sent {
    Ended(Outcome),
    /// Nothing was sent.
    NoConnection,
    /// The connection broke after something was sent.
    Broken(String),
}

impl Caller {
    /// Opens callers that ask `agents`, given as `ip:port`, and wait for one answer no longer than `call_timeout`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be set up.
    pub fn open(agents: &[String], call_timeout: Duration) -> eyre::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_idle_timeout(Duration::from_secs(2))
            .connect_timeout(LOCATE_TIMEOUT)
            .build()?;
        Ok(Self { agents: agents.to_vec(), call_timeout, client, located: Mutex::default() })
    }

    /// Sends a request, again through another address if its connection broke.
    pub async fn call(&self, request: &Request) -> Outcome {
        let mut broken = None;
        for attempt in 0..SEND_LIMIT {
            let addresses = self.locate(request, attempt > 0).await;
            let Some(address) = addresses.get(attempt % addresses.len().max(1)) else {
                time::sleep(LOCATE_PAUSE).await;
                continue;
            };
            match self.send(request, address).await {
                Sent::Ended(outcome) => return conclude(request, outcome, broken),
                Sent::NoConnection => {}
                Sent::Broken(reason) => broken = Some(reason),
            }
        }
        broken.map_or(Outcome::Unreached, Outcome::Unknown)
    }

    async fn send(&self, request: &Request, address: &str) -> Sent {
        match time::timeout(self.call_timeout, self.exchange(request, address)).await {
            Ok(sent) => sent,
            Err(_) => Sent::Broken("no answer in time".to_owned()),
        }
    }

    async fn exchange(&self, request: &Request, address: &str) -> Sent {
        let url = format!("http://{address}{}", request.path);
        let mut sending = match &request.order {
            Some(order) => self
                .client
                .post(url)
                .header("x-order", order)
                .header("idempotency-key", order)
                .body(request.body.clone()),
            None => self.client.get(url),
        };
        sending = sending.header("citron-customer", &request.customer);
        let answer = match sending.send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Sent::NoConnection,
            Err(error) => return Sent::Broken(error.to_string()),
        };
        let header = |name| {
            answer
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("")
                .to_owned()
        };
        let (outcome, reason) = (header("citron-outcome"), header("citron-reason"));
        let status = answer.status();
        let body = match answer.bytes().await {
            Ok(body) => body,
            Err(error) => return Sent::Broken(error.to_string()),
        };
        Sent::Ended(match outcome.as_str() {
            "answered" if status.is_success() => {
                if body == request.expected() {
                    Outcome::Answered
                } else {
                    Outcome::Wrong(
                        String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned(),
                    )
                }
            }
            "answered" => Outcome::TargetError(status.as_u16()),
            "not-run" => Outcome::NotRun(reason),
            "unknown" => Outcome::Unknown(reason),
            _ => Outcome::Wrong(format!("status {status} without an outcome")),
        })
    }

    async fn locate(&self, request: &Request, fresh: bool) -> Vec<String> {
        let key = (request.service.clone(), request.customer.clone());
        if !fresh
            && let Some(located) =
                self.located.lock().get(&key).filter(|l| l.until > Instant::now())
        {
            return located.addresses.clone();
        }
        let start = xxhash_rust::xxh3::xxh3_64(request.path.as_bytes()) as usize;
        for index in 0..self.agents.len() {
            let agent = &self.agents[(start + index) % self.agents.len()];
            if let Some(found) = self.ask(agent, request).await {
                let until = Instant::now() + Duration::from_millis(found.ttl_ms);
                self.located
                    .lock()
                    .insert(key, Located { addresses: found.addresses.clone(), until });
                return found.addresses;
            }
        }
        Vec::new()
    }

    async fn ask(&self, agent: &str, request: &Request) -> Option<Locations> {
        let url =
            format!("http://{agent}/locate/{}?customer={}", request.service, request.customer);
        let asking = self.client.get(url).timeout(LOCATE_TIMEOUT).send().await.ok()?;
        let found: Locations = asking.error_for_status().ok()?.json().await.ok()?;
        (!found.addresses.is_empty()).then_some(found)
    }
}

/// Joins the outcome of the last send with that of an earlier one whose connection broke.
fn conclude(request: &Request, outcome: Outcome, broken: Option<String>) -> Outcome {
    match (request.order.is_some(), broken, outcome) {
        // The earlier send may have run the order, whatever the later one was told.
        (true, Some(reason), Outcome::NotRun(later)) => {
            Outcome::Unknown(format!("{reason}; then {later}"))
        }
        (_, _, outcome) => outcome,
    }
}
