//! Edits of the policy on a platform's store in memory, without I/O.

mod driver;
mod edit;
mod race;
