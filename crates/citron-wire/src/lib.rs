//! Messages between the processes of one fleet, generated from `proto/citron.proto`.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;
mod health;

pub use generated::*;
