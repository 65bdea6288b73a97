//! Edits of the policy against the stored objects of a platform, without I/O.

mod edit;
mod race;
mod world;
