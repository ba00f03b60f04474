//! Relays that forward callers' requests to backend servers without interpreting them.
//!
//! A relay accepts a caller's request, looks up its route and workspace, selects a backend server and passes
//! the response on byte for byte. A stream stays connected to the relay that accepted it; when its engine is
//! about to leave, the run is moved to another engine and the relay continues the stream from there.

mod answer;
mod attempts;
mod caller_io;
mod caller_server;
mod choice;
mod counted_directory;
mod crash_check;
mod datagram_socket;
mod directory_watcher;
mod drain;
mod engine_reports;
mod evacuation_watcher;
mod event_queue;
mod exchange;
mod freeze_recovery;
mod head_limit;
mod held_state;
mod identity;
mod incarnation_check;
mod limit_loans;
mod load_probes;
mod local_runs;
mod lock;
mod moved_runs;
mod peer_net;
mod peer_pull;
mod placed_request;
mod plain;
mod planned_moves;
mod poison;
mod prefill_groups;
mod relay;
mod relay_limits;
mod relay_metrics;
mod relay_places;
mod relay_registration;
mod relay_settings;
mod relay_view;
mod retries;
mod run_end;
mod run_handoff;
mod run_mover;
mod run_moves;
mod run_stop;
mod scout;
mod scout_reports;
mod scout_supervision;
mod send;
mod send_gate;
mod server_statements;
mod stop_permission;
mod stop_queries;
mod stream;
mod stream_run;
mod supervision;
mod suspect_net;
mod unreadable;
mod upstream;
mod wait_queues;
mod waiting;
mod whole_body;
mod zone_probes;

pub use directory_watcher::DirectoryWatcher;
pub use drain::drain;
pub use relay::LeavingServer;
pub use relay::Relay;
pub use relay::Restrictions;
pub use relay_metrics::RelayMetrics;
pub use relay_settings::Policy;
pub use relay_settings::RelaySettings;
pub use relay_settings::ReloadableSettings;
pub use scout::Scout;
