//! What callers request.

use std::str::FromStr;

use strum::{Display, EnumString};

use crate::target::{self, Answer};

/// One kind of request at a steady rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// What kind of request it is.
    pub kind: Kind,
    /// The customer that sends it.
    pub customer: String,
    /// The service that serves it.
    pub service: String,
    /// The path prefix of the service's route.
    pub prefix: String,
    /// Requests per second.
    pub rate: f64,
    /// Bytes of an answer after its first line.
    pub size: usize,
}

/// The kinds of requests.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An idempotent read.
    Lookup,
    /// A non-idempotent order.
    Order,
    /// A large read that may wait.
    Pull,
}

/// A request as a caller sends it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Request {
    /// The customer.
    pub customer: String,
    /// The service.
    pub service: String,
    /// Path and query.
    pub path: String,
    /// The id of an order, which is also its idempotency key; `None` for reads.
    pub order: Option<String>,
    /// The body of an order.
    pub body: Vec<u8>,
    size: usize,
}

impl Workload {
    /// Returns the request of this number.
    pub fn request(&self, name: &str, number: u64) -> Request {
        let Self { kind, customer, service, prefix, size, .. } = self;
        let path = format!("{prefix}{kind}/{number}?token={name}-{number}&size={size}");
        let order = (*kind == Kind::Order).then(|| format!("{name}-{number}"));
        let body = order
            .as_ref()
            .map_or_else(Vec::new, |order| format!("{{\"order\":\"{order}\"}}").into_bytes());
        Request {
            customer: customer.clone(),
            service: service.clone(),
            path,
            order,
            body,
            size: *size,
        }
    }
}

impl Request {
    /// Returns the method.
    pub fn method(&self) -> &'static str {
        if self.order.is_some() { "POST" } else { "GET" }
    }

    /// Returns the whole answer that a target must give.
    pub fn expected(&self) -> Vec<u8> {
        let answer = Answer {
            service: self.service.clone(),
            path: self.path.clone(),
            method: self.method().to_owned(),
            body_hash: xxhash_rust::xxh3::xxh3_64(&self.body),
        };
        target::answer(&answer, self.size)
    }
}

impl FromStr for Workload {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(':').collect();
        let [kind, customer, service, prefix, rate, size] = parts[..] else {
            return Err(format!(
                "{text:?} does not have six parts KIND:CUSTOMER:SERVICE:PREFIX:RATE:SIZE"
            ));
        };
        let kind = kind.parse().map_err(|_| format!("{kind:?} is not lookup, order or pull"))?;
        let rate: f64 = rate.parse().map_err(|_| format!("the rate {rate:?} is not a number"))?;
        if !(rate > 0.0 && rate.is_finite()) {
            return Err(format!("the rate {rate} is not above 0"));
        }
        let size =
            size.parse().map_err(|_| format!("the size {size:?} is not a count of bytes"))?;
        Ok(Self {
            kind,
            customer: customer.to_owned(),
            service: service.to_owned(),
            prefix: prefix.to_owned(),
            rate,
            size,
        })
    }
}
