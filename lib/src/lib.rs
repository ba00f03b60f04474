//! Decisions, protocols and state of cicadastream, without its processes.
//!
//! Decision modules know neither network nor clock: time, randomness and views are passed in.

mod macros;

mod batch;
mod choice;
mod claim_commit;
mod claim_retry;
mod claim_view;
mod probes;
mod reach;
mod score;
mod service;
mod subset;
mod tenants;

pub mod admission;
pub mod backend;
pub mod claim_intent;
pub mod claim_log;
pub mod claim_shard;
pub mod claims;
pub mod config;
pub mod config_apply;
pub mod config_check;
pub mod config_chunks;
pub mod config_edit;
pub mod config_plan;
pub mod config_store;
pub mod daemon_keys;
pub mod daemon_settings;
pub mod ejection;
pub mod engine_http;
pub mod gossip;
pub mod handshake;
pub mod http_client;
pub mod ids;
pub mod lengths;
pub mod limiter;
pub mod load;
pub mod membership;
pub mod memory_plan;
pub mod order;
pub mod outcome;
pub mod platform;
pub mod platform_http;
pub mod prefix_index;
pub mod preset;
pub mod query;
pub mod query_eval;
pub mod query_parse;
pub mod query_rows;
pub mod retry_budget;
pub mod roster;
pub mod router;
pub mod routing;
pub mod rumours;
pub mod scheduler;
pub mod secrets;
pub mod service_http;
pub mod settings;
pub mod shares;
pub mod suspects;
pub mod time;
pub mod transcript;
pub mod wire;
pub mod zone_cost;
