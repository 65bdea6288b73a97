//! A stand-in for a customer-facing target with few slots and switchable faults.

mod body;
mod fault;
mod ledger;
mod request;
mod serve;
mod work;

pub use self::{
    body::{Answer, answer},
    fault::Fault,
    ledger::Ledger,
    serve::{Settings, Target, bind},
    work::{Admission, State, Work},
};
