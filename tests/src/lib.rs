//! Harness of the whole-system tests.
