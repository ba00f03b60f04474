//! Test support.

pub mod memory_platform;
