//! A daemon's view of the cluster: the configuration, backend servers, other daemons and their reports,
//! each with its source and age.

pub mod brittle_servers;
pub mod config_history;
pub mod configuration;
pub mod digest;
pub mod directory;
mod directory_entry;
pub mod ended_instances;
pub mod engine_inventories;
pub mod fingerprint;
pub mod latest_instances;
pub mod peer_table;
pub mod peer_update;
pub mod quarantine;
pub mod quarantine_report;
pub mod rate_limit;
pub mod rate_limits;
pub mod rate_share;
pub mod reader_rank;
pub mod reader_report;
pub mod reader_role;
pub mod readers;
pub mod retry_budgets;
pub mod run_times;
pub mod send_permit;
pub mod server_health;
pub mod server_instance;
pub mod server_paths;
pub mod server_rests;
pub mod store_health;
pub mod trial_report;
pub mod unreadable_records;
pub mod workload_table;
pub mod workloads;
