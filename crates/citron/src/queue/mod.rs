//! Queues the requests that wait for a free slot of a service, fairly among customers.
//!
//! Weighted fair queueing by virtual finish times (Demers, Keshav and Shenker, 1989): each
//! customer with waiting requests gets slots in proportion to its weight, whatever the others send.
//! Live requests are served before archive requests. A request that most likely cannot be served
//! within its deadline is refused at once, so that its caller can try elsewhere.

mod departure;
mod fair;
pub mod wait;

pub use self::fair::{Limits, PendingRequest, Queue, Refusal, Ticket};
