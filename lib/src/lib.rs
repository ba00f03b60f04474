//! Decisions, protocols and state of cicadastream, without its processes.
//!
//! Decision modules know neither network nor clock: time, randomness and views are passed in.

mod macros;

pub mod backend;
pub mod config;
pub mod config_check;
pub mod config_chunks;
pub mod config_edit;
pub mod config_plan;
pub mod config_store;
pub mod daemon_keys;
pub mod daemon_settings;
pub mod handshake;
pub mod ids;
pub mod load;
pub mod outcome;
pub mod platform;
pub mod preset;
pub mod scheduler;
pub mod secrets;
pub mod settings;
pub mod time;
pub mod transcript;
pub mod wire;
