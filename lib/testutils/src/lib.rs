//! Stand-ins for the platform and the backend servers, for tests, the demo and manual experiments.

pub mod engine_settings;
pub mod engine_standin;
pub mod faults;
pub mod hosts_standin;
pub mod http_server;
pub mod log_standin;
pub mod placing_site;
pub mod retry_windows;
pub mod rig;
pub mod rows;
pub mod service_standin;
pub mod store_standin;
