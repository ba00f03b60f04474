//! Test support.
