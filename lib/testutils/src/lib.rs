//! Stand-ins for what surrounds the system, a fault-injecting proxy, and a runner of processes, for
//! tests and trials on one machine.

pub mod caller;
pub mod chaos;
mod chaos_callers;
mod chaos_faults;
pub mod cluster;
pub mod deployment;
pub mod endless;
pub mod engine;
mod engine_api;
pub mod engine_core;
mod engine_process;
mod engine_state;
pub mod fake_fleet;
pub mod generation;
pub mod http_call;
pub mod http_server;
pub mod lossy_net;
pub mod memory_platform;
pub mod object_store;
pub mod output_length;
pub mod pickers;
pub mod platform;
pub mod prefix_cache;
pub mod proxy;
pub mod proxy_admin;
pub mod rate;
pub mod raw_answer;
pub mod scripted_server;
pub mod service;
pub mod site;
pub mod suspect_fleet;
pub mod token_text;
pub mod udp_proxy;
pub mod weight_store;
